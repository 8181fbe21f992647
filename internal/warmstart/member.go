// Package warmstart knows which caches there are when the bulletin does not say: it starts the router from the list kept on
// disk, follows what each entry proves to be, and lays the list aside when the bulletin's word comes. How far an entry is
// relied on is decided by package trust, and which cache gets a lookup by the module, which is told of doubts with its
// rows. What is told goes to the keeper from here.
//
// Members is owned by the process; its lock mu is taken under the facade's (what sends show) and never held over a call to
// the facade, listing is. It is bounded by the list.
package warmstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/freshness"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
)

const (
	reviewInterval = 100 * time.Millisecond // at what entries proved to be
	healthInterval = 5 * time.Second        // of which caches are out, for the list
	// A parent not found warm counts as started so long after this process: it bears little for longest, and one large fill
	// staked by each gateway at once weighs most there.
	parentStartDelay = 2 * time.Second
	// A drain in the list holds for so long from the start against a bulletin that may be behind it; then that one's word counts.
	drainHold = 10 * time.Minute
	// Numbers told so often in a row as lower than the one held are those of a bulletin that began anew.
	maxRegressions = 3
)

// Reconciler is the list while it may be in doubt. A nil one takes what it is told and does nothing, as on the platform.
type Reconciler struct {
	env         env.Environment
	settings    *settings.Settings
	dispatcher  *dispatch.Dispatcher
	caches      *cacheregistry.Registry
	snapshotter *snapshot.Snapshotter

	listMu sync.Mutex // held while the kept list is told to the router, or laid aside

	mu          sync.Mutex
	rows        map[string]policy.Endpoint // of the list, while it stands for the bulletin
	tracker     *freshness.Tracker         // nil once the bulletin has spoken
	startedAt   time.Time                  // the start
	knownDrains map[string]*knownDrain
	lastEvent   int64 // number of the last event in the list
	regressions int
}

// knownDrain is a cache that the list knows to drain or to be gone.
type knownDrain struct {
	tombstone endpoints.Tombstone
	latest    *policy.Endpoint // as the bulletin told it meanwhile
}

// New makes members over an open list.
func New(g env.Environment, terms *settings.Settings, router *dispatch.Dispatcher, caches *cacheregistry.Registry, keep *snapshot.Snapshotter) *Reconciler {
	m := &Reconciler{env: g, settings: terms, dispatcher: router, caches: caches, snapshotter: keep, knownDrains: map[string]*knownDrain{}}
	s := keep.State()
	m.lastEvent = s.LastEvent
	m.startedAt = g.Now()
	for _, t := range s.SortedTombstones() {
		m.knownDrains[t.ID] = &knownDrain{tombstone: t}
	}
	return m
}

// Start lists to the router what the kept list is worth, and tells how many entries there are; 0: there is no list.
func (m *Reconciler) Start(purges *purgelog.Log) int {
	s := m.snapshotter.State()
	now := m.env.Now()
	age := now.Sub(time.UnixMilli(s.CurrentAsOf))
	if s.CurrentAsOf == 0 {
		age = now.Sub(time.UnixMilli(s.ChangedAt)) // of an operator's file alone
	}
	book, rows := freshness.NewTracker(freshness.History{CacheHours: s.CacheHours, Departures: s.Departures}, now), map[string]policy.Endpoint{}
	for _, k := range s.Sorted() {
		row := policy.Endpoint{Cell: k.Cell, Weight: k.Size, Zone: slices.Index(m.settings.Zones, k.Zone),
			Kind: slices.Index(m.settings.MachineTypes, k.MachineType)}
		if row.Zone < 0 || row.Kind < 0 {
			continue // of other settings
		}
		row.Cache = m.caches.Register(k.ID, k.Addr).Policy
		rows[k.ID] = row
		book.Add(k.ID, row.Kind == m.settings.Router.ParentKind, freshness.Evidence{Age: age, Imported: k.Source == endpoints.Imported, Ejected: k.EjectedAt > 0,
			Withdrawn: k.Phase != endpoints.Up || s.Tombstones[k.ID].ID != ""})
	}
	for _, p := range s.Purges { // those still in force; what came since is told by the bulletin
		issued := time.UnixMilli(p.IssuedAt)
		if purges.Retention > now.Sub(issued) {
			purges.Record(p.Object, p.Group, issued)
			m.dispatcher.Tick(nil, false, []dispatch.Purge{{Object: p.Object, Group: p.Group, IssuedAt: issued}})
		}
	}
	if len(rows) == 0 {
		return 0
	}
	m.mu.Lock()
	m.tracker, m.rows = book, rows
	list := m.assessedRows(book.Changes())
	by, _, _ := book.Count()
	m.mu.Unlock()
	m.dispatcher.RestoreEndpoints(list)
	m.dispatcher.ObserveOutcomes(m.observe)
	m.env.Log().Warn("from_list", "caches", len(rows), "age_ms", age.Milliseconds(), "trusted", by[freshness.Confirmed], "on_trial",
		by[freshness.OnProbation], "doubted", by[freshness.Suspect], "barred", by[freshness.Excluded], "bulletin", s.DiscoveryAddr, "last", s.LastEvent)
	return len(rows)
}

// assessedRows is the rows of verdicts, under the lock.
func (m *Reconciler) assessedRows(all []freshness.Assessment) (list []policy.Endpoint) {
	for _, v := range all {
		row := m.rows[v.ID]
		switch {
		case v.Confidence == freshness.Excluded:
			row.State = policy.Gone
		case row.Kind == m.settings.Router.OriginKind: // there is no other
		case v.Confidence == freshness.Suspect:
			row.Confidence = policy.Suspect
		default:
			row.Confidence = policy.OnProbation
		}
		if row.Confidence != policy.Confirmed && v.Confidence != freshness.Confirmed {
			row.StartedAt = m.startedAt.UnixMicro()
			if row.Kind == m.settings.Router.ParentKind {
				row.StartedAt += parentStartDelay.Microseconds()
			}
		}
		list = append(list, row)
	}
	return list
}

// observe is told of each send's ending, under the facade's lock.
func (m *Reconciler) observe(to, source *policy.Cache, how policy.AttemptOutcome, remark policy.OutcomeDetail) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker == nil {
		return
	}
	now := m.env.Now()
	switch {
	case how == policy.OutcomeConnectFailed || how == policy.OutcomeReset:
		m.tracker.Observe(to.Name, freshness.Failure, now)
	case how == policy.OutcomeSatisfied && (remark == policy.DetailHit || remark == policy.DetailStale):
		m.tracker.Observe(to.Name, freshness.Hit, now)
	case how == policy.OutcomeSatisfied && remark != policy.DetailNone || how == policy.OutcomeMiss:
		m.tracker.Observe(to.Name, freshness.Miss, now)
	case how == policy.OutcomeSatisfied || how == policy.OutcomeError || how == policy.OutcomeRejected:
		m.tracker.Observe(to.Name, freshness.Response, now)
	}
	if source == to {
		return
	}
	switch {
	case how == policy.OutcomeSatisfied && remark == policy.DetailFilled:
		m.tracker.Observe(source.Name, freshness.Hit, now)
	case how == policy.OutcomeSatisfied && remark == policy.DetailFilledFromOrigin:
		m.tracker.Observe(source.Name, freshness.Miss, now)
	case remark == policy.DetailSourceRefused || remark == policy.DetailSourceBroke:
		m.tracker.Observe(source.Name, freshness.Failure, now)
	}
}

// KeepDraining changes rows that an event of a bulletin tells as up although the list knows that they drain: a list is newer
// than a bulletin that is behind it. Events past the list's last number count as told, and so does a later start.
// A whole list ends the time of the kept one before the router hears of it, so that the kept one is never told after it.
func (m *Reconciler) KeepDraining(no int64, isWhole bool, ids []string, rows []policy.Endpoint) {
	if m == nil {
		return
	}
	if isWhole {
		m.discard(ids)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, id := range ids {
		b := m.knownDrains[id]
		switch {
		case b == nil:
		case no > m.lastEvent || rows[i].State != policy.Ready || rows[i].StartedAt > b.tombstone.At*1000 || m.drainsExpired():
			delete(m.knownDrains, id)
		default:
			row := rows[i]
			b.latest = &row
			rows[i].State = policy.Draining
		}
	}
}

func (m *Reconciler) drainsExpired() bool { return m.env.Now().Sub(m.startedAt) >= drainHold }

// discard lays the kept list aside.
func (m *Reconciler) discard(told []string) {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	m.mu.Lock()
	book, rows := m.tracker, m.rows
	m.tracker, m.rows = nil, nil
	m.mu.Unlock()
	if book == nil {
		return
	}
	m.dispatcher.ObserveOutcomes(nil)
	both := 0
	for _, id := range told {
		if _, ok := rows[id]; ok {
			both++
		}
	}
	_, right, wrong := book.Count()
	m.env.Log().Warn("from_bulletin", "after_ms", m.env.Now().Sub(m.startedAt).Milliseconds(), "told", len(told), "listed", len(rows), "in_both", both,
		"right", right, "wrong", wrong)
}

// Apply takes what a bulletin has told, once the router knows it.
func (m *Reconciler) Apply(c endpoints.Update) {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.regressions = 0
	m.mu.Unlock()
	m.snapshotter.Apply(c)
}

// ObserveEventNumber takes a number that a bulletin tells beside events, and the last one held. True: it began anew, and is to be
// asked from the start.
func (m *Reconciler) ObserveEventNumber(no, held int64) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	if no < held {
		m.regressions++
	} else {
		m.regressions = 0
	}
	anew := m.regressions >= maxRegressions
	if anew {
		m.regressions = 0
	}
	m.mu.Unlock()
	if no == held {
		m.snapshotter.MarkCurrent()
	}
	return anew
}

// Run follows what entries prove to be, lets bars go when their time is over, and learns which caches are out.
func (m *Reconciler) Run(life *env.Lifetime) error {
	end := m.env.NewNotifier()
	defer life.OnEnd(end.Notify)()
	learnt := m.env.Now()
	for !end.Wait(m.reviewDelay()) {
		m.publishChanges()
		m.mu.Lock()
		var free []policy.Endpoint
		if m.drainsExpired() {
			for _, b := range m.knownDrains {
				if b.latest != nil {
					free = append(free, *b.latest)
				}
			}
			m.knownDrains = nil
		}
		m.mu.Unlock()
		if len(free) > 0 {
			slices.SortFunc(free, func(a, b policy.Endpoint) int { return cmp.Compare(a.Cache.Name, b.Cache.Name) })
			m.dispatcher.Tick(free, false, nil)
		}
		if now := m.env.Now(); now.Sub(learnt) >= healthInterval {
			m.snapshotter.UpdateHealth(m.dispatcher.Health(learnt))
			learnt = now
		}
	}
	return nil
}

// publishChanges tells the router what has changed of the kept list, unless the bulletin has spoken.
func (m *Reconciler) publishChanges() {
	m.listMu.Lock()
	defer m.listMu.Unlock()
	m.mu.Lock()
	var list []policy.Endpoint
	if m.tracker != nil {
		list = m.assessedRows(m.tracker.Changes())
	}
	m.mu.Unlock()
	if len(list) > 0 {
		m.dispatcher.Tick(list, false, nil)
	}
}

func (m *Reconciler) reviewDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker != nil {
		return reviewInterval
	}
	return healthInterval
}

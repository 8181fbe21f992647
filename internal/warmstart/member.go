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

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/freshness"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
)

const (
	lookEvery  = 100 * time.Millisecond // at what entries proved to be
	learnEvery = 5 * time.Second        // of which caches are out, for the list
	// A parent not found warm counts as started so long after this process: it bears little for longest, and one large fill
	// staked by each gateway at once weighs most there.
	parentBy = 2 * time.Second
	// A drain in the list holds for so long from the start against a bulletin that may be behind it; then that one's word counts.
	barFor = 10 * time.Minute
	// Numbers told so often in a row as lower than the one held are those of a bulletin that began anew.
	restartAfter = 3
)

// Members is the list while it may be in doubt. A nil one takes what it is told and does nothing, as on the platform.
type Members struct {
	g      env.Ground
	terms  *settings.Settings
	router *dispatch.Dispatcher
	caches *memory.Caches
	keep   *snapshot.Keeper

	listing sync.Mutex // held while the kept list is told to the router, or laid aside

	mu    sync.Mutex
	rows  map[string]policy.Endpoint // of the list, while it stands for the bulletin
	book  *freshness.Book            // nil once the bulletin has spoken
	began time.Time                  // the start
	bars  map[string]*bar
	last  int64 // number of the last event in the list
	lower int
}

// bar is a cache that the list knows to drain or to be gone.
type bar struct {
	tomb endpoints.Tomb
	row  *policy.Endpoint // as the bulletin told it meanwhile
}

// New makes members over an open list.
func New(g env.Ground, terms *settings.Settings, router *dispatch.Dispatcher, caches *memory.Caches, keep *snapshot.Keeper) *Members {
	m := &Members{g: g, terms: terms, router: router, caches: caches, keep: keep, bars: map[string]*bar{}}
	s := keep.State()
	m.last = s.Last
	m.began = g.Now()
	for _, t := range s.SortedTombs() {
		m.bars[t.ID] = &bar{tomb: t}
	}
	return m
}

// Start lists to the router what the kept list is worth, and tells how many entries there are; 0: there is no list.
func (m *Members) Start(purges *memory.Purges) int {
	s := m.keep.State()
	now := m.g.Now()
	age := now.Sub(time.UnixMilli(s.Stood))
	if s.Stood == 0 {
		age = now.Sub(time.UnixMilli(s.At)) // of an operator's file alone
	}
	book, rows := freshness.NewBook(freshness.List{Hours: s.Hours, Departed: s.Departed}, now), map[string]policy.Endpoint{}
	for _, k := range s.Sorted() {
		row := policy.Endpoint{Cell: k.Cell, Weight: k.Size, Zone: slices.Index(m.terms.Zones, k.Zone),
			Kind: slices.Index(m.terms.MachineTypes, k.Machine)}
		if row.Zone < 0 || row.Kind < 0 {
			continue // of other settings
		}
		row.Cache = m.caches.Note(k.ID, k.Addr).Its
		rows[k.ID] = row
		book.Enter(k.ID, row.Kind == m.terms.Router.ParentKind, freshness.Entry{Age: age, Imported: k.Source == endpoints.Imported, Ill: k.Ill > 0,
			Left: k.Phase != endpoints.Up || s.Tombs[k.ID].ID != ""})
	}
	for _, p := range s.Purges { // those still in force; what came since is told by the bulletin
		issued := time.UnixMilli(p.Issued)
		if purges.Keep > now.Sub(issued) {
			purges.Note(p.Object, p.Group, issued)
			m.router.Tick(nil, false, []dispatch.Purge{{Object: p.Object, Group: p.Group, IssuedAt: issued}})
		}
	}
	if len(rows) == 0 {
		return 0
	}
	m.mu.Lock()
	m.book, m.rows = book, rows
	list := m.list(book.Verdicts())
	by, _, _ := book.Count()
	m.mu.Unlock()
	m.router.RestoreEndpoints(list)
	m.router.ObserveOutcomes(m.saw)
	m.g.Log().Warn("from_list", "caches", len(rows), "age_ms", age.Milliseconds(), "trusted", by[freshness.Trusted], "on_trial",
		by[freshness.OnTrial], "doubted", by[freshness.Doubted], "barred", by[freshness.Barred], "bulletin", s.Bulletin, "last", s.Last)
	return len(rows)
}

// list is the rows of verdicts, under the lock.
func (m *Members) list(all []freshness.Verdict) (list []policy.Endpoint) {
	for _, v := range all {
		row := m.rows[v.ID]
		switch {
		case v.Standing == freshness.Barred:
			row.State = policy.Gone
		case row.Kind == m.terms.Router.OriginKind: // there is no other
		case v.Standing == freshness.Doubted:
			row.Confidence = policy.Suspect
		default:
			row.Confidence = policy.OnProbation
		}
		if row.Confidence != policy.Confirmed && v.Standing != freshness.Trusted {
			row.StartedAt = m.began.UnixMicro()
			if row.Kind == m.terms.Router.ParentKind {
				row.StartedAt += parentBy.Microseconds()
			}
		}
		list = append(list, row)
	}
	return list
}

// saw is told of each send's ending, under the facade's lock.
func (m *Members) saw(to, source *policy.Cache, how policy.AttemptOutcome, remark policy.OutcomeDetail) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.book == nil {
		return
	}
	now := m.g.Now()
	switch {
	case how == policy.OutcomeConnectFailed || how == policy.OutcomeReset:
		m.book.Saw(to.Name, freshness.Broken, now)
	case how == policy.OutcomeSatisfied && (remark == policy.DetailHit || remark == policy.DetailStale):
		m.book.Saw(to.Name, freshness.Found, now)
	case how == policy.OutcomeSatisfied && remark != policy.DetailNone || how == policy.OutcomeMiss:
		m.book.Saw(to.Name, freshness.Fetched, now)
	case how == policy.OutcomeSatisfied || how == policy.OutcomeError || how == policy.OutcomeRejected:
		m.book.Saw(to.Name, freshness.Word, now)
	}
	if source == to {
		return
	}
	switch {
	case how == policy.OutcomeSatisfied && remark == policy.DetailFilled:
		m.book.Saw(source.Name, freshness.Found, now)
	case how == policy.OutcomeSatisfied && remark == policy.DetailFilledFromOrigin:
		m.book.Saw(source.Name, freshness.Fetched, now)
	case remark == policy.DetailSourceRefused || remark == policy.DetailSourceBroke:
		m.book.Saw(source.Name, freshness.Broken, now)
	}
}

// Hold changes rows that an event of a bulletin tells as up although the list knows that they drain: a list is newer
// than a bulletin that is behind it. Events past the list's last number count as told, and so does a later start.
// A whole list ends the time of the kept one before the router hears of it, so that the kept one is never told after it.
func (m *Members) Hold(no int64, isWhole bool, ids []string, rows []policy.Endpoint) {
	if m == nil {
		return
	}
	if isWhole {
		m.finish(ids)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, id := range ids {
		b := m.bars[id]
		switch {
		case b == nil:
		case no > m.last || rows[i].State != policy.Ready || rows[i].StartedAt > b.tomb.At*1000 || m.unbarred():
			delete(m.bars, id)
		default:
			row := rows[i]
			b.row = &row
			rows[i].State = policy.Draining
		}
	}
}

func (m *Members) unbarred() bool { return m.g.Now().Sub(m.began) >= barFor }

// finish lays the kept list aside.
func (m *Members) finish(told []string) {
	m.listing.Lock()
	defer m.listing.Unlock()
	m.mu.Lock()
	book, rows := m.book, m.rows
	m.book, m.rows = nil, nil
	m.mu.Unlock()
	if book == nil {
		return
	}
	m.router.ObserveOutcomes(nil)
	both := 0
	for _, id := range told {
		if _, ok := rows[id]; ok {
			both++
		}
	}
	_, right, wrong := book.Count()
	m.g.Log().Warn("from_bulletin", "after_ms", m.g.Now().Sub(m.began).Milliseconds(), "told", len(told), "listed", len(rows), "in_both", both,
		"right", right, "wrong", wrong)
}

// Told takes what a bulletin has told, once the router knows it.
func (m *Members) Told(c endpoints.Change) {
	if m == nil {
		return
	}
	m.mu.Lock()
	m.lower = 0
	m.mu.Unlock()
	m.keep.Told(c)
}

// Stands takes a number that a bulletin tells beside events, and the last one held. True: it began anew, and is to be
// asked from the start.
func (m *Members) Stands(no, held int64) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	if no < held {
		m.lower++
	} else {
		m.lower = 0
	}
	anew := m.lower >= restartAfter
	if anew {
		m.lower = 0
	}
	m.mu.Unlock()
	if no == held {
		m.keep.Stands()
	}
	return anew
}

// Run follows what entries prove to be, lets bars go when their time is over, and learns which caches are out.
func (m *Members) Run(life *env.Life) error {
	end := m.g.Bell()
	defer life.OnEnd(end.Ring)()
	learnt := m.g.Now()
	for !end.Wait(m.pause()) {
		m.relist()
		m.mu.Lock()
		var free []policy.Endpoint
		if m.unbarred() {
			for _, b := range m.bars {
				if b.row != nil {
					free = append(free, *b.row)
				}
			}
			m.bars = nil
		}
		m.mu.Unlock()
		if len(free) > 0 {
			slices.SortFunc(free, func(a, b policy.Endpoint) int { return cmp.Compare(a.Cache.Name, b.Cache.Name) })
			m.router.Tick(free, false, nil)
		}
		if now := m.g.Now(); now.Sub(learnt) >= learnEvery {
			m.keep.Learnt(m.router.Health(learnt))
			learnt = now
		}
	}
	return nil
}

// relist tells the router what has changed of the kept list, unless the bulletin has spoken.
func (m *Members) relist() {
	m.listing.Lock()
	defer m.listing.Unlock()
	m.mu.Lock()
	var list []policy.Endpoint
	if m.book != nil {
		list = m.list(m.book.Verdicts())
	}
	m.mu.Unlock()
	if len(list) > 0 {
		m.router.Tick(list, false, nil)
	}
}

func (m *Members) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.book != nil {
		return lookEvery
	}
	return learnEvery
}

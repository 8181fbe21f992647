// Package rollout puts routes, pools and limits in force: it holds the changes of their configuration (package config/change), the views
// that lookups are decided under (route/pools) and the limits (package limit), and keeps each step on disk. What lookups ask is one
// pointer; a lookup is decided under the one version that it found there, whole, and carries its number.
//
// The pure parts decide: which step a change may take, which route a lookup has, what a limit refuses. This package brings them the time,
// the list of caches and the disk. One lock, never held over a write: a step counts once it is on disk (it is put in force after that), so
// that a restart never finds less than was in force as confirmed. Owner: the process. Bounds: those of change, pools and limit; two views.
package rollout

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/limit"
	"foldslip/internal/policy"
	"foldslip/internal/route/pools"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

const (
	logName      = "routes" // of the record's files
	maxLogBytes  = 8 << 20  // bytes of a generation, past which a snapshot is made
	tickInterval = 100 * time.Millisecond
	bytesPerKB   = 1000
)

// Controller is the routes in force.
type Controller struct {
	env       env.Environment
	kinds     []string
	stepMu    sync.Mutex // held over a whole step, its write included: steps come one after the other
	mu        sync.Mutex // of what follows; never held over a write
	endpoints map[string]pools.Cache
	versions  *change.Versions
	tables    map[uint64]*pools.Table // of the versions in force or under way
	limits    *limit.Set
	guard     *change.Guard
	log       *wal.Log // nil: nothing is kept
	active    atomic.Pointer[activeViews]
}

// activeViews is what lookups are decided under at one time; it never changes.
type activeViews struct {
	change.Active
	base, next *pools.View
}

// Open begins with the routes that the record holds, or without one with the first configuration. disk may be nil: nothing is kept.
func Open(g env.Environment, disk env.Directory, first pools.Config, kinds []string) (*Controller, error) {
	s := &Controller{env: g, kinds: kinds, guard: change.NewGuard(g.Now(), change.DefaultGuardLimits), endpoints: map[string]pools.Cache{}, tables: map[uint64]*pools.Table{}}
	text, err := json.Marshal(first)
	if err != nil {
		return nil, err
	}
	begin := func() change.Step {
		var step change.Step
		s.versions, step = change.New(text, "settings")
		return step
	}
	if disk == nil {
		begin()
	} else {
		var kept wal.Contents
		if s.log, kept, err = wal.Open(disk, logName); err != nil {
			return nil, fmt.Errorf("the record of routes: %w", err)
		}
		if err := s.restore(kept, begin); err != nil {
			s.log.Close()
			return nil, err
		}
	}
	if err := s.activate(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// restore reads the record; what was under way is undone, and a generation of its own begins.
func (s *Controller) restore(kept wal.Contents, begin func() change.Step) error {
	var steps []change.Step
	if kept.Snapshot != nil {
		if err := cbor.Unmarshal(kept.Snapshot, &steps); err != nil {
			return fmt.Errorf("the record of routes: %w", err)
		}
	}
	for _, c := range kept.Changes {
		var step change.Step
		if err := cbor.Unmarshal(c, &step); err != nil {
			return fmt.Errorf("the record of routes: %w", err)
		}
		steps = append(steps, step)
	}
	if len(steps) == 0 {
		begin()
	} else {
		var more []change.Step
		var err error
		if s.versions, more, err = change.Recover(steps); err != nil {
			return err
		}
		for _, m := range more {
			s.env.Log().Warn("routes_undone", "version", m.Version, "reason", m.Reason)
		}
	}
	return s.writeSnapshot()
}

func (s *Controller) writeSnapshot() error {
	text, err := cbor.Marshal(s.versions.Snapshot())
	if err != nil {
		return err
	}
	return s.log.WriteSnapshot(text)
}

// Close ends the record.
func (s *Controller) Close() {
	if s.log != nil {
		s.log.Close()
	}
}

// SetGuardLimits sets what undoes a change by itself; before Run.
func (s *Controller) SetGuardLimits(g change.GuardLimits) { s.guard = change.NewGuard(s.env.Now(), g) }

// UpdateEndpoints is word of the bulletin, before the router has it.
func (s *Controller) UpdateEndpoints(c endpoints.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Complete {
		clear(s.endpoints)
	}
	for _, r := range c.Endpoints {
		if r.Phase == endpoints.Removed {
			delete(s.endpoints, r.ID)
			continue
		}
		s.endpoints[r.ID] = pools.Cache{Name: r.ID, Location: r.Zone, Labels: []string{r.MachineType, fmt.Sprint("cell-", r.Cell)}, IsSource: r.MachineType != "edge",
			IsDraining: r.Phase == endpoints.Draining}
	}
	if len(c.Endpoints) > 0 || c.Complete {
		s.rebuildViews()
	}
}

func (s *Controller) sortedCaches() []pools.Cache {
	all := make([]pools.Cache, 0, len(s.endpoints))
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		all = append(all, s.endpoints[id])
	}
	return all
}

// rebuildViews makes what lookups are decided under anew, under the lock.
func (s *Controller) rebuildViews() {
	f := &activeViews{Active: s.versions.Active()}
	all := s.sortedCaches()
	f.base = s.tables[f.Base].View(f.Base, all)
	if f.Next != 0 {
		f.next = s.tables[f.Next].View(f.Next, all)
	}
	s.active.Store(f)
}

// activate puts in force what the changes say, under the lock or before anyone else has s.
func (s *Controller) activate() error {
	f := s.versions.Active()
	for _, no := range []uint64{f.Base, f.Next} {
		if no == 0 || s.tables[no] != nil {
			continue
		}
		t, faults, err := s.compile(s.versions.Text(no))
		if err != nil {
			return err
		}
		if t == nil {
			return fmt.Errorf("version %d of the routes cannot be used: %s: %s", no, faults[0].Path, faults[0].Text)
		}
		s.tables[no] = t
	}
	maps.DeleteFunc(s.tables, func(no uint64, _ *pools.Table) bool { return no != f.Base && no != f.Next })
	if was := s.active.Load(); s.limits == nil || was == nil || was.Base != f.Base { // a share is staged under the limits of before
		terms := s.tables[f.Base].Limits()
		if s.limits == nil {
			s.limits = limit.NewSet(s.env.Now(), terms)
		} else {
			s.limits = s.limits.Carry(s.env.Now(), terms)
		}
	}
	s.rebuildViews()
	return nil
}

func (s *Controller) compile(text []byte) (*pools.Table, []pools.Problem, error) {
	var c pools.Config
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return nil, nil, change.Error{Text: "the configuration cannot be read: " + err.Error(), Remedy: "see docs/configuration.md"}
	}
	t, faults := pools.Compile(c, s.kinds)
	return t, faults, nil
}

// Ticket is a lookup that was let in, with what it was decided under.
type Ticket struct {
	Version uint64
	pools.Decision
	controller    *Controller
	permits       []*limit.Permit
	limits        []*limit.Limit
	isUnderChange bool // of the side under the change that is watched
}

// Admit decides a lookup's route and lets it in, or says why not and when to come back.
func (s *Controller) Admit(kind, group int, object string, kb float64) (*Ticket, limit.Reason, time.Duration) {
	f := s.active.Load()
	v := f.base
	if f.VersionFor(pools.Hash(object)) != f.Base {
		v = f.next
	}
	p := &Ticket{Version: v.Version, Decision: v.Route(kind, group, object), controller: s, isUnderChange: v != f.base}
	if p.Decision.Route == "" {
		return p, limit.Allowed, 0
	}
	now := s.env.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := p.Tenant
	for _, name := range []string{"tenant " + p.Tenant, "route " + p.Decision.Route, "pool " + p.Decision.Scope.Pool} {
		l := s.limits.Find(name)
		if l == nil {
			continue
		}
		ticket, why, wait := l.Admit(now, tenant, 1, int(min(kb, 1e6)*bytesPerKB))
		if why != limit.Allowed {
			for _, t := range p.permits {
				t.Release(now, false, false)
			}
			s.guard.Observe(now, p.isUnderChange || s.isUnconfirmed(p.Version), change.Outcome{Rejected: true}) // a limit too small is a bad change too
			return nil, why, wait
		}
		p.permits, p.limits = append(p.permits, ticket), append(p.limits, l)
	}
	return p, limit.Allowed, 0
}

// FleetLimits calls f for each limit of the fleet in force; f must not wait.
func (s *Controller) FleetLimits(f func(name string, t limit.Spec, u limit.Usage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.EachFleetWide(func(name string, l *limit.Limit) { f(name, l.Spec(), l.Usage()) })
}

// ApplyLeases puts in force what this gateway may let in of the fleet's limits, by their names.
func (s *Controller) ApplyLeases(leases map[string]limit.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.env.Now()
	shift := time.Until(now) // the ground's clock may be off; leases are told in the machine's
	for name, lease := range leases {
		if l := s.limits.Find(name); l != nil {
			lease.ExpiresAt = lease.ExpiresAt.Add(shift)
			l.SetLease(now, lease)
		}
	}
}

// Scope is what the module may choose from.
func (p *Ticket) Scope() *policy.Scope {
	if p.Decision.Scope == nil {
		return nil
	}
	sc := &policy.Scope{Caches: p.Decision.Scope.Caches, Sources: p.Decision.Scope.Sources, MaxAge: p.MaxAgeMS * 1000}
	if len(p.limits) > 0 {
		sc.AllowRetry = p.allowRetry
	}
	return sc
}

// allowRetry asks each budget for one more send; it comes under the facade's lock.
func (p *Ticket) allowRetry() bool {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	now := p.controller.env.Now()
	for _, l := range p.limits {
		if l.AllowRetry(now) != limit.Allowed {
			return false
		}
	}
	return true
}

// End ends the lookup: satisfied in time, nacked, or late or failed.
func (p *Ticket) End(satisfied, nacked, late bool) {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	now := p.controller.env.Now()
	for _, t := range p.permits {
		t.Release(now, satisfied, nacked || late)
	}
	p.controller.guard.Observe(now, p.isUnderChange || p.controller.isUnconfirmed(p.Version), change.Outcome{Satisfied: satisfied, Rejected: nacked, Late: late})
}

// isUnconfirmed tells whether a version is the one that is in force for all and not confirmed.
func (s *Controller) isUnconfirmed(no uint64) bool {
	f := s.active.Load()
	return f.Base == no && s.versions.Confirmed() != no
}

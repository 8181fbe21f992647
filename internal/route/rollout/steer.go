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
	file       = "routes" // of the record's files
	mostRecord = 8 << 20  // bytes of a generation, past which a snapshot is made
	pace       = 100 * time.Millisecond
	bytesAKB   = 1000
)

// Steer is the routes in force.
type Steer struct {
	g       env.Ground
	kinds   []string
	step    sync.Mutex // held over a whole step, its write included: steps come one after the other
	mu      sync.Mutex // of what follows; never held over a write
	list    map[string]pools.Cache
	changes *change.Changes
	tables  map[uint64]*pools.Table // of the versions in force or under way
	limits  *limit.Set
	guard   *change.Guard
	rec     *wal.Record // nil: nothing is kept
	now     atomic.Pointer[force]
}

// force is what lookups are decided under at one time; it never changes.
type force struct {
	change.Force
	base, next *pools.View
}

// Open begins with the routes that the record holds, or without one with the first configuration. disk may be nil: nothing is kept.
func Open(g env.Ground, disk env.Disk, first pools.Config, kinds []string) (*Steer, error) {
	s := &Steer{g: g, kinds: kinds, guard: change.NewGuard(g.Now(), change.Usual), list: map[string]pools.Cache{}, tables: map[uint64]*pools.Table{}}
	text, err := json.Marshal(first)
	if err != nil {
		return nil, err
	}
	begin := func() change.Step {
		var step change.Step
		s.changes, step = change.New(text, "settings")
		return step
	}
	if disk == nil {
		begin()
	} else {
		var kept wal.Kept
		if s.rec, kept, err = wal.Open(disk, file); err != nil {
			return nil, fmt.Errorf("the record of routes: %w", err)
		}
		if err := s.recover(kept, begin); err != nil {
			s.rec.Close()
			return nil, err
		}
	}
	if err := s.put(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// recover reads the record; what was under way is undone, and a generation of its own begins.
func (s *Steer) recover(kept wal.Kept, begin func() change.Step) error {
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
		if s.changes, more, err = change.Recover(steps); err != nil {
			return err
		}
		for _, m := range more {
			s.g.Log().Warn("routes_undone", "version", m.No, "reason", m.Reason)
		}
	}
	return s.snapshot()
}

func (s *Steer) snapshot() error {
	text, err := cbor.Marshal(s.changes.Snapshot())
	if err != nil {
		return err
	}
	return s.rec.Begin(text)
}

// Close ends the record.
func (s *Steer) Close() {
	if s.rec != nil {
		s.rec.Close()
	}
}

// Guards sets what undoes a change by itself; before Run.
func (s *Steer) Guards(g change.Guards) { s.guard = change.NewGuard(s.g.Now(), g) }

// List is word of the bulletin, before the router has it.
func (s *Steer) List(c endpoints.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Whole {
		clear(s.list)
	}
	for _, r := range c.Rows {
		if r.Phase == endpoints.Gone {
			delete(s.list, r.ID)
			continue
		}
		s.list[r.ID] = pools.Cache{Name: r.ID, Location: r.Zone, Labels: []string{r.Machine, fmt.Sprint("cell-", r.Cell)}, Source: r.Machine != "edge",
			Draining: r.Phase == endpoints.Draining}
	}
	if len(c.Rows) > 0 || c.Whole {
		s.view()
	}
}

func (s *Steer) caches() []pools.Cache {
	all := make([]pools.Cache, 0, len(s.list))
	for _, id := range slices.Sorted(maps.Keys(s.list)) {
		all = append(all, s.list[id])
	}
	return all
}

// view makes what lookups are decided under anew, under the lock.
func (s *Steer) view() {
	f := &force{Force: s.changes.Force()}
	all := s.caches()
	f.base = s.tables[f.Base].See(f.Base, all)
	if f.Next != 0 {
		f.next = s.tables[f.Next].See(f.Next, all)
	}
	s.now.Store(f)
}

// put puts in force what the changes say, under the lock or before anyone else has s.
func (s *Steer) put() error {
	f := s.changes.Force()
	for _, no := range []uint64{f.Base, f.Next} {
		if no == 0 || s.tables[no] != nil {
			continue
		}
		t, faults, err := s.compile(s.changes.Text(no))
		if err != nil {
			return err
		}
		if t == nil {
			return fmt.Errorf("version %d of the routes cannot be used: %s: %s", no, faults[0].Path, faults[0].Text)
		}
		s.tables[no] = t
	}
	maps.DeleteFunc(s.tables, func(no uint64, _ *pools.Table) bool { return no != f.Base && no != f.Next })
	if was := s.now.Load(); s.limits == nil || was == nil || was.Base != f.Base { // a share is staged under the limits of before
		terms := s.tables[f.Base].Limits()
		if s.limits == nil {
			s.limits = limit.NewSet(s.g.Now(), terms)
		} else {
			s.limits = s.limits.Carry(s.g.Now(), terms)
		}
	}
	s.view()
	return nil
}

func (s *Steer) compile(text []byte) (*pools.Table, []pools.Fault, error) {
	var c pools.Config
	d := json.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return nil, nil, change.Fault{Text: "the configuration cannot be read: " + err.Error(), Remedy: "see docs/configuration.md"}
	}
	t, faults := pools.Compile(c, s.kinds)
	return t, faults, nil
}

// Pass is a lookup that was let in, with what it was decided under.
type Pass struct {
	Version uint64
	pools.Decided
	s       *Steer
	tickets []*limit.Ticket
	named   []*limit.Limit
	under   bool // of the side under the change that is watched
}

// Admit decides a lookup's route and lets it in, or says why not and when to come back.
func (s *Steer) Admit(kind, group int, object string, kb float64) (*Pass, limit.Reason, time.Duration) {
	f := s.now.Load()
	v := f.base
	if f.Side(pools.Hash(object)) != f.Base {
		v = f.next
	}
	p := &Pass{Version: v.Version, Decided: v.Route(kind, group, object), s: s, under: v != f.base}
	if p.Decided.Route == "" {
		return p, limit.Allowed, 0
	}
	now := s.g.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	tenant := p.Tenant
	for _, name := range []string{"tenant " + p.Tenant, "route " + p.Decided.Route, "pool " + p.Decided.Scope.Pool} {
		l := s.limits.Of(name)
		if l == nil {
			continue
		}
		ticket, why, wait := l.Enter(now, tenant, 1, int(min(kb, 1e6)*bytesAKB))
		if why != limit.Allowed {
			for _, t := range p.tickets {
				t.Leave(now, false, false)
			}
			s.guard.Saw(now, p.under || s.applied(p.Version), change.Seen{Nacked: true}) // a limit too small is a bad change too
			return nil, why, wait
		}
		p.tickets, p.named = append(p.tickets, ticket), append(p.named, l)
	}
	return p, limit.Allowed, 0
}

// FleetLimits calls f for each limit of the fleet in force; f must not wait.
func (s *Steer) FleetLimits(f func(name string, t limit.Terms, u limit.Use)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.Fleet(func(name string, l *limit.Limit) { f(name, l.Terms(), l.Use()) })
}

// ApplyLeases puts in force what this gateway may let in of the fleet's limits, by their names.
func (s *Steer) ApplyLeases(leases map[string]limit.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.g.Now()
	shift := time.Until(now) // the ground's clock may be off; leases are told in the machine's
	for name, lease := range leases {
		if l := s.limits.Of(name); l != nil {
			lease.Until = lease.Until.Add(shift)
			l.Lease(now, lease)
		}
	}
}

// Scope is what the module may choose from.
func (p *Pass) Scope() *policy.Scope {
	if p.Decided.Scope == nil {
		return nil
	}
	sc := &policy.Scope{Caches: p.Decided.Scope.Caches, Sources: p.Decided.Scope.Sources, MaxAge: p.OldestMS * 1000}
	if len(p.named) > 0 {
		sc.AllowRetry = p.again
	}
	return sc
}

// again asks each budget for one more send; it comes under the facade's lock.
func (p *Pass) again() bool {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	now := p.s.g.Now()
	for _, l := range p.named {
		if l.Further(now) != limit.Allowed {
			return false
		}
	}
	return true
}

// End ends the lookup: satisfied in time, nacked, or late or failed.
func (p *Pass) End(satisfied, nacked, late bool) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	now := p.s.g.Now()
	for _, t := range p.tickets {
		t.Leave(now, satisfied, nacked || late)
	}
	p.s.guard.Saw(now, p.under || p.s.applied(p.Version), change.Seen{Satisfied: satisfied, Nacked: nacked, Late: late})
}

// applied tells whether a version is the one that is in force for all and not confirmed.
func (s *Steer) applied(no uint64) bool {
	f := s.now.Load()
	return f.Base == no && s.changes.Head() != no
}

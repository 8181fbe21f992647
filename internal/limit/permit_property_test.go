package limit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// permitModel is the expected state of a limit under changes, undone changes, leases, admissions and releases in any
// order.
type permitModel struct {
	now      time.Time
	set      *Set
	spec     Spec
	exists   bool // the present configuration has the limit
	lease    Lease
	held     []heldPermit
	released []*Permit
}

// heldPermit is a permit with the largest limit of open lookups in force since its admission.
type heldPermit struct {
	permit  *Permit
	largest int
}

const modelLimit = "pool p"

func newPermitModel() *permitModel {
	now := timeAt(0)
	return &permitModel{now: now, set: NewSet(now, nil)}
}

// inForce returns the limit of open lookups that is in force now.
func (m *permitModel) inForce() int {
	switch {
	case !m.exists || m.spec.MaxOpen <= 0:
		return math.MaxInt
	case !m.spec.FleetWide:
		return m.spec.MaxOpen
	case m.now.Before(m.lease.ExpiresAt):
		return m.lease.Granted.MaxOpen
	}
	return m.lease.Fallback.MaxOpen
}

// change applies a random configuration, in which the limit may be absent.
func (m *permitModel) change(t *rapid.T) {
	wasFleetWide := m.exists && m.spec.FleetWide
	m.exists = rapid.IntRange(0, 4).Draw(t, "exists") > 0
	m.spec = Spec{
		MaxOpen:          rapid.IntRange(0, 5).Draw(t, "open"),
		Adaptive:         rapid.Bool().Draw(t, "adaptive"),
		FleetWide:        rapid.Bool().Draw(t, "fleet"),
		LookupsPerSecond: rapid.SampledFrom([]float64{0, 100, 10000}).Draw(t, "lookups"),
		BytesPerSecond:   rapid.SampledFrom([]float64{0, 1 << 20}).Draw(t, "bytes"),
		RetryRatio:       rapid.SampledFrom([]float64{-1, 0, 0.2}).Draw(t, "retries"),
	}
	specs := map[string]Spec{}
	if m.exists {
		specs[modelLimit] = m.spec
	}
	if !wasFleetWide || !m.exists || !m.spec.FleetWide {
		m.lease = Lease{}
	}
	m.set = m.set.Carry(m.now, specs)
	m.raiseLargest()
}

// setLease sets a random lease if the limit exists and is fleet-wide.
func (m *permitModel) setLease(t *rapid.T) {
	l := m.set.Find(modelLimit)
	if l == nil || !m.spec.FleetWide {
		return
	}
	m.lease = Lease{
		Granted:   Amounts{LookupsPerSecond: 1000, BytesPerSecond: 1 << 20, MaxOpen: rapid.IntRange(0, 5).Draw(t, "granted")},
		Fallback:  Amounts{LookupsPerSecond: 1000, BytesPerSecond: 1 << 20, MaxOpen: rapid.IntRange(0, 2).Draw(t, "fallback")},
		ExpiresAt: m.now.Add(100 * time.Millisecond),
	}
	l.SetLease(m.now, m.lease)
	m.raiseLargest()
}

// raiseLargest updates the largest limit of each held permit.
func (m *permitModel) raiseLargest() {
	for i := range m.held {
		m.held[i].largest = max(m.held[i].largest, m.inForce())
	}
}

// admit requests admission for a lookup and checks the result against the limit in force.
func (m *permitModel) admit(t *rapid.T) {
	l := m.set.Find(modelLimit)
	if l == nil {
		return
	}
	permit, reason, retryAfter := l.Admit(m.now, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant"), 1, 10)
	switch {
	case reason != Allowed && retryAfter <= 0:
		t.Fatalf("rejected with %q without a retry-after", reason)
	case reason != Allowed:
		return
	case len(m.held) >= m.inForce():
		t.Fatalf("a lookup was admitted with %d open and a limit of %d", len(m.held), m.inForce())
	}
	m.held = append(m.held, heldPermit{permit, m.inForce()})
}

// release releases a random held permit.
func (m *permitModel) release(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "permit")
	m.held[i].permit.Release(m.now, rapid.Bool().Draw(t, "success"), rapid.Bool().Draw(t, "overload"))
	m.released = append(m.released, m.held[i].permit)
	m.held = append(m.held[:i], m.held[i+1:]...)
}

// releaseAgain releases a permit a second time, which must have no effect.
func (m *permitModel) releaseAgain(t *rapid.T) {
	if len(m.released) > 0 {
		rapid.SampledFrom(m.released).Draw(t, "released").Release(m.now, true, true)
	}
}

// check compares the limit's count of open lookups with the held permits and their limits.
func (m *permitModel) check(t *rapid.T) {
	l := m.set.Find(modelLimit)
	if l != nil && l.Open() != len(m.held) {
		t.Fatalf("%d lookups are counted as open, but %d permits are held", l.Open(), len(m.held))
	}
	if len(m.held) > 0 && len(m.held) > m.held[0].largest {
		t.Fatalf("%d lookups are open, but the limit was at most %d since the oldest was admitted", len(m.held), m.held[0].largest)
	}
}

// TestPermitsReturnToTheirQuotasUnderAnyChanges guards against permits that are released into quotas other than those
// that admitted them. That can follow changes, undone changes and leases in any order. It shows as a panic, as a
// negative count of open lookups, or as more admitted lookups than the limit allows.
func TestPermitsReturnToTheirQuotasUnderAnyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPermitModel()
		m.change(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			m.raiseLargest()
			switch rapid.IntRange(0, 8).Draw(t, "kind") {
			case 0, 1, 2:
				m.admit(t)
			case 3, 4:
				m.release(t)
			case 5:
				m.change(t)
			case 6:
				m.setLease(t)
			case 7:
				m.releaseAgain(t)
			case 8:
				if l := m.set.Find(modelLimit); l != nil {
					l.AllowRetry(m.now)
				}
			}
			m.check(t)
		}
		m.set = m.set.Carry(m.now, map[string]Spec{modelLimit: {MaxOpen: 3}})
		for _, held := range m.held {
			held.permit.Release(m.now, true, false)
		}
		if open := m.set.Find(modelLimit).Open(); open != 0 {
			t.Fatalf("%d lookups are counted as open after all were released", open)
		}
	})
}

// TestMaxOpenIsRemovedWhileAPermitIsHeld guards against a panic on nil quotas at the release of a permit whose limit no
// longer bounds open lookups.
func TestMaxOpenIsRemovedWhileAPermitIsHeld(t *testing.T) {
	set := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 3}})
	permit, reason, _ := admit(set.Find("p"), 0)
	if reason != Allowed {
		t.Fatalf("reason %q for the first lookup, want it admitted", reason)
	}
	set = set.Carry(timeAt(1), map[string]Spec{"p": {LookupsPerSecond: 3}})
	permit.Release(timeAt(2), true, false)
	if open := set.Find("p").Open(); open != 0 {
		t.Errorf("%d open after the release, want 0", open)
	}
}

// TestAnUndoneChangeOfMaxOpenCountsOpenLookups guards against losing count of an open lookup when a change removes the
// limit or its MaxOpen and is then undone. Such a loss led to a count of -1, and to a fourth lookup admitted under a
// limit of 3.
func TestAnUndoneChangeOfMaxOpenCountsOpenLookups(t *testing.T) {
	limited := map[string]Spec{"p": {MaxOpen: 3}}
	for name, without := range map[string]map[string]Spec{
		"limit without MaxOpen": {"p": {LookupsPerSecond: 3}},
		"limit removed":         {},
		"limit made fleet-wide": {"p": {MaxOpen: 3, FleetWide: true}},
		"limit renamed":         {"q": {}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSet(timeAt(0), limited)
			held, _, _ := admit(s.Find("p"), 0)
			s = s.Carry(timeAt(1), without).Carry(timeAt(2), without).Carry(timeAt(3), limited)
			if open := s.Find("p").Open(); open != 1 {
				t.Errorf("%d open after the change was undone, want 1", open)
			}
			for range 2 {
				if _, reason, _ := admit(s.Find("p"), 4); reason != Allowed {
					t.Fatalf("reason %q with fewer than 3 open, want the lookup admitted", reason)
				}
			}
			if _, reason, _ := admit(s.Find("p"), 4); reason != OpenExceeded {
				t.Errorf("reason %q for a fourth lookup under a limit of 3, want %q", reason, OpenExceeded)
			}
			held.Release(timeAt(5), true, false)
			if open := s.Find("p").Open(); open != 2 {
				t.Errorf("%d open after the release, want 2", open)
			}
		})
	}
}

// TestAnAdaptiveLimitLearnsFromItsOwnLookupsOnly guards against samples of lookups that were admitted by another
// adaptive limit or by a fixed one, and against a second sample from a permit that is released twice.
func TestAnAdaptiveLimitLearnsFromItsOwnLookupsOnly(t *testing.T) {
	adaptive := map[string]Spec{"p": {MaxOpen: 40, Adaptive: true}}
	s := NewSet(timeAt(0), adaptive)
	early, _, _ := admit(s.Find("p"), 0)
	s = s.Carry(timeAt(1), map[string]Spec{"p": {MaxOpen: 40}})
	fixed, _, _ := admit(s.Find("p"), 1)
	s = s.Carry(timeAt(2), adaptive)
	before := *s.Find("p").adaptive
	early.Release(timeAt(100), true, true)
	fixed.Release(timeAt(100), true, true)
	if *s.Find("p").adaptive != before {
		t.Error("the adaptive limit learnt from a lookup that it did not admit")
	}
	own, _, _ := admit(s.Find("p"), 100)
	own.Release(timeAt(200), false, true)
	once := *s.Find("p").adaptive
	own.Release(timeAt(900), false, true)
	if once == before || *s.Find("p").adaptive != once {
		t.Error("the adaptive limit did not learn exactly once from a lookup that it admitted")
	}
}

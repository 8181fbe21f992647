package limit

import (
	"testing"
	"time"
)

// admitted requests so many lookups and returns how many were admitted.
func admitted(t *testing.T, l *Limit, now time.Time, requests int) (n int) {
	t.Helper()
	for range requests {
		if _, reason, retryAfter := l.Admit(now, "t", 1, 0); reason == Allowed {
			n++
		} else if retryAfter <= 0 || retryAfter > time.Minute {
			t.Fatalf("retry after %v", retryAfter)
		}
	}
	return n
}

func TestAFleetLimitAdmitsWhatTheLeaseAllows(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(now, "x", Spec{LookupsPerSecond: 100, MaxOpen: 10, FleetWide: true})
	renewLease := func() {
		l.SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 20, MaxOpen: 100}, Fallback: Amounts{LookupsPerSecond: 4, MaxOpen: 100},
			ExpiresAt: now.Add(3 * time.Second)})
	}
	if admitted(t, l, now, 5) != 0 {
		t.Error("something is admitted before there is a lease")
	}
	renewLease()
	if admitted(t, l, now, 5) != 0 {
		t.Error("a lease begins with a burst: a process before may have had it")
	}
	now = now.Add(250 * time.Millisecond)
	if n := admitted(t, l, now, 50); n != 5 {
		t.Errorf("%d of 5 in a quarter second", n)
	}
	renewLease()
	now = now.Add(time.Hour) // it stood still past its lease, and a lookup comes before another
	if n := admitted(t, l, now, 50); n != 2 {
		t.Errorf("%d were admitted after the lease, not the burst of its fallback", n)
	}
	if usage := l.Usage(); usage.RequestedLookups != 110 || usage.AdmittedLookups != 7 {
		t.Errorf("%+v", usage)
	}
}

func TestOpenLookupsOfAFleetLimitFollowTheLease(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(now, "x", Spec{MaxOpen: 10, FleetWide: true})
	l.SetLease(now, Lease{Granted: Amounts{MaxOpen: 2}, ExpiresAt: now.Add(time.Second)})
	first, _, _ := l.Admit(now, "t", 1, 0)
	second, _, _ := l.Admit(now, "t", 1, 0)
	if _, reason, _ := l.Admit(now, "t", 1, 0); first == nil || second == nil || reason != OpenExceeded {
		t.Errorf("%v %v %v", first, second, reason)
	}
	now = now.Add(2 * time.Second)
	first.Release(now, true, false)
	if _, reason, _ := l.Admit(now, "t", 1, 0); reason != OpenExceeded {
		t.Error("a lookup is admitted after the lease")
	}
}

func TestALimitBecomesFleetWideAndBackWithoutARefill(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSet(now, map[string]Spec{"x": {LookupsPerSecond: 100}})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true}})
	if _, reason, _ := s.Find("x").Admit(now, "t", 1, 0); reason != LookupRateExceeded {
		t.Error("admitted before a lease")
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true, BytesPerSecond: 1000}})
	s.Find("x").SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 50, BytesPerSecond: 500}, ExpiresAt: now.Add(time.Minute)})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 200, FleetWide: true}})
	now = now.Add(100 * time.Millisecond)
	if _, reason, _ := s.Find("x").Admit(now, "t", 1, 0); reason != Allowed {
		t.Error("the lease is lost with a change of the limit", reason)
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 10}})
	if s.Find("x").Spec().FleetWide {
		t.Error("still the fleet's")
	}
}

// TestAFleetWideLimitBecomesLocalWithoutABurst guards against a full bucket where a limit of the fleet without a lease becomes this gateway's.
func TestAFleetWideLimitBecomesLocalWithoutABurst(t *testing.T) {
	s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10, FleetWide: true}})
	s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
	if _, reason, _ := admit(s.Find("p"), 0); reason != LookupRateExceeded {
		t.Error("a bucket that was empty is full after the change")
	}
	if _, reason, _ := admit(s.Find("p"), 100); reason != Allowed {
		t.Error(reason)
	}
}

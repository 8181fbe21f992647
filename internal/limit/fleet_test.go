package limit

import (
	"testing"
	"time"
)

// admitted requests the given number of lookups and returns the number admitted. Each rejection must come with a
// retry-after of at most a minute.
func admitted(t *testing.T, l *Limit, now time.Time, requests int) (n int) {
	t.Helper()
	for range requests {
		if _, reason, retryAfter := l.Admit(now, "t", 1, 0); reason == Allowed {
			n++
		} else if retryAfter <= 0 || retryAfter > time.Minute {
			t.Fatalf("rejected with a retry-after of %v, want more than 0 and at most 1m", retryAfter)
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
		t.Error("lookups were admitted before the first lease")
	}
	renewLease()
	if admitted(t, l, now, 5) != 0 {
		t.Error("the first lease admitted a burst, which an earlier process of this gateway may have used already")
	}
	now = now.Add(250 * time.Millisecond)
	if n := admitted(t, l, now, 50); n != 5 {
		t.Errorf("%d lookups were admitted in 250 ms, want 5", n)
	}
	renewLease()
	now = now.Add(time.Hour) // the process was paused past its lease, and a lookup arrives before the next lease
	if n := admitted(t, l, now, 50); n != 2 {
		t.Errorf("%d lookups were admitted after the lease expired, want the fallback's burst of 2", n)
	}
	if usage := l.Usage(); usage.RequestedLookups != 110 || usage.AdmittedLookups != 7 {
		t.Errorf("usage %+v, want 110 lookups requested and 7 admitted", usage)
	}
}

func TestOpenLookupsOfAFleetLimitFollowTheLease(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(now, "x", Spec{MaxOpen: 10, FleetWide: true})
	l.SetLease(now, Lease{Granted: Amounts{MaxOpen: 2}, ExpiresAt: now.Add(time.Second)})
	first, _, _ := l.Admit(now, "t", 1, 0)
	second, _, _ := l.Admit(now, "t", 1, 0)
	if _, reason, _ := l.Admit(now, "t", 1, 0); first == nil || second == nil || reason != OpenExceeded {
		t.Errorf("permits %v and %v, reason %q; want two permits and a third lookup rejected with %q",
			first, second, reason, OpenExceeded)
	}
	now = now.Add(2 * time.Second)
	first.Release(now, true, false)
	if _, reason, _ := l.Admit(now, "t", 1, 0); reason != OpenExceeded {
		t.Errorf("reason %q after the lease expired, want %q", reason, OpenExceeded)
	}
}

func TestALimitBecomesFleetWideAndBackWithoutARefill(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSet(now, map[string]Spec{"x": {LookupsPerSecond: 100}})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true}})
	if _, reason, _ := s.Find("x").Admit(now, "t", 1, 0); reason != LookupRateExceeded {
		t.Errorf("reason %q before the first lease, want %q", reason, LookupRateExceeded)
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true, BytesPerSecond: 1000}})
	s.Find("x").SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 50, BytesPerSecond: 500}, ExpiresAt: now.Add(time.Minute)})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 200, FleetWide: true}})
	now = now.Add(100 * time.Millisecond)
	if _, reason, _ := s.Find("x").Admit(now, "t", 1, 0); reason != Allowed {
		t.Errorf("reason %q after a change of the limit, want the lease to stay in force", reason)
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 10}})
	if s.Find("x").Spec().FleetWide {
		t.Error("the limit is still fleet-wide")
	}
}

// TestAFleetWideLimitBecomesLocalWithoutABurst guards against a full token bucket after a fleet-wide limit that never had
// a lease becomes a limit of this gateway alone.
func TestAFleetWideLimitBecomesLocalWithoutABurst(t *testing.T) {
	s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10, FleetWide: true}})
	s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
	if _, reason, _ := admit(s.Find("p"), 0); reason != LookupRateExceeded {
		t.Errorf("reason %q, want %q: the bucket was empty before the change", reason, LookupRateExceeded)
	}
	if _, reason, _ := admit(s.Find("p"), 100); reason != Allowed {
		t.Errorf("reason %q after 100 ms, want the lookup admitted", reason)
	}
}

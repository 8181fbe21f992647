package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func timeAt(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// admit requests admission for a lookup of 100 bytes.
func admit(l *Limit, ms int) (*Permit, Reason, time.Duration) {
	return l.Admit(timeAt(ms), "t", 1, 100)
}

func TestLimit(t *testing.T) {
	t.Run("lookups above the rate are rejected and admitted after the retry-after", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{LookupsPerSecond: 10})
		for range 5 {
			if _, reason, _ := admit(l, 0); reason != Allowed {
				t.Fatalf("reason %q within the burst, want the lookup admitted", reason)
			}
		}
		_, reason, retryAfter := admit(l, 0)
		if reason != LookupRateExceeded || retryAfter != 100*time.Millisecond {
			t.Fatalf("reason %q, retry-after %v; want %q and 100ms", reason, retryAfter, LookupRateExceeded)
		}
		if _, reason, _ := admit(l, 100); reason != Allowed {
			t.Errorf("reason %q after the retry-after, want the lookup admitted", reason)
		}
	})
	t.Run("a lookup above the byte rate uses no open lookup and no lookup of the rate", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{BytesPerSecond: 1 << 22, MaxOpen: 1, LookupsPerSecond: 100})
		permit, reason, _ := l.Admit(timeAt(0), "t", 1, 2<<20)
		if reason != Allowed {
			t.Fatalf("reason %q within the byte burst, want the lookup admitted", reason)
		}
		permit.Release(timeAt(1), true, false)
		if _, reason, retryAfter := l.Admit(timeAt(1), "t", 1, 1<<20); reason != ByteRateExceeded || retryAfter < 200*time.Millisecond || l.Open() != 0 {
			t.Errorf("reason %q, retry-after %v, %d open; want %q, at least 200ms, 0 open",
				reason, retryAfter, l.Open(), ByteRateExceeded)
		}
	})
	t.Run("a second release of a permit has no effect", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{MaxOpen: 1})
		permit, _, _ := admit(l, 0)
		if _, reason, retryAfter := admit(l, 0); reason != OpenExceeded || retryAfter <= 0 {
			t.Errorf("reason %q, retry-after %v; want %q and a positive retry-after", reason, retryAfter, OpenExceeded)
		}
		permit.Release(timeAt(1), true, false)
		permit.Release(timeAt(1), true, false)
		if l.Open() != 0 {
			t.Errorf("%d open after the release, want 0", l.Open())
		}
	})
	t.Run("a negative ratio allows no retry", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{RetryRatio: -1})
		if reason := l.AllowRetry(timeAt(0)); reason != RetriesExceeded || l.Rejections[RetriesExceeded] != 1 {
			t.Errorf("reason %q, %d retries counted as rejected; want %q and 1",
				reason, l.Rejections[RetriesExceeded], RetriesExceeded)
		}
	})
}

func TestCarry(t *testing.T) {
	t.Run("repeated changes refill no token bucket", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
		admitted := 0
		for range 50 {
			for {
				if _, reason, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0); reason != Allowed {
					break
				}
				admitted++
			}
			s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
		}
		if admitted != 5 {
			t.Errorf("%d lookups were admitted, want the burst of 5", admitted)
		}
	})
	t.Run("a larger limit keeps the used proportion of the bucket", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 100}})
		for range 50 {
			s.Find("p").Admit(timeAt(0), "t", 1, 0)
		}
		s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 1000}})
		if _, reason, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0); reason != LookupRateExceeded {
			t.Errorf("reason %q, want %q: the bucket was empty before the change", reason, LookupRateExceeded)
		}
	})
	t.Run("open lookups stay counted under a smaller limit, and a limit with another name starts at zero", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 3}})
		var permits []*Permit
		for range 3 {
			permit, _, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0)
			permits = append(permits, permit)
		}
		s = s.Carry(timeAt(1), map[string]Spec{"p": {MaxOpen: 2}, "q": {MaxOpen: 1}})
		if _, reason, _ := s.Find("p").Admit(timeAt(1), "t", 1, 0); reason != OpenExceeded || s.Find("p").Open() != 3 || s.Find("q").Open() != 0 {
			t.Errorf("reason %q, %d open under p, %d under q; want %q, 3 and 0",
				reason, s.Find("p").Open(), s.Find("q").Open(), OpenExceeded)
		}
		permits[0].Release(timeAt(2), true, false)
		permits[1].Release(timeAt(2), true, false)
		if _, reason, _ := s.Find("p").Admit(timeAt(2), "t", 1, 0); reason != Allowed {
			t.Errorf("reason %q with 1 open of 2, want the lookup admitted", reason)
		}
	})
}

// TestOpenLookupsInAnyOrder applies changes, admissions and releases in a random order. It guards against more open
// lookups than the largest limit so far, and against lookups that stay counted after their release.
func TestOpenLookupsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxOpen, now := 4, 0
		s := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: maxOpen, Adaptive: true, LookupsPerSecond: 1000, RetryRatio: 0.2}})
		var permits []*Permit
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 50).Draw(t, "ms")
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				tenant := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant")
				if permit, reason, retryAfter := s.Find("p").Admit(timeAt(now), tenant, 1, 10); reason == Allowed {
					permits = append(permits, permit)
				} else if retryAfter <= 0 {
					t.Fatalf("rejected with %q and a retry-after of %v, want more than 0", reason, retryAfter)
				}
			case 2:
				if len(permits) > 0 {
					permits[0].Release(timeAt(now), rapid.Bool().Draw(t, "success"), rapid.Bool().Draw(t, "overload"))
					permits = permits[1:]
				}
			case 3:
				n := rapid.IntRange(1, 9).Draw(t, "open")
				maxOpen = max(maxOpen, n)
				s = s.Carry(timeAt(now), map[string]Spec{"p": {MaxOpen: n, Adaptive: rapid.Bool().Draw(t, "adaptive"), LookupsPerSecond: 1000, RetryRatio: 0.2}})
			}
			if s.Find("p").Open() != len(permits) || len(permits) > maxOpen {
				t.Fatalf("%d lookups are open, %d are counted, and %d are allowed", len(permits), s.Find("p").Open(), maxOpen)
			}
		}
		for _, permit := range permits {
			permit.Release(timeAt(now), true, false)
		}
		if s.Find("p").Open() != 0 {
			t.Fatalf("%d lookups are counted as open after all were released", s.Find("p").Open())
		}
	})
}

// BenchmarkAdmit measures the cost of admission and release under a limit of one gateway and under a fleet-wide limit.
func BenchmarkAdmit(b *testing.B) {
	for name, isFleetWide := range map[string]bool{"gateway": false, "fleet": true} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(100, 0)
			l := New(now, "x", Spec{LookupsPerSecond: 1e6, MaxOpen: 1000, FleetWide: isFleetWide})
			l.SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 1e6, MaxOpen: 1000}, ExpiresAt: now.Add(time.Hour)})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Microsecond)
				if permit, _, _ := l.Admit(now, "t", 1, 0); permit != nil {
					permit.Release(now, true, false)
				}
			}
		})
	}
}

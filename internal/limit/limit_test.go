package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func timeAt(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// admit requests a lookup of 100 bytes.
func admit(l *Limit, ms int) (*Permit, Reason, time.Duration) {
	return l.Admit(timeAt(ms), "t", 1, 100)
}

func TestLimit(t *testing.T) {
	t.Run("lookups past their rate are rejected with a retry-after, and admitted then", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{LookupsPerSecond: 10})
		for range 5 {
			if _, reason, _ := admit(l, 0); reason != Allowed {
				t.Fatal(reason)
			}
		}
		_, reason, retryAfter := admit(l, 0)
		if reason != LookupRateExceeded || retryAfter != 100*time.Millisecond {
			t.Fatal(reason, retryAfter)
		}
		if _, reason, _ := admit(l, 100); reason != Allowed {
			t.Error(reason)
		}
	})
	t.Run("bytes past their rate take no open lookup and no lookup of the rate", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{BytesPerSecond: 1 << 22, MaxOpen: 1, LookupsPerSecond: 100})
		permit, reason, _ := l.Admit(timeAt(0), "t", 1, 2<<20)
		if reason != Allowed {
			t.Fatal(reason)
		}
		permit.Release(timeAt(1), true, false)
		if _, reason, retryAfter := l.Admit(timeAt(1), "t", 1, 1<<20); reason != ByteRateExceeded || retryAfter < 200*time.Millisecond || l.Open() != 0 {
			t.Error(reason, retryAfter, l.Open())
		}
	})
	t.Run("a permit is released once", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{MaxOpen: 1})
		permit, _, _ := admit(l, 0)
		if _, reason, retryAfter := admit(l, 0); reason != OpenExceeded || retryAfter <= 0 {
			t.Error(reason, retryAfter)
		}
		permit.Release(timeAt(1), true, false)
		permit.Release(timeAt(1), true, false)
		if l.Open() != 0 {
			t.Error(l.Open())
		}
	})
	t.Run("a ratio below 0 allows no retry", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{RetryRatio: -1})
		if reason := l.AllowRetry(timeAt(0)); reason != RetriesExceeded || l.Rejections[RetriesExceeded] != 1 {
			t.Error(reason)
		}
	})
}

func TestCarry(t *testing.T) {
	t.Run("a change refills no bucket, however often", func(t *testing.T) {
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
			t.Errorf("%d lookups of a burst of 5", admitted)
		}
	})
	t.Run("a larger limit brings its part of what is left, not all", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 100}})
		for range 50 {
			s.Find("p").Admit(timeAt(0), "t", 1, 0)
		}
		s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 1000}})
		if _, reason, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0); reason != LookupRateExceeded {
			t.Error("an empty bucket is full after the change")
		}
	})
	t.Run("open lookups stay open, also past a smaller limit; a limit of another name begins anew", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 3}})
		var permits []*Permit
		for range 3 {
			permit, _, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0)
			permits = append(permits, permit)
		}
		s = s.Carry(timeAt(1), map[string]Spec{"p": {MaxOpen: 2}, "q": {MaxOpen: 1}})
		if _, reason, _ := s.Find("p").Admit(timeAt(1), "t", 1, 0); reason != OpenExceeded || s.Find("p").Open() != 3 || s.Find("q").Open() != 0 {
			t.Error(reason, s.Find("p").Open())
		}
		permits[0].Release(timeAt(2), true, false)
		permits[1].Release(timeAt(2), true, false)
		if _, reason, _ := s.Find("p").Admit(timeAt(2), "t", 1, 0); reason != Allowed {
			t.Error(reason)
		}
	})
}

// Changes, admissions and releases in any order: never more is open than the largest limit that there was, and nothing stays open.
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
					t.Fatal("no retry-after")
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
				t.Fatalf("%d open, %d counted, %d at most", len(permits), s.Find("p").Open(), maxOpen)
			}
		}
		for _, permit := range permits {
			permit.Release(timeAt(now), true, false)
		}
		if s.Find("p").Open() != 0 {
			t.Fatal("something stays open")
		}
	})
}

// The cost of a limit to a lookup, of one gateway and of the fleet.
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

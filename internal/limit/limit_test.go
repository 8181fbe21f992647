package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func timeAt(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestLimit(t *testing.T) {
	enter := func(l *Limit, ms int) (*Permit, Reason, time.Duration) { return l.Admit(timeAt(ms), "t", 1, 100) }
	t.Run("lookups past their rate are told when to come back, and may then", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{LookupsPerSecond: 10})
		for range 5 {
			if _, why, _ := enter(l, 0); why != Allowed {
				t.Fatal(why)
			}
		}
		_, why, wait := enter(l, 0)
		if why != LookupRateExceeded || wait != 100*time.Millisecond {
			t.Fatal(why, wait)
		}
		if _, why, _ := enter(l, 100); why != Allowed {
			t.Error(why)
		}
	})
	t.Run("bytes past their rate take no place and no lookup", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{BytesPerSecond: 1 << 22, MaxOpen: 1, LookupsPerSecond: 100})
		if ticket, why, _ := l.Admit(timeAt(0), "t", 1, 2<<20); why != Allowed {
			t.Fatal(why)
		} else {
			ticket.Release(timeAt(1), true, false)
		}
		if _, why, wait := l.Admit(timeAt(1), "t", 1, 1<<20); why != ByteRateExceeded || wait < 200*time.Millisecond || l.Open() != 0 {
			t.Error(why, wait, l.Open())
		}
	})
	t.Run("places come back once", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{MaxOpen: 1})
		ticket, _, _ := enter(l, 0)
		if _, why, wait := enter(l, 0); why != OpenExceeded || wait <= 0 {
			t.Error(why, wait)
		}
		ticket.Release(timeAt(1), true, false)
		ticket.Release(timeAt(1), true, false)
		if l.Open() != 0 {
			t.Error(l.Open())
		}
	})
	t.Run("no further sends at all", func(t *testing.T) {
		l := New(timeAt(0), "p", Spec{RetryRatio: -1})
		if why := l.AllowRetry(timeAt(0)); why != RetriesExceeded || l.Rejections[RetriesExceeded] != 1 {
			t.Error(why)
		}
	})
}

func TestCarry(t *testing.T) {
	t.Run("a change refills no bucket, however often", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
		got := 0
		for range 50 {
			for {
				if _, why, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0); why != Allowed {
					break
				}
				got++
			}
			s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 10}})
		}
		if got != 5 {
			t.Errorf("%d lookups of a burst of 5", got)
		}
	})
	t.Run("a larger limit brings its part of what is left, not all", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 100}})
		for range 50 {
			s.Find("p").Admit(timeAt(0), "t", 1, 0)
		}
		s = s.Carry(timeAt(0), map[string]Spec{"p": {LookupsPerSecond: 1000}})
		if _, why, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0); why != LookupRateExceeded {
			t.Error("an empty bucket is full after the change")
		}
	})
	t.Run("what is open stays open, also past a smaller limit; a thing of another name begins anew", func(t *testing.T) {
		s := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 3}})
		var in []*Permit
		for range 3 {
			ticket, _, _ := s.Find("p").Admit(timeAt(0), "t", 1, 0)
			in = append(in, ticket)
		}
		s = s.Carry(timeAt(1), map[string]Spec{"p": {MaxOpen: 2}, "q": {MaxOpen: 1}})
		if _, why, _ := s.Find("p").Admit(timeAt(1), "t", 1, 0); why != OpenExceeded || s.Find("p").Open() != 3 || s.Find("q").Open() != 0 {
			t.Error(why, s.Find("p").Open())
		}
		in[0].Release(timeAt(2), true, false)
		in[1].Release(timeAt(2), true, false)
		if _, why, _ := s.Find("p").Admit(timeAt(2), "t", 1, 0); why != Allowed {
			t.Error(why)
		}
	})
	t.Run("any order of changes, entries and ends: never more open than the largest limit there was, nothing left", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			most, now := 4, 0
			s := NewSet(timeAt(0), map[string]Spec{"p": {MaxOpen: 4, Adaptive: true, LookupsPerSecond: 1000, RetryRatio: 0.2}})
			var in []*Permit
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now += rapid.IntRange(0, 50).Draw(t, "ms")
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0, 1:
					if ticket, why, wait := s.Find("p").Admit(timeAt(now), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"), 1, 10); why == Allowed {
						in = append(in, ticket)
					} else if wait <= 0 {
						t.Fatal("no time to come back")
					}
				case 2:
					if len(in) > 0 {
						in[0].Release(timeAt(now), rapid.Bool().Draw(t, "good"), rapid.Bool().Draw(t, "pressed"))
						in = in[1:]
					}
				case 3:
					n := rapid.IntRange(1, 9).Draw(t, "open")
					most = max(most, n)
					s = s.Carry(timeAt(now), map[string]Spec{"p": {MaxOpen: n, Adaptive: rapid.Bool().Draw(t, "adaptive"), LookupsPerSecond: 1000, RetryRatio: 0.2}})
				}
				if s.Find("p").Open() != len(in) || len(in) > most {
					t.Fatalf("%d open, %d counted, %d at most", len(in), s.Find("p").Open(), most)
				}
			}
			for _, ticket := range in {
				ticket.Release(timeAt(now), true, false)
			}
			if s.Find("p").Open() != 0 {
				t.Fatal("something stays open")
			}
		})
	})
}

// pendingEnds is a heap of instants.
type pendingEnds []struct {
	at     time.Duration
	ticket *Permit
	ok     bool
}

func (e pendingEnds) Len() int           { return len(e) }
func (e pendingEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e pendingEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pendingEnds) Push(x any) {
	*e = append(*e, x.(struct {
		at     time.Duration
		ticket *Permit
		ok     bool
	}))
}
func (e *pendingEnds) Pop() any { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// simulatePool is a pool of caches as a queue: it works on so many at once, each for 20 ms; what waits over 200 ms is late.
// It gives the share of lookups that were satisfied in time over a minute, at a rate that doubles what it bears from 20 s to 40 s,
// and whose pace halves from 30 s on.
func simulatePool(terms Spec) (good float64) {
	r, l := rand.New(rand.NewPCG(3, 4)), New(timeAt(0), "p", terms)
	var out pendingEnds
	free := make([]time.Duration, 16) // when each of its places is free
	asked, satisfied := 0, 0
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		for len(out) > 0 && out[0].at <= now {
			e := heap.Pop(&out).(struct {
				at     time.Duration
				ticket *Permit
				ok     bool
			})
			if e.ok {
				satisfied++
			}
			e.ticket.Release(timeAt(int(now.Milliseconds())), e.ok, !e.ok)
		}
		rate := 600.0
		if now > 20*time.Second && now < 40*time.Second {
			rate = 1600
		}
		for n := rate / 1000; n > 0; n-- {
			if r.Float64() >= n {
				continue
			}
			asked++
			ticket, why, _ := l.Admit(timeAt(int(now.Milliseconds())), "t", 1, 0)
			if why != Allowed {
				continue
			}
			first := 0
			for i := range free {
				if free[i] < free[first] {
					first = i
				}
			}
			took := 20 * time.Millisecond
			if now > 30*time.Second {
				took *= 2
			}
			free[first] = max(now, free[first]) + took
			heap.Push(&out, struct {
				at     time.Duration
				ticket *Permit
				ok     bool
			}{free[first], ticket, free[first]-now <= 200*time.Millisecond})
		}
	}
	return float64(satisfied) / float64(asked)
}

// An overloaded pool that then slows down: an adaptive limit against none and against a fixed one that was right before.
func TestAdaptive(t *testing.T) {
	none, fixed, adaptive := simulatePool(Spec{}), simulatePool(Spec{MaxOpen: 400}), simulatePool(Spec{MaxOpen: 400, Adaptive: true})
	t.Logf("satisfied in time: %.3f with an adaptive limit, %.3f with a fixed one, %.3f with none", adaptive, fixed, none)
	if adaptive < fixed+0.1 || adaptive < none+0.1 {
		t.Errorf("%.3f, %.3f, %.3f", adaptive, fixed, none)
	}
}

// A parent's outage of ten seconds: sends a lookup, and the peak after it, with a budget and with three tries each.
func TestRetryBudgetInAnOutage(t *testing.T) {
	storm := func(budget *RetryBudget) (a, peak float64) {
		sends, lookups := 0, 0
		var seconds [40]int
		again := make([][]int, 40_000) // tries left of what is tried again then
		for ms := range 40_000 {
			down := ms > 10_000 && ms < 20_000
			todo := again[ms]
			if ms%5 == 0 { // 200 lookups a second
				lookups++
				if budget != nil {
					budget.RecordFirstAttempt(timeAt(ms))
				}
				todo = append(todo, -1)
			}
			for _, tries := range todo {
				if tries >= 0 && budget != nil && !budget.TryTake(timeAt(ms)) {
					continue
				}
				sends++
				seconds[ms/1000]++
				if tries < 0 {
					tries = 3
				}
				if down && tries > 0 && ms+300 < len(again) {
					again[ms+300] = append(again[ms+300], tries-1)
				}
			}
		}
		for _, n := range seconds[20:] {
			peak = max(peak, float64(n)/200)
		}
		return float64(sends) / float64(lookups), peak
	}
	plain, plainPeak := storm(nil)
	budgeted, peak := storm(NewRetryBudget(0.1))
	t.Logf("sends a lookup %.2f with a budget, %.2f without; the peak after the outage %.2f and %.2f of the usual", budgeted, plain, peak, plainPeak)
	if budgeted > 1.1 || peak > 1.15 || plain < 1.5 {
		t.Errorf("%.2f (%.2f), %.2f (%.2f)", budgeted, plain, peak, plainPeak)
	}
}

func TestAFleetLimitAdmitsWhatTheLeaseAllows(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(now, "x", Spec{LookupsPerSecond: 100, MaxOpen: 10, FleetWide: true})
	enter := func(n int) (in int) {
		for range n {
			if _, why, wait := l.Admit(now, "t", 1, 0); why == Allowed {
				in++
			} else if wait <= 0 || wait > time.Minute {
				t.Fatalf("told to come back in %v", wait)
			}
		}
		return in
	}
	if enter(5) != 0 {
		t.Error("something is let in before there is a lease")
	}
	l.SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 20, MaxOpen: 100}, Fallback: Amounts{LookupsPerSecond: 4, MaxOpen: 100}, ExpiresAt: now.Add(3 * time.Second)})
	if enter(5) != 0 {
		t.Error("the part of a fleet's limit begins with a burst: a process before may have had it")
	}
	now = now.Add(250 * time.Millisecond)
	if in := enter(50); in != 5 {
		t.Errorf("%d of 5 in a quarter second", in)
	}
	l.SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 20, MaxOpen: 100}, Fallback: Amounts{LookupsPerSecond: 4, MaxOpen: 100}, ExpiresAt: now.Add(3 * time.Second)})
	now = now.Add(time.Hour) // it stood still past its loans, and a lookup comes before anybody said anything
	if in := enter(50); in != 2 {
		t.Errorf("%d were let in after the lease, not the burst of what is left of it", in)
	}
	if u := l.Usage(); u.RequestedLookups != 110 || u.AdmittedLookups != 7 {
		t.Errorf("%+v", u)
	}
}

func TestOpenLookupsOfAFleetLimitFollowTheLease(t *testing.T) {
	now := time.Unix(100, 0)
	l := New(now, "x", Spec{MaxOpen: 10, FleetWide: true})
	l.SetLease(now, Lease{Granted: Amounts{MaxOpen: 2}, ExpiresAt: now.Add(time.Second)})
	a, _, _ := l.Admit(now, "t", 1, 0)
	b, _, _ := l.Admit(now, "t", 1, 0)
	if _, why, _ := l.Admit(now, "t", 1, 0); a == nil || b == nil || why != OpenExceeded {
		t.Errorf("%v %v %v", a, b, why)
	}
	now = now.Add(2 * time.Second)
	a.Release(now, true, false)
	if _, why, _ := l.Admit(now, "t", 1, 0); why != OpenExceeded {
		t.Error("a place is given after the lease")
	}
}

func TestALimitBecomesFleetWideAndBackWithoutARefill(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewSet(now, map[string]Spec{"x": {LookupsPerSecond: 100}})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true}})
	if _, why, _ := s.Find("x").Admit(now, "t", 1, 0); why != LookupRateExceeded {
		t.Error("let in before a lease")
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 100, FleetWide: true, BytesPerSecond: 1000}})
	s.Find("x").SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 50, BytesPerSecond: 500}, ExpiresAt: now.Add(time.Minute)})
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 200, FleetWide: true}})
	now = now.Add(100 * time.Millisecond)
	if _, why, _ := s.Find("x").Admit(now, "t", 1, 0); why != Allowed {
		t.Error("the lease is lost with a change of the limit", why)
	}
	s = s.Carry(now, map[string]Spec{"x": {LookupsPerSecond: 10}})
	if s.Find("x").Spec().FleetWide {
		t.Error("still the fleet's")
	}
}

// What a limit's check costs a lookup, of one gateway and of the fleet.
func BenchmarkAdmit(b *testing.B) {
	for name, fleet := range map[string]bool{"own": false, "fleet": true} {
		b.Run(name, func(b *testing.B) {
			now := time.Unix(100, 0)
			l := New(now, "x", Spec{LookupsPerSecond: 1e6, MaxOpen: 1000, FleetWide: fleet})
			l.SetLease(now, Lease{Granted: Amounts{LookupsPerSecond: 1e6, MaxOpen: 1000}, ExpiresAt: now.Add(time.Hour)})
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Microsecond)
				if t, _, _ := l.Admit(now, "t", 1, 0); t != nil {
					t.Release(now, true, false)
				}
			}
		})
	}
}

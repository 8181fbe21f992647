package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loadSource comes by chance and holds each place for a while.
type loadSource struct {
	rate float64 // a second
	got  int
	held int
}

// simulateLoad has askers at 100 places for a minute of virtual time, places held for 0.4 s; give is who gets one.
func simulateLoad(askers []*loadSource, enter func(now time.Time, i int) bool, leave func(now time.Time, i int)) {
	r := rand.New(rand.NewPCG(1, 2))
	type end struct {
		at time.Duration
		i  int
	}
	var ends []end
	for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for len(ends) > 0 && ends[0].at <= at {
			leave(now, ends[0].i)
			askers[ends[0].i].held--
			ends = ends[1:]
		}
		for i, a := range askers {
			for n := a.rate / 1000; n > 0; n-- {
				if r.Float64() < n && enter(now, i) {
					a.got++
					a.held++
					ends = append(ends, end{at + 400*time.Millisecond, i})
				}
			}
		}
	}
}

// jainIndex is Jain's index of what each got of what it was due: 1 is fair, 1/n is all to one.
func jainIndex(got []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, g := range got {
		sum, squares = sum+g, squares+g*g
	}
	return sum * sum / (float64(len(got)) * squares)
}

// A flood of one caller at a hundred places against usual ones: max-min shares against plain first come, first served.
func TestOneFloodingClaimantTakesOnlyIdleCapacity(t *testing.T) {
	measure := func(fair bool) (index, used float64) {
		askers := []*loadSource{{rate: 60}, {rate: 20}, {rate: 60}, {rate: 4000}} // due: 24, 8, 24 places and the rest
		s, open := NewQuotas(100), 0
		var holders []*Claimant
		for i := range askers {
			holders = append(holders, s.Claimant(time.Unix(0, 0), fmt.Sprint(i), 1))
		}
		simulateLoad(askers, func(now time.Time, i int) bool {
			if fair {
				return s.TryAcquire(now, holders[i])
			}
			if open < 100 {
				open++
				return true
			}
			return false
		}, func(now time.Time, i int) {
			if open--; fair {
				s.Release(now, holders[i])
			}
		})
		var got []float64
		total := 0
		for i, a := range askers {
			total += a.got
			due := []float64{3600, 1200, 3600, 60 * 44 / 0.4}[i]
			got = append(got, min(1, float64(a.got)/due))
		}
		return jainIndex(got), float64(total) / (60 * 100 / 0.4)
	}
	plain, plainUsed := measure(false)
	fair, used := measure(true)
	t.Logf("Jain's index %.3f against %.3f first come, first served; places used %.3f against %.3f", fair, plain, used, plainUsed)
	if fair < 0.97 || fair < plain+0.1 || used < 0.85*plainUsed {
		t.Errorf("index %.3f (%.3f), used %.3f (%.3f)", fair, plain, used, plainUsed)
	}
}

func TestQuotas(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	fill := func(s *Quotas, h *Claimant, ms int) (n int) {
		for s.TryAcquire(at(ms), h) {
			n++
		}
		return n
	}
	t.Run("one alone has all places", func(t *testing.T) {
		s := NewQuotas(10)
		if n := fill(s, s.Claimant(at(0), "clients", 1), 0); n != 10 {
			t.Errorf("%d of 10", n)
		}
	})
	t.Run("a newcomer to a full room gets what is given back until it has its half", func(t *testing.T) {
		s := NewQuotas(10)
		first, second := s.Claimant(at(0), "clients", 1), s.Claimant(at(0), "edge", 1)
		fill(s, first, 0)
		for ms := range 40 {
			s.TryAcquire(at(ms), second)
			s.TryAcquire(at(ms), first)
			if ms%2 == 0 && first.Open() > 0 {
				s.Release(at(ms), first)
			}
		}
		if first.Open() != 5 || second.Open() != 5 {
			t.Errorf("%d and %d", first.Open(), second.Open())
		}
	})
	t.Run("parts go by weight", func(t *testing.T) {
		s := NewQuotas(12)
		first, second := s.Claimant(at(0), "clients", 3), s.Claimant(at(0), "edge", 1)
		for ms := range 200 {
			s.TryAcquire(at(ms), first)
			s.TryAcquire(at(ms), second)
			for _, h := range []*Claimant{first, second} { // each gives one back in turn
				if h.Open() > 0 && ms%2 == 0 {
					s.Release(at(ms), h)
				}
			}
			s.TryAcquire(at(ms), second)
			s.TryAcquire(at(ms), first)
		}
		if first.Open() != 9 || second.Open() != 3 {
			t.Errorf("%d and %d", first.Open(), second.Open())
		}
	})
	t.Run("what one wanted long ago is nobody's claim", func(t *testing.T) {
		s := NewQuotas(10)
		first, second := s.Claimant(at(0), "clients", 1), s.Claimant(at(0), "edge", 1)
		for range fill(s, second, 0) {
			s.Release(at(1), second)
		}
		if n := fill(s, first, 20_000); n != 10 {
			t.Errorf("%d of 10", n)
		}
	})
	t.Run("a thousand callers are told apart", func(t *testing.T) {
		s := NewQuotas(10)
		for i := range 1000 {
			if h := s.Claimant(at(0), fmt.Sprint("c", i), 1); h.Name != fmt.Sprint("c", i) {
				t.Fatalf("caller %d is taken for %s", i, h.Name)
			}
		}
	})
	t.Run("however many names, so many holders, and the gateway's own clients stay", func(t *testing.T) {
		s := NewQuotas(10)
		s.Claimant(at(0), "clients", 1)
		for i := range 3 * MaxClaimants {
			s.TryAcquire(at(i), s.Claimant(at(i), fmt.Sprint("c", i), 1))
		}
		n, known := 0, false
		s.Each(func(h *Claimant) { n, known = n+1, known || h.Name == "clients" })
		if n > MaxClaimants+1 || !known || s.Open() != 10 {
			t.Errorf("%d holders, %d open", n, s.Open())
		}
	})
}

func BenchmarkTryAcquire(b *testing.B) {
	for _, n := range []int{1, 4, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, now := NewQuotas(100), time.Unix(0, 0)
			var holders []*Claimant
			for i := range n {
				holders = append(holders, s.Claimant(now, fmt.Sprint(i), 1))
				s.TryAcquire(now, holders[i])
			}
			b.ReportAllocs()
			for i := range b.N {
				if h := holders[i%n]; s.TryAcquire(now, h) {
					s.Release(now, h)
				}
			}
		})
	}
}

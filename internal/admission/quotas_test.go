package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loadSource sends lookups at random times, each of which stays open for lookupTime.
type loadSource struct {
	rate     float64 // lookups per second
	admitted int
	open     int
}

const lookupTime = 400 * time.Millisecond

// simulateLoad simulates a minute of load in virtual time. acquire reports whether a lookup of a source is admitted.
func simulateLoad(sources []*loadSource, acquire func(now time.Time, source int) bool, release func(now time.Time, source int)) {
	random := rand.New(rand.NewPCG(1, 2))
	type end struct {
		at     time.Duration
		source int
	}
	var ends []end
	for at := time.Duration(0); at < time.Minute; at += time.Millisecond {
		now := time.Unix(0, 0).Add(at)
		for len(ends) > 0 && ends[0].at <= at {
			release(now, ends[0].source)
			sources[ends[0].source].open--
			ends = ends[1:]
		}
		for i, source := range sources {
			for expected := source.rate / 1000; expected > 0; expected-- {
				if random.Float64() < expected && acquire(now, i) {
					source.admitted++
					source.open++
					ends = append(ends, end{at + lookupTime, i})
				}
			}
		}
	}
}

// jainIndex returns Jain's fairness index of the shares that the sources got of what they were due. It
// is 1 if all shares are equal and 1/n if one of n sources got everything.
func jainIndex(got []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, g := range got {
		sum += g
		squares += g * g
	}
	return sum * sum / (float64(len(got)) * squares)
}

// measureFlood floods a capacity of a hundred lookups from one of four sources. It returns Jain's index
// and the used part of the capacity.
func measureFlood(isFair bool) (index, used float64) {
	const capacity = 100
	// The sources are due 24, 8 and 24 open lookups, and the last one the rest.
	sources := []*loadSource{{rate: 60}, {rate: 20}, {rate: 60}, {rate: 4000}}
	quotas, open := NewQuotas(capacity), 0
	var claimants []*Claimant
	for i := range sources {
		claimants = append(claimants, quotas.Claimant(time.Unix(0, 0), fmt.Sprint(i), 1))
	}
	simulateLoad(sources, func(now time.Time, i int) bool {
		if isFair {
			return quotas.TryAcquire(now, claimants[i])
		}
		if open < capacity {
			open++
			return true
		}
		return false
	}, func(now time.Time, i int) {
		if open--; isFair {
			quotas.Release(now, claimants[i])
		}
	})
	var got []float64
	total := 0
	for i, source := range sources {
		total += source.admitted
		due := []float64{3600, 1200, 3600, 60 * 44 / 0.4}[i]
		got = append(got, min(1, float64(source.admitted)/due))
	}
	return jainIndex(got), float64(total) / (60 * capacity / 0.4)
}

// One source floods the capacity while three others send their usual load. Max-min quotas must divide
// the capacity more fairly than first come, first served, and leave little of it idle.
func TestOneFloodingClaimantTakesOnlyIdleCapacity(t *testing.T) {
	plain, plainUsed := measureFlood(false)
	fair, used := measureFlood(true)
	t.Logf("max-min quotas: Jain's index %.3f, first come, first served: %.3f; capacity used: %.3f and %.3f", fair, plain, used, plainUsed)
	if fair < 0.97 || fair < plain+0.1 || used < 0.85*plainUsed {
		t.Errorf("Jain's index %.3f (first come, first served: %.3f), capacity used %.3f (first come, first served: %.3f)", fair, plain, used, plainUsed)
	}
}

func timeAt(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

// acquireAll opens lookups of a claimant until one is rejected, and returns the number opened.
func acquireAll(q *Quotas, c *Claimant, ms int) (n int) {
	for q.TryAcquire(timeAt(ms), c) {
		n++
	}
	return n
}

func TestQuotas(t *testing.T) {
	t.Run("a single claimant gets the whole capacity", func(t *testing.T) {
		q := NewQuotas(10)
		if n := acquireAll(q, q.Claimant(timeAt(0), "clients", 1), 0); n != 10 {
			t.Errorf("%d lookups admitted, expected 10", n)
		}
	})
	t.Run("at full capacity a new claimant gets released lookups until it has half", func(t *testing.T) {
		q := NewQuotas(10)
		first, second := q.Claimant(timeAt(0), "clients", 1), q.Claimant(timeAt(0), "edge", 1)
		acquireAll(q, first, 0)
		for ms := range 40 {
			q.TryAcquire(timeAt(ms), second)
			q.TryAcquire(timeAt(ms), first)
			if ms%2 == 0 && first.Open() > 0 {
				q.Release(timeAt(ms), first)
			}
		}
		if first.Open() != 5 || second.Open() != 5 {
			t.Errorf("%d and %d lookups open, expected 5 and 5", first.Open(), second.Open())
		}
	})
	t.Run("quotas are proportional to weights", func(t *testing.T) {
		q := NewQuotas(12)
		first, second := q.Claimant(timeAt(0), "clients", 3), q.Claimant(timeAt(0), "edge", 1)
		for ms := range 200 {
			q.TryAcquire(timeAt(ms), first)
			q.TryAcquire(timeAt(ms), second)
			for _, c := range []*Claimant{first, second} { // each releases one lookup
				if c.Open() > 0 && ms%2 == 0 {
					q.Release(timeAt(ms), c)
				}
			}
			q.TryAcquire(timeAt(ms), second)
			q.TryAcquire(timeAt(ms), first)
		}
		if first.Open() != 9 || second.Open() != 3 {
			t.Errorf("%d and %d lookups open, expected 9 and 3", first.Open(), second.Open())
		}
	})
	t.Run("old demand does not reserve capacity", func(t *testing.T) {
		q := NewQuotas(10)
		first, second := q.Claimant(timeAt(0), "clients", 1), q.Claimant(timeAt(0), "edge", 1)
		for range acquireAll(q, second, 0) {
			q.Release(timeAt(1), second)
		}
		if n := acquireAll(q, first, 20_000); n != 10 {
			t.Errorf("%d lookups admitted, expected 10", n)
		}
	})
}

func TestClaimants(t *testing.T) {
	t.Run("a thousand claimants are distinguished", func(t *testing.T) {
		q := NewQuotas(10)
		for i := range 1000 {
			if c := q.Claimant(timeAt(0), fmt.Sprint("c", i), 1); c.Name != fmt.Sprint("c", i) {
				t.Fatalf("claimant %d has the name %s", i, c.Name)
			}
		}
	})
	t.Run("the number of claimants is bounded, and the gateway's own clients are never removed", func(t *testing.T) {
		q := NewQuotas(10)
		q.Claimant(timeAt(0), "clients", 1)
		for i := range 3 * MaxClaimants {
			q.TryAcquire(timeAt(i), q.Claimant(timeAt(i), fmt.Sprint("c", i), 1))
		}
		n, hasClients := 0, false
		q.Each(func(c *Claimant) {
			n++
			hasClients = hasClients || c.Name == "clients"
		})
		if n > MaxClaimants+1 || !hasClients || q.Open() != 10 {
			t.Errorf("%d claimants and %d open lookups, expected at most MaxClaimants+1, one of them clients, and 10 open lookups", n, q.Open())
		}
	})
}

func BenchmarkTryAcquire(b *testing.B) {
	for _, n := range []int{1, 4, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			q, now := NewQuotas(100), time.Unix(0, 0)
			var claimants []*Claimant
			for i := range n {
				claimants = append(claimants, q.Claimant(now, fmt.Sprint(i), 1))
				q.TryAcquire(now, claimants[i])
			}
			b.ReportAllocs()
			for i := range b.N {
				if c := claimants[i%n]; q.TryAcquire(now, c) {
					q.Release(now, c)
				}
			}
		})
	}
}

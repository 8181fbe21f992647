package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// loadSource sends lookups at random and holds each for a while.
type loadSource struct {
	rate     float64 // a second
	admitted int
	open     int
}

const lookupTime = 400 * time.Millisecond

// simulateLoad plays a minute of virtual time; acquire reports whether a source's lookup is admitted.
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

// jainIndex returns Jain's index of fairness over what each got of what it was due: 1 is fair, 1/n is all to one.
func jainIndex(got []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, g := range got {
		sum += g
		squares += g * g
	}
	return sum * sum / (float64(len(got)) * squares)
}

// measureFlood floods a capacity of a hundred lookups from one of four sources. It returns Jain's index and the part of the capacity used.
func measureFlood(isFair bool) (index, used float64) {
	const capacity = 100
	sources := []*loadSource{{rate: 60}, {rate: 20}, {rate: 60}, {rate: 4000}} // due: 24, 8, 24 open lookups and the rest
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

// A flood of one source among usual ones: max-min quotas against first come, first served.
func TestOneFloodingClaimantTakesOnlyIdleCapacity(t *testing.T) {
	plain, plainUsed := measureFlood(false)
	fair, used := measureFlood(true)
	t.Logf("Jain's index %.3f against %.3f first come, first served; capacity used %.3f against %.3f", fair, plain, used, plainUsed)
	if fair < 0.97 || fair < plain+0.1 || used < 0.85*plainUsed {
		t.Errorf("index %.3f (%.3f), used %.3f (%.3f)", fair, plain, used, plainUsed)
	}
}

func timeAt(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }

// acquireAll opens as many lookups of a claimant as are admitted and returns their number.
func acquireAll(q *Quotas, c *Claimant, ms int) (n int) {
	for q.TryAcquire(timeAt(ms), c) {
		n++
	}
	return n
}

func TestQuotas(t *testing.T) {
	t.Run("one alone has the whole capacity", func(t *testing.T) {
		q := NewQuotas(10)
		if n := acquireAll(q, q.Claimant(timeAt(0), "clients", 1), 0); n != 10 {
			t.Errorf("%d of 10", n)
		}
	})
	t.Run("a newcomer at full capacity gets what is released until it has its half", func(t *testing.T) {
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
			t.Errorf("%d and %d", first.Open(), second.Open())
		}
	})
	t.Run("quotas go by weight", func(t *testing.T) {
		q := NewQuotas(12)
		first, second := q.Claimant(timeAt(0), "clients", 3), q.Claimant(timeAt(0), "edge", 1)
		for ms := range 200 {
			q.TryAcquire(timeAt(ms), first)
			q.TryAcquire(timeAt(ms), second)
			for _, c := range []*Claimant{first, second} { // each releases one in turn
				if c.Open() > 0 && ms%2 == 0 {
					q.Release(timeAt(ms), c)
				}
			}
			q.TryAcquire(timeAt(ms), second)
			q.TryAcquire(timeAt(ms), first)
		}
		if first.Open() != 9 || second.Open() != 3 {
			t.Errorf("%d and %d", first.Open(), second.Open())
		}
	})
	t.Run("demand of long ago is no claim", func(t *testing.T) {
		q := NewQuotas(10)
		first, second := q.Claimant(timeAt(0), "clients", 1), q.Claimant(timeAt(0), "edge", 1)
		for range acquireAll(q, second, 0) {
			q.Release(timeAt(1), second)
		}
		if n := acquireAll(q, first, 20_000); n != 10 {
			t.Errorf("%d of 10", n)
		}
	})
}

func TestClaimants(t *testing.T) {
	t.Run("a thousand are told apart", func(t *testing.T) {
		q := NewQuotas(10)
		for i := range 1000 {
			if c := q.Claimant(timeAt(0), fmt.Sprint("c", i), 1); c.Name != fmt.Sprint("c", i) {
				t.Fatalf("claimant %d is taken for %s", i, c.Name)
			}
		}
	})
	t.Run("their number is bounded, and the gateway's own clients stay", func(t *testing.T) {
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
			t.Errorf("%d claimants, %d open", n, q.Open())
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

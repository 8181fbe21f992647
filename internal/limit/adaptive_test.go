package limit

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// lookupEnd is the scheduled end of an open lookup.
type lookupEnd struct {
	at     time.Duration // since the start of the simulation
	permit *Permit
	inTime bool // it ends by its deadline
}

// pendingEnds is a heap of lookup ends, ordered by time.
type pendingEnds []lookupEnd

func (e pendingEnds) Len() int           { return len(e) }
func (e pendingEnds) Less(i, j int) bool { return e[i].at < e[j].at }
func (e pendingEnds) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pendingEnds) Push(x any)        { *e = append(*e, x.(lookupEnd)) }
func (e *pendingEnds) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulatePool simulates one minute of lookups at a pool of caches, which is modelled as a queue with 16 workers. Each
// lookup takes a worker 20 ms, and a lookup is late after 200 ms. From 20 s to 40 s the rate of lookups is double the
// pool's capacity, and from 30 s on each lookup takes a worker twice as long. It returns the fraction of requested
// lookups that were satisfied in time.
func simulatePool(spec Spec) float64 {
	const (
		workers  = 16
		deadline = 200 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	l := New(timeAt(0), "p", spec)
	var ends pendingEnds
	freeAt := make([]time.Duration, workers)
	requested, satisfied := 0, 0
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		clock := timeAt(int(now.Milliseconds()))
		for len(ends) > 0 && ends[0].at <= now {
			end := heap.Pop(&ends).(lookupEnd)
			if end.inTime {
				satisfied++
			}
			end.permit.Release(clock, end.inTime, !end.inTime)
		}
		rate := 600.0
		if now > 20*time.Second && now < 40*time.Second {
			rate = 1600
		}
		for expected := rate / 1000; expected > 0; expected-- {
			if random.Float64() >= expected {
				continue
			}
			requested++
			permit, reason, _ := l.Admit(clock, "t", 1, 0)
			if reason != Allowed {
				continue
			}
			work := 20 * time.Millisecond
			if now > 30*time.Second {
				work *= 2
			}
			first := slices.Index(freeAt, slices.Min(freeAt))
			freeAt[first] = max(now, freeAt[first]) + work
			heap.Push(&ends, lookupEnd{freeAt[first], permit, freeAt[first]-now <= deadline})
		}
	}
	return float64(satisfied) / float64(requested)
}

// TestAdaptive compares an adaptive limit with no limit and with a fixed limit at a pool that is overloaded and then
// slows down. It guards against an adaptive limit that does not follow the pool's falling capacity.
func TestAdaptive(t *testing.T) {
	none, fixed, adaptive := simulatePool(Spec{}), simulatePool(Spec{MaxOpen: 400}), simulatePool(Spec{MaxOpen: 400, Adaptive: true})
	t.Logf("satisfied in time: %.3f with an adaptive limit, %.3f with a fixed one, %.3f with none", adaptive, fixed, none)
	if adaptive < fixed+0.1 || adaptive < none+0.1 {
		t.Errorf("satisfied in time: %.3f with an adaptive limit, want at least 0.1 more than %.3f (fixed) and %.3f (none)",
			adaptive, fixed, none)
	}
}

// simulateOutage simulates 40 s of 200 lookups per second at a parent that is down from 10 s to 20 s. Each lookup
// retries up to three times, 300 ms apart, as far as the budget allows. A nil budget allows every retry. It returns the
// attempts per lookup, and the highest rate of attempts after the outage relative to the usual rate.
func simulateOutage(budget *RetryBudget) (attemptsPerLookup, peak float64) {
	const (
		duration   = 40_000 // milliseconds, as all times in this function
		retryDelay = 300
		maxRetries = 3
		isFirst    = -1
	)
	attempts, lookups := 0, 0
	var bySecond [duration / 1000]int
	retriesLeft := make([][]int, duration) // by millisecond: the retries left of each lookup that is due
	for ms := range duration {
		isOut := ms > 10_000 && ms < 20_000
		due := retriesLeft[ms]
		if ms%5 == 0 {
			lookups++
			if budget != nil {
				budget.RecordFirstAttempt(timeAt(ms))
			}
			due = append(due, isFirst)
		}
		for _, left := range due {
			if left != isFirst && budget != nil && !budget.TryTake(timeAt(ms)) {
				continue
			}
			attempts++
			bySecond[ms/1000]++
			if left == isFirst {
				left = maxRetries
			}
			if isOut && left > 0 && ms+retryDelay < duration {
				retriesLeft[ms+retryDelay] = append(retriesLeft[ms+retryDelay], left-1)
			}
		}
	}
	for _, n := range bySecond[20:] {
		peak = max(peak, float64(n)/200)
	}
	return float64(attempts) / float64(lookups), peak
}

// TestRetryBudgetInAnOutage compares a retry budget with three unconditional retries per lookup in an outage of a parent
// that lasts ten seconds. It guards against retries that multiply the load during the outage or peak after it.
func TestRetryBudgetInAnOutage(t *testing.T) {
	plain, plainPeak := simulateOutage(nil)
	budgeted, peak := simulateOutage(NewRetryBudget(0.1))
	t.Logf("attempts per lookup: %.2f with a budget, %.2f without; peak after the outage: %.2f and %.2f of the usual rate",
		budgeted, plain, peak, plainPeak)
	if budgeted > 1.1 || peak > 1.15 || plain < 1.5 {
		t.Errorf("attempts per lookup %.2f (want at most 1.1), %.2f without a budget (want at least 1.5); peak %.2f (want at most 1.15), %.2f",
			budgeted, plain, peak, plainPeak)
	}
}

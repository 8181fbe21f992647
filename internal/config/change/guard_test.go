package change

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// timeToTrip simulates two minutes of lookups, one every 10 ms. The parameter share is the share of
// lookups under the change. The parameters base and changed are the shares of satisfied lookups in the
// baseline and under the change. It returns the time at which the guard trips, or -1 if it does not trip.
func timeToTrip(random *rand.Rand, share, base, changed float64) time.Duration {
	guard := NewGuard(timeAt(0), DefaultGuardLimits)
	for ms := 0; ms < 120_000; ms += 10 {
		isUnderChange := random.Float64() < share
		satisfied := base
		if isUnderChange {
			satisfied = changed
		}
		isSatisfied := random.Float64() < satisfied
		guard.Observe(timeAt(ms), isUnderChange,
			Outcome{Satisfied: isSatisfied, Rejected: !isSatisfied && random.IntN(2) == 0, Late: !isSatisfied, Filled: random.IntN(4) == 0})
		if ms%500 == 0 && guard.Tripped() != "" {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return -1
}

func TestGuardTripsForBadChangesAlone(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	const good, bad = 500, 200
	falseTrips := 0
	for range good {
		base := 0.8 + 0.19*random.Float64()
		if timeToTrip(random, 0.1, base, base) >= 0 {
			falseTrips++
		}
	}
	var times []time.Duration
	for range bad {
		base := 0.8 + 0.19*random.Float64()
		if elapsed := timeToTrip(random, 0.1, base, base-0.1-0.5*random.Float64()); elapsed >= 0 {
			times = append(times, elapsed)
		}
	}
	slices.Sort(times)
	t.Logf("of %d good changes %d rolled back; of %d bad changes %d, half within %v, 90%% within %v, with ten lookups a second under the change",
		good, falseTrips, bad, len(times), times[len(times)/2], times[len(times)*9/10])
	if falseTrips > 2 || len(times) < bad*95/100 {
		t.Errorf("%d good changes rolled back, want at most 2; %d of %d bad changes rolled back, want at least 95%%", falseTrips, len(times), bad)
	}
}

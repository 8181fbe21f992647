package limits

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// Flags of TestSizeAdmitted. The test measures and prints which fraction of the demand gateways admit at different
// fleet sizes; docs/CAPACITY.md contains the figures. It fails only if the leases exceed the limit, if more is admitted
// than leased, or if a fleet size is invalid.
var (
	sizes            = flag.String("limits.sizes", "12,100", "fleet sizes to measure, separated by commas")
	runs             = flag.Int("limits.runs", 1, "number of seeds to run for each case, starting at seed 1")
	simulatedSeconds = flag.Int64("limits.seconds", 16, "simulated seconds of each case; the last 8 are measured")
	demandPlacements = flag.String("limits.places", "all,tenth,one", "gateways that have the demand: all, tenth or one, separated by commas")
)

const (
	totalLimit   = 1000.0 // the limit of the fleet, and the total demand
	measuredTime = 8 * second
)

// measurement is the result of one case: fractions of the limit, and the traffic of each gateway with demand.
type measurement struct {
	admitted          float64 // mean admitted fraction of the limit over measuredTime
	maxLeased         float64 // maximum sum of all leases at any instant, as a fraction of the limit
	messagesPerSecond float64 // requests sent and grants received
	bytesPerSecond    float64 // size of the frames of these messages
}

// measuredFleet is a fleet of ledgers that know each other from the start. Messages arrive immediately and are never
// lost.
type measuredFleet struct {
	ledgers   []*Ledger
	names     []string
	index     map[string]int
	demand    []float64
	demanding int // number of gateways with demand
}

// newMeasuredFleet returns a fleet of n gateways with the settings of package gossip. The total demand equals the
// limit. Depending on placement, it is divided among all gateways, a tenth of them or one. Integral demand is assigned
// in single units, round-robin over the gateways with demand, which are in random order.
func newMeasuredFleet(n int, integral bool, placement string, seed uint64) *measuredFleet {
	rng := rand.New(rand.NewPCG(seed, 0x73697a65))
	settings := Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: requestInterval, MaxSettleWait: 15 * second}
	f := &measuredFleet{ledgers: make([]*Ledger, n), names: make([]string, n), index: map[string]int{}, demand: make([]float64, n)}
	for i := range n {
		f.names[i] = fmt.Sprintf("n%04d", i)
		f.index[f.names[i]] = i
		f.ledgers[i] = New(settings, rand.New(rand.NewPCG(seed, uint64(i)+1)), 1)
		f.ledgers[i].SetLimits(map[string]Limit{limitName: {Total: totalLimit, Integral: integral}})
		f.ledgers[i].UpdateFleet(FleetState{Size: n, Rank: i, Settled: true}, 1)
	}
	f.demanding = map[string]int{"all": n, "tenth": max(1, n/10), "one": 1}[placement]
	demanding := rng.Perm(n)[:f.demanding]
	if integral {
		for k := range int(totalLimit) {
			f.demand[demanding[k%len(demanding)]]++
		}
	} else {
		for _, i := range demanding {
			f.demand[i] = totalLimit / float64(len(demanding))
		}
	}
	for i, demand := range f.demand {
		f.ledgers[i].RecordUsage(limitName, demand, 0)
	}
	return f
}

const requestInterval = second / 4

// exchange delivers the requests of gateway i to its peers and their grants to gateway i. It returns the number and the
// bytes of both.
func (f *measuredFleet) exchange(i int, peers []string, now int64) (messages, bytes float64) {
	ledger := f.ledgers[i]
	for _, request := range ledger.Requests(peers, now) {
		grant, ok := f.ledgers[f.index[request.To]].HandleRequest(f.names[i], request, now)
		if ok {
			ledger.HandleGrant(request.To, grant, now)
		}
		requestFrame := Frame{Entries: []Entry{{ID: request.ID, Amount: request.Amount}}}
		grantFrame := Frame{IsGrant: true, Entries: []Entry{{ID: grant.ID}}}
		messages += 2
		bytes += float64(len(requestFrame.Append(nil)) + len(grantFrame.Append(nil)))
	}
	return messages, bytes
}

// admit lets each gateway admit its demand up to its lease. It returns the total admitted amount and the sum of all
// leases.
func (f *measuredFleet) admit(now int64) (admitted, leased float64) {
	for i, ledger := range f.ledgers {
		lease := ledger.Lease(limitName, now).Granted
		leased += lease
		admitted += math.Min(f.demand[i], lease)
		ledger.RecordUsage(limitName, f.demand[i], math.Min(f.demand[i], lease))
	}
	return admitted, leased
}

// measureAdmitted simulates a fleet and returns its measurements. A single counter for the whole fleet would admit the
// entire demand.
func measureAdmitted(n int, integral bool, placement string, seed uint64) (measured measurement) {
	f := newMeasuredFleet(n, integral, placement, seed)
	peers := make([]string, n-1)
	samples := 0.0
	duration := *simulatedSeconds * second
	for now := int64(1); now < duration; now += requestInterval {
		counted := now >= duration-measuredTime
		for i := range f.ledgers {
			if f.demand[i] == 0 {
				continue // a gateway without demand sends no requests
			}
			copy(peers, f.names[:i])
			copy(peers[i:], f.names[i+1:])
			messages, bytes := f.exchange(i, peers, now)
			if counted {
				measured.messagesPerSecond += messages
				measured.bytesPerSecond += bytes
			}
		}
		if counted {
			admitted, leased := f.admit(now)
			measured.maxLeased = max(measured.maxLeased, leased/totalLimit)
			measured.admitted += admitted / totalLimit
			samples++
		}
	}
	gatewaySeconds := float64(f.demanding) * float64(measuredTime) / float64(second)
	measured.admitted /= samples
	measured.messagesPerSecond /= gatewaySeconds
	measured.bytesPerSecond /= gatewaySeconds
	return measured
}

// TestSizeAdmitted measures which fraction of a demand that equals the limit the gateways admit. A single counter for
// the whole fleet would admit a fraction of 1. By default, the test runs fleets of 12 and 100 gateways with seed 1. The
// full measurement is
//
//	go test ./internal/fleet/limits -run SizeAdmitted -v -limits.sizes 12,100,500,1500,3900 -limits.runs 3
func TestSizeAdmitted(t *testing.T) {
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 2 {
			t.Fatalf("fleet size %q in -limits.sizes is not a number of at least 2: %v", size, err)
		}
		for _, integral := range []bool{true, false} {
			for _, placement := range strings.Split(*demandPlacements, ",") {
				for run := range *runs {
					m := measureAdmitted(n, integral, placement, uint64(run+1))
					t.Logf("gateways %d integral %v demand at %s seed %d: admitted %.4f, leased %.4f, messages/s %.0f, bytes/s %.0f", n, integral, placement,
						run+1, m.admitted, m.maxLeased, m.messagesPerSecond, m.bytesPerSecond)
					if m.maxLeased > 1+1e-9 || m.admitted > m.maxLeased+1e-9 {
						t.Errorf("%d gateways, integral %v, demand at %s: got %v admitted and %v leased, want admitted <= leased <= 1",
							n, integral, placement, m.admitted, m.maxLeased)
					}
				}
			}
		}
	}
}

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

// A probe of limits at the sizes of a fleet: it measures how much of the demand gateways admit (docs/CAPACITY.md has the figures), prints
// it, and fails only where more is admitted than the limit, or where the probe itself is wrong.
var (
	sizes            = flag.String("limits.sizes", "12,100", "fleet sizes of the probe of limits")
	runs             = flag.Int("limits.runs", 1, "seeds 1 to so many for each case")
	simulatedSeconds = flag.Int64("limits.seconds", 16, "seconds of the virtual clock of each case; the last 8 are counted")
	demandPlacements = flag.String("limits.places", "all,tenth,one", "where the demand is")
)

const (
	totalLimit   = 1000.0 // the limit, and the demand in all
	measuredTime = 8 * second
)

// admittedSize is what the probe measures: fractions of the limit, and messages of a gateway with demand.
type admittedSize struct {
	admitted          float64 // mean over measuredTime
	maxLeased         float64 // of any instant
	messagesPerSecond float64 // sent and received, requests and grants
	bytesPerSecond    float64 // of their frames
}

// sizeFleet is a fleet of ledgers that see each other from the start, without loss or latency.
type sizeFleet struct {
	ledgers   []*Ledger
	names     []string
	index     map[string]int
	demand    []float64
	demanding int // gateways with demand
}

// newSizeFleet makes n gateways with the settings of package gossip. The demand, equal to the limit, lies at all of them, at a tenth, or
// at one; where amounts are integral it is dealt out one by one in turn over gateways in random order.
func newSizeFleet(n int, integral bool, placement string, seed uint64) *sizeFleet {
	rng := rand.New(rand.NewPCG(seed, 0x73697a65))
	settings := Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: requestInterval, MaxSettleWait: 15 * second}
	f := &sizeFleet{ledgers: make([]*Ledger, n), names: make([]string, n), index: map[string]int{}, demand: make([]float64, n)}
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

// exchange has gateway i send its requests and take the grants; it returns the number and bytes of both.
func (f *sizeFleet) exchange(i int, peers []string, now int64) (messages, bytes float64) {
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

// admit has all gateways admit what their leases allow; it returns what is admitted and the sum of leases.
func (f *sizeFleet) admit(now int64) (admitted, leased float64) {
	for i, ledger := range f.ledgers {
		lease := ledger.Lease(limitName, now).Now
		leased += lease
		admitted += math.Min(f.demand[i], lease)
		ledger.RecordUsage(limitName, f.demand[i], math.Min(f.demand[i], lease))
	}
	return admitted, leased
}

// measureAdmitted runs a fleet; an oracle's single counter would admit all of the demand.
func measureAdmitted(n int, integral bool, placement string, seed uint64) (measured admittedSize) {
	f := newSizeFleet(n, integral, placement, seed)
	peers := make([]string, n-1)
	samples := 0.0
	duration := *simulatedSeconds * second
	for now := int64(1); now < duration; now += requestInterval {
		counted := now >= duration-measuredTime
		for i := range f.ledgers {
			if f.demand[i] == 0 {
				continue // requests nothing
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

// How much of a demand that equals the limit do gateways admit, against an oracle's 1? The short form is 12 and 100, seed 1; the full one
//
//	go test ./internal/fleet/limits -run SizeAdmitted -v -limits.sizes 12,100,500,1500,3900 -limits.runs 3
func TestSizeAdmitted(t *testing.T) {
	for _, size := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil || n < 2 {
			t.Fatalf("%q: %v", size, err)
		}
		for _, integral := range []bool{true, false} {
			for _, placement := range strings.Split(*demandPlacements, ",") {
				for run := range *runs {
					m := measureAdmitted(n, integral, placement, uint64(run+1))
					t.Logf("gateways %d integral %v demand at %s seed %d: admitted %.4f, leased %.4f, messages/s %.0f, bytes/s %.0f", n, integral, placement,
						run+1, m.admitted, m.maxLeased, m.messagesPerSecond, m.bytesPerSecond)
					if m.maxLeased > 1+1e-9 || m.admitted > m.maxLeased+1e-9 {
						t.Errorf("%d gateways, integral %v, %s: %v admitted, %v leased", n, integral, placement, m.admitted, m.maxLeased)
					}
				}
			}
		}
	}
}

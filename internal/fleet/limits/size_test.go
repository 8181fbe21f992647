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

// A probe of limits at size: it documents what this package does as it stands (docs/CAPACITY.md), prints, and fails only where more is let
// in than the limit, or where the probe itself is wrong.
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

// measureAdmitted plays n gateways that see each other from the start on, no loss, no latency, usual settings (fleet/post's). The demand, equal to the
// limit, lies at all of them, at a tenth, or at one; where numbers are whole it is dealt out one by one in turn over gateways in an
// order by chance. An oracle's one counter would let in all of it. Told: the part let in, mean over the last 8 s; the most of any
// instant; messages a second that a gateway with demand sends and gets (asks and answers), and their bytes with headers of frames.
func measureAdmitted(n int, whole bool, place string, seed uint64) (in, most, messages, bytes float64) {
	chance := rand.New(rand.NewPCG(seed, 0x73697a65))
	usual := Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: second / 4, MaxSettleWait: 15 * second}
	books, names, at := make([]*Ledger, n), make([]string, n), map[string]int{}
	demand := make([]float64, n)
	for i := range n {
		names[i] = fmt.Sprintf("n%04d", i)
		at[names[i]] = i
		books[i] = New(usual, rand.New(rand.NewPCG(seed, uint64(i)+1)), 1)
		books[i].SetLimits(map[string]Limit{"l": {Total: totalLimit, Integral: whole}})
		books[i].UpdateFleet(FleetState{Size: n, Rank: i, Settled: true}, 1)
	}
	wants := chance.Perm(n)[:map[string]int{"all": n, "tenth": max(1, n/10), "one": 1}[place]]
	if whole {
		for k := range int(totalLimit) {
			demand[wants[k%len(wants)]]++
		}
	} else {
		for _, i := range wants {
			demand[i] = totalLimit / float64(len(wants))
		}
	}
	for i, d := range demand {
		books[i].RecordUsage("l", d, 0)
	}
	peers := make([]string, n-1)
	var sent, size float64
	looks := 0.0
	playFor := *simulatedSeconds * second
	for now := int64(1); now < playFor; now += usual.RequestInterval {
		counted := now >= playFor-measuredTime
		for i, b := range books {
			if demand[i] == 0 {
				continue // asks for nothing
			}
			copy(peers, names[:i])
			copy(peers[i:], names[i+1:])
			for _, a := range b.Requests(peers, now) {
				g, ok := books[at[a.To]].HandleRequest(names[i], a, now)
				if ok {
					b.HandleGrant(a.To, g, now)
				}
				if counted {
					sent += 2
					size += float64(len(Frame{Entries: []Entry{{ID: a.ID, Amount: a.Amount}}}.Append(nil)) + len(Frame{IsGrant: true, Entries: []Entry{{ID: g.ID}}}.Append(nil)))
				}
			}
		}
		if counted {
			var sum, right float64
			for i, b := range books {
				may := b.Lease("l", now).Now
				right += may
				sum += math.Min(demand[i], may)
				b.RecordUsage("l", demand[i], math.Min(demand[i], may))
			}
			most = max(most, right/totalLimit)
			in += sum / totalLimit
			looks++
		}
	}
	a := float64(len(wants)) * float64(measuredTime) / float64(second)
	return in / looks, most, sent / a, size / a
}

// What of a demand that is all of the limit do gateways let in, against an oracle's 1? The short form is 12 and 100, seed 1; the whole
//
//	go test ./fleet/limits -run SizeLet -v -limits.sizes 12,100,500,1500,3900 -limits.runs 3
func TestSizeAdmitted(t *testing.T) {
	for _, word := range strings.Split(*sizes, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 2 {
			t.Fatalf("%q: %v", word, err)
		}
		for _, whole := range []bool{true, false} {
			for _, place := range strings.Split(*demandPlacements, ",") {
				for run := range *runs {
					in, most, messages, bytes := measureAdmitted(n, whole, place, uint64(run+1))
					t.Logf("gateways %d whole %v demand at %s seed %d: let in %.4f, right in all %.4f, messages/s %.0f, bytes/s %.0f", n, whole, place, run+1,
						in, most, messages, bytes)
					if most > 1+1e-9 || in > most+1e-9 {
						t.Errorf("%d gateways, whole %v, %s: %v let in, right to %v", n, whole, place, in, most)
					}
				}
			}
		}
	}
}

package limits

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const (
	second    = int64(1_000_000) // microseconds
	limitName = "l"
)

var testSettings = Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: second / 4, MaxSettleWait: 10 * second}

// gateway is a gateway of the model fleet. Gateways on different sides of a network split cannot reach each other.
type gateway struct {
	name    string
	ledger  *Ledger
	side    int
	running bool
}

// fleet is a model of a fleet. All gateways immediately agree on the known members. The network delays, repeats and
// loses messages.
type fleet struct {
	t        *rapid.T
	now      int64
	rng      *rand.Rand
	gateways []*gateway
	total    Amount
	integral bool
	inFlight []func()
	expected int
}

func (f *fleet) addGateway() *gateway {
	g := &gateway{name: fmt.Sprintf("g%02d", len(f.gateways)), running: true}
	g.ledger = f.newLedger()
	f.gateways = append(f.gateways, g)
	return g
}

func (f *fleet) newLedger() *Ledger {
	ledger := New(testSettings, rand.New(rand.NewPCG(f.rng.Uint64(), 1)), f.now)
	ledger.SetLimits(map[string]Limit{limitName: {Total: f.total, Integral: f.integral}})
	return ledger
}

// updateFleet updates each running gateway with the fleet state of its view. All known members count, including
// unreachable ones.
func (f *fleet) updateFleet() {
	for i, g := range f.gateways {
		if !g.running {
			continue
		}
		live := 0
		for _, other := range f.gateways {
			if other.running && other.side == g.side {
				live++
			}
		}
		size := max(len(f.gateways), f.expected)
		g.ledger.UpdateFleet(FleetState{Size: size, NotLive: size - live, Rank: i, Settled: true}, f.now)
	}
}

// step sends the requests of all running gateways and then delivers the messages that were delayed earlier.
func (f *fleet) step() {
	for _, g := range f.gateways {
		if !g.running {
			continue
		}
		var peers []string
		for _, other := range f.gateways {
			if other != g && other.side == g.side && other.running {
				peers = append(peers, other.name)
			}
		}
		for _, request := range g.ledger.Requests(peers, f.now) {
			f.send(g, request)
		}
	}
	delayed := f.inFlight
	f.inFlight = nil
	for _, deliver := range delayed {
		deliver()
	}
}

func (f *fleet) lease(g *gateway) Lease { return g.ledger.Lease(limitName, f.now) }

func (f *fleet) gatewayNamed(name string) *gateway {
	for _, g := range f.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// send sends a request and, if it arrives and is answered, its grant.
func (f *fleet) send(from *gateway, request Request) {
	to := f.gatewayNamed(request.To)
	f.deliver(func() {
		if !to.running || to.side != from.side {
			return
		}
		grant, ok := to.ledger.HandleRequest(from.name, request, f.now)
		if !ok {
			return
		}
		f.deliver(func() {
			if from.running && to.side == from.side {
				from.ledger.HandleGrant(to.name, grant, f.now)
			}
		})
	})
}

// deliver delivers a message immediately, twice in the next delivery of delayed messages, once in the delivery after
// that, or never.
func (f *fleet) deliver(message func()) {
	switch f.rng.IntN(10) {
	case 0:
	case 1:
		f.inFlight = append(f.inFlight, message, message)
	case 2, 3:
		f.inFlight = append(f.inFlight, func() { f.inFlight = append(f.inFlight, message) })
	default:
		message()
	}
}

// leased returns the sum of the leases of all running gateways.
func (f *fleet) leased() (sum Amount) {
	for _, g := range f.gateways {
		if g.running {
			sum += f.lease(g).Granted
		}
	}
	return sum
}

// TestLeasesNeverAddUpToMoreThanTheLimit checks that the sum of the leases of all running gateways never exceeds the
// limit as long as all gateways know each other. Messages are lost, repeated and delayed, the network splits, and
// processes are killed and restarted.
func TestLeasesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: 1, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7)), integral: rapid.Bool().Draw(t, "integral")}
		f.total = Amount(rapid.IntRange(1, 300).Draw(t, "limit"))
		for range rapid.IntRange(1, 14).Draw(t, "gateways") {
			f.addGateway()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			g := f.gateways[rapid.IntRange(0, len(f.gateways)-1).Draw(t, "gateway")]
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				g.side = rapid.IntRange(0, 2).Draw(t, "side")
			case 1: // the process is killed and loses its ledger
				g.running = false
			case 2:
				if !g.running {
					g.running = true
					g.ledger = f.newLedger()
				}
			case 3:
				g.ledger.RecordUsage(limitName, Amount(rapid.IntRange(0, 400).Draw(t, "demand")), 0)
			case 4: // a gateway joins and is immediately known to all; another test covers joins during a network cut
				isSplit := false
				for _, g := range f.gateways {
					isSplit = isSplit || g.side != f.gateways[0].side
				}
				if !isSplit && len(f.gateways) < 20 {
					f.addGateway().side = f.gateways[0].side
				}
			}
			f.now += rapid.Int64Range(1, 2*second).Draw(t, "elapsed")
			f.updateFleet()
			f.step()
			if got := f.leased(); got > f.total+1e-6 {
				t.Fatalf("sum of all leases: got %v, want at most the limit of %v", got, f.total)
			}
		}
	})
}

// run advances the fleet by the given number of microseconds.
func (f *fleet) run(duration int64) {
	for end := f.now + duration; f.now < end; f.now += second / 10 {
		f.updateFleet()
		f.step()
	}
}

// newSettledFleet returns a fleet of n gateways that may all use their whole quota.
func newSettledFleet(n int, total Amount, integral bool) *fleet {
	f := &fleet{now: 1, rng: rand.New(rand.NewPCG(3, 7)), total: total, integral: integral}
	for range n {
		f.addGateway()
	}
	f.run(5 * second)
	return f
}

func TestFloodThroughOneGatewayBorrowsMostOfTheLimit(t *testing.T) {
	f := newSettledFleet(12, 1200, false)
	f.gateways[0].ledger.RecordUsage(limitName, 5000, 100)
	f.run(10 * second)
	if got := f.lease(f.gateways[0]).Granted; got < 800 || f.leased() > 1200 {
		t.Errorf("lease of the gateway under load: got %v, want at least 800; sum of all leases: got %v, want at most 1200",
			got, f.leased())
	}
}

func TestFloodOnBothSidesOfASplitStaysWithinTheLimit(t *testing.T) {
	f := newSettledFleet(12, 1200, false)
	for i, g := range f.gateways {
		if i < 3 {
			g.side = 1
		}
		g.ledger.RecordUsage(limitName, 5000, 100)
	}
	for range 100 {
		f.run(second / 2)
		if f.leased() > 1200+1e-6 {
			t.Fatalf("sum of all leases: got %v, want at most 1200", f.leased())
		}
	}
}

func TestRestartedGatewayDoesNotUseWhatWasLentBefore(t *testing.T) {
	f := newSettledFleet(2, 100, false)
	f.gateways[0].ledger.RecordUsage(limitName, 500, 50)
	f.run(3 * second)
	if f.lease(f.gateways[0]).Granted <= 50 {
		t.Fatal("the gateway under load did not borrow beyond its quota of 50")
	}
	f.gateways[1].ledger = f.newLedger() // a restart loses the record of the loan
	f.updateFleet()
	if got := f.leased(); got > 100 {
		t.Errorf("sum of all leases right after the restart: got %v, want at most 100", got)
	}
	f.gateways[0].ledger.RecordUsage(limitName, 10, 10)
	f.run(10 * second)
	if got := f.lease(f.gateways[1]).Granted; got != 50 {
		t.Errorf("lease of the restarted gateway after the first loan duration: got %v, want its quota of 50", got)
	}
}

func TestPausedGatewayFallsBackToOwnQuota(t *testing.T) {
	f := newSettledFleet(12, 1200, false)
	f.gateways[0].ledger.RecordUsage(limitName, 5000, 100)
	f.run(3 * second)
	lease := f.lease(f.gateways[0])
	if lease.Fallback != 100 || lease.ExpiresAt > f.now+testSettings.LoanDuration || lease.Granted <= lease.Fallback {
		t.Errorf("lease: got %+v, want a Fallback of 100, a larger Granted, and ExpiresAt within the loan duration", lease)
	}
}

func TestJoiningDuringACutExceedsByTheStatedBoundOnly(t *testing.T) {
	f := newSettledFleet(12, 1200, false)
	for _, g := range f.gateways[:3] {
		g.side = 1
	}
	// The three gateways that are cut off do not learn of the 12 that join. They keep the quotas of a fleet of 12.
	cut := f.gateways[:3]
	for range 12 {
		f.addGateway()
	}
	for end := f.now + 20*second; f.now < end; f.now += second / 10 {
		f.updateFleet()
		for _, g := range cut {
			g.ledger.UpdateFleet(FleetState{Size: 12, NotLive: 9, Settled: true}, f.now)
		}
	}
	want := 3.0 * 12 / (12 * 24)
	if got := f.leased()/1200 - 1; math.Abs(got-want) > 1e-6 || math.Abs(f.gateways[10].ledger.MaxExcess()-want) > 1e-6 {
		t.Errorf("excess over the limit: got %v and MaxExcess %v, want %v for both", got, f.gateways[10].ledger.MaxExcess(), want)
	}
}

func TestIntegralLimitIsDividedWithoutRemainder(t *testing.T) {
	for _, total := range []Amount{1, 5, 12, 30} {
		f := newSettledFleet(12, total, true)
		if f.leased() != total {
			t.Errorf("sum of all leases: got %v, want the limit of %v", f.leased(), total)
		}
	}
}

func TestFramesRoundTrip(t *testing.T) {
	f := Frame{SenderKey: 7, IsGrant: true, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}, {6, 7, 0, 0, 0, 0}}}
	b := f.Append(nil)
	got, err := ParseFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("decoded frame: got %+v and error %v, want the encoded frame", got, err)
	}
	for n := range b {
		if _, err := ParseFrame(b[:n]); err == nil {
			t.Errorf("the first %d of %d bytes were decoded without an error", n, len(b))
		}
	}
	if _, err := ParseFrame(Frame{Entries: []Entry{{Amount: math.Inf(1)}}}.Append(nil)); err == nil {
		t.Error("an infinite amount was decoded without an error")
	}
}

func FuzzParseFrame(f *testing.F) {
	f.Add(Frame{SenderKey: 7, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if frame, err := ParseFrame(b); err == nil && !bytes.Equal(frame.Append(nil), b) {
			t.Errorf("the decoded frame does not encode to the same bytes: %x", b)
		}
	})
}

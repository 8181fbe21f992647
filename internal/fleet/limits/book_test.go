package limits

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1_000_000)

var testSettings = Settings{LoanDuration: 4 * second, MaxLentFraction: 0.8, RequestInterval: second / 4, MaxSettleWait: 10 * second}

// gateway is one in a model fleet: a book, whether it runs, whether others hear it.
type gateway struct {
	name    string
	ledger  *Ledger
	side    int
	running bool
}

// fleet is a model of gateways that agree at once on who is known, and of asks and grants that come late, twice or never.
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
	b := New(testSettings, rand.New(rand.NewPCG(f.rng.Uint64(), 1)), f.now)
	b.SetLimits(map[string]Limit{"l": {Total: f.total, Integral: f.integral}})
	return b
}

// updateFleet tells each what the view would: all who are known count, also who cannot be heard; settled where the side agrees.
func (f *fleet) updateFleet() {
	for i, g := range f.gateways {
		if !g.running {
			continue
		}
		live := 0
		for _, o := range f.gateways {
			if o.running && o.side == g.side {
				live++
			}
		}
		g.ledger.UpdateFleet(FleetState{Size: max(len(f.gateways), f.expected), NotLive: max(len(f.gateways), f.expected) - live, Rank: i, Settled: true}, f.now)
	}
}

func (f *fleet) step() {
	for _, g := range f.gateways {
		if !g.running {
			continue
		}
		var peers []string
		for _, o := range f.gateways {
			if o != g && o.side == g.side && o.running {
				peers = append(peers, o.name)
			}
		}
		for _, a := range g.ledger.Requests(peers, f.now) {
			f.send(g, a)
		}
	}
	flying := f.inFlight
	f.inFlight = nil
	for _, m := range flying {
		m()
	}
}

func (f *fleet) gatewayNamed(name string) *gateway {
	for _, g := range f.gateways {
		if g.name == name {
			return g
		}
	}
	return nil
}

// send brings an ask, and the grant back: now, a turn or more later, twice, or never.
func (f *fleet) send(from *gateway, a Request) {
	to := f.gatewayNamed(a.To)
	grant := func() {
		if !to.running || to.side != from.side {
			return
		}
		g, ok := to.ledger.HandleRequest(from.name, a, f.now)
		if !ok {
			return
		}
		back := func() {
			if from.running && to.side == from.side {
				from.ledger.HandleGrant(to.name, g, f.now)
			}
		}
		f.deliver(back)
	}
	f.deliver(grant)
}

func (f *fleet) deliver(m func()) {
	switch f.rng.IntN(10) {
	case 0:
	case 1:
		f.inFlight = append(f.inFlight, m, m)
	case 2, 3:
		f.inFlight = append(f.inFlight, func() { f.inFlight = append(f.inFlight, m) })
	default:
		m()
	}
}

func (f *fleet) leased() (all Amount) {
	for _, g := range f.gateways {
		if g.running {
			all += g.ledger.Lease("l", f.now).Now
		}
	}
	return all
}

// The bound: whatever links and processes do, the leases of all that run never add up to more than the limit, where all are known to all.
func TestLeasesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: 1, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "chance"), 7)), integral: rapid.Bool().Draw(t, "whole")}
		f.total = Amount(rapid.IntRange(1, 300).Draw(t, "limit"))
		for range rapid.IntRange(1, 14).Draw(t, "gateways") {
			f.addGateway()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			who := f.gateways[rapid.IntRange(0, len(f.gateways)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				who.side = rapid.IntRange(0, 2).Draw(t, "side")
			case 1: // killed, and everything forgotten at the next start
				who.running = false
			case 2:
				if !who.running {
					who.running, who.ledger = true, f.newLedger()
				}
			case 3:
				who.ledger.RecordUsage("l", Amount(rapid.IntRange(0, 400).Draw(t, "wanted")), 0)
			case 4: // a newcomer, known to all at once; while somebody is cut off that is another story
				whole := true
				for _, g := range f.gateways {
					whole = whole && g.side == f.gateways[0].side
				}
				if whole && len(f.gateways) < 20 {
					f.addGateway().side = f.gateways[0].side
				}
			}
			f.now += rapid.Int64Range(1, 2*second).Draw(t, "passes")
			f.updateFleet()
			f.step()
			if got := f.leased(); got > f.total+1e-6 {
				t.Fatalf("%v of a limit of %v", got, f.total)
			}
		}
	})
}

// play lets the fleet go on so long.
func (f *fleet) play(d int64) {
	for end := f.now + d; f.now < end; f.now += second / 10 {
		f.updateFleet()
		f.step()
	}
}

func model(n int, all Amount, whole bool) *fleet {
	f := &fleet{now: 1, rng: rand.New(rand.NewPCG(3, 7)), total: all, integral: whole}
	for range n {
		f.addGateway()
	}
	f.play(5 * second)
	return f
}

func TestFloodThroughOneGatewayBorrowsMostOfTheLimit(t *testing.T) {
	f := model(12, 1200, false)
	f.gateways[0].ledger.RecordUsage("l", 5000, 100)
	f.play(10 * second)
	if got := f.gateways[0].ledger.Lease("l", f.now).Now; got < 800 || f.leased() > 1200 {
		t.Errorf("it may let in %v of 1200, all together %v", got, f.leased())
	}
}

func TestFloodOnBothSidesOfASplitStaysWithinTheLimit(t *testing.T) {
	f := model(12, 1200, false)
	for i, g := range f.gateways {
		if i < 3 {
			g.side = 1
		}
		g.ledger.RecordUsage("l", 5000, 100)
	}
	for range 100 {
		f.play(second / 2)
		if f.leased() > 1200+1e-6 {
			t.Fatalf("%v of 1200", f.leased())
		}
	}
}

func TestRestartedGatewayDoesNotUseWhatWasLentBefore(t *testing.T) {
	f := model(2, 100, false)
	f.gateways[0].ledger.RecordUsage("l", 500, 50)
	f.play(3 * second)
	if f.gateways[0].ledger.Lease("l", f.now).Now <= 50 {
		t.Fatal("nothing was borrowed")
	}
	f.gateways[1].ledger = f.newLedger() // killed and started: it forgot the loan
	f.updateFleet()
	if got := f.leased(); got > 100 {
		t.Errorf("%v of 100", got)
	}
	f.gateways[0].ledger.RecordUsage("l", 10, 10)
	f.play(10 * second)
	if got := f.gateways[1].ledger.Lease("l", f.now).Now; got != 50 {
		t.Errorf("after its time it has %v of its 50", got)
	}
}

func TestPausedGatewayFallsBackToOwnQuota(t *testing.T) {
	f := model(12, 1200, false)
	f.gateways[0].ledger.RecordUsage("l", 5000, 100)
	f.play(3 * second)
	lease := f.gateways[0].ledger.Lease("l", f.now)
	if lease.Then != 100 || lease.Until > f.now+testSettings.LoanDuration || lease.Now <= lease.Then {
		t.Errorf("%+v", lease)
	}
}

func TestJoiningDuringACutExceedsByTheStatedBoundOnly(t *testing.T) {
	f := model(12, 1200, false)
	for _, g := range f.gateways[:3] {
		g.side = 1
	}
	// The three do not hear of the twelve that come: they go on as in a fleet of 12.
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
		t.Errorf("over by %v, the book says %v, the formula %v", got, f.gateways[10].ledger.MaxExcess(), want)
	}
}

func TestIntegralLimitIsDividedWithoutRemainder(t *testing.T) {
	for _, all := range []Amount{1, 5, 12, 30} {
		f := model(12, all, true)
		if f.leased() != all {
			t.Errorf("%v of %v", f.leased(), all)
		}
	}
}

func TestFramesRoundTrip(t *testing.T) {
	f := Frame{SenderKey: 7, IsGrant: true, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}, {6, 7, 0, 0, 0, 0}}}
	b := f.Append(nil)
	got, err := ParseFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("%+v %v", got, err)
	}
	for n := range b {
		if _, err := ParseFrame(b[:n]); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(b))
		}
	}
	if _, err := ParseFrame(Frame{Entries: []Entry{{Amount: math.Inf(1)}}}.Append(nil)); err == nil {
		t.Error("an endless amount is taken")
	}
}

func FuzzParseFrame(f *testing.F) {
	f.Add(Frame{SenderKey: 7, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := ParseFrame(b); err == nil && !bytes.Equal(fr.Append(nil), b) {
			t.Errorf("%x", b)
		}
	})
}

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

var set = Settings{Loan: 4 * second, Lend: 0.8, Turn: second / 4, Wait: 10 * second}

// gateway is one in a model fleet: a book, whether it runs, whether others hear it.
type gateway struct {
	name string
	book *Book
	side int
	runs bool
}

// fleet is a model of gateways that agree at once on who is known, and of asks and grants that come late, twice or never.
type fleet struct {
	t      *rapid.T
	now    int64
	chance *rand.Rand
	all    []*gateway
	all0   Amount
	whole  bool
	flying []func()
	expect int
}

func (f *fleet) add() *gateway {
	g := &gateway{name: fmt.Sprintf("g%02d", len(f.all)), runs: true}
	g.book = f.book()
	f.all = append(f.all, g)
	return g
}

func (f *fleet) book() *Book {
	b := New(set, rand.New(rand.NewPCG(f.chance.Uint64(), 1)), f.now)
	b.Set(map[string]Limit{"l": {All: f.all0, Whole: f.whole}})
	return b
}

// see tells each what the view would: all who are known count, also who cannot be heard; settled where the side agrees.
func (f *fleet) see() {
	for i, g := range f.all {
		if !g.runs {
			continue
		}
		live := 0
		for _, o := range f.all {
			if o.runs && o.side == g.side {
				live++
			}
		}
		g.book.See(Standing{Fleet: max(len(f.all), f.expect), Dead: max(len(f.all), f.expect) - live, Rank: i, Settled: true}, f.now)
	}
}

func (f *fleet) turn() {
	for _, g := range f.all {
		if !g.runs {
			continue
		}
		var peers []string
		for _, o := range f.all {
			if o != g && o.side == g.side && o.runs {
				peers = append(peers, o.name)
			}
		}
		for _, a := range g.book.Asks(peers, f.now) {
			f.send(g, a)
		}
	}
	flying := f.flying
	f.flying = nil
	for _, m := range flying {
		m()
	}
}

func (f *fleet) at(name string) *gateway {
	for _, g := range f.all {
		if g.name == name {
			return g
		}
	}
	return nil
}

// send brings an ask, and the grant back: now, a turn or more later, twice, or never.
func (f *fleet) send(from *gateway, a Ask) {
	to := f.at(a.To)
	grant := func() {
		if !to.runs || to.side != from.side {
			return
		}
		g, ok := to.book.Lend(from.name, a, f.now)
		if !ok {
			return
		}
		back := func() {
			if from.runs && to.side == from.side {
				from.book.Took(to.name, g, f.now)
			}
		}
		f.way(back)
	}
	f.way(grant)
}

func (f *fleet) way(m func()) {
	switch f.chance.IntN(10) {
	case 0:
	case 1:
		f.flying = append(f.flying, m, m)
	case 2, 3:
		f.flying = append(f.flying, func() { f.flying = append(f.flying, m) })
	default:
		m()
	}
}

func (f *fleet) sum() (all Amount) {
	for _, g := range f.all {
		if g.runs {
			all += g.book.Lease("l", f.now).Now
		}
	}
	return all
}

// The bound: whatever links and processes do, the leases of all that run never add up to more than the limit, where all are known to all.
func TestLeasesNeverAddUpToMoreThanTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: 1, chance: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "chance"), 7)), whole: rapid.Bool().Draw(t, "whole")}
		f.all0 = Amount(rapid.IntRange(1, 300).Draw(t, "limit"))
		for range rapid.IntRange(1, 14).Draw(t, "gateways") {
			f.add()
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			who := f.all[rapid.IntRange(0, len(f.all)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				who.side = rapid.IntRange(0, 2).Draw(t, "side")
			case 1: // killed, and everything forgotten at the next start
				who.runs = false
			case 2:
				if !who.runs {
					who.runs, who.book = true, f.book()
				}
			case 3:
				who.book.Used("l", Amount(rapid.IntRange(0, 400).Draw(t, "wanted")), 0)
			case 4: // a newcomer, known to all at once; while somebody is cut off that is another story
				whole := true
				for _, g := range f.all {
					whole = whole && g.side == f.all[0].side
				}
				if whole && len(f.all) < 20 {
					f.add().side = f.all[0].side
				}
			}
			f.now += rapid.Int64Range(1, 2*second).Draw(t, "passes")
			f.see()
			f.turn()
			if got := f.sum(); got > f.all0+1e-6 {
				t.Fatalf("%v of a limit of %v", got, f.all0)
			}
		}
	})
}

// play lets the fleet go on so long.
func (f *fleet) play(d int64) {
	for end := f.now + d; f.now < end; f.now += second / 10 {
		f.see()
		f.turn()
	}
}

func model(n int, all Amount, whole bool) *fleet {
	f := &fleet{now: 1, chance: rand.New(rand.NewPCG(3, 7)), all0: all, whole: whole}
	for range n {
		f.add()
	}
	f.play(5 * second)
	return f
}

func TestAFloodThroughOneGatewayMayUseMostOfTheLimit(t *testing.T) {
	f := model(12, 1200, false)
	f.all[0].book.Used("l", 5000, 100)
	f.play(10 * second)
	if got := f.all[0].book.Lease("l", f.now).Now; got < 800 || f.sum() > 1200 {
		t.Errorf("it may let in %v of 1200, all together %v", got, f.sum())
	}
}

func TestAFloodOnBothSidesOfASplitStaysWithinTheLimit(t *testing.T) {
	f := model(12, 1200, false)
	for i, g := range f.all {
		if i < 3 {
			g.side = 1
		}
		g.book.Used("l", 5000, 100)
	}
	for range 100 {
		f.play(second / 2)
		if f.sum() > 1200+1e-6 {
			t.Fatalf("%v of 1200", f.sum())
		}
	}
}

func TestOneThatStartsAnewDoesNotUseWhatItLentBefore(t *testing.T) {
	f := model(2, 100, false)
	f.all[0].book.Used("l", 500, 50)
	f.play(3 * second)
	if f.all[0].book.Lease("l", f.now).Now <= 50 {
		t.Fatal("nothing was borrowed")
	}
	f.all[1].book = f.book() // killed and started: it forgot the loan
	f.see()
	if got := f.sum(); got > 100 {
		t.Errorf("%v of 100", got)
	}
	f.all[0].book.Used("l", 10, 10)
	f.play(10 * second)
	if got := f.all[1].book.Lease("l", f.now).Now; got != 50 {
		t.Errorf("after its time it has %v of its 50", got)
	}
}

func TestOneThatStoodStillFallsBackToItsOwnPart(t *testing.T) {
	f := model(12, 1200, false)
	f.all[0].book.Used("l", 5000, 100)
	f.play(3 * second)
	lease := f.all[0].book.Lease("l", f.now)
	if lease.Then != 100 || lease.Until > f.now+set.Loan || lease.Now <= lease.Then {
		t.Errorf("%+v", lease)
	}
}

func TestJoiningWhileSomeAreCutOffIsOverByTheStatedPartAndNoMore(t *testing.T) {
	f := model(12, 1200, false)
	for _, g := range f.all[:3] {
		g.side = 1
	}
	// The three do not hear of the twelve that come: they go on as in a fleet of 12.
	cut := f.all[:3]
	for range 12 {
		f.add()
	}
	for end := f.now + 20*second; f.now < end; f.now += second / 10 {
		f.see()
		for _, g := range cut {
			g.book.See(Standing{Fleet: 12, Dead: 9, Settled: true}, f.now)
		}
	}
	want := 3.0 * 12 / (12 * 24)
	if got := f.sum()/1200 - 1; math.Abs(got-want) > 1e-6 || math.Abs(f.all[10].book.Over()-want) > 1e-6 {
		t.Errorf("over by %v, the book says %v, the formula %v", got, f.all[10].book.Over(), want)
	}
}

func TestWholeNumbersAreSharedOutWithoutRest(t *testing.T) {
	for _, all := range []Amount{1, 5, 12, 30} {
		f := model(12, all, true)
		if f.sum() != all {
			t.Errorf("%v of %v", f.sum(), all)
		}
	}
}

func TestFramesComeBackAsTheyWere(t *testing.T) {
	f := Frame{From: 7, Grants: true, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}, {6, 7, 0, 0, 0, 0}}}
	b := f.Append(nil)
	got, err := ReadFrame(b)
	if err != nil || fmt.Sprint(got) != fmt.Sprint(f) {
		t.Errorf("%+v %v", got, err)
	}
	for n := range b {
		if _, err := ReadFrame(b[:n]); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(b))
		}
	}
	if _, err := ReadFrame(Frame{Entries: []Entry{{Amount: math.Inf(1)}}}.Append(nil)); err == nil {
		t.Error("an endless amount is taken")
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(Frame{From: 7, Entries: []Entry{{1, 2, 8, 3.5, 4, 5}}}.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, err := ReadFrame(b); err == nil && !bytes.Equal(fr.Append(nil), b) {
			t.Errorf("%x", b)
		}
	})
}

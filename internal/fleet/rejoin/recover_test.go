package rejoin

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

var set = Settings{First: second / 5, Most: 10 * second, Rejoin: 5 * second, RejoinMost: 60 * second, Differ: second,
	Claim: 30 * second, ClaimMost: 300 * second}

func desk(seed uint64) *Desk { return New(set, rand.New(rand.NewPCG(seed, 1)), 1) }

func nobody() []string { return nil }

// calls plays so long and counts calls by address.
func calls(d *Desk, from, to int64, s Sight, differ func() []string) map[string]int {
	n := map[string]int{}
	for now := from; now < to; now += second / 10 {
		if c, ok := d.Next(now, s, differ); ok {
			n[c.Addr]++
		}
	}
	return n
}

func addrs(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}

func TestAloneItGoesRoundAllItKnowsEverSlower(t *testing.T) {
	d := desk(1)
	s := Sight{Self: "me", Seeds: []string{"me", "s1", "s2"}, Lost: []Lost{{Addr: "old"}}}
	early := calls(d, 1, 5*second, s, nobody)
	if len(early) != 3 || early["me"] > 0 {
		t.Errorf("within 5 s it called %v", early)
	}
	late := calls(d, 100*second, 200*second, s, nobody)
	if n := late["s1"] + late["s2"] + late["old"]; n < 10 || n > 60 {
		t.Errorf("after long it called %v in 100 s; one each 0 to 10 s is right", late)
	}
}

func TestWhoFoundCompanyStillLooksForTheOtherSeeds(t *testing.T) {
	d := desk(2)
	s := Sight{Self: "me", Seeds: []string{"s1", "s2"}}
	calls(d, 1, 3*second, s, nobody) // both called, in vain: not up yet
	s.Live = []string{"x"}           // another one called this gateway
	if n := calls(d, 3*second, 10*second, s, nobody); n["s1"] == 0 || n["s2"] == 0 {
		t.Errorf("an island: it called %v", n)
	}
}

func TestOneDeadGatewayIsNotCalledByAllOfALargeFleet(t *testing.T) {
	sum := 0
	for seed := range uint64(500) {
		s := Sight{Live: addrs("g", 498), Lost: []Lost{{Addr: "dead", Since: 1}}}
		sum += calls(desk(seed), second, 21*second, s, nobody)["dead"]
	}
	if sum < 8 || sum > 40 { // 20 s are four turns of some crowd calls
		t.Errorf("500 gateways called it %d times in 20 s", sum)
	}
}

func TestAHalfThatLostTheOtherCallsWithAllItHas(t *testing.T) {
	s := Sight{Live: addrs("g", 5), Lost: nil}
	for _, a := range addrs("lost", 6) {
		s.Lost = append(s.Lost, Lost{Addr: a, Since: 1})
	}
	n := 0
	for _, k := range calls(desk(3), second, 61*second, s, nobody) {
		n += k
	}
	if n < 9 || n > 17 { // every Rejoin, give or take a quarter
		t.Errorf("%d calls in 60 s", n)
	}
}

func TestTheLongLostAreCalledSeldom(t *testing.T) {
	s := Sight{Live: []string{"x"}, Lost: []Lost{{Addr: "dead", Since: 1}}}
	d := desk(4)
	n := calls(d, 3600*second, 4200*second, s, nobody)["dead"]
	if n < 7 || n > 11 { // each RejoinMost
		t.Errorf("an hour after its death it is called %d times in 600 s", n)
	}
}

func TestALostOneThatSomebodyHeardIsCalledAtOnce(t *testing.T) {
	d := desk(5)
	s := Sight{Live: addrs("g", 100), Lost: []Lost{{Addr: "lost", Since: 10 * second}}}
	d.Next(11*second, s, nobody)
	s.Lost[0].Heard = 12 * second
	if c, ok := d.Next(12*second+1, s, nobody); !ok || c != (Call{"lost", Heard}) {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := d.Next(12*second+2, s, nobody); ok {
		t.Error("and again")
	}
}

func TestWhoMissedSomethingCallsAndTheOthersLeaveItToThatOne(t *testing.T) {
	all := addrs("g", 99)
	missed := calls(desk(6), second, 4*second, Sight{Live: all}, func() []string { return all })
	if len(missed) == 0 {
		t.Error("who sees all others differ does not call")
	}
	sum := 0
	for seed := range uint64(99) {
		for _, n := range calls(desk(seed), second, 3*second, Sight{Live: all}, func() []string { return all[:1] }) {
			sum += n
		}
	}
	if sum > 24 { // some crowd a turn, two turns
		t.Errorf("99 gateways called the one that differs %d times in 2 s", sum)
	}
}

func TestAwakeItCallsALiveOne(t *testing.T) {
	d := desk(7)
	s := Sight{Live: []string{"x"}}
	d.Next(second, s, nobody)
	d.Woke()
	if c, ok := d.Next(second+1, s, nobody); !ok || c != (Call{"x", Awake}) {
		t.Errorf("%+v %v", c, ok)
	}
}

func TestOfTwoStampsExactlyOneYields(t *testing.T) {
	if Yields(1, 2) || !Yields(2, 1) {
		t.Error("the later one must yield, the earlier one must not")
	}
	d := desk(8)
	wait := d.Claimed(second)
	if _, ok := d.Next(2*second, Sight{Seeds: []string{"s"}}, nobody); ok || !d.Away() {
		t.Error("it calls under a name that is not its own")
	}
	if d.Reclaim(second+wait-1) || !d.Reclaim(second+wait) || d.Away() {
		t.Error("it does not come back in its time")
	}
	if again := d.Claimed(100 * second); again < 45*second {
		t.Errorf("the second time it waits %d us", again)
	}
}

func TestWhatWasCalledIsForgottenWithIt(t *testing.T) {
	d := desk(9)
	for i := range 1000 {
		s := Sight{Live: []string{"x"}, Lost: []Lost{{Addr: fmt.Sprint("lost", i), Since: 1, Heard: 2}}}
		d.Next(int64(i)*10*second, s, nobody)
	}
	if d.Called() > 2 {
		t.Errorf("%d addresses are kept", d.Called())
	}
}

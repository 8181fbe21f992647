package rejoin

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

var testSettings = Settings{InitialBackoff: second / 5, MaxBackoff: 10 * second, RejoinInterval: 5 * second, MaxRejoinInterval: 60 * second, DifferInterval: second,
	InitialNameBackoff: 30 * second, MaxNameBackoff: 300 * second}

func newScheduler(seed uint64) *Scheduler {
	return New(testSettings, rand.New(rand.NewPCG(seed, 1)), 1)
}

func noDiffering() []string { return nil }

// contactsByAddr plays so long and counts calls by address.
func contactsByAddr(d *Scheduler, from, to int64, s Peers, differ func() []string) map[string]int {
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

func TestAloneContactsAllAddressesWithBackoff(t *testing.T) {
	d := newScheduler(1)
	s := Peers{Self: "me", Seeds: []string{"me", "s1", "s2"}, Lost: []Lost{{Addr: "old"}}}
	early := contactsByAddr(d, 1, 5*second, s, noDiffering)
	if len(early) != 3 || early["me"] > 0 {
		t.Errorf("within 5 s it called %v", early)
	}
	late := contactsByAddr(d, 100*second, 200*second, s, noDiffering)
	if n := late["s1"] + late["s2"] + late["old"]; n < 10 || n > 60 {
		t.Errorf("after long it called %v in 100 s; one each 0 to 10 s is right", late)
	}
}

func TestMissingSeedsAreContactedAfterTheFirstPeer(t *testing.T) {
	d := newScheduler(2)
	s := Peers{Self: "me", Seeds: []string{"s1", "s2"}}
	contactsByAddr(d, 1, 3*second, s, noDiffering) // both called, in vain: not up yet
	s.Live = []string{"x"}                         // another one called this gateway
	if n := contactsByAddr(d, 3*second, 10*second, s, noDiffering); n["s1"] == 0 || n["s2"] == 0 {
		t.Errorf("an island: it called %v", n)
	}
}

func TestLargeFleetContactsOneDeadGatewaySeldom(t *testing.T) {
	sum := 0
	for seed := range uint64(500) {
		s := Peers{Live: addrs("g", 498), Lost: []Lost{{Addr: "dead", LostAt: 1}}}
		sum += contactsByAddr(newScheduler(seed), second, 21*second, s, noDiffering)["dead"]
	}
	if sum < 8 || sum > 40 { // 20 s are four turns of some crowd calls
		t.Errorf("500 gateways called it %d times in 20 s", sum)
	}
}

func TestSplitHalfContactsEveryInterval(t *testing.T) {
	s := Peers{Live: addrs("g", 5), Lost: nil}
	for _, a := range addrs("lost", 6) {
		s.Lost = append(s.Lost, Lost{Addr: a, LostAt: 1})
	}
	n := 0
	for _, k := range contactsByAddr(newScheduler(3), second, 61*second, s, noDiffering) {
		n += k
	}
	if n < 9 || n > 17 { // every Rejoin, give or take a quarter
		t.Errorf("%d calls in 60 s", n)
	}
}

func TestLongLostAreContactedAtTheMaxInterval(t *testing.T) {
	s := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: "dead", LostAt: 1}}}
	d := newScheduler(4)
	n := contactsByAddr(d, 3600*second, 4200*second, s, noDiffering)["dead"]
	if n < 7 || n > 11 { // each RejoinMost
		t.Errorf("an hour after its death it is called %d times in 600 s", n)
	}
}

func TestLostMemberSeenByAPeerIsContactedAtOnce(t *testing.T) {
	d := newScheduler(5)
	s := Peers{Live: addrs("g", 100), Lost: []Lost{{Addr: "lost", LostAt: 10 * second}}}
	d.Next(11*second, s, noDiffering)
	s.Lost[0].LastSeen = 12 * second
	if c, ok := d.Next(12*second+1, s, noDiffering); !ok || c != (Contact{"lost", ReasonSeen}) {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := d.Next(12*second+2, s, noDiffering); ok {
		t.Error("and again")
	}
}

func TestOnlyTheGatewayThatDiffersContactsOthers(t *testing.T) {
	all := addrs("g", 99)
	missed := contactsByAddr(newScheduler(6), second, 4*second, Peers{Live: all}, func() []string { return all })
	if len(missed) == 0 {
		t.Error("who sees all others differ does not call")
	}
	sum := 0
	for seed := range uint64(99) {
		for _, n := range contactsByAddr(newScheduler(seed), second, 3*second, Peers{Live: all}, func() []string { return all[:1] }) {
			sum += n
		}
	}
	if sum > 24 { // some crowd a turn, two turns
		t.Errorf("99 gateways called the one that differs %d times in 2 s", sum)
	}
}

func TestContactsALiveMemberAfterAPause(t *testing.T) {
	d := newScheduler(7)
	s := Peers{Live: []string{"x"}}
	d.Next(second, s, noDiffering)
	d.MarkResumed()
	if c, ok := d.Next(second+1, s, noDiffering); !ok || c != (Contact{"x", ReasonResumed}) {
		t.Errorf("%+v %v", c, ok)
	}
}

func TestOneOfTwoIncarnationsDefers(t *testing.T) {
	if ShouldDefer(1, 2) || !ShouldDefer(2, 1) {
		t.Error("the later one must yield, the earlier one must not")
	}
	d := newScheduler(8)
	wait := d.DeferName(second)
	if _, ok := d.Next(2*second, Peers{Seeds: []string{"s"}}, noDiffering); ok || !d.HasDeferred() {
		t.Error("it calls under a name that is not its own")
	}
	if d.ReclaimName(second+wait-1) || !d.ReclaimName(second+wait) || d.HasDeferred() {
		t.Error("it does not come back in its time")
	}
	if again := d.DeferName(100 * second); again < 45*second {
		t.Errorf("the second time it waits %d us", again)
	}
}

func TestContactedAddressesAreForgotten(t *testing.T) {
	d := newScheduler(9)
	for i := range 1000 {
		s := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: fmt.Sprint("lost", i), LostAt: 1, LastSeen: 2}}}
		d.Next(int64(i)*10*second, s, noDiffering)
	}
	if d.ContactedCount() > 2 {
		t.Errorf("%d addresses are kept", d.ContactedCount())
	}
}

package rejoin

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const second = int64(1_000_000)

var testSettings = Settings{
	InitialBackoff:     second / 5,
	MaxBackoff:         10 * second,
	RejoinInterval:     5 * second,
	MaxRejoinInterval:  60 * second,
	DifferInterval:     second,
	InitialNameBackoff: 30 * second,
	MaxNameBackoff:     300 * second,
}

func newScheduler(seed uint64) *Scheduler {
	return New(testSettings, rand.New(rand.NewPCG(seed, 1)), 1)
}

func noDiffering() []string { return nil }

// contactsByAddr asks the scheduler ten times a second of a span and counts contacts by address.
func contactsByAddr(s *Scheduler, from, to int64, peers Peers, differing func() []string) map[string]int {
	counts := map[string]int{}
	for now := from; now < to; now += second / 10 {
		if contact, ok := s.Next(now, peers, differing); ok {
			counts[contact.Addr]++
		}
	}
	return counts
}

func addrs(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint(prefix, i))
	}
	return out
}

// A gateway that is alone contacts each known address once, then ever more seldom.
func TestAloneContactsAllAddressesWithBackoff(t *testing.T) {
	scheduler := newScheduler(1)
	peers := Peers{Self: "me", Seeds: []string{"me", "s1", "s2"}, Lost: []Lost{{Addr: "old"}}}
	early := contactsByAddr(scheduler, 1, 5*second, peers, noDiffering)
	if len(early) != 3 || early["me"] > 0 {
		t.Errorf("within 5 s it contacted %v", early)
	}
	late := contactsByAddr(scheduler, 100*second, 200*second, peers, noDiffering)
	if n := late["s1"] + late["s2"] + late["old"]; n < 10 || n > 60 {
		t.Errorf("later it contacted %v in 100 s; one each 0 to 10 s is right", late)
	}
}

// A gateway that a peer found still contacts the seeds that it contacted in vain before.
func TestMissingSeedsAreContactedAfterTheFirstPeer(t *testing.T) {
	scheduler := newScheduler(2)
	peers := Peers{Self: "me", Seeds: []string{"s1", "s2"}}
	contactsByAddr(scheduler, 1, 3*second, peers, noDiffering) // both contacted in vain: not up yet
	peers.Live = []string{"x"}                                 // another one contacted this gateway
	if n := contactsByAddr(scheduler, 3*second, 10*second, peers, noDiffering); n["s1"] == 0 || n["s2"] == 0 {
		t.Errorf("an island: it contacted %v", n)
	}
}

// A large fleet as a whole contacts a dead gateway some contactsPerInterval times an interval.
func TestLargeFleetContactsOneDeadGatewaySeldom(t *testing.T) {
	sum := 0
	for seed := range uint64(500) {
		peers := Peers{Live: addrs("g", 498), Lost: []Lost{{Addr: "dead", LostAt: 1}}}
		sum += contactsByAddr(newScheduler(seed), second, 21*second, peers, noDiffering)["dead"]
	}
	if sum < 8 || sum > 40 { // four intervals in 20 s, some contactsPerInterval contacts in each
		t.Errorf("500 gateways contacted it %d times in 20 s", sum)
	}
}

// A half that lost the other half makes a contact each interval.
func TestSplitHalfContactsEveryInterval(t *testing.T) {
	peers := Peers{Live: addrs("g", 5)}
	for _, addr := range addrs("lost", 6) {
		peers.Lost = append(peers.Lost, Lost{Addr: addr, LostAt: 1})
	}
	n := 0
	for _, k := range contactsByAddr(newScheduler(3), second, 61*second, peers, noDiffering) {
		n += k
	}
	if n < 9 || n > 17 { // every RejoinInterval, give or take a quarter
		t.Errorf("%d contacts in 60 s", n)
	}
}

// A member that has been lost for an hour is contacted each MaxRejoinInterval.
func TestLongLostAreContactedAtTheMaxInterval(t *testing.T) {
	peers := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: "dead", LostAt: 1}}}
	scheduler := newScheduler(4)
	n := contactsByAddr(scheduler, 3600*second, 4200*second, peers, noDiffering)["dead"]
	if n < 7 || n > 11 { // each MaxRejoinInterval
		t.Errorf("an hour after its death it is contacted %d times in 600 s", n)
	}
}

// A lost member that a peer saw is contacted at once, and once.
func TestLostMemberSeenByAPeerIsContactedAtOnce(t *testing.T) {
	scheduler := newScheduler(5)
	peers := Peers{Live: addrs("g", 100), Lost: []Lost{{Addr: "lost", LostAt: 10 * second}}}
	scheduler.Next(11*second, peers, noDiffering)
	peers.Lost[0].LastSeen = 12 * second
	if c, ok := scheduler.Next(12*second+1, peers, noDiffering); !ok || c != (Contact{"lost", ReasonSeen}) {
		t.Errorf("%+v %v", c, ok)
	}
	if _, ok := scheduler.Next(12*second+2, peers, noDiffering); ok {
		t.Error("it is contacted again at once")
	}
}

// A gateway that sees all others differ contacts one; the others mostly leave it to that one.
func TestOnlyTheGatewayThatDiffersContactsOthers(t *testing.T) {
	all := addrs("g", 99)
	missed := contactsByAddr(newScheduler(6), second, 4*second, Peers{Live: all}, func() []string { return all })
	if len(missed) == 0 {
		t.Error("the gateway that sees all others differ makes no contact")
	}
	sum := 0
	for seed := range uint64(99) {
		for _, n := range contactsByAddr(newScheduler(seed), second, 3*second, Peers{Live: all}, func() []string { return all[:1] }) {
			sum += n
		}
	}
	if sum > 24 { // some contactsPerInterval an interval, two intervals
		t.Errorf("99 gateways contacted the one that differs %d times in 2 s", sum)
	}
}

// After a pause a live member is contacted at once.
func TestContactsALiveMemberAfterAPause(t *testing.T) {
	scheduler := newScheduler(7)
	peers := Peers{Live: []string{"x"}}
	scheduler.Next(second, peers, noDiffering)
	scheduler.MarkResumed()
	if c, ok := scheduler.Next(second+1, peers, noDiffering); !ok || c != (Contact{"x", ReasonResumed}) {
		t.Errorf("%+v %v", c, ok)
	}
}

// Of two processes of one name the later one defers; it makes no contacts until it tries the name again, after a growing backoff.
func TestOneOfTwoIncarnationsDefers(t *testing.T) {
	if ShouldDefer(1, 2) || !ShouldDefer(2, 1) {
		t.Error("the later one must defer, the earlier one must not")
	}
	scheduler := newScheduler(8)
	wait := scheduler.DeferName(second)
	if _, ok := scheduler.Next(2*second, Peers{Seeds: []string{"s"}}, noDiffering); ok || !scheduler.HasDeferred() {
		t.Error("it makes contacts under a name that is not its own")
	}
	if scheduler.ReclaimName(second+wait-1) || !scheduler.ReclaimName(second+wait) || scheduler.HasDeferred() {
		t.Error("it does not try the name again in its time")
	}
	if again := scheduler.DeferName(100 * second); again < 45*second {
		t.Errorf("the second time it waits %d us", again)
	}
}

// The scheduler forgets addresses of members that are no longer lost.
func TestContactedAddressesAreForgotten(t *testing.T) {
	scheduler := newScheduler(9)
	for i := range 1000 {
		peers := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: fmt.Sprint("lost", i), LostAt: 1, LastSeen: 2}}}
		scheduler.Next(int64(i)*10*second, peers, noDiffering)
	}
	if scheduler.ContactedCount() > 2 {
		t.Errorf("%d addresses are kept", scheduler.ContactedCount())
	}
}

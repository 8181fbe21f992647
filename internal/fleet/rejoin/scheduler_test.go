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

// contactsByAddr calls Next ten times per second between two times and counts the contacts by address.
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

// A gateway without live peers contacts every known address, in rounds with growing backoff.
func TestAloneContactsAllAddressesWithBackoff(t *testing.T) {
	scheduler := newScheduler(1)
	peers := Peers{Self: "me", Seeds: []string{"me", "s1", "s2"}, Lost: []Lost{{Addr: "old"}}}
	early := contactsByAddr(scheduler, 1, 5*second, peers, noDiffering)
	if len(early) != 3 || early["me"] > 0 {
		t.Errorf("contacts in the first 5 s are %v, want contacts with s1, s2 and old only", early)
	}
	late := contactsByAddr(scheduler, 100*second, 200*second, peers, noDiffering)
	if n := late["s1"] + late["s2"] + late["old"]; n < 10 || n > 60 {
		t.Errorf("contacts from 100 s to 200 s are %v, want 10 to 60: one every 0 to 10 s", late)
	}
}

// A gateway whose first live peer contacted it still contacts the seeds that did not answer before. Otherwise gateways
// that start at the same time could remain in separate groups.
func TestMissingSeedsAreContactedAfterTheFirstPeer(t *testing.T) {
	scheduler := newScheduler(2)
	peers := Peers{Self: "me", Seeds: []string{"s1", "s2"}}
	contactsByAddr(scheduler, 1, 3*second, peers, noDiffering) // both contacts fail: the seeds have not started
	peers.Live = []string{"x"}                                 // another gateway contacted this one
	if n := contactsByAddr(scheduler, 3*second, 10*second, peers, noDiffering); n["s1"] == 0 || n["s2"] == 0 {
		t.Errorf("contacts after the first live peer are %v, want both seeds among them", n)
	}
}

// A large fleet as a whole contacts a dead gateway about contactsPerInterval times in an interval.
func TestLargeFleetContactsOneDeadGatewaySeldom(t *testing.T) {
	sum := 0
	for seed := range uint64(500) {
		peers := Peers{Live: addrs("g", 498), Lost: []Lost{{Addr: "dead", LostAt: 1}}}
		sum += contactsByAddr(newScheduler(seed), second, 21*second, peers, noDiffering)["dead"]
	}
	if sum < 8 || sum > 40 { // four intervals in 20 s, about contactsPerInterval contacts in each
		t.Errorf("500 gateways contacted the dead gateway %d times in 20 s, want 8 to 40", sum)
	}
}

// A gateway that lost half of the fleet makes a contact in every RejoinInterval.
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
		t.Errorf("%d contacts in 60 s, want 9 to 17", n)
	}
}

// A member that has been lost for an hour is contacted once in a MaxRejoinInterval.
func TestLongLostAreContactedAtTheMaxInterval(t *testing.T) {
	peers := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: "dead", LostAt: 1}}}
	scheduler := newScheduler(4)
	n := contactsByAddr(scheduler, 3600*second, 4200*second, peers, noDiffering)["dead"]
	if n < 7 || n > 11 { // once in a MaxRejoinInterval
		t.Errorf("a member lost for an hour is contacted %d times in 600 s, want 7 to 11", n)
	}
}

// A lost member that a peer has seen is contacted at once. The contact is not repeated immediately.
func TestLostMemberSeenByAPeerIsContactedAtOnce(t *testing.T) {
	scheduler := newScheduler(5)
	peers := Peers{Live: addrs("g", 100), Lost: []Lost{{Addr: "lost", LostAt: 10 * second}}}
	scheduler.Next(11*second, peers, noDiffering)
	peers.Lost[0].LastSeen = 12 * second
	if c, ok := scheduler.Next(12*second+1, peers, noDiffering); !ok || c != (Contact{"lost", ReasonSeen}) {
		t.Errorf("the contact due is %+v, %v, want the lost member", c, ok)
	}
	if _, ok := scheduler.Next(12*second+2, peers, noDiffering); ok {
		t.Error("the lost member is contacted again at once")
	}
}

// A gateway contacts one of the others if all of them see another live set. The others rarely contact the one gateway
// that differs.
func TestOnlyTheGatewayThatDiffersContactsOthers(t *testing.T) {
	all := addrs("g", 99)
	missed := contactsByAddr(newScheduler(6), second, 4*second, Peers{Live: all}, func() []string { return all })
	if len(missed) == 0 {
		t.Error("the gateway that differs from all others makes no contact")
	}
	sum := 0
	for seed := range uint64(99) {
		for _, n := range contactsByAddr(newScheduler(seed), second, 3*second, Peers{Live: all}, func() []string { return all[:1] }) {
			sum += n
		}
	}
	if sum > 24 { // about contactsPerInterval contacts in each of two intervals
		t.Errorf("99 gateways contacted the gateway that differs %d times in 2 s, want at most 24", sum)
	}
}

// After a pause of the process, a live member is contacted at once.
func TestContactsALiveMemberAfterAPause(t *testing.T) {
	scheduler := newScheduler(7)
	peers := Peers{Live: []string{"x"}}
	scheduler.Next(second, peers, noDiffering)
	scheduler.MarkResumed()
	if c, ok := scheduler.Next(second+1, peers, noDiffering); !ok || c != (Contact{"x", ReasonResumed}) {
		t.Errorf("the contact due is %+v, %v, want the live member", c, ok)
	}
}

// Of two processes with one name, the one that started later defers. It makes no contacts until it tries the name
// again. The backoff grows with each try.
func TestOneOfTwoIncarnationsDefers(t *testing.T) {
	if ShouldDefer(1, 2) || !ShouldDefer(2, 1) {
		t.Error("want the process that started later to defer, and not the earlier one")
	}
	scheduler := newScheduler(8)
	wait := scheduler.DeferName(second)
	if _, ok := scheduler.Next(2*second, Peers{Seeds: []string{"s"}}, noDiffering); ok || !scheduler.HasDeferred() {
		t.Error("the process makes contacts although it deferred its name")
	}
	if scheduler.ReclaimName(second+wait-1) || !scheduler.ReclaimName(second+wait) || scheduler.HasDeferred() {
		t.Error("the process does not try the name again exactly when the backoff ends")
	}
	if again := scheduler.DeferName(100 * second); again < 45*second {
		t.Errorf("the second backoff is %d us, want at least 45 s", again)
	}
}

// The scheduler drops the contact times of addresses whose members are no longer lost.
func TestContactedAddressesAreForgotten(t *testing.T) {
	scheduler := newScheduler(9)
	for i := range 1000 {
		peers := Peers{Live: []string{"x"}, Lost: []Lost{{Addr: fmt.Sprint("lost", i), LostAt: 1, LastSeen: 2}}}
		scheduler.Next(int64(i)*10*second, peers, noDiffering)
	}
	if scheduler.ContactedCount() > 2 {
		t.Errorf("the scheduler holds %d addresses, want at most 2", scheduler.ContactedCount())
	}
}

package gossip

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/limit"
)

// network is a fleet in one process. It delivers messages among the isolated gateways and among the others, but not
// between the two groups.
type network struct {
	mu        sync.Mutex
	gossipers map[string]*Gossiper
	isolated  map[string]bool
}

// newNetwork returns a network without gateways.
func newNetwork() *network {
	return &network{gossipers: map[string]*Gossiper{}, isolated: map[string]bool{}}
}

// add connects a gateway to the network under a name.
func (n *network) add(name string, gossiper *Gossiper) {
	gossiper.SetFleet(endpoint{n, name})
	n.gossipers[name] = gossiper
}

// start runs all gateways and returns a function that stops them.
func (n *network) start() (shutdown func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for _, gossiper := range n.gossipers {
		running.Go(func() { gossiper.Run(stop) })
	}
	return func() {
		close(stop)
		running.Wait()
	}
}

// endpoint implements Fleet for one gateway of a network.
type endpoint struct {
	network *network
	name    string
}

func (e endpoint) Send(to string, b []byte) error {
	e.network.mu.Lock()
	receiver := e.network.gossipers[to]
	isReachable := e.network.isolated[e.name] == e.network.isolated[to]
	e.network.mu.Unlock()
	if receiver != nil && isReachable {
		receiver.HandleMessage(b)
	}
	return nil
}

func (e endpoint) State() membership.State {
	live := len(e.LiveNames())
	return membership.State{Live: live, Alive: live, FleetSize: len(e.network.gossipers), Settled: true}
}

func (e endpoint) LiveNames() (names []string) {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	for name := range e.network.gossipers {
		if e.network.isolated[name] == e.network.isolated[e.name] {
			names = append(names, name)
		}
	}
	return names
}

// fakeAdmission implements Admission with a set of limits guarded by a mutex.
type fakeAdmission struct {
	mu     sync.Mutex
	limits *limit.Set
}

func (a *fakeAdmission) FleetLimits(f func(string, limit.Spec, limit.Usage)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits.EachFleetWide(func(name string, l *limit.Limit) { f(name, l.Spec(), l.Usage()) })
}

func (a *fakeAdmission) ApplyLeases(leases map[string]limit.Lease) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, lease := range leases {
		if l := a.limits.Find(name); l != nil {
			l.SetLease(time.Now(), lease)
		}
	}
}

// sendLookups sends lookups of tenant x at a rate per second for the given duration and returns how many were admitted.
func (a *fakeAdmission) sendLookups(rate int, duration time.Duration) (admitted int) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		a.mu.Lock()
		if _, reason, _ := a.limits.Find("tenant x").Admit(time.Now(), "x", 1, 0); reason == limit.Allowed {
			admitted++
		}
		a.mu.Unlock()
	}
	return admitted
}

// withFleet runs a test with a fleet of n gateways that share one limit. The views of the gateways have settled, and
// each gateway has its full quota.
func withFleet(t *testing.T, n int, spec limit.Spec, test func(t *testing.T, fleet *network, admissions []*fakeAdmission)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newNetwork()
		var admissions []*fakeAdmission
		for i := range n {
			name := fmt.Sprintf("n%d", i)
			admission := &fakeAdmission{limits: limit.NewSet(time.Now(), map[string]limit.Spec{"tenant x": spec})}
			admissions = append(admissions, admission)
			fleet.add(name, New(name, admission, nil, slog.New(slog.DiscardHandler), uint64(i)))
		}
		shutdown := fleet.start()
		time.Sleep(6 * time.Second)
		test(t, fleet, admissions)
		shutdown()
	})
}

func TestFloodThroughOneGatewayBorrowsFromTheOthers(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, fleet *network, admissions []*fakeAdmission) {
		admissions[0].sendLookups(500, 5*time.Second)
		if admitted := admissions[0].sendLookups(500, 10*time.Second); admitted < 750 || admitted > 1000 {
			t.Errorf("%d lookups admitted in 10 s, want 750 to 1000; own quarter and four fifths of the rest: 850", admitted)
		}
		report := fleet.gossipers["n0"].LimitReports()[0]
		if report.Borrowed < 50 || report.MaxExcess != 0 || report.State != "whole" || report.Name != "tenant x/lookups" || report.FleetUsed < 75 ||
			report.FleetUsed > 101 {
			t.Errorf("report %+v, want a full quota, 50 or more borrowed, no excess, 75 to 101 used", report)
		}
	})
}

func TestIsolatedGatewayFallsBackToOwnQuota(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, fleet *network, admissions []*fakeAdmission) {
		admissions[0].sendLookups(500, 5*time.Second)
		fleet.mu.Lock()
		fleet.isolated["n0"] = true
		fleet.mu.Unlock()
		admissions[0].sendLookups(500, time.Duration(LimitSettings.LoanDuration)*time.Microsecond) // until its loans expire
		if admitted := admissions[0].sendLookups(500, 10*time.Second); admitted < 230 || admitted > 265 {
			t.Errorf("%d lookups admitted in 10 s, want 230 to 265: the own quota is 250", admitted)
		}
	})
}

func TestFloodOnAllGatewaysIsAdmittedUpToTheLimit(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, fleet *network, admissions []*fakeAdmission) {
		var mu sync.Mutex
		var senders sync.WaitGroup
		sum := 0
		for _, admission := range admissions {
			senders.Go(func() {
				admitted := admission.sendLookups(200, 20*time.Second)
				mu.Lock()
				sum += admitted
				mu.Unlock()
			})
		}
		senders.Wait()
		if sum < 1900 || sum > 2060 {
			t.Errorf("%d lookups admitted in 20 s, want 1900 to 2060 at a limit of 100 per second", sum)
		}
	})
}

func TestFramesOfUnknownSendersAreIgnored(t *testing.T) {
	withFleet(t, 2, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, fleet *network, admissions []*fakeAdmission) {
		gossiper := fleet.gossipers["n0"]
		limitKey := limits.NameKey("tenant x/lookups")
		request := limits.Frame{SenderKey: limits.NameKey("stranger"), Entries: []limits.Entry{{LimitKey: limitKey, ID: 1, Amount: 50}}}
		unrequested := limits.Frame{SenderKey: limits.NameKey("n1"), IsGrant: true, Entries: []limits.Entry{{LimitKey: limitKey, ID: 99, Amount: 1e9}}}
		gossiper.HandleMessage(request.Append(nil))
		gossiper.HandleMessage(unrequested.Append(nil))
		gossiper.HandleMessage([]byte{limits.Kind})
		time.Sleep(time.Second)
		if report := gossiper.LimitReports()[0]; report.Lent != 0 || report.Borrowed != 0 || report.Lease != 50 {
			t.Errorf("report %+v, want nothing lent or borrowed and a lease of 50", report)
		}
		for range 3 * maxQueuedMessages {
			gossiper.HandleMessage([]byte{limits.Kind})
		}
		gossiper.mu.Lock()
		defer gossiper.mu.Unlock()
		if len(gossiper.queue) > maxQueuedMessages {
			t.Errorf("%d messages queued, want at most %d", len(gossiper.queue), maxQueuedMessages)
		}
	})
}

func TestPurgeOfOneDiscoveryWatchIsAppliedOnceByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newNetwork()
		var mu sync.Mutex
		applied := map[string]int{}
		for i := range 8 {
			name := fmt.Sprintf("n%d", i)
			onPurges := func(purges []purgesync.Purge) {
				mu.Lock()
				defer mu.Unlock()
				applied[name] += len(purges)
			}
			gossiper := New(name, nil, onPurges, slog.New(slog.DiscardHandler), uint64(i))
			gossiper.RecordPurges(4, nil)
			fleet.add(name, gossiper)
		}
		shutdown := fleet.start()
		time.Sleep(time.Second)
		purges := []purgesync.Purge{{Event: 5, Object: "x", Issued: 1e12}}
		fleet.gossipers["n3"].RecordPurges(5, purges)
		time.Sleep(5 * time.Second)
		for _, gossiper := range fleet.gossipers { // all discovery watches deliver the purge now
			gossiper.RecordPurges(5, purges)
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		if len(applied) != 7 || applied["n3"] != 0 || applied["n0"] != 1 {
			t.Error(applied)
		}
		mu.Unlock()
		shutdown()
	})
}

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

// network stands in for the fleet: all hear each other, but who is cut off.
type network struct {
	mu        sync.Mutex
	gossipers map[string]*Gossiper
	isolated  map[string]bool
}

type endpoint struct {
	network *network
	name    string
}

func (e endpoint) Send(to string, b []byte) error {
	e.network.mu.Lock()
	p, cut := e.network.gossipers[to], e.network.isolated[e.name] != e.network.isolated[to]
	e.network.mu.Unlock()
	if p != nil && !cut {
		p.HandleMessage(b)
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

// fakeAdmission is where lookups are let in: a set of limits under a lock, as route/steer has it.
type fakeAdmission struct {
	mu     sync.Mutex
	limits *limit.Set
}

func (d *fakeAdmission) FleetLimits(f func(string, limit.Spec, limit.Usage)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits.EachFleetWide(func(name string, l *limit.Limit) { f(name, l.Spec(), l.Usage()) })
}

func (d *fakeAdmission) ApplyLeases(leases map[string]limit.Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, l := range leases {
		if its := d.limits.Find(name); its != nil {
			its.SetLease(time.Now(), l)
		}
	}
}

// sendLookups asks so often a second, so long, and tells how many were let in.
func (d *fakeAdmission) sendLookups(rate int, long time.Duration) (in int) {
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		d.mu.Lock()
		if _, why, _ := d.limits.Find("tenant x").Admit(time.Now(), "x", 1, 0); why == limit.Allowed {
			in++
		}
		d.mu.Unlock()
	}
	return in
}

func withFleet(t *testing.T, n int, terms limit.Spec, story func(t *testing.T, w *network, doors []*fakeAdmission)) {
	synctest.Test(t, func(t *testing.T) {
		w := &network{gossipers: map[string]*Gossiper{}, isolated: map[string]bool{}}
		stop := make(chan struct{})
		var doors []*fakeAdmission
		var wait sync.WaitGroup
		for i := range n {
			name := fmt.Sprintf("n%d", i)
			d := &fakeAdmission{limits: limit.NewSet(time.Now(), map[string]limit.Spec{"tenant x": terms})}
			p := New(name, d, nil, slog.New(slog.DiscardHandler), uint64(i))
			p.SetFleet(endpoint{w, name})
			doors, w.gossipers[name] = append(doors, d), p
		}
		for _, p := range w.gossipers {
			wait.Add(1)
			go func() { defer wait.Done(); p.Run(stop) }()
		}
		time.Sleep(6 * time.Second)
		story(t, w, doors)
		close(stop)
		wait.Wait()
	})
}

func TestFloodThroughOneGatewayBorrowsFromTheOthers(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, w *network, doors []*fakeAdmission) {
		doors[0].sendLookups(500, 5*time.Second)
		if in := doors[0].sendLookups(500, 10*time.Second); in < 750 || in > 1000 {
			t.Errorf("%d in 10 s: its own quarter and four fifths of the rest are 850", in)
		}
		row := w.gossipers["n0"].LimitReports()[0]
		if row.Borrowed < 50 || row.MaxExcess != 0 || row.State != "whole" || row.Name != "tenant x/lookups" || row.FleetUsed < 75 || row.FleetUsed > 101 {
			t.Errorf("%+v", row)
		}
	})
}

func TestIsolatedGatewayFallsBackToOwnQuota(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, w *network, doors []*fakeAdmission) {
		doors[0].sendLookups(500, 5*time.Second)
		w.mu.Lock()
		w.isolated["n0"] = true
		w.mu.Unlock()
		doors[0].sendLookups(500, time.Duration(LimitSettings.LoanDuration)*time.Microsecond) // what it has borrowed runs out
		if in := doors[0].sendLookups(500, 10*time.Second); in < 230 || in > 265 {
			t.Errorf("%d in 10 s of a part of 250", in)
		}
	})
}

func TestFloodOnAllGatewaysIsAdmittedUpToTheLimit(t *testing.T) {
	withFleet(t, 4, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, w *network, doors []*fakeAdmission) {
		var mu sync.Mutex
		var wait sync.WaitGroup
		sum := 0
		for _, d := range doors {
			wait.Add(1)
			go func() {
				defer wait.Done()
				n := d.sendLookups(200, 20*time.Second)
				mu.Lock()
				sum += n
				mu.Unlock()
			}()
		}
		wait.Wait()
		if sum < 1900 || sum > 2060 {
			t.Errorf("%d in 20 s at 100 a second", sum)
		}
	})
}

func TestFramesOfUnknownSendersAreIgnored(t *testing.T) {
	withFleet(t, 2, limit.Spec{LookupsPerSecond: 100, FleetWide: true}, func(t *testing.T, w *network, doors []*fakeAdmission) {
		p := w.gossipers["n0"]
		name := limits.NameKey("tenant x/lookups")
		p.HandleMessage(limits.Frame{SenderKey: limits.NameKey("stranger"), Entries: []limits.Entry{{LimitKey: name, ID: 1, Amount: 50}}}.Append(nil))
		p.HandleMessage(limits.Frame{SenderKey: limits.NameKey("n1"), IsGrant: true, Entries: []limits.Entry{{LimitKey: name, ID: 99, Amount: 1e9}}}.Append(nil))
		p.HandleMessage([]byte{limits.Kind})
		time.Sleep(time.Second)
		if row := p.LimitReports()[0]; row.Lent != 0 || row.Borrowed != 0 || row.Lease != 50 {
			t.Errorf("%+v", row)
		}
		for range 3 * maxQueuedMessages {
			p.HandleMessage([]byte{limits.Kind})
		}
		p.mu.Lock()
		if len(p.queue) > maxQueuedMessages {
			t.Error("the queue grows")
		}
		p.mu.Unlock()
	})
}

func TestPurgeOfOneDiscoveryWatchIsAppliedOnceByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &network{gossipers: map[string]*Gossiper{}, isolated: map[string]bool{}}
		stop := make(chan struct{})
		var mu sync.Mutex
		heeded := map[string]int{}
		var wait sync.WaitGroup
		for i := range 8 {
			name := fmt.Sprintf("n%d", i)
			p := New(name, nil, func(some []purgesync.Purge) {
				mu.Lock()
				defer mu.Unlock()
				heeded[name] += len(some)
			}, slog.New(slog.DiscardHandler), uint64(i))
			p.SetFleet(endpoint{w, name})
			p.RecordPurges(4, nil)
			w.gossipers[name] = p
		}
		for _, p := range w.gossipers {
			wait.Add(1)
			go func() { defer wait.Done(); p.Run(stop) }()
		}
		time.Sleep(time.Second)
		w.gossipers["n3"].RecordPurges(5, []purgesync.Purge{{Event: 5, Object: "x", Issued: 1e12}})
		time.Sleep(5 * time.Second)
		for _, p := range w.gossipers { // the bulletins catch up
			p.RecordPurges(5, []purgesync.Purge{{Event: 5, Object: "x", Issued: 1e12}})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		if len(heeded) != 7 || heeded["n3"] != 0 || heeded["n0"] != 1 {
			t.Error(heeded)
		}
		mu.Unlock()
		close(stop)
		wait.Wait()
	})
}

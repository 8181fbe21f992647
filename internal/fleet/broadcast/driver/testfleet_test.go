package driver

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
)

const (
	testLatency = time.Millisecond
	spreadBound = 4500 * time.Millisecond // time within which a purge must reach all gateways
)

// testFleet is a fleet of drivers in one process. Its network delays datagrams by testLatency, loses a share of them,
// and loses all datagrams from and to isolated gateways.
type testFleet struct {
	mu       sync.Mutex
	ids      []view.ID
	drivers  map[string]*Driver
	isolated map[string]bool
	loss     float64 // share of datagrams that are lost
	rng      *rand.Rand
	applied  map[string]map[broadcast.Purge]int // by gateway: how often it applied each purge from a peer
	log      bytes.Buffer
	version  uint64
	stop     chan struct{}
}

// testEndpoint is the Fleet that one gateway's driver uses.
type testEndpoint struct {
	*testFleet
	name string
}

func (e testEndpoint) Send(to string, b []byte) error {
	e.mu.Lock()
	receiver := e.drivers[to]
	isLost := e.isolated[to] || e.isolated[e.name] || e.loss > 0 && e.rng.Float64() < e.loss
	e.mu.Unlock()
	if receiver == nil {
		return errors.New("no such gateway")
	}
	if !isLost {
		b = slices.Clone(b)
		time.AfterFunc(testLatency, func() { receiver.HandleMessage(b) })
	}
	return nil
}

func (e testEndpoint) LiveIDs() ([]view.ID, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.ids), e.version
}

func (e testEndpoint) Version() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// newTestFleet returns a fleet of n gateways at three sites. Their drivers do not run yet.
func newTestFleet(n int) *testFleet {
	f := &testFleet{
		rng:      rand.New(rand.NewPCG(1, 2)),
		drivers:  map[string]*Driver{},
		isolated: map[string]bool{},
		applied:  map[string]map[broadcast.Purge]int{},
		version:  1,
		stop:     make(chan struct{}),
	}
	for i := range n {
		locality := view.Locality{Region: "r", Zone: "z", Site: fmt.Sprint("s", i%3)}
		id := view.ID{Name: fmt.Sprint("n", i), Incarnation: uint64(i + 1), Locality: locality}
		f.ids = append(f.ids, id)
		f.drivers[id.Name] = f.newDriver(id, uint64(i)+7)
	}
	return f
}

// newDriver returns the driver of a gateway's new process and clears the record of what the gateway applied.
func (f *testFleet) newDriver(id view.ID, stamp uint64) *Driver {
	applied := map[broadcast.Purge]int{}
	f.applied[id.Name] = applied
	log := slog.New(slog.NewTextHandler(&lockedLog{f}, nil))
	d := New(id.Name, id.Locality, func(purges []broadcast.Purge) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, p := range purges {
			applied[p]++
		}
	}, log.With("on", id.Name), stamp, time.Now)
	d.SetFleet(testEndpoint{f, id.Name})
	return d
}

// run starts all drivers. It returns a function that stops them and waits for their end.
func (f *testFleet) run() (shutdown func()) {
	var running sync.WaitGroup
	for _, d := range f.drivers {
		running.Go(func() { d.Run(f.stop) })
	}
	return func() {
		close(f.stop)
		running.Wait()
	}
}

// setIsolated cuts a gateway off from the network, or reconnects it.
func (f *testFleet) setIsolated(name string, isolated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolated[name] = isolated
}

// receivers returns the sorted names of the gateways that received a purge from a peer and applied it.
func (f *testFleet) receivers(p broadcast.Purge) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, applied := range f.applied {
		if applied[p] > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// loggedModes returns the modes that a gateway logged, in order.
func (f *testFleet) loggedModes(name string) (modes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for line := range strings.Lines(f.log.String()) {
		if strings.Contains(line, "on="+name+" ") {
			_, mode, _ := strings.Cut(line, "mode=")
			mode, _, _ = strings.Cut(mode, " ")
			modes = append(modes, mode)
		}
	}
	return modes
}

// lockedLog is a writer that appends to the fleet's log under the fleet's lock.
type lockedLog struct{ fleet *testFleet }

func (l *lockedLog) Write(b []byte) (int, error) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.fleet.log.Write(b)
}

// newPurge returns a purge that is issued now. Older purges would spread by reconciliation only, and purges issued
// hours ahead of the clock would not be kept.
func newPurge(i int) broadcast.Purge {
	return broadcast.Purge{Object: fmt.Sprintf("%016x", i+1), Issued: time.Now().UnixMilli()}
}

// spreadResult counts pairs of a purge and a gateway: all pairs, those in which the gateway applied the purge later
// than spreadBound, and those in which it never did.
type spreadResult struct{ pairs, late, missing int }

// appliedTimes collects from the drivers' reports when each gateway first applied each purge.
type appliedTimes struct {
	fleet     *testFleet
	startedAt time.Time
	times     map[string]map[broadcast.Purge]time.Duration // by gateway, since startedAt
	last      map[string]uint64                            // by gateway, number of its last applied purge
}

func newAppliedTimes(f *testFleet) *appliedTimes {
	a := &appliedTimes{fleet: f, startedAt: time.Now(), times: map[string]map[broadcast.Purge]time.Duration{}, last: map[string]uint64{}}
	for name := range f.drivers {
		a.times[name] = map[broadcast.Purge]time.Duration{}
	}
	return a
}

// collect adds the purges that all drivers have applied since the previous call.
func (a *appliedTimes) collect() {
	for name, d := range a.fleet.drivers {
		report := d.Report(a.last[name])
		for _, applied := range report.Latest {
			purge := broadcast.Purge{Object: applied.Object, Group: applied.Group, Issued: applied.Issued}
			at := time.Duration(applied.AtUptimeMS)*time.Millisecond + d.startedAt.Sub(a.startedAt)
			if before, ok := a.times[name][purge]; !ok || at < before {
				a.times[name][purge] = at
			}
		}
		a.last[name] = report.Applied
	}
}

// spreadPurges publishes purges at a rate for the given number of seconds, waits for the last ones to arrive, and
// counts how they reached all gateways.
func (f *testFleet) spreadPurges(perSecond, seconds int, publish func(p broadcast.Purge), wait time.Duration) (result spreadResult) {
	applied := newAppliedTimes(f)
	var purges []broadcast.Purge
	for i := range perSecond * seconds {
		p := newPurge(i)
		purges = append(purges, p)
		publish(p)
		time.Sleep(time.Second / time.Duration(perSecond))
		if i%perSecond == 0 {
			applied.collect()
		}
	}
	for range wait / time.Second {
		time.Sleep(time.Second)
		applied.collect()
	}
	for name := range f.drivers {
		for _, p := range purges {
			at, ok := applied.times[name][p]
			result.pairs++
			if !ok {
				result.missing++
			} else if at-time.UnixMilli(p.Issued).Sub(applied.startedAt) > spreadBound {
				result.late++
			}
		}
	}
	return result
}

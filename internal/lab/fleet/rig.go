package fleet

import (
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

// stopTimeout is for a gateway's process to end after a signal.
const stopTimeout = 12 * time.Second

// Options say how a scenario is run.
type Options struct {
	Program  string // path of the gateway's program
	Dir      string // for settings and logs; created, never removed
	Seed     uint64
	Network  int                              // second byte of the loopback networks, less 60; concurrent runs need different ones
	Progress func(format string, args ...any) // nil: progress is not reported
}

// Rig is one run of a scenario on real processes. Its fields before mu are set before the first goroutine starts.
type Rig struct {
	scenario  *Scenario
	options   Options
	selector  *Selector
	links     *Links
	relay     *Relay
	processes []*process
	byName    map[string]*process
	caches    []*standin.Cache
	discovery *standin.Discovery
	startedAt time.Time
	load      *lookupLoad   // nil: the scenario sends no lookups
	broadcast *broadcastRun // nil: the scenario announces no purges at a rate

	viewsChanged chan struct{} // capacity 1: asks watchViews for an observation at once
	done         chan struct{} // closed when the run ends

	mu             sync.Mutex // guards what follows
	viewStates     []viewState
	events         []Event // at most maxEvents
	falseDeaths    int
	trafficSamples []trafficSample
}

// newRig returns a rig that has started nothing yet. The caller must call close.
func newRig(scenario *Scenario, options Options) *Rig {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	links := NewLinks(options.Seed)
	return &Rig{
		scenario:     scenario,
		options:      options,
		selector:     scenario.NewSelector(options.Seed),
		links:        links,
		relay:        NewRelay(links, scenario.maxStreams()),
		byName:       map[string]*process{},
		viewsChanged: make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
}

// Run plays a scenario once. An error is a failure of the rig or a crash while the fleet starts; faults of the fleet during the
// scenario are Report.Violations.
func Run(scenario *Scenario, options Options) (*Report, error) {
	r := newRig(scenario, options)
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { r.watchViews(stop) })
	err := r.runSteps()
	close(stop)
	wait.Wait()
	if err != nil {
		return nil, err
	}
	return r.report(), nil
}

// running returns the names of the gateways that run and are not paused.
func (r *Rig) running() (names []string) {
	for _, p := range r.processes {
		if p.isRunning() {
			names = append(names, p.name)
		}
	}
	return names
}

// elapsed is the time since the first gateway was started.
func (r *Rig) elapsed() time.Duration { return time.Since(r.startedAt) }

// checkCrashes returns the first crash of any gateway.
func (r *Rig) checkCrashes() error {
	for _, p := range r.processes {
		if err := p.crashError(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes and ends the relay and the stub servers.
func (r *Rig) close() {
	var wait sync.WaitGroup
	for _, p := range r.processes {
		wait.Go(func() {
			p.signalAndWait(syscall.SIGKILL, stopTimeout)
			p.log.Close()
		})
	}
	wait.Wait()
	r.relay.Close()
	close(r.done)
	for _, cache := range r.caches {
		cache.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// discard receives from a channel that has no other reader, until done is closed.
func discard[T any](channel <-chan T, done <-chan struct{}) {
	for {
		select {
		case <-channel:
		case <-done:
			return
		}
	}
}

package fleet

import (
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

// stopTimeout is the time that a gateway's process has to exit after a signal.
const stopTimeout = 12 * time.Second

// Options configure one run of a scenario.
type Options struct {
	Program  string // path of the gateway's program
	Dir      string // folder for settings and logs; it is created and never removed
	Seed     uint64
	Network  int                              // second byte of the loopback networks, less 60; unique among concurrent runs
	Progress func(format string, args ...any) // nil: progress is not reported
}

// Rig is one run of a scenario on real processes. The fields before mu are set before the first gateway starts, except
// load and broadcast, which only the goroutine of Run uses.
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

	viewsChanged chan struct{} // capacity 1; requests an observation by watchViews at once
	done         chan struct{} // closed when the run ends

	mu             sync.Mutex // guards the fields below
	viewStates     []viewState
	events         []Event // at most maxEvents
	falseDeaths    int
	trafficSamples []trafficSample
}

// newRig returns a rig that has not started anything yet. The caller must call close.
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

// Run plays a scenario once. It returns an error if the rig fails or a gateway crashes while the fleet starts. It
// reports faults of the fleet during the scenario as Report.Violations.
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

// elapsed returns the time since the start of the run, which is when the first gateway is started.
func (r *Rig) elapsed() time.Duration { return time.Since(r.startedAt) }

// checkCrashes returns the crash of the first gateway that has one, or nil.
func (r *Rig) checkCrashes() error {
	for _, p := range r.processes {
		if err := p.crashError(); err != nil {
			return err
		}
	}
	return nil
}

// close kills all processes and closes the relay and the stub servers.
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

// discard receives and drops the values of a channel that has no other reader, until done is closed.
func discard[T any](channel <-chan T, done <-chan struct{}) {
	for {
		select {
		case <-channel:
		case <-done:
			return
		}
	}
}

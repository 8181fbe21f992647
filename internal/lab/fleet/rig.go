package fleet

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"foldslip/example/standin"
)

// stopTimeout is for a gateway's process to end after a signal.
const stopTimeout = 12 * time.Second

// Options are where a run is made.
type Options struct {
	Program  string // the gateway's
	Dir      string // for settings and logs; made, not removed
	Seed     uint64
	Network  int // which loopback networks it takes, 0 to 60; runs at once need different ones
	Progress func(format string, a ...any)
}

// Rig is one run of a scenario on real processes.
type Rig struct {
	scenario  *Scenario
	options   Options
	selector  *Selector
	links     *Links
	relay     *Relay
	processes []*process
	byName    map[string]*process
	startedAt time.Time
	load      *lookupLoad
	broadcast *broadcastRun // nil: the scenario tells no purges at a rate

	mu             sync.Mutex
	viewStates     []viewState // agreement over time
	events         []Event
	falseDeaths    int
	trafficSamples []trafficSample
	caches         []*standin.Cache
	discovery      *standin.Discovery
	viewsChanged   chan struct{}
	done           chan struct{}
}

// Run plays a scenario once. An error is of the rig; what the fleet did wrong stands in the report.
func Run(s *Scenario, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	links := NewLinks(o.Seed)
	r := &Rig{scenario: s, options: o, selector: s.NewSelector(o.Seed), links: links, relay: NewRelay(links, s.maxStreams()), byName: map[string]*process{}, viewsChanged: make(chan struct{}, 1), done: make(chan struct{})}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() { defer wait.Done(); r.watchViews(stop) }()
	err := r.runSteps()
	close(stop)
	wait.Wait()
	if err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (r *Rig) running() (names []string) {
	for _, p := range r.processes {
		if p.isRunning() {
			names = append(names, p.name)
		}
	}
	return names
}

func (r *Rig) now() time.Duration { return time.Since(r.startedAt) }

func (r *Rig) checkCrashes() error {
	for _, p := range r.processes {
		p.mu.Lock()
		crashed := p.crashed
		p.mu.Unlock()
		if crashed != "" {
			return errors.New(crashed)
		}
	}
	return nil
}

// close ends all that was started.
func (r *Rig) close() {
	var wait sync.WaitGroup
	for _, p := range r.processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.signalAndWait(syscall.SIGKILL, stopTimeout)
			p.log.Close()
		}()
	}
	wait.Wait()
	r.relay.Close()
	close(r.done)
	for _, c := range r.caches {
		c.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
}

// discard takes what nobody reads.
func discard[T any](c <-chan T, over <-chan struct{}) {
	for {
		select {
		case <-c:
		case <-over:
			return
		}
	}
}

package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// watchRun is one run in progress. Watch owns it. Only runRestarts runs on another goroutine.
type watchRun struct {
	options          WatchOptions
	locations        []Location
	zones            int
	startMicros      int64
	clock            SlowClock
	discovery        *Discovery
	processes        []*hollowProcess
	realGateways     []*realGateway
	known            json.RawMessage
	base             int64
	published        []publishedEvent        // by position, from 1
	lateness         *hdrhistogram.Histogram // microseconds by which purges were published late
	rng              *rand.Rand
	changesPublished int        // number of list changes; half of it is the index of the next cache to drain or bring back
	restartRand      *rand.Rand // of runRestarts
	mu               sync.Mutex // guards restartCount and restartErr, which are read without it only after play has returned
	restartCount     int
	restartErr       error

	allArrived bool // all events have reached all hollow gateways
}

// publishedEvent is an event that the stand-in has published: a purge or a change of the list.
type publishedEvent struct {
	at      time.Time
	isPurge bool
}

// Watch plays one run and blocks until it has ended. The error is an *OptionError or a failure of the rig or the
// machine. Limits that gateways exceeded and other faults of gateways are listed in the report's Violations.
func Watch(o WatchOptions) (r *WatchReport, err error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	since := time.Now().UnixMicro()
	w := &watchRun{options: o, startMicros: since, clock: NewSlowClock(since, o.Stretch), locations: ScaledLayout(o.Gateways), lateness: hdrhistogram.New(1, 60e6, 3), rng: rand.New(rand.NewPCG(o.Seed, 0x7761746368)),
		restartRand: rand.New(rand.NewPCG(o.Seed, 0x77686f6d))}
	for _, p := range w.locations {
		w.zones = max(w.zones, p.Zone+1)
	}
	defer func() {
		if e := w.close(); err == nil && e != nil {
			r.Violations = append(r.Violations, e.Error())
		}
	}()
	r = &WatchReport{Kind: "watch", StartedAt: time.Now().UTC().Truncate(time.Second), Gateways: o.Gateways, Stretch: o.Stretch, Purges: o.PurgesPerSecond, Caches: o.Caches,
		Machine: Machine{Cores: cores()}}
	began := time.Now()
	if err := w.setUp(); err != nil {
		return nil, err
	}
	r.Ready, r.Processes = time.Since(began).Seconds(), len(w.processes)+len(w.realGateways)
	o.Progress("%d gateways have a watch after %.1fs, in %d processes", o.Gateways, r.Ready, r.Processes)
	w.play(o.Warmup)
	warmupRestarts := w.restartCount
	if err := w.toggleProfile(); err != nil {
		return nil, err
	}
	before, err := w.snapshot()
	if err != nil {
		return nil, err
	}
	from := w.discovery.Last() + 1
	w.lateness.Reset()
	w.play(o.Duration)
	after, err := w.snapshot()
	if err != nil {
		return nil, err
	}
	if err := w.toggleProfile(); err != nil {
		return nil, err
	}
	to := w.discovery.Last()
	if w.restartErr != nil {
		return nil, w.restartErr
	}
	r.Restarts = w.restartCount - warmupRestarts
	if err := w.measureArrivals(r, from, to); err != nil {
		return nil, err
	}
	if err := w.measureCosts(r, before, after); err != nil {
		return nil, err
	}
	w.checkLimits(r)
	w.allArrived = r.LostEvents == 0
	return r, nil
}

// setUp starts the stand-in and all gateways, and waits until each gateway has a watch.
func (w *watchRun) setUp() error {
	o := &w.options
	var err error
	zones := FullZones
	if w.discovery, err = NewDiscovery(DiscoveryOptions{Gateways: o.Gateways, Heartbeat: w.clock.realDuration(defaultHeartbeat), Members: Members(o.Caches, min(zones, o.Caches))}); err != nil {
		return err
	}
	w.zones = max(w.zones, min(zones, o.Caches))
	for i := range o.Gateways {
		w.known, w.base = w.discovery.Join(i, o.ListInConfig)
	}
	for i := range o.Real { // real gateways have the highest numbers
		at := o.Gateways - o.Real + i
		p, err := startReal(o.Program, filepath.Join(o.Dir, fmt.Sprintf("g%04d", at)), at, w.discovery.Addr(at), w.known, Settings(w.locations, at, w.zones))
		if err != nil {
			return err
		}
		w.realGateways = append(w.realGateways, p)
	}
	for first := 0; first < o.Gateways-o.Real; first += o.PerProcess {
		c, err := startHollowProcess(o.HollowCommand())
		if err != nil {
			return err
		}
		w.processes = append(w.processes, c)
		c.first, c.count = first, min(o.PerProcess, o.Gateways-o.Real-first)
		start := command{Action: "start", First: first, Count: c.count, Base: w.base, Known: w.known, Gateways: o.Gateways, Zones: w.zones, Lookups: o.LookupsPerSecond, Since: w.startMicros, Stretch: o.Stretch}
		for i := range c.count {
			start.Watch = append(start.Watch, w.discovery.Addr(first+i))
		}
		if _, err := c.call(start); err != nil {
			return err
		}
		o.Progress("%d of %d hollow gateways started", first+c.count, o.Gateways-o.Real)
	}
	for end := time.Now().Add(time.Minute); w.discovery.Watching() < o.Gateways; time.Sleep(20 * time.Millisecond) {
		for _, p := range w.realGateways {
			select {
			case err := <-p.ended:
				p.ended <- err
				return &GatewayExitedError{err, p.log.Name()}
			default:
			}
		}
		if time.Now().After(end) {
			return &WatchStartError{w.discovery.Watching(), o.Gateways}
		}
	}
	return nil
}

// close ends all processes and the stand-in. It returns the errors of processes that failed and of real gateways that
// missed events.
func (w *watchRun) close() error {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for _, c := range w.processes {
		wait.Go(func() {
			err := c.end()
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	var published int64 // number of the last event for a gateway whose event number 1 is the list
	if w.discovery != nil {
		published = w.discovery.Last() - w.base + 1
	}
	for _, p := range w.realGateways {
		wait.Go(func() {
			err := p.stop()
			if last, ends, e := p.watchResult(); err == nil && e != nil {
				err = e
			} else if err == nil && w.allArrived && (last != published || ends > 0) {
				err = &MissedEventsError{Held: last, Published: published, Interruptions: ends, Log: p.log.Name()}
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wait.Wait()
	if w.discovery != nil {
		w.discovery.Close()
	}
	return errors.Join(errs...)
}

package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// WatchOptions are of a run of gateways that each hear the discovery watch.
type WatchOptions struct {
	Gateways          int           // hollow ones and real ones together
	Real              int           // of them processes of the program
	PerProcess        int           // hollow ones in a process; 500 if 0
	PurgesPerSecond   float64       // a second, evenly; each eighth names a group, the others an object each
	ChangeInterval    time.Duration // one cache more drains or is up again, so often; 0: none
	RestartsPerSecond float64       // hollow gateways started anew, a second
	LookupsPerSecond  float64       // a second, of each hollow gateway
	Caches            int           // in the list
	ListInConfig      bool          // the list stands in the configuration; otherwise it comes over the watch
	Warmup            time.Duration // before the figures count: purges are kept for 11 s
	Duration          time.Duration // in which they count
	Deadline          time.Duration // a purge is to be everywhere by then
	Stretch           float64       // time runs so many times slower for stand-in and gateways; 1 if 0, and 1 where Real is not 0. See Pace
	Seed              uint64
	Dir               string // for configurations and logs of real gateways
	Program           string // the gateway's, where Real is not 0
	Profile           string // file for the processor profile of the first process of hollow gateways
	HollowCommand     func() *exec.Cmd
	Progress          func(format string, a ...any) // progress
	Budget            Budget
}

// Budget is what a gateway may spend on control; 0: not asked.
type Budget struct {
	Core           float64 // of one core
	Resident       float64 // bytes
	BytesPerSecond float64 // a second, in and out, with what TCP adds
}

// FullBudget is the users' own: 2.1% of a core, 128 MB and 15 KB/s.
var FullBudget = Budget{0.021, 128 << 20, 15 << 10}

// Cost is what one gateway spends, the mean of its kind.
type Cost struct {
	Gateways    int     `json:"gateways"`
	Core        float64 `json:"core"`         // of one core
	EventMicros float64 `json:"event_us"`     // processor time for each event heard, all it spends shared among them
	In          float64 `json:"in_bytes_s"`   // payload
	WireIn      float64 `json:"wire_in_b_s"`  // with TCP and IP, worked out; see Wire
	WireOut     float64 `json:"wire_out_b_s"` // acknowledgements, worked out
	Writes      float64 `json:"writes_s"`     // of the stand-in: segments at least
	Resident    float64 `json:"resident_bytes"`
	Heap        float64 `json:"heap_bytes,omitempty"` // hollow only, after a collection
	Allocs      float64 `json:"allocs_s,omitempty"`   // hollow only
	Alloc       float64 `json:"alloc_bytes_s,omitempty"`
}

// Machine is what else the machine did meanwhile, in its own time: figures beside other work are marked by it.
type Machine struct {
	Cores   int     `json:"cores"`
	Busy    float64 `json:"busy_cores"`      // of the whole machine
	Ours    float64 `json:"our_cores"`       // of the stand-in and all gateways
	Starved float64 `json:"starved"`         // part of the time that threads of hollow gateways were ready to run in which they had no core
	Late    float64 `json:"pace_late_p99ms"` // by how much the stand-in told purges late
	LateMax float64 `json:"pace_late_max_ms"`
}

// WatchReport is one run.
type WatchReport struct {
	Kind       string           `json:"what"`
	StartedAt  time.Time        `json:"when"`
	Gateways   int              `json:"gateways"`
	Run        int              `json:"run"`
	Stretch    float64          `json:"stretch"` // all times and rates here are those of a clock so many times slower than the machine's; see Pace
	Seconds    float64          `json:"seconds"` // that figures count, as it came out
	Purges     float64          `json:"purges_s"`
	Caches     int              `json:"caches"`
	Processes  int              `json:"processes"`
	Ready      float64          `json:"ready_s"` // until all watched, from the first start
	Events     int              `json:"told"`    // events in the window
	LostEvents int              `json:"lost"`    // events in it that did not come to all hollow gateways within 30 s
	LatePurges int              `json:"late"`    // purges that were everywhere only past the bound
	Median     float64          `json:"everywhere_p50_ms"`
	P99        float64          `json:"everywhere_p99_ms"`
	Max        float64          `json:"everywhere_max_ms"`
	Hollow     Cost             `json:"hollow"`
	Real       Cost             `json:"real"`
	Restarts   int              `json:"restarts"`
	Reconnects int64            `json:"reconnects"`
	LogCounts  map[string]int64 `json:"log,omitempty"` // log lines of hollow gateways in the window
	Machine    Machine          `json:"machine"`
	Violations []string         `json:"wrong,omitempty"`
}

// watchRun is one run under way.
type watchRun struct {
	options     WatchOptions
	places      []Place
	zones       int
	since       int64
	clock       SlowClock
	discovery   *Discovery
	processes   []*hollowProcess
	reals       []*realGateway
	known       json.RawMessage
	base        int64
	published   []publishedEvent // by position, from 1: when each event was told
	late        *hdrhistogram.Histogram
	rng         *rand.Rand
	nextDrain   int // next member to drain
	restartRand *rand.Rand
	mu          sync.Mutex // guards what follows; both are read once play has returned
	starts      int
	failed      error

	allArrived bool // all that was told is at all hollow gateways
}

type publishedEvent struct {
	at      time.Time
	isPurge bool
}

func (o *WatchOptions) validate() error {
	switch hollow := o.Gateways - o.Real; {
	case o.Gateways < 1 || o.Gateways > maxWatches:
		return fmt.Errorf("%d gateways, expected 1 to %d", o.Gateways, maxWatches)
	case o.Real < 0 || o.Real > 200 || hollow < 0:
		return fmt.Errorf("%d real gateways of %d, expected 0 to 200", o.Real, o.Gateways)
	case o.PurgesPerSecond < 0 || o.PurgesPerSecond > 10_000 || o.RestartsPerSecond < 0 || o.RestartsPerSecond > 100 || o.LookupsPerSecond < 0 || o.LookupsPerSecond > 1000:
		return errors.New("purges up to 10,000, restarts up to 100 and lookups up to 1,000 a second")
	case o.Duration <= 0 || o.Warmup < 0 || o.PurgesPerSecond*(o.Duration+o.Warmup).Seconds() > maxArrivals/2:
		return fmt.Errorf("%g purges a second for %v are more than %d", o.PurgesPerSecond, o.Duration+o.Warmup, maxArrivals/2)
	case o.Caches < 1 || o.Caches > 16384:
		return fmt.Errorf("%d caches, expected 1 to 16384", o.Caches)
	}
	if o.Stretch = max(1, o.Stretch); o.Stretch > 1000 || o.Stretch > 1 && o.Real > 0 {
		return fmt.Errorf("time stretched %g times, expected 1 to 1000, and 1 beside real gateways, whose clock is the machine's", o.Stretch)
	}
	if o.PerProcess <= 0 {
		o.PerProcess = 500
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	return nil
}

// Watch plays one run. An error is of the rig or the machine; what gateways did wrong stands in the report.
func Watch(o WatchOptions) (r *WatchReport, err error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	since := time.Now().UnixMicro()
	w := &watchRun{options: o, since: since, clock: NewSlowClock(since, o.Stretch), places: ScaledLayout(o.Gateways), late: hdrhistogram.New(1, 60e6, 3), rng: rand.New(rand.NewPCG(o.Seed, 0x7761746368)),
		restartRand: rand.New(rand.NewPCG(o.Seed, 0x77686f6d))}
	for _, p := range w.places {
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
	r.Ready, r.Processes = time.Since(began).Seconds(), len(w.processes)+len(w.reals)
	o.Progress("%d gateways watch after %.1fs in %d processes", o.Gateways, r.Ready, r.Processes)
	w.play(o.Warmup)
	warmed := w.starts
	if err := w.toggleProfile(); err != nil {
		return nil, err
	}
	before, err := w.snapshot()
	if err != nil {
		return nil, err
	}
	from := w.discovery.Last() + 1
	w.late.Reset()
	w.play(o.Duration)
	after, err := w.snapshot()
	if err != nil {
		return nil, err
	}
	if err := w.toggleProfile(); err != nil {
		return nil, err
	}
	to := w.discovery.Last()
	if w.failed != nil {
		return nil, w.failed
	}
	r.Restarts = w.starts - warmed
	if err := w.arrivals(r, from, to); err != nil {
		return nil, err
	}
	if err := w.costs(r, before, after); err != nil {
		return nil, err
	}
	w.checkLimits(r)
	w.allArrived = r.LostEvents == 0
	return r, nil
}

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
	for i := range o.Real { // the last ones
		at := o.Gateways - o.Real + i
		p, err := startReal(o.Program, filepath.Join(o.Dir, fmt.Sprintf("g%04d", at)), at, w.discovery.Addr(at), w.known, Settings(w.places, at, w.zones))
		if err != nil {
			return err
		}
		w.reals = append(w.reals, p)
	}
	for first := 0; first < o.Gateways-o.Real; first += o.PerProcess {
		c, err := startHollowProcess(o.HollowCommand())
		if err != nil {
			return err
		}
		w.processes = append(w.processes, c)
		c.first, c.count = first, min(o.PerProcess, o.Gateways-o.Real-first)
		start := command{Action: "start", First: first, Count: c.count, Base: w.base, Known: w.known, Gateways: o.Gateways, Zones: w.zones, Lookups: o.LookupsPerSecond, Since: w.since, Stretch: o.Stretch}
		for i := range c.count {
			start.Watch = append(start.Watch, w.discovery.Addr(first+i))
		}
		if _, err := c.call(start); err != nil {
			return err
		}
		o.Progress("%d of %d hollow gateways started", first+c.count, o.Gateways-o.Real)
	}
	for end := time.Now().Add(time.Minute); w.discovery.Watching() < o.Gateways; time.Sleep(20 * time.Millisecond) {
		for _, p := range w.reals {
			select {
			case err := <-p.ended:
				p.ended <- err
				return fmt.Errorf("a real gateway ended by itself: %v; its log is %s", err, p.log.Name())
			default:
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways watch after a minute", w.discovery.Watching(), o.Gateways)
		}
	}
	return nil
}

// play tells events of the size for a time. What falls due while this process does not run is told at once after.
func (w *watchRun) play(span time.Duration) {
	o := &w.options
	began := w.clock.Now()
	gap := func(rate float64) time.Duration {
		if rate <= 0 {
			return math.MaxInt64
		}
		return time.Duration(float64(time.Second) / rate)
	}
	purge, change := gap(o.PurgesPerSecond), o.ChangeInterval
	if change <= 0 {
		change = math.MaxInt64
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	defer restarts.Wait()
	defer close(stop)
	if o.RestartsPerSecond > 0 && o.Gateways > o.Real {
		restarts.Go(func() { w.restarts(w.clock.realDuration(gap(o.RestartsPerSecond)), stop) })
	}
	nextPurge, nextChange, said := purge, change, time.Duration(0)
	for {
		due := min(nextPurge, nextChange, span)
		if wait := due - w.clock.Now().Sub(began); wait > 0 {
			time.Sleep(w.clock.realDuration(wait))
		}
		now := w.clock.Now()
		if due == span {
			return
		}
		switch due {
		case nextPurge:
			w.late.RecordValue(max(1, min(int64(60e6), (now.Sub(began)-due).Microseconds())))
			nextPurge += purge
			object, group := fmt.Sprintf("%016x", w.rng.Uint64()|1), 0
			if len(w.published)%8 == 7 {
				object, group = "", w.rng.IntN(256)
			}
			w.published = append(w.published, publishedEvent{now, true})
			w.discovery.Purge(object, group, now)
		case nextChange:
			nextChange += change
			m := w.discovery.memberAt(w.nextDrain / 2)
			if m.Phase = "draining"; w.nextDrain%2 == 1 {
				m.Phase = "up"
			}
			w.nextDrain++
			w.published = append(w.published, publishedEvent{at: now})
			w.discovery.Change(m)
		}
		if at := now.Sub(began); w.clock.realDuration(at-said) >= 10*time.Second {
			said = at
			o.Progress("%d gateways, %.0f of %.0f s", o.Gateways, at.Seconds(), span.Seconds())
		}
	}
}

// restarts starts hollow gateways anew, one after the other, until it is told to stop.
func (w *watchRun) restarts(every time.Duration, stop chan struct{}) {
	next := time.NewTicker(every)
	defer next.Stop()
	for {
		select {
		case <-stop:
			return
		case <-next.C:
		}
		i := w.restartRand.IntN(w.options.Gateways - w.options.Real)
		if err := w.restart(i); err != nil {
			w.mu.Lock()
			w.failed = fmt.Errorf("restart of gateway %d: %w", i, err)
			w.mu.Unlock()
			return
		}
	}
}

// restart starts one anew. It is told where its numbers count from, so that arrivals go on in the ledger.
func (w *watchRun) restart(i int) error {
	c := w.processes[i/w.options.PerProcess]
	w.discovery.Leave(i)
	if _, err := c.call(command{Action: "halt", First: i}); err != nil {
		return err
	}
	known, base := w.discovery.Join(i, w.options.ListInConfig)
	if _, err := c.call(command{Action: "restart", First: i, Base: base, Known: known}); err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	w.mu.Unlock()
	return nil
}

// resourceSnapshot is what all have spent up to an instant.
type resourceSnapshot struct {
	at           time.Time
	cpu          time.Duration // of this process
	hollow       time.Duration
	runQueueWait time.Duration // of hollow gateways, for a core
	real         time.Duration
	busy         time.Duration
	usage        Usage
	hollowIn     [2]int64 // payload and writes
	realIn       [2]int64
	events       [2]int64 // hollow, real
	connects     int64
}

func (w *watchRun) snapshot() (s resourceSnapshot, err error) {
	s.at = time.Now()
	if s.cpu, err = cpuOf(os.Getpid()); err != nil {
		return s, err
	}
	if s.busy, err = machineBusy(); err != nil {
		return s, err
	}
	for _, c := range w.processes {
		t, err := cpuOf(c.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.hollow += t
		if t, err = runQueueWaitOf(c.cmd.Process.Pid); err != nil {
			return s, err
		}
		s.runQueueWait += t
	}
	for _, p := range w.reals {
		t, err := cpuOf(p.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.real += t
	}
	for i := range w.options.Gateways {
		c, at, k := w.discovery.Counts(i), &s.hollowIn, 0
		if i >= w.options.Gateways-w.options.Real {
			at, k = &s.realIn, 1
		}
		at[0] += c.BytesOut.Load()
		at[1] += c.Writes.Load()
		s.events[k] += c.Events.Load()
		s.connects += c.Connects.Load()
	}
	s.usage, err = w.usage(false)
	return s, err
}

// usage is the sum over all processes of hollow gateways.
func (w *watchRun) usage(gc bool) (sum Usage, err error) {
	sum.EventCounts = map[string]int64{}
	for _, c := range w.processes {
		a, err := c.call(command{Action: "usage", GC: gc})
		if err != nil {
			return sum, err
		}
		u := a.Usage
		sum.Heap += u.Heap
		sum.Mallocs += u.Mallocs
		sum.AllocBytes += u.AllocBytes
		sum.In += u.In
		sum.Out += u.Out
		sum.Reads += u.Reads
		for k, n := range u.EventCounts {
			sum.EventCounts[k] += n
		}
	}
	return sum, nil
}

// toggleProfile begins the processor profile, or ends it.
func (w *watchRun) toggleProfile() error {
	if w.options.Profile == "" || len(w.processes) == 0 {
		return nil
	}
	path, err := filepath.Abs(w.options.Profile)
	if err != nil {
		return err
	}
	_, err = w.processes[0].call(command{Action: "profile", File: path})
	return err
}

// arrivals waits for what was told in the window to come everywhere, 30 s at most.
func (w *watchRun) arrivals(r *WatchReport, from, to int64) error {
	if r.Events = int(to - from + 1); r.Events <= 0 || len(w.processes) == 0 {
		return nil
	}
	hollow := int32(w.options.Gateways - w.options.Real)
	var all []Arrival
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		all = make([]Arrival, r.Events)
		for _, c := range w.processes {
			a, err := c.call(command{Action: "arrivals", From: from, To: to})
			if err != nil {
				return err
			}
			for i, one := range a.Arrivals {
				all[i].Gateways += one.Gateways
				all[i].LastMicros = max(all[i].LastMicros, one.LastMicros)
			}
		}
		r.LostEvents = 0
		for _, a := range all {
			if a.Gateways < hollow {
				r.LostEvents++
			}
		}
		if r.LostEvents == 0 || time.Now().After(end) {
			break
		}
	}
	took := hdrhistogram.New(1, 120e6, 3)
	for i, a := range all {
		m := w.published[from-1+int64(i)]
		if !m.isPurge || a.Gateways < hollow {
			continue
		}
		us := max(1, a.LastMicros-m.at.UnixMicro())
		if took.RecordValue(min(us, 120e6)); time.Duration(us)*time.Microsecond > w.options.Deadline {
			r.LatePurges++
		}
	}
	r.Median, r.P99, r.Max = float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000, float64(took.Max())/1000
	return nil
}

func (w *watchRun) costs(r *WatchReport, a, b resourceSnapshot) error {
	took := b.at.Sub(a.at).Seconds()
	span := took / w.options.Stretch
	r.Seconds = span
	cost := func(n int, cpu time.Duration, before, after [2]int64, events int64, resident float64) Cost {
		if n == 0 {
			return Cost{}
		}
		each := float64(n) * span
		in, writes := after[0]-before[0], after[1]-before[1]
		down, up := TCPOverhead(in, writes)
		c := Cost{Gateways: n, Core: cpu.Seconds() / each, In: float64(in) / each, WireIn: float64(down) / each, WireOut: float64(up) / each,
			Writes: float64(writes) / each, Resident: resident / float64(n)}
		if events > 0 {
			c.EventMicros = cpu.Seconds() * 1e6 / float64(events)
		}
		return c
	}
	var hollowRSS, realRSS int64
	u, err := w.usage(true)
	if err != nil {
		return err
	}
	for _, c := range w.processes {
		n, err := residentOf(c.cmd.Process.Pid)
		if err != nil {
			return err
		}
		hollowRSS += n
	}
	for _, p := range w.reals {
		n, err := residentOf(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		realRSS += n
	}
	hollow := w.options.Gateways - w.options.Real
	r.Hollow = cost(hollow, b.hollow-a.hollow, a.hollowIn, b.hollowIn, b.events[0]-a.events[0], float64(hollowRSS))
	r.Real = cost(w.options.Real, b.real-a.real, a.realIn, b.realIn, b.events[1]-a.events[1], float64(realRSS))
	if hollow > 0 {
		r.Hollow.Heap = float64(u.Heap) / float64(hollow)
		r.Hollow.Allocs = float64(b.usage.Mallocs-a.usage.Mallocs) / float64(hollow) / span
		r.Hollow.Alloc = float64(b.usage.AllocBytes-a.usage.AllocBytes) / float64(hollow) / span
	}
	r.LogCounts = countsSince(b.usage.EventCounts, a.usage.EventCounts)
	r.Reconnects = b.connects - a.connects - int64(w.starts)
	r.Machine.Busy = (b.busy - a.busy).Seconds() / took
	r.Machine.Ours = (b.cpu - a.cpu + b.hollow - a.hollow + b.real - a.real).Seconds() / took
	if ran, waited := (b.hollow - a.hollow).Seconds(), (b.runQueueWait - a.runQueueWait).Seconds(); ran+waited > 0 {
		r.Machine.Starved = max(0, waited/(ran+waited))
	}
	r.Machine.Late, r.Machine.LateMax = float64(w.late.ValueAtQuantile(99))/1000, float64(w.late.Max())/1000
	return nil
}

// checkLimits says what must not be.
func (w *watchRun) checkLimits(r *WatchReport) {
	wrong := func(format string, a ...any) { r.Violations = append(r.Violations, fmt.Sprintf(format, a...)) }
	if r.LostEvents > 0 {
		wrong("%d of %d events did not come to all gateways", r.LostEvents, r.Events)
	}
	if r.LatePurges > 0 {
		wrong("%d purges were everywhere only after more than %v, the last after %.0f ms; hollow gateways were without a core for %.0f%% of the time that they could run", r.LatePurges,
			w.options.Deadline, r.Max, 100*r.Machine.Starved)
	}
	for _, k := range []struct {
		name string
		c    Cost
	}{{"hollow", r.Hollow}, {"real", r.Real}} {
		b := w.options.Budget
		if b.Core > 0 && k.c.Core > b.Core {
			wrong("a %s gateway spends %.2f%% of a core, %.2f%% are allowed", k.name, 100*k.c.Core, 100*b.Core)
		}
		if b.Resident > 0 && k.c.Resident > b.Resident {
			wrong("a %s gateway takes %.1f MB, %.0f are allowed", k.name, k.c.Resident/(1<<20), b.Resident/(1<<20))
		}
		if b.BytesPerSecond > 0 && k.c.WireIn+k.c.WireOut > b.BytesPerSecond {
			wrong("a %s gateway's watch takes %.1f KB/s with TCP, %.0f are allowed", k.name, (k.c.WireIn+k.c.WireOut)/1024, b.BytesPerSecond/1024)
		}
	}
	if len(r.LogCounts) > 0 && r.Restarts == 0 {
		var what []string
		for k, n := range r.LogCounts {
			what = append(what, fmt.Sprintf("%s %d", k, n))
		}
		slices.Sort(what)
		wrong("hollow gateways logged: %s", strings.Join(what, ", "))
	}
}

// close ends all that the run started.
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
	var told int64 // as a gateway counts that has the list as number 1
	if w.discovery != nil {
		told = w.discovery.Last() - w.base + 1
	}
	for _, p := range w.reals {
		wait.Go(func() {
			err := p.stop()
			if last, ends, e := p.watchResult(); err == nil && e != nil {
				err = e
			} else if err == nil && w.allArrived && (last != told || ends > 0) {
				err = fmt.Errorf("a real gateway held event %d of %d at its end, its watch ended %d times; its log is %s", last, told, ends, p.log.Name())
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

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
	Gateways  int           // hollow ones and real ones together
	Real      int           // of them processes of the program
	PerCrowd  int           // hollow ones in a process; 500 if 0
	Purges    float64       // a second, evenly; each eighth names a group, the others an object each
	Changes   time.Duration // one cache more drains or is up again, so often; 0: none
	Restarts  float64       // hollow gateways started anew, a second
	Lookups   float64       // a second, of each hollow gateway
	Caches    int           // in the list
	ListTold  bool          // the list stands in the configuration; otherwise it comes over the watch
	Warm      time.Duration // before the figures count: purges are kept for 11 s
	For       time.Duration // in which they count
	Bound     time.Duration // a purge is to be everywhere by then
	Stretch   float64       // time runs so many times slower for stand-in and gateways; 1 if 0, and 1 where Real is not 0. See Pace
	Seed      uint64
	Dir       string // for configurations and logs of real gateways
	Program   string // the gateway's, where Real is not 0
	Profile   string // file for the processor profile of the first process of hollow gateways
	Crowd     func() *exec.Cmd
	Tell      func(format string, a ...any) // progress
	Allowance Budget
}

// Budget is what a gateway may spend on control; 0: not asked.
type Budget struct {
	Core     float64 // of one core
	Resident float64 // bytes
	Bytes    float64 // a second, in and out, with what TCP adds
}

// FullBudget is the users' own: 2.1% of a core, 128 MB and 15 KB/s.
var FullBudget = Budget{0.021, 128 << 20, 15 << 10}

// Cost is what one gateway spends, the mean of its kind.
type Cost struct {
	Gateways int     `json:"gateways"`
	Core     float64 `json:"core"`         // of one core
	Event    float64 `json:"event_us"`     // processor time for each event heard, all it spends shared among them
	In       float64 `json:"in_bytes_s"`   // payload
	WireIn   float64 `json:"wire_in_b_s"`  // with TCP and IP, worked out; see Wire
	WireOut  float64 `json:"wire_out_b_s"` // acknowledgements, worked out
	Writes   float64 `json:"writes_s"`     // of the stand-in: segments at least
	Resident float64 `json:"resident_bytes"`
	Heap     float64 `json:"heap_bytes,omitempty"` // hollow only, after a collection
	Allocs   float64 `json:"allocs_s,omitempty"`   // hollow only
	Alloc    float64 `json:"alloc_bytes_s,omitempty"`
}

// Machine is what else the machine did meanwhile, in its own time: figures beside other work are marked by it.
type Machine struct {
	Cores    int     `json:"cores"`
	Busy     float64 `json:"busy_cores"`      // of the whole machine
	Ours     float64 `json:"our_cores"`       // of the stand-in and all gateways
	Starved  float64 `json:"starved"`         // part of the time that threads of hollow gateways were ready to run in which they had no core
	Late     float64 `json:"pace_late_p99ms"` // by how much the stand-in told purges late
	LateMost float64 `json:"pace_late_max_ms"`
}

// WatchReport is one run.
type WatchReport struct {
	What       string           `json:"what"`
	When       time.Time        `json:"when"`
	Gateways   int              `json:"gateways"`
	Run        int              `json:"run"`
	Stretch    float64          `json:"stretch"` // all times and rates here are those of a clock so many times slower than the machine's; see Pace
	Seconds    float64          `json:"seconds"` // that figures count, as it came out
	Purges     float64          `json:"purges_s"`
	Caches     int              `json:"caches"`
	Processes  int              `json:"processes"`
	Ready      float64          `json:"ready_s"` // until all watched, from the first start
	Told       int              `json:"told"`    // events in the window
	Lost       int              `json:"lost"`    // events in it that did not come to all hollow gateways within 30 s
	Late       int              `json:"late"`    // purges that were everywhere only past the bound
	Median     float64          `json:"everywhere_p50_ms"`
	P99        float64          `json:"everywhere_p99_ms"`
	Most       float64          `json:"everywhere_max_ms"`
	Hollow     Cost             `json:"hollow"`
	Real       Cost             `json:"real"`
	Restarts   int              `json:"restarts"`
	Reconnects int64            `json:"reconnects"`
	Closed     map[string]int64 `json:"log,omitempty"` // log lines of hollow gateways in the window
	Machine    Machine          `json:"machine"`
	Wrong      []string         `json:"wrong,omitempty"`
}

// watchRun is one run under way.
type watchRun struct {
	o      WatchOptions
	places []Place
	zones  int
	since  int64
	pace   Pace
	d      *Discovery
	crowds []*crowd
	reals  []*realGateway
	known  json.RawMessage
	base   int64
	took   []moment // by position, from 1: when each event was told
	late   *hdrhistogram.Histogram
	chance *rand.Rand
	drains int // next member to drain
	whom   *rand.Rand
	mu     sync.Mutex // guards what follows; both are read once play has returned
	starts int
	failed error

	settled bool // all that was told is at all hollow gateways
}

type moment struct {
	at    time.Time
	purge bool
}

func (o *WatchOptions) check() error {
	switch hollow := o.Gateways - o.Real; {
	case o.Gateways < 1 || o.Gateways > mostWatch:
		return fmt.Errorf("%d gateways, expected 1 to %d", o.Gateways, mostWatch)
	case o.Real < 0 || o.Real > 200 || hollow < 0:
		return fmt.Errorf("%d real gateways of %d, expected 0 to 200", o.Real, o.Gateways)
	case o.Purges < 0 || o.Purges > 10_000 || o.Restarts < 0 || o.Restarts > 100 || o.Lookups < 0 || o.Lookups > 1000:
		return errors.New("purges up to 10,000, restarts up to 100 and lookups up to 1,000 a second")
	case o.For <= 0 || o.Warm < 0 || o.Purges*(o.For+o.Warm).Seconds() > mostEntries/2:
		return fmt.Errorf("%g purges a second for %v are more than %d", o.Purges, o.For+o.Warm, mostEntries/2)
	case o.Caches < 1 || o.Caches > 16384:
		return fmt.Errorf("%d caches, expected 1 to 16384", o.Caches)
	}
	if o.Stretch = max(1, o.Stretch); o.Stretch > 1000 || o.Stretch > 1 && o.Real > 0 {
		return fmt.Errorf("time stretched %g times, expected 1 to 1000, and 1 beside real gateways, whose clock is the machine's", o.Stretch)
	}
	if o.PerCrowd <= 0 {
		o.PerCrowd = 500
	}
	if o.Tell == nil {
		o.Tell = func(string, ...any) {}
	}
	return nil
}

// Watch plays one run. An error is of the rig or the machine; what gateways did wrong stands in the report.
func Watch(o WatchOptions) (r *WatchReport, err error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	since := time.Now().UnixMicro()
	w := &watchRun{o: o, since: since, pace: NewPace(since, o.Stretch), places: Sized(o.Gateways), late: hdrhistogram.New(1, 60e6, 3), chance: rand.New(rand.NewPCG(o.Seed, 0x7761746368)),
		whom: rand.New(rand.NewPCG(o.Seed, 0x77686f6d))}
	for _, p := range w.places {
		w.zones = max(w.zones, p.Zone+1)
	}
	defer func() {
		if e := w.close(); err == nil && e != nil {
			r.Wrong = append(r.Wrong, e.Error())
		}
	}()
	r = &WatchReport{What: "watch", When: time.Now().UTC().Truncate(time.Second), Gateways: o.Gateways, Stretch: o.Stretch, Purges: o.Purges, Caches: o.Caches,
		Machine: Machine{Cores: cores()}}
	began := time.Now()
	if err := w.open(); err != nil {
		return nil, err
	}
	r.Ready, r.Processes = time.Since(began).Seconds(), len(w.crowds)+len(w.reals)
	o.Tell("%d gateways watch after %.1fs in %d processes", o.Gateways, r.Ready, r.Processes)
	w.play(o.Warm)
	warmed := w.starts
	if err := w.profile(); err != nil {
		return nil, err
	}
	before, err := w.look()
	if err != nil {
		return nil, err
	}
	from := w.d.Last() + 1
	w.late.Reset()
	w.play(o.For)
	after, err := w.look()
	if err != nil {
		return nil, err
	}
	if err := w.profile(); err != nil {
		return nil, err
	}
	to := w.d.Last()
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
	w.judge(r)
	w.settled = r.Lost == 0
	return r, nil
}

func (w *watchRun) open() error {
	o := &w.o
	var err error
	zones := FullZones
	if w.d, err = NewDiscovery(DiscoveryOptions{Gateways: o.Gateways, Pulse: w.pace.span(pulseUsual), Members: Members(o.Caches, min(zones, o.Caches))}); err != nil {
		return err
	}
	w.zones = max(w.zones, min(zones, o.Caches))
	for i := range o.Gateways {
		w.known, w.base = w.d.Join(i, o.ListTold)
	}
	for i := range o.Real { // the last ones
		at := o.Gateways - o.Real + i
		p, err := startReal(o.Program, filepath.Join(o.Dir, fmt.Sprintf("g%04d", at)), at, w.d.Addr(at), w.known, Settings(w.places, at, w.zones))
		if err != nil {
			return err
		}
		w.reals = append(w.reals, p)
	}
	for first := 0; first < o.Gateways-o.Real; first += o.PerCrowd {
		c, err := newCrowd(o.Crowd())
		if err != nil {
			return err
		}
		w.crowds = append(w.crowds, c)
		c.first, c.count = first, min(o.PerCrowd, o.Gateways-o.Real-first)
		start := order{Do: "start", First: first, Count: c.count, Base: w.base, Known: w.known, Gateways: o.Gateways, Zones: w.zones, Lookups: o.Lookups, Since: w.since, Stretch: o.Stretch}
		for i := range c.count {
			start.Watch = append(start.Watch, w.d.Addr(first+i))
		}
		if _, err := c.tell(start); err != nil {
			return err
		}
		o.Tell("%d of %d hollow gateways started", first+c.count, o.Gateways-o.Real)
	}
	for end := time.Now().Add(time.Minute); w.d.Watching() < o.Gateways; time.Sleep(20 * time.Millisecond) {
		for _, p := range w.reals {
			select {
			case err := <-p.ended:
				p.ended <- err
				return fmt.Errorf("a real gateway ended by itself: %v; its log is %s", err, p.log.Name())
			default:
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways watch after a minute", w.d.Watching(), o.Gateways)
		}
	}
	return nil
}

// play tells events of the size for a time. What falls due while this process does not run is told at once after.
func (w *watchRun) play(span time.Duration) {
	o := &w.o
	began := w.pace.Now()
	gap := func(rate float64) time.Duration {
		if rate <= 0 {
			return math.MaxInt64
		}
		return time.Duration(float64(time.Second) / rate)
	}
	purge, change := gap(o.Purges), o.Changes
	if change <= 0 {
		change = math.MaxInt64
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	defer restarts.Wait()
	defer close(stop)
	if o.Restarts > 0 && o.Gateways > o.Real {
		restarts.Go(func() { w.restarts(w.pace.span(gap(o.Restarts)), stop) })
	}
	nextPurge, nextChange, said := purge, change, time.Duration(0)
	for {
		due := min(nextPurge, nextChange, span)
		if wait := due - w.pace.Now().Sub(began); wait > 0 {
			time.Sleep(w.pace.span(wait))
		}
		now := w.pace.Now()
		if due == span {
			return
		}
		switch due {
		case nextPurge:
			w.late.RecordValue(max(1, min(int64(60e6), (now.Sub(began)-due).Microseconds())))
			nextPurge += purge
			object, group := fmt.Sprintf("%016x", w.chance.Uint64()|1), 0
			if len(w.took)%8 == 7 {
				object, group = "", w.chance.IntN(256)
			}
			w.took = append(w.took, moment{now, true})
			w.d.Purge(object, group, now)
		case nextChange:
			nextChange += change
			m := w.d.member(w.drains / 2)
			if m.Phase = "draining"; w.drains%2 == 1 {
				m.Phase = "up"
			}
			w.drains++
			w.took = append(w.took, moment{at: now})
			w.d.Change(m)
		}
		if at := now.Sub(began); w.pace.span(at-said) >= 10*time.Second {
			said = at
			o.Tell("%d gateways, %.0f of %.0f s", o.Gateways, at.Seconds(), span.Seconds())
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
		i := w.whom.IntN(w.o.Gateways - w.o.Real)
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
	c := w.crowds[i/w.o.PerCrowd]
	w.d.Leave(i)
	if _, err := c.tell(order{Do: "halt", First: i}); err != nil {
		return err
	}
	known, base := w.d.Join(i, w.o.ListTold)
	if _, err := c.tell(order{Do: "restart", First: i, Base: base, Known: known}); err != nil {
		return err
	}
	w.mu.Lock()
	w.starts++
	w.mu.Unlock()
	return nil
}

// sight is what all have spent up to an instant.
type sight struct {
	at       time.Time
	cpu      time.Duration // of this process
	hollow   time.Duration
	waited   time.Duration // of hollow gateways, for a core
	real     time.Duration
	busy     time.Duration
	usage    Usage
	hollowIn [2]int64 // payload and writes
	realIn   [2]int64
	events   [2]int64 // hollow, real
	connects int64
}

func (w *watchRun) look() (s sight, err error) {
	s.at = time.Now()
	if s.cpu, err = cpuOf(os.Getpid()); err != nil {
		return s, err
	}
	if s.busy, err = machineBusy(); err != nil {
		return s, err
	}
	for _, c := range w.crowds {
		t, err := cpuOf(c.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.hollow += t
		if t, err = waitedOf(c.cmd.Process.Pid); err != nil {
			return s, err
		}
		s.waited += t
	}
	for _, p := range w.reals {
		t, err := cpuOf(p.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.real += t
	}
	for i := range w.o.Gateways {
		c, at, k := w.d.Counts(i), &s.hollowIn, 0
		if i >= w.o.Gateways-w.o.Real {
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
	sum.Closed = map[string]int64{}
	for _, c := range w.crowds {
		a, err := c.tell(order{Do: "usage", GC: gc})
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
		for k, n := range u.Closed {
			sum.Closed[k] += n
		}
	}
	return sum, nil
}

// profile begins the processor profile, or ends it.
func (w *watchRun) profile() error {
	if w.o.Profile == "" || len(w.crowds) == 0 {
		return nil
	}
	path, err := filepath.Abs(w.o.Profile)
	if err != nil {
		return err
	}
	_, err = w.crowds[0].tell(order{Do: "profile", File: path})
	return err
}

// arrivals waits for what was told in the window to come everywhere, 30 s at most.
func (w *watchRun) arrivals(r *WatchReport, from, to int64) error {
	if r.Told = int(to - from + 1); r.Told <= 0 || len(w.crowds) == 0 {
		return nil
	}
	hollow := int32(w.o.Gateways - w.o.Real)
	var all []Arrival
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		all = make([]Arrival, r.Told)
		for _, c := range w.crowds {
			a, err := c.tell(order{Do: "arrivals", From: from, To: to})
			if err != nil {
				return err
			}
			for i, one := range a.Arrivals {
				all[i].N += one.N
				all[i].Last = max(all[i].Last, one.Last)
			}
		}
		r.Lost = 0
		for _, a := range all {
			if a.N < hollow {
				r.Lost++
			}
		}
		if r.Lost == 0 || time.Now().After(end) {
			break
		}
	}
	took := hdrhistogram.New(1, 120e6, 3)
	for i, a := range all {
		m := w.took[from-1+int64(i)]
		if !m.purge || a.N < hollow {
			continue
		}
		us := max(1, a.Last-m.at.UnixMicro())
		if took.RecordValue(min(us, 120e6)); time.Duration(us)*time.Microsecond > w.o.Bound {
			r.Late++
		}
	}
	r.Median, r.P99, r.Most = float64(took.ValueAtQuantile(50))/1000, float64(took.ValueAtQuantile(99))/1000, float64(took.Max())/1000
	return nil
}

func (w *watchRun) costs(r *WatchReport, a, b sight) error {
	took := b.at.Sub(a.at).Seconds()
	span := took / w.o.Stretch
	r.Seconds = span
	cost := func(n int, cpu time.Duration, before, after [2]int64, events int64, resident float64) Cost {
		if n == 0 {
			return Cost{}
		}
		each := float64(n) * span
		in, writes := after[0]-before[0], after[1]-before[1]
		down, up := Wire(in, writes)
		c := Cost{Gateways: n, Core: cpu.Seconds() / each, In: float64(in) / each, WireIn: float64(down) / each, WireOut: float64(up) / each,
			Writes: float64(writes) / each, Resident: resident / float64(n)}
		if events > 0 {
			c.Event = cpu.Seconds() * 1e6 / float64(events)
		}
		return c
	}
	var hollowRSS, realRSS int64
	u, err := w.usage(true)
	if err != nil {
		return err
	}
	for _, c := range w.crowds {
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
	hollow := w.o.Gateways - w.o.Real
	r.Hollow = cost(hollow, b.hollow-a.hollow, a.hollowIn, b.hollowIn, b.events[0]-a.events[0], float64(hollowRSS))
	r.Real = cost(w.o.Real, b.real-a.real, a.realIn, b.realIn, b.events[1]-a.events[1], float64(realRSS))
	if hollow > 0 {
		r.Hollow.Heap = float64(u.Heap) / float64(hollow)
		r.Hollow.Allocs = float64(b.usage.Mallocs-a.usage.Mallocs) / float64(hollow) / span
		r.Hollow.Alloc = float64(b.usage.AllocBytes-a.usage.AllocBytes) / float64(hollow) / span
	}
	r.Closed = since(b.usage.Closed, a.usage.Closed)
	r.Reconnects = b.connects - a.connects - int64(w.starts)
	r.Machine.Busy = (b.busy - a.busy).Seconds() / took
	r.Machine.Ours = (b.cpu - a.cpu + b.hollow - a.hollow + b.real - a.real).Seconds() / took
	if ran, waited := (b.hollow - a.hollow).Seconds(), (b.waited - a.waited).Seconds(); ran+waited > 0 {
		r.Machine.Starved = max(0, waited/(ran+waited))
	}
	r.Machine.Late, r.Machine.LateMost = float64(w.late.ValueAtQuantile(99))/1000, float64(w.late.Max())/1000
	return nil
}

// judge says what must not be.
func (w *watchRun) judge(r *WatchReport) {
	wrong := func(format string, a ...any) { r.Wrong = append(r.Wrong, fmt.Sprintf(format, a...)) }
	if r.Lost > 0 {
		wrong("%d of %d events did not come to all gateways", r.Lost, r.Told)
	}
	if r.Late > 0 {
		wrong("%d purges were everywhere only after more than %v, the last after %.0f ms; hollow gateways were without a core for %.0f%% of the time that they could run", r.Late,
			w.o.Bound, r.Most, 100*r.Machine.Starved)
	}
	for _, k := range []struct {
		name string
		c    Cost
	}{{"hollow", r.Hollow}, {"real", r.Real}} {
		b := w.o.Allowance
		if b.Core > 0 && k.c.Core > b.Core {
			wrong("a %s gateway spends %.2f%% of a core, %.2f%% are allowed", k.name, 100*k.c.Core, 100*b.Core)
		}
		if b.Resident > 0 && k.c.Resident > b.Resident {
			wrong("a %s gateway takes %.1f MB, %.0f are allowed", k.name, k.c.Resident/(1<<20), b.Resident/(1<<20))
		}
		if b.Bytes > 0 && k.c.WireIn+k.c.WireOut > b.Bytes {
			wrong("a %s gateway's watch takes %.1f KB/s with TCP, %.0f are allowed", k.name, (k.c.WireIn+k.c.WireOut)/1024, b.Bytes/1024)
		}
	}
	if len(r.Closed) > 0 && r.Restarts == 0 {
		var what []string
		for k, n := range r.Closed {
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
	for _, c := range w.crowds {
		wait.Go(func() {
			err := c.end()
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	var told int64 // as a gateway counts that has the list as number 1
	if w.d != nil {
		told = w.d.Last() - w.base + 1
	}
	for _, p := range w.reals {
		wait.Go(func() {
			err := p.end()
			if last, ends, e := p.heard(); err == nil && e != nil {
				err = e
			} else if err == nil && w.settled && (last != told || ends > 0) {
				err = fmt.Errorf("a real gateway held event %d of %d at its end, its watch ended %d times; its log is %s", last, told, ends, p.log.Name())
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	wait.Wait()
	if w.d != nil {
		w.d.Close()
	}
	return errors.Join(errs...)
}

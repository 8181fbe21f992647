package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"foldslip/internal/fleet/broadcast"
)

const (
	maxGateways     = 10_000
	maxPurges       = 1 << 20
	maxLateReported = 5                        // late purges that a report lists
	idleDuration    = 20 * time.Second         // time that a run continues after all purges have arrived
	freshDuration   = 5 * time.Second          // time after its start in which a gateway counts as fresh
	notCounted      = math.MaxUint32           // latency that does not count; see issuedPurge
	epochMillis     = int64(1_764_576_000_000) // Unix time, in milliseconds, at which the Network's clock is 0
)

// issuedPurge is a purge that has been published, with its latency at each gateway.
type issuedPurge struct {
	watchPurge
	at time.Duration
	// latencies holds, by gateway, the latency in microseconds plus 1, or 0 if the purge has not arrived. It is
	// notCounted for a gateway that was down or fresh when the purge was issued, or that ended before the purge
	// arrived. The slice is nil once the purge is finished.
	latencies     []uint32
	outstanding   int     // gateways with a latency of 0
	acrossCut     bool    // published on one side of a cut, from freshDuration before the cut until its heal
	side          int8    // side of the cut on which it was published; see broadcastRun.side
	freshGateways []int32 // fresh gateways that have not received it
}

// broadcastRun is the state of one run. The goroutine that runs the Network owns it.
type broadcastRun struct {
	options         BroadcastOptions
	faultCase       *faultCase
	net             *Network
	locations       []Location
	names           []string
	indexByName     map[string]int
	scratch         []string
	allMembers      []broadcast.Member            // by gateway
	sortedMembers   []broadcast.Member            // in the order of the broadcast tree
	memberLists     map[string][]broadcast.Member // shared member lists, by the encoded set of live gateways
	listKey         []byte
	gateways        []gateway
	views           *views
	newSpreader     func(*gateway, int64) spreader
	rng             *rand.Rand
	purges          []issuedPurge
	firstUnfinished int // index of the first purge that is not finished
	sources         []int
	protected       gatewaySet                         // gateways that are never killed: the sources
	isWatchSilent   func(i int, at time.Duration) bool // nil: all watches deliver
	cutRegion       gatewaySet                         // gateways of the region that is cut off; nil: the case has no cut
	cut             *Cut
	cutAt           time.Duration
	healAt          time.Duration
	lastAcrossCut   time.Duration // time at which a purge last reached the other side of the cut after the heal

	result          *BroadcastReport
	everywhereAfter []float64 // by finished purge: seconds until it reached the last gateway; infinite if it did not
	digest          *xxhash.Digest
	seconds         []secondSample
	countersAtStart []Counters
	lastCounters    []Counters
	worstIn         []int64
	worstOut        []int64
}

// secondSample holds a second of the virtual clock and the greatest number of bytes that one gateway sent and received
// in it.
type secondSample struct{ at, bytes int64 }

// Broadcast simulates a run on the caller's goroutine and returns its report. Equal options give equal reports, except
// for CoreShare and Heap, which are measured on this process. The error is an *OptionError.
func Broadcast(o BroadcastOptions) (*BroadcastReport, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := newBroadcastRun(o)
	var before syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for i := range r.gateways {
		r.net.Start(i)
	}
	r.schedule()
	end, done := o.Warmup+o.Duration+o.Settle, time.Duration(0)
	for now := time.Second; now <= end; now += time.Second {
		r.net.Run(now)
		r.finishPurges(false)
		if now < o.Warmup+o.Duration || now < r.caseOverAt() || r.firstUnfinished < len(r.purges) {
			continue
		}
		if done == 0 {
			done = now
		}
		if now >= done+idleDuration { // long enough for gateways to find out that they lack no purges
			break
		}
	}
	r.finishPurges(true)
	if o.Measure {
		var after syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &after)
		cpu := func(u *syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
		r.result.CoreShare = (cpu(&after) - cpu(&before)) / float64(o.Gateways) / r.net.Now().Seconds()
	}
	r.fillReport()
	if o.Measure {
		r.result.Heap = r.heapBytes()
	}
	return r.result, nil
}

// newBroadcastRun sets up a run. The options must be valid, with their defaults filled in.
func newBroadcastRun(o BroadcastOptions) *broadcastRun {
	c := findCase(o.Case)
	if o.Source == "" {
		o.Source = c.source
	}
	r := &broadcastRun{options: o, faultCase: c, locations: broadcastLayout(o.Gateways), indexByName: map[string]int{}, memberLists: map[string][]broadcast.Member{}, rng: rand.New(rand.NewPCG(o.Seed, 0x62726f6164)), digest: xxhash.New(),
		result: &BroadcastReport{Kind: "broadcast", Gateways: o.Gateways, Mechanism: o.Mechanism, Case: o.Case, Source: o.Source, Rate: o.Rate, Seed: o.Seed, Seconds: o.Duration.Seconds()}}
	r.net = NewNetwork(o.Seed, r.locations, DefaultLatency, r.newGateway)
	r.gateways, r.protected = make([]gateway, o.Gateways), newGatewaySet(o.Gateways)
	for i := range r.gateways {
		r.names = append(r.names, fmt.Sprintf("g%04d", i))
		r.indexByName[r.names[i]] = i
		r.allMembers = append(r.allMembers, r.member(i))
	}
	r.sortedMembers = slices.Clone(r.allMembers)
	broadcast.SortMembers(r.sortedMembers)
	r.views = &views{run: r}
	r.newSpreader = spreaders[o.Mechanism]
	first := r.rng.IntN(o.Gateways)
	r.sources = []int{first}
	if o.Source == "two" {
		others := NodesWhere(r.locations, func(p Location) bool { return p.Region != r.locations[first].Region })
		if len(others) == 0 {
			others = NodesWhere(r.locations, func(p Location) bool { return p.Site != r.locations[first].Site })
		}
		r.sources = append(r.sources, others[r.rng.IntN(len(others))])
	}
	for _, i := range r.sources {
		r.protected.put(i, true)
	}
	r.lastCounters, r.countersAtStart = make([]Counters, o.Gateways), make([]Counters, o.Gateways)
	r.worstIn, r.worstOut = make([]int64, o.Gateways), make([]int64, o.Gateways)
	return r
}

// caseOverAt returns the time at which the fault case has ended: one second after the heal of a cut, and 0 for a case
// without a cut.
func (r *broadcastRun) caseOverAt() time.Duration {
	if r.healAt > 0 {
		return r.healAt + time.Second
	}
	return 0
}

// heapBytes returns the mean heap size of a gateway's spreader in bytes. It compares the heap before and after it drops
// all spreaders, so the run cannot continue afterwards.
func (r *broadcastRun) heapBytes() float64 {
	use := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	full := use()
	for i := range r.gateways {
		r.gateways[i].spreader = nil
	}
	empty := use()
	runtime.KeepAlive(r.net)
	return (full - empty) / float64(len(r.gateways))
}

// schedule schedules the purges, the samples of the traffic and the fault case.
func (r *broadcastRun) schedule() {
	o := &r.options
	count := int(o.Rate * o.Duration.Seconds())
	r.purges = make([]issuedPurge, 0, count)
	var issue func()
	at := func(k int) time.Duration { return o.Warmup + time.Duration(float64(k)/o.Rate*float64(time.Second)) }
	issue = func() {
		r.issuePurge()
		if k := len(r.purges); k < count {
			r.net.Schedule(at(k), issue)
		}
	}
	r.net.Schedule(at(0), issue)
	var sample func()
	sample = func() {
		r.sampleSecond()
		r.net.Schedule(r.net.Now()+time.Second, sample)
	}
	r.net.Schedule(o.Warmup, func() {
		for i := range r.gateways {
			r.countersAtStart[i] = r.net.Counters(i)
			r.lastCounters[i] = r.countersAtStart[i]
		}
		r.result.roles = r.roles()
		r.net.Schedule(o.Warmup+time.Second, sample)
	})
	r.net.Schedule(o.Warmup+o.Duration, func() {
		for i := range r.gateways {
			r.result.countersAtEnd = append(r.result.countersAtEnd, r.net.Counters(i))
		}
	})
	r.faultCase.schedule(r)
}

// kill ends a gateway unless it is down or protected. Purges that it has not received no longer count for it.
func (r *broadcastRun) kill(i int) {
	if !r.net.IsUp(i) || r.protected.has(i) {
		return
	}
	g := &r.gateways[i]
	r.result.Totals.add(g.spreader.tally())
	r.net.Kill(i)
	r.result.Kills++
	r.views.record(membershipEvent{gateway: int32(i), incarnation: g.incarnation})
	for k := r.firstUnfinished; k < len(r.purges); k++ {
		p := &r.purges[k]
		if p.latencies == nil {
			continue
		}
		if p.latencies[i] == 0 {
			p.latencies[i] = notCounted
			p.outstanding--
		}
		if at := slices.Index(p.freshGateways, int32(i)); at >= 0 {
			p.freshGateways = slices.Delete(p.freshGateways, at, at+1)
			r.result.FreshPairs--
		}
	}
}

// restart kills the gateways and starts them again later.
func (r *broadcastRun) restart(gateways []int, after time.Duration) {
	for _, i := range gateways {
		r.kill(i)
	}
	r.net.Schedule(r.net.Now()+after, func() {
		for _, i := range gateways {
			r.net.Start(i)
		}
	})
}

// sampleSecond records the bytes of each gateway in the last second, and how many gateways know that they lack purges.
func (r *broadcastRun) sampleSecond() {
	var most, behind int64
	for i := range r.gateways {
		if r.net.IsUp(i) && r.gateways[i].spreader.isBehind() {
			behind++
		}
		c := r.net.Counters(i)
		in, out := c.BytesIn-r.lastCounters[i].BytesIn, c.BytesOut-r.lastCounters[i].BytesOut
		r.worstIn[i], r.worstOut[i] = max(r.worstIn[i], in), max(r.worstOut[i], out)
		most = max(most, in+out)
		r.lastCounters[i] = c
	}
	r.result.MaxBehind, r.result.BehindAtEnd, r.result.BehindTime = max(r.result.MaxBehind, behind), behind, r.result.BehindTime+float64(behind)
	r.seconds = append(r.seconds, secondSample{int64(r.net.Now() / time.Second), most})
}

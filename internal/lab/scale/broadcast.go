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
	maxGateways   = 10_000
	maxPurges     = 1 << 20
	maxLateNamed  = 5                // purges that a report names
	idleDuration  = 20 * time.Second // after all is heard
	freshDuration = 5 * time.Second  // a gateway counts as standing so long after its start; before, apart
	notCounted    = math.MaxUint32
	epochMillis   = int64(1_764_576_000_000) // Unix milliseconds of the Net's beginning
)

type issuedPurge struct {
	watchPurge
	at            time.Duration
	latencies     []uint32 // by gateway: microseconds and 1; 0: not heard; excluded: not asked for. nil: done
	outstanding   int      // of them that have not heard
	acrossCut     bool     // told on one side of a cut while it was there: the other side counts from the heal
	side          int8
	freshGateways []int32 // gateways that started shortly before
}

type broadcastRun struct {
	options       BroadcastOptions
	faultCase     *faultCase
	net           *Network
	locations     []Location
	names         []string
	indexByName   map[string]int
	scratch       []string
	allMembers    []broadcast.Member            // all
	sortedMembers []broadcast.Member            // all, in the tree's order
	memberLists   map[string][]broadcast.Member // lists of the live, by who is in them
	listKey       []byte
	gateways      []gateway
	views         *views
	newSpreader   func(*gateway, int64) spreader
	rng           *rand.Rand
	purges        []issuedPurge
	firstOpen     int // the first purge that is not done
	sources       []int
	protected     gatewaySet // not killed: tellers
	watchIsDeaf   func(i int, at time.Duration) bool
	cutRegion     gatewaySet // of the cut: the region; nil: none
	cut           *Cut
	cutAt         time.Duration
	healAt        time.Duration
	lastAcrossCut time.Duration // when the last purge was heard on the far side after a heal

	result          *BroadcastReport
	everywhereAfter []float64 // seconds to everywhere
	digest          *xxhash.Digest
	seconds         []secondSample
	countersAtStart []Counters
	lastCounters    []Counters
	worstIn         []int64
	worstOut        []int64
}

type secondSample struct{ at, bytes int64 } // most bytes of a gateway in that second, in and out

// Broadcast plays a run. Equal options give equal reports but for Core and Heap.
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
		if now < o.Warmup+o.Duration || now < r.caseOverAt() || r.firstOpen < len(r.purges) {
			continue
		}
		if done == 0 {
			done = now
		}
		if now >= done+idleDuration { // a while at rest: who knew that it lacked some knows that it does not
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

// newBroadcastRun sets up a run whose options are whole.
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
		there := NodesWhere(r.locations, func(p Location) bool { return p.Region != r.locations[first].Region })
		if len(there) == 0 {
			there = NodesWhere(r.locations, func(p Location) bool { return p.Site != r.locations[first].Site })
		}
		r.sources = append(r.sources, there[r.rng.IntN(len(there))])
	}
	for _, i := range r.sources {
		r.protected.put(i, true)
	}
	r.lastCounters, r.countersAtStart = make([]Counters, o.Gateways), make([]Counters, o.Gateways)
	r.worstIn, r.worstOut = make([]int64, o.Gateways), make([]int64, o.Gateways)
	return r
}

// caseOverAt is when the case has no more to play.
func (r *broadcastRun) caseOverAt() time.Duration {
	if r.healAt > 0 {
		return r.healAt + time.Second
	}
	return 0
}

// heapBytes is what the gateways' spreaders hold, by taking them away.
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

// schedule sets up purges, samples and the case.
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
			r.result.endedCounters = append(r.result.endedCounters, r.net.Counters(i))
		}
	})
	r.faultCase.schedule(r)
}

// kill ends a gateway; what it had not heard does not count.
func (r *broadcastRun) kill(i int) {
	if !r.net.IsUp(i) || r.protected.has(i) {
		return
	}
	g := &r.gateways[i]
	r.result.Totals.add(g.spreader.tally())
	r.net.Kill(i)
	r.result.Kills++
	r.views.record(membershipEvent{gateway: int32(i), incarnation: g.incarnation})
	for k := r.firstOpen; k < len(r.purges); k++ {
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

// restart kills some and starts them again after a time.
func (r *broadcastRun) restart(who []int, after time.Duration) {
	for _, i := range who {
		r.kill(i)
	}
	r.net.Schedule(r.net.Now()+after, func() {
		for _, i := range who {
			r.net.Start(i)
		}
	})
}

// sampleSecond looks at the last second's bytes.
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

package scale

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"foldslip/internal/fleet/broadcast"
)

// BroadcastOptions are of a run of the spreading of purges among gateways, on a virtual clock.
type BroadcastOptions struct {
	Gateways  int
	Mechanism string // one of Mechanisms
	Case      string // one of Cases
	Source    string // one of Sources; "": the case's own
	Rate      float64
	Seed      uint64

	Warmup, Duration, Settle time.Duration // before purges are told, while, and how long the last may take
	FaultDuration            time.Duration // how long a cut, a zone's loss, deafness lasts; 0: the case's own
	Restarts                 int           // of a release; 0: 1,900 of 3,900, or as many of the size

	CrashSeenWithin, StartSeenWithin time.Duration // a crash and a start are seen by all within; 0: 4 log10(n) s, 1 s
	WatchLag                         time.Duration // a watch tells within a tenth of it to all of it; 0: 0.3 s
	Deadline                         time.Duration // the term of a purge; 0: 4.5 s
	BytesPerSecond                   float64       // a second, in and out, of a gateway; 0: 15 KB

	ClockSkew time.Duration // gateways' Unix clocks are off by up to so much either way

	KeepPurges time.Duration // the new mechanism's; 0: its usual one

	Measure  bool // processor and heap: only where nothing else runs in the process
	Progress func(string, ...any)
}

// Mechanisms that can be run.
func Mechanisms() []string { return []string{"old", "new"} }

// Sources are who is told of purges: one gateway; one on either side of a cut, turn by turn; all; all but those that are deaf by the case.
func Sources() []string { return []string{"one", "two", "all"} }

const (
	maxGateways   = 10_000
	maxPurges     = 1 << 20
	maxLateNamed  = 5                // purges that a report names
	restDuration  = 20 * time.Second // after all is heard
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
	places        []Place
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

// setDefaults fills in what was left out.
func (o *BroadcastOptions) setDefaults() error {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.Warmup, 5*time.Second)
	def(&o.Duration, time.Minute)
	def(&o.Settle, time.Minute)
	def(&o.CrashSeenWithin, time.Duration(4*math.Log10(float64(max(o.Gateways, 2)))*float64(time.Second)))
	def(&o.StartSeenWithin, time.Second)
	def(&o.WatchLag, 300*time.Millisecond)
	def(&o.Deadline, 4500*time.Millisecond)
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = 15 << 10
	}
	switch {
	case o.Gateways < 12 || o.Gateways > maxGateways:
		return fmt.Errorf("%d gateways: expected 12 to %d", o.Gateways, maxGateways)
	case !(o.Rate > 0) || o.Rate > 1000 || o.Rate*o.Duration.Seconds() > maxPurges:
		return fmt.Errorf("%g purges a second for %v: expected up to 1,000 a second and %d in all", o.Rate, o.Duration, maxPurges)
	case !slices.Contains(Mechanisms(), o.Mechanism):
		return fmt.Errorf("mechanism %q: expected one of %s", o.Mechanism, strings.Join(Mechanisms(), ", "))
	case o.Source != "" && !slices.Contains(Sources(), o.Source):
		return fmt.Errorf("told %q: expected one of %s", o.Source, strings.Join(Sources(), ", "))
	case o.Warmup < 0 || o.Duration <= 0 || o.Settle <= 0 || o.FaultDuration < 0 || o.Restarts < 0 || o.Warmup+o.Duration+o.Settle > 4*time.Hour:
		return fmt.Errorf("times: expected more than 0, and 4 hours in all")
	case findCase(o.Case) == nil:
		return fmt.Errorf("case %q: expected one of %s", o.Case, strings.Join(Cases(), ", "))
	}
	return nil
}

// Validate tells what cannot be played.
func (o BroadcastOptions) Validate() error { return o.setDefaults() }

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
		if now >= done+restDuration { // a while at rest: who knew that it lacked some knows that it does not
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
	r := &broadcastRun{options: o, faultCase: c, places: broadcastLayout(o.Gateways), indexByName: map[string]int{}, memberLists: map[string][]broadcast.Member{}, rng: rand.New(rand.NewPCG(o.Seed, 0x62726f6164)), digest: xxhash.New(),
		result: &BroadcastReport{Kind: "broadcast", Gateways: o.Gateways, Mechanism: o.Mechanism, Case: o.Case, Source: o.Source, Rate: o.Rate, Seed: o.Seed, Seconds: o.Duration.Seconds()}}
	r.net = NewNetwork(o.Seed, r.places, DefaultLatency, r.newGateway)
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
		there := NodesWhere(r.places, func(p Place) bool { return p.Region != r.places[first].Region })
		if len(there) == 0 {
			there = NodesWhere(r.places, func(p Place) bool { return p.Site != r.places[first].Site })
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
			r.net.At(at(k), issue)
		}
	}
	r.net.At(at(0), issue)
	var sample func()
	sample = func() {
		r.sampleSecond()
		r.net.At(r.net.Now()+time.Second, sample)
	}
	r.net.At(o.Warmup, func() {
		for i := range r.gateways {
			r.countersAtStart[i] = r.net.Counters(i)
			r.lastCounters[i] = r.countersAtStart[i]
		}
		r.result.roles = r.roles()
		r.net.At(o.Warmup+time.Second, sample)
	})
	r.net.At(o.Warmup+o.Duration, func() {
		for i := range r.gateways {
			r.result.endedCounters = append(r.result.endedCounters, r.net.Counters(i))
		}
	})
	r.faultCase.play(r)
}

// issuePurge issues the next purge: of an object, each fiftieth of one of eight groups.
func (r *broadcastRun) issuePurge() {
	k, now := len(r.purges), r.net.Now()
	p := issuedPurge{at: now, watchPurge: watchPurge{Object: fmt.Sprintf("%016x", mix(r.options.Seed^uint64(k)<<20)), Issued: epochMillis + now.Milliseconds()}}
	if k%50 == 49 {
		p.Object, p.Group = "", int64(k/50%8+1)
	}
	if r.options.Source == "two" {
		p.side = r.side(r.sources[k%2])
	} else if r.options.Source == "one" {
		p.side = r.side(r.sources[0])
	}
	p.acrossCut = r.cutRegion != nil && r.options.Source != "all" && now >= r.cutAt-freshDuration && now < r.healAt
	p.latencies = make([]uint32, len(r.gateways))
	for i := range r.gateways {
		switch {
		case !r.net.IsUp(i):
			p.latencies[i] = notCounted
		case now < r.gateways[i].started+freshDuration && r.gateways[i].started > 0:
			p.latencies[i] = notCounted
			p.freshGateways = append(p.freshGateways, int32(i))
		default:
			p.outstanding++
		}
	}
	r.result.FreshPairs += int64(len(p.freshGateways))
	r.purges = append(r.purges, p)
}

// purgeReceived notes that a gateway knows of a purge.
func (r *broadcastRun) purgeReceived(g *gateway, t watchPurge, own bool) {
	k := int(math.Round((time.Duration(t.Issued-epochMillis)*time.Millisecond - r.options.Warmup).Seconds() * r.options.Rate))
	for k = max(k-2, 0); k < len(r.purges) && r.purges[k].watchPurge != t; k++ {
		if r.purges[k].Issued > t.Issued {
			k = len(r.purges)
			break
		}
	}
	if k >= len(r.purges) {
		r.result.UnknownPurges++
		return
	}
	p, now := &r.purges[k], r.net.Now()
	if !own {
		r.result.Applied++
	}
	if p.latencies == nil {
		return
	}
	lag := now - p.at
	switch v := &p.latencies[g.index]; {
	case *v == 0:
		*v = uint32(min(lag.Microseconds()+1, notCounted-1))
		p.outstanding--
		if r.cut == nil && r.healAt > 0 && p.acrossCut && r.side(g.index) != p.side {
			r.lastAcrossCut = max(r.lastAcrossCut, now)
		}
	case *v == notCounted:
		if at := slices.Index(p.freshGateways, int32(g.index)); at >= 0 {
			p.freshGateways = slices.Delete(p.freshGateways, at, at+1)
			if r.result.FreshWorst = max(r.result.FreshWorst, lag.Seconds()); lag <= r.options.Deadline {
				r.result.freshIn++
			}
		}
	}
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
	r.net.At(r.net.Now()+after, func() {
		for _, i := range who {
			r.net.Start(i)
		}
	})
}

// finishPurges counts purges that all have heard, or all that are left.
func (r *broadcastRun) finishPurges(all bool) {
	for k := r.firstOpen; k < len(r.purges); k++ {
		if p := &r.purges[k]; p.latencies != nil && (all || p.outstanding == 0 && len(p.freshGateways) == 0) {
			r.countPurge(k)
			p.latencies = nil
		}
		if k == r.firstOpen && r.purges[k].latencies == nil {
			r.firstOpen++
		}
	}
}

// countPurge takes a purge into the figures.
func (r *broadcastRun) countPurge(k int) {
	p := &r.purges[k]
	var worst uint32
	who := 0
	lost, lostFar, within := 0, 0, uint32(r.options.Deadline.Microseconds()+1)
	sum := make([]byte, 0, 4*len(p.latencies)+8)
	sum = binary.LittleEndian.AppendUint64(sum, uint64(k))
	for i, v := range p.latencies {
		sum = binary.LittleEndian.AppendUint32(sum, v)
		far := p.acrossCut && r.side(i) != p.side
		switch {
		case v == notCounted:
		case v == 0 && far:
			lostFar++
		case far:
		case v == 0:
			lost++
			r.result.Pairs++
		default:
			r.result.Pairs++
			if v <= within {
				r.result.pairsIn++
			}
			if v > worst {
				worst, who = v, i
			}
		}
	}
	r.digest.Write(sum)
	r.result.Purges++
	if worst > within {
		r.result.Late = append(r.result.Late, LatePurge{(p.at - r.options.Warmup).Seconds(), who, float64(worst) / 1e6})
		slices.SortStableFunc(r.result.Late, func(a, b LatePurge) int { return cmp.Compare(b.Latency, a.Latency) })
		r.result.Late = r.result.Late[:min(len(r.result.Late), maxLateNamed)]
	}
	r.result.LostPairs += int64(lost)
	r.result.LostAcrossCut += int64(lostFar)
	r.result.LostFresh += int64(len(p.freshGateways))
	if p.acrossCut {
		r.result.AcrossCut++
	}
	if lost > 0 {
		r.result.Lost++
		r.everywhereAfter = append(r.everywhereAfter, math.Inf(1))
	} else {
		r.everywhereAfter = append(r.everywhereAfter, float64(worst)/1e6)
	}
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

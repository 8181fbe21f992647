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
	Told      string // one of Sources; "": the case's own
	Rate      float64
	Seed      uint64

	Warm, For, Settle time.Duration // before purges are told, while, and how long the last may take
	Fault             time.Duration // how long a cut, a zone's loss, deafness lasts; 0: the case's own
	Restarts          int           // of a release; 0: 1,900 of 3,900, or as many of the size

	Detect, Seen time.Duration // a crash and a start are seen by all within; 0: 4 log10(n) s, 1 s
	WatchLag     time.Duration // a watch tells within a tenth of it to all of it; 0: 0.3 s
	Within       time.Duration // the term of a purge; 0: 4.5 s
	Bytes        float64       // a second, in and out, of a gateway; 0: 15 KB

	Skew time.Duration // gateways' Unix clocks are off by up to so much either way

	Keep time.Duration // the new mechanism's; 0: its usual one

	Measure bool // processor and heap: only where nothing else runs in the process
	Tell    func(string, ...any)
}

// Mechanisms that can be run.
func Mechanisms() []string { return []string{"old", "new"} }

// Sources are who is told of purges: one gateway; one on either side of a cut, turn by turn; all; all but those that are deaf by the case.
func Sources() []string { return []string{"one", "two", "all"} }

const (
	mostGateways = 10_000
	mostPurges   = 1 << 20
	mostLate     = 5                // purges that a report names
	restFor      = 20 * time.Second // after all is heard
	freshFor     = 5 * time.Second  // a gateway counts as standing so long after its start; before, apart
	excluded     = math.MaxUint32
	firstIssued  = int64(1_764_576_000_000) // Unix milliseconds of the Net's beginning
)

type purge struct {
	told
	at    time.Duration
	lag   []uint32 // by gateway: microseconds and 1; 0: not heard; excluded: not asked for. nil: done
	left  int      // of them that have not heard
	far   bool     // told on one side of a cut while it was there: the other side counts from the heal
	side  int8
	fresh []int32 // gateways that started shortly before
}

type broadcastRun struct {
	o       BroadcastOptions
	c       *faultCase
	net     *Net
	places  []Place
	names   []string
	at      map[string]int
	scratch []string
	known   []broadcast.Member            // all
	sorted  []broadcast.Member            // all, in the tree's order
	shared  map[string][]broadcast.Member // lists of the live, by who is in them
	key     []byte
	all     []gateway
	views   *views
	make    func(*gateway, int64) spreader
	chance  *rand.Rand
	purges  []purge
	open    int // the first purge that is not done
	tellers []int
	guarded set // not killed: tellers
	deaf    func(i int, at time.Duration) bool
	sides   set // of the cut: the region; nil: none
	cut     *Cut
	cutAt   time.Duration
	healAt  time.Duration
	newest  time.Duration // when the last purge was heard on the far side after a heal

	r        *BroadcastReport
	most     []float64 // seconds to everywhere
	digest   *xxhash.Digest
	seconds  []tick
	began    []Counters
	last     []Counters
	worstIn  []int64
	worstOut []int64
}

type tick struct{ at, bytes int64 } // most bytes of a gateway in that second, in and out

// usual fills in what was left out.
func (o *BroadcastOptions) usual() error {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.Warm, 5*time.Second)
	def(&o.For, time.Minute)
	def(&o.Settle, time.Minute)
	def(&o.Detect, time.Duration(4*math.Log10(float64(max(o.Gateways, 2)))*float64(time.Second)))
	def(&o.Seen, time.Second)
	def(&o.WatchLag, 300*time.Millisecond)
	def(&o.Within, 4500*time.Millisecond)
	if o.Bytes == 0 {
		o.Bytes = 15 << 10
	}
	switch {
	case o.Gateways < 12 || o.Gateways > mostGateways:
		return fmt.Errorf("%d gateways: expected 12 to %d", o.Gateways, mostGateways)
	case !(o.Rate > 0) || o.Rate > 1000 || o.Rate*o.For.Seconds() > mostPurges:
		return fmt.Errorf("%g purges a second for %v: expected up to 1,000 a second and %d in all", o.Rate, o.For, mostPurges)
	case !slices.Contains(Mechanisms(), o.Mechanism):
		return fmt.Errorf("mechanism %q: expected one of %s", o.Mechanism, strings.Join(Mechanisms(), ", "))
	case o.Told != "" && !slices.Contains(Sources(), o.Told):
		return fmt.Errorf("told %q: expected one of %s", o.Told, strings.Join(Sources(), ", "))
	case o.Warm < 0 || o.For <= 0 || o.Settle <= 0 || o.Fault < 0 || o.Restarts < 0 || o.Warm+o.For+o.Settle > 4*time.Hour:
		return fmt.Errorf("times: expected more than 0, and 4 hours in all")
	case findCase(o.Case) == nil:
		return fmt.Errorf("case %q: expected one of %s", o.Case, strings.Join(Cases(), ", "))
	}
	return nil
}

// Check tells what cannot be played.
func (o BroadcastOptions) Check() error { return o.usual() }

// Broadcast plays a run. Equal options give equal reports but for Core and Heap.
func Broadcast(o BroadcastOptions) (*BroadcastReport, error) {
	if err := o.usual(); err != nil {
		return nil, err
	}
	r := newBroadcastRun(o)
	var before syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for i := range r.all {
		r.net.Start(i)
	}
	r.schedule()
	end, done := o.Warm+o.For+o.Settle, time.Duration(0)
	for now := time.Second; now <= end; now += time.Second {
		r.net.Run(now)
		r.finish(false)
		if now < o.Warm+o.For || now < r.settled() || r.open < len(r.purges) {
			continue
		}
		if done == 0 {
			done = now
		}
		if now >= done+restFor { // a while at rest: who knew that it lacked some knows that it does not
			break
		}
	}
	r.finish(true)
	if o.Measure {
		var after syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &after)
		cpu := func(u *syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
		r.r.Core = (cpu(&after) - cpu(&before)) / float64(o.Gateways) / r.net.Now().Seconds()
	}
	r.report()
	if o.Measure {
		r.r.Heap = r.heap()
	}
	return r.r, nil
}

// newBroadcastRun sets up a run whose options are whole.
func newBroadcastRun(o BroadcastOptions) *broadcastRun {
	c := findCase(o.Case)
	if o.Told == "" {
		o.Told = c.told
	}
	r := &broadcastRun{o: o, c: c, places: spreadPlaces(o.Gateways), at: map[string]int{}, shared: map[string][]broadcast.Member{}, chance: rand.New(rand.NewPCG(o.Seed, 0x62726f6164)), digest: xxhash.New(),
		r: &BroadcastReport{What: "broadcast", Gateways: o.Gateways, Mechanism: o.Mechanism, Case: o.Case, Told: o.Told, Rate: o.Rate, Seed: o.Seed, Seconds: o.For.Seconds()}}
	r.net = NewNet(o.Seed, r.places, Usual, r.newGateway)
	r.all, r.guarded = make([]gateway, o.Gateways), newSet(o.Gateways)
	for i := range r.all {
		r.names = append(r.names, fmt.Sprintf("g%04d", i))
		r.at[r.names[i]] = i
		r.known = append(r.known, r.member(i))
	}
	r.sorted = slices.Clone(r.known)
	broadcast.SortMembers(r.sorted)
	r.views = &views{r: r}
	r.make = spreaders[o.Mechanism]
	first := r.chance.IntN(o.Gateways)
	r.tellers = []int{first}
	if o.Told == "two" {
		there := In(r.places, func(p Place) bool { return p.Region != r.places[first].Region })
		if len(there) == 0 {
			there = In(r.places, func(p Place) bool { return p.Site != r.places[first].Site })
		}
		r.tellers = append(r.tellers, there[r.chance.IntN(len(there))])
	}
	for _, i := range r.tellers {
		r.guarded.put(i, true)
	}
	r.last, r.began = make([]Counters, o.Gateways), make([]Counters, o.Gateways)
	r.worstIn, r.worstOut = make([]int64, o.Gateways), make([]int64, o.Gateways)
	return r
}

// settled is when the case has no more to play.
func (r *broadcastRun) settled() time.Duration {
	if r.healAt > 0 {
		return r.healAt + time.Second
	}
	return 0
}

// heap is what the gateways' spreaders hold, by taking them away.
func (r *broadcastRun) heap() float64 {
	use := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	full := use()
	for i := range r.all {
		r.all[i].its = nil
	}
	empty := use()
	runtime.KeepAlive(r.net)
	return (full - empty) / float64(len(r.all))
}

// schedule sets up purges, samples and the case.
func (r *broadcastRun) schedule() {
	o := &r.o
	count := int(o.Rate * o.For.Seconds())
	r.purges = make([]purge, 0, count)
	var issue func()
	at := func(k int) time.Duration { return o.Warm + time.Duration(float64(k)/o.Rate*float64(time.Second)) }
	issue = func() {
		r.issue()
		if k := len(r.purges); k < count {
			r.net.At(at(k), issue)
		}
	}
	r.net.At(at(0), issue)
	var sample func()
	sample = func() {
		r.sample()
		r.net.At(r.net.Now()+time.Second, sample)
	}
	r.net.At(o.Warm, func() {
		for i := range r.all {
			r.began[i] = r.net.Count(i)
			r.last[i] = r.began[i]
		}
		r.r.places = r.roles()
		r.net.At(o.Warm+time.Second, sample)
	})
	r.net.At(o.Warm+o.For, func() {
		for i := range r.all {
			r.r.ended = append(r.r.ended, r.net.Count(i))
		}
	})
	r.c.play(r)
}

// issue issues the next purge: of an object, each fiftieth of one of eight groups.
func (r *broadcastRun) issue() {
	k, now := len(r.purges), r.net.Now()
	p := purge{at: now, told: told{Object: fmt.Sprintf("%016x", mix(r.o.Seed^uint64(k)<<20)), Issued: firstIssued + now.Milliseconds()}}
	if k%50 == 49 {
		p.Object, p.Group = "", int64(k/50%8+1)
	}
	if r.o.Told == "two" {
		p.side = r.side(r.tellers[k%2])
	} else if r.o.Told == "one" {
		p.side = r.side(r.tellers[0])
	}
	p.far = r.sides != nil && r.o.Told != "all" && now >= r.cutAt-freshFor && now < r.healAt
	p.lag = make([]uint32, len(r.all))
	for i := range r.all {
		switch {
		case !r.net.Up(i):
			p.lag[i] = excluded
		case now < r.all[i].started+freshFor && r.all[i].started > 0:
			p.lag[i] = excluded
			p.fresh = append(p.fresh, int32(i))
		default:
			p.left++
		}
	}
	r.r.FreshPairs += int64(len(p.fresh))
	r.purges = append(r.purges, p)
}

// heard notes that a gateway knows of a purge.
func (r *broadcastRun) heard(g *gateway, t told, own bool) {
	k := int(math.Round((time.Duration(t.Issued-firstIssued)*time.Millisecond - r.o.Warm).Seconds() * r.o.Rate))
	for k = max(k-2, 0); k < len(r.purges) && r.purges[k].told != t; k++ {
		if r.purges[k].Issued > t.Issued {
			k = len(r.purges)
			break
		}
	}
	if k >= len(r.purges) {
		r.r.Unknown++
		return
	}
	p, now := &r.purges[k], r.net.Now()
	if !own {
		r.r.Heeded++
	}
	if p.lag == nil {
		return
	}
	lag := now - p.at
	switch v := &p.lag[g.i]; {
	case *v == 0:
		*v = uint32(min(lag.Microseconds()+1, excluded-1))
		p.left--
		if r.cut == nil && r.healAt > 0 && p.far && r.side(g.i) != p.side {
			r.newest = max(r.newest, now)
		}
	case *v == excluded:
		if at := slices.Index(p.fresh, int32(g.i)); at >= 0 {
			p.fresh = slices.Delete(p.fresh, at, at+1)
			if r.r.FreshWorst = max(r.r.FreshWorst, lag.Seconds()); lag <= r.o.Within {
				r.r.freshIn++
			}
		}
	}
}

// kill ends a gateway; what it had not heard does not count.
func (r *broadcastRun) kill(i int) {
	if !r.net.Up(i) || r.guarded.has(i) {
		return
	}
	g := &r.all[i]
	r.r.Sums.add(g.its.counts())
	r.net.Kill(i)
	r.r.Kills++
	r.views.note(sighting{who: int32(i), life: g.life})
	for k := r.open; k < len(r.purges); k++ {
		p := &r.purges[k]
		if p.lag == nil {
			continue
		}
		if p.lag[i] == 0 {
			p.lag[i] = excluded
			p.left--
		}
		if at := slices.Index(p.fresh, int32(i)); at >= 0 {
			p.fresh = slices.Delete(p.fresh, at, at+1)
			r.r.FreshPairs--
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

// finish counts purges that all have heard, or all that are left.
func (r *broadcastRun) finish(all bool) {
	for k := r.open; k < len(r.purges); k++ {
		if p := &r.purges[k]; p.lag != nil && (all || p.left == 0 && len(p.fresh) == 0) {
			r.count(k)
			p.lag = nil
		}
		if k == r.open && r.purges[k].lag == nil {
			r.open++
		}
	}
}

// count takes a purge into the figures.
func (r *broadcastRun) count(k int) {
	p := &r.purges[k]
	var worst uint32
	who := 0
	lost, lostFar, within := 0, 0, uint32(r.o.Within.Microseconds()+1)
	sum := make([]byte, 0, 4*len(p.lag)+8)
	sum = binary.LittleEndian.AppendUint64(sum, uint64(k))
	for i, v := range p.lag {
		sum = binary.LittleEndian.AppendUint32(sum, v)
		far := p.far && r.side(i) != p.side
		switch {
		case v == excluded:
		case v == 0 && far:
			lostFar++
		case far:
		case v == 0:
			lost++
			r.r.Pairs++
		default:
			r.r.Pairs++
			if v <= within {
				r.r.pairsIn++
			}
			if v > worst {
				worst, who = v, i
			}
		}
	}
	r.digest.Write(sum)
	r.r.Purges++
	if worst > within {
		r.r.Late = append(r.r.Late, Late{(p.at - r.o.Warm).Seconds(), who, float64(worst) / 1e6})
		slices.SortStableFunc(r.r.Late, func(a, b Late) int { return cmp.Compare(b.Took, a.Took) })
		r.r.Late = r.r.Late[:min(len(r.r.Late), mostLate)]
	}
	r.r.LostPairs += int64(lost)
	r.r.LostFar += int64(lostFar)
	r.r.LostFresh += int64(len(p.fresh))
	if p.far {
		r.r.Far++
	}
	if lost > 0 {
		r.r.Lost++
		r.most = append(r.most, math.Inf(1))
	} else {
		r.most = append(r.most, float64(worst)/1e6)
	}
}

// sample looks at the last second's bytes.
func (r *broadcastRun) sample() {
	var most, behind int64
	for i := range r.all {
		if r.net.Up(i) && r.all[i].its.behind() {
			behind++
		}
		c := r.net.Count(i)
		in, out := c.BytesIn-r.last[i].BytesIn, c.BytesOut-r.last[i].BytesOut
		r.worstIn[i], r.worstOut[i] = max(r.worstIn[i], in), max(r.worstOut[i], out)
		most = max(most, in+out)
		r.last[i] = c
	}
	r.r.BehindMost, r.r.BehindEnd, r.r.BehindTime = max(r.r.BehindMost, behind), behind, r.r.BehindTime+float64(behind)
	r.seconds = append(r.seconds, tick{int64(r.net.Now() / time.Second), most})
}

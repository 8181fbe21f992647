package purgesync

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// The tests of this file measure how purges propagate in fleets of several sizes (docs/CAPACITY.md has the figures).
// They log the results and fail only if the measurement itself is inconsistent.
var (
	sizes = flag.String("purgesync.sizes", "12", "fleet sizes at which purge propagation is measured")
	rates = flag.String("purgesync.rates", "10,100", "purges per second")
	runs  = flag.Int("purgesync.runs", 1, "number of seeds for each size and rate, starting at seed 1")
)

const (
	publishDuration = 30 * second        // time during which purges are published
	waitAfterPurges = 90 * second        // time after the last purge for the propagation to end; purges are kept for 60 s
	spreadTarget    = 4_500_000          // microseconds within which a purge should reach all gateways
	gossipInterval  = second / 4         // interval at which package gossip checks whether digests are due
	clockStep       = second / 100       // step of the virtual clock
	clockStart      = int64(1_000_000)   // start of the virtual clock; time 0 means "not received"
	testObject      = "7f3a9c21e0b4d655" // 16 bytes, in the form that PROTOCOL specifies
	testIssued      = 1_764_576_000_000  // Unix milliseconds
)

// spreadResult is the result of one run. A pair consists of a purge and a gateway other than the source.
type spreadResult struct {
	pairs                int
	inTime               float64 // share of the pairs received within spreadTarget
	worst                float64 // longest propagation time of a received pair, in seconds
	missing              int     // pairs that were never received
	lost                 int     // pairs missing for good: the digest is past the purge, or no gateway keeps it
	meanBytesPerSecond   float64 // bytes of frames that a gateway sends on average during publishDuration
	sourceBytesPerSecond float64 // bytes of frames that the source sends during publishDuration
}

// spreadRun simulates a fleet without message loss or latency. One gateway, the source, has a discovery watch.
type spreadRun struct {
	rate           float64
	replicas       []*Replica
	names          []string
	index          map[string]int
	phases         []int64   // offset of each gateway's rounds, in clock steps
	receivedAt     [][]int64 // by gateway and number of the purge; purges are numbered from 1
	purges         int
	lastReceivedAt int64 // when a gateway last received a purge that it did not know

	bytes       float64
	sourceBytes float64
}

func newSpreadRun(n int, rate float64, seed uint64) *spreadRun {
	rng := rand.New(rand.NewPCG(seed, 0x73697a65))
	r := &spreadRun{rate: rate, replicas: make([]*Replica, n), names: make([]string, n), index: map[string]int{}, phases: make([]int64, n),
		receivedAt: make([][]int64, n), purges: int(rate * float64(publishDuration) / float64(second)), lastReceivedAt: clockStart}
	for i := range n {
		r.names[i] = fmt.Sprint("n", i)
		r.phases[i] = rng.Int64N(gossipInterval / clockStep)
		r.index[r.names[i]] = i
		r.replicas[i] = New(Settings{DigestInterval: second / 2, KeepFor: 60 * second}, rand.New(rand.NewPCG(seed, uint64(i))), clockStart)
		r.receivedAt[i] = make([]int64, r.purges+1)
	}
	return r
}

func (r *spreadRun) publishedAt(purge int) int64 {
	return clockStart + int64(float64(purge-1)*float64(second)/r.rate)
}

// run publishes all purges and lets the gateways exchange digests until no gateway has received a new purge for 10 s.
func (r *spreadRun) run() {
	peers := make([]string, len(r.names)-1)
	published := 0
	for now := clockStart; now < clockStart+publishDuration+waitAfterPurges &&
		now-max(r.lastReceivedAt, clockStart+publishDuration) < 10*second; now += clockStep {
		for published < r.purges && r.publishedAt(published+1) <= now {
			published++
			r.replicas[0].RecordOwn(int64(published), []Purge{{Event: int64(published), Object: testObject, Issued: testIssued}}, now)
			r.receivedAt[0][published] = now
		}
		for i := range r.replicas {
			if now/clockStep%(gossipInterval/clockStep) != r.phases[i] {
				continue
			}
			copy(peers, r.names[:i])
			copy(peers[i:], r.names[i+1:])
			r.exchange(i, peers, now)
		}
	}
}

// exchange sends the digests that are due at a gateway and merges the deltas that answer them. All digests of a round
// have the same value, because they are sent before the first delta arrives.
func (r *spreadRun) exchange(i int, peers []string, now int64) {
	replica := r.replicas[i]
	digest := replica.Digest()
	for _, to := range replica.DigestTargets(peers, now) {
		j := r.index[to]
		digestBytes := len(Frame{Digest: digest}.Append(nil))
		delta := r.replicas[j].Delta(digest)
		deltaBytes := 0
		if len(delta) > 0 {
			deltaBytes = len(Frame{IsDelta: true, Purges: delta}.Append(nil))
		}
		if now < clockStart+publishDuration {
			r.bytes += float64(digestBytes + deltaBytes)
			if j == 0 {
				r.sourceBytes += float64(deltaBytes)
			}
			if i == 0 {
				r.sourceBytes += float64(digestBytes)
			}
		}
		for _, purge := range replica.Merge(delta, now) {
			r.receivedAt[i][purge.Event] = now
			r.lastReceivedAt = now
		}
	}
}

func (r *spreadRun) result() (result spreadResult) {
	keptSomewhere := map[int64]bool{}
	for _, replica := range r.replicas {
		for _, k := range replica.kept {
			keptSomewhere[k.Event] = true
		}
	}
	inTime := 0
	for i, receivedAt := range r.receivedAt[1:] {
		for purge := 1; purge <= r.purges; purge++ {
			result.pairs++
			if receivedAt[purge] == 0 {
				result.missing++
				if int64(purge) <= r.replicas[i+1].highestEvent || !keptSomewhere[int64(purge)] {
					result.lost++
				}
				continue
			}
			latency := receivedAt[purge] - r.publishedAt(purge)
			if latency <= spreadTarget {
				inTime++
			}
			result.worst = max(result.worst, float64(latency)/float64(second))
		}
	}
	seconds := float64(publishDuration) / float64(second)
	result.inTime = float64(inTime) / float64(result.pairs)
	result.meanBytesPerSecond = r.bytes / float64(len(r.replicas)) / seconds
	result.sourceBytesPerSecond = r.sourceBytes / seconds
	return result
}

func parseNumbers(t *testing.T, text string) (numbers []float64) {
	t.Helper()
	for _, word := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(word, 64)
		if err != nil || x <= 0 {
			t.Fatalf("%q: %v", word, err)
		}
		numbers = append(numbers, x)
	}
	return numbers
}

// Measures how many of the purges delivered by one gateway's discovery watch reach the other gateways in time, and how
// many bytes that takes. By default it runs 12 gateways at 10 and 100 purges per second with seed 1. The full
// measurement is
//
//	go test ./internal/fleet/purgesync -run SizeSpread -v -purgesync.sizes 12,50,200,1000 -purgesync.rates 10,40,100 -purgesync.runs 3
func TestSizeSpread(t *testing.T) {
	for _, n := range parseNumbers(t, *sizes) {
		for _, rate := range parseNumbers(t, *rates) {
			for run := range *runs {
				r := newSpreadRun(int(n), rate, uint64(run+1))
				r.run()
				got := r.result()
				t.Logf("gateways %.0f rate %g seed %d: within 4.5 s %.4f, worst %.1f s, missing %d of %d (%.4f), lost %d, bytes/s mean %.0f, source %.0f",
					n, rate, run+1, got.inTime, got.worst, got.missing, got.pairs, float64(got.missing)/float64(got.pairs), got.lost,
					got.meanBytesPerSecond, got.sourceBytesPerSecond)
				if got.pairs != (int(n)-1)*int(rate*30) || got.inTime < 0 || got.inTime > 1 {
					t.Errorf("inconsistent counts, want 30 s of purges per gateway and a share from 0 to 1: %+v", got)
				}
			}
		}
	}
}

package purgesync

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// Probes of the purges at size. They document what this package does as it stands (docs/CAPACITY.md): they print, and fail only where
// a probe itself is wrong.
var (
	sizes = flag.String("verdict.sizes", "12", "fleet sizes of the probe of purges")
	rates = flag.String("verdict.rates", "10,100", "purges a second")
	runs  = flag.Int("verdict.runs", 1, "seeds 1 to so many for each size and rate")
)

const (
	purgeTime       = 30 * second        // purges are told
	waitAfterPurges = 90 * second        // from the last, for those that are on their way; Keep is 60 s
	spreadTarget    = 4_500_000          // microseconds: the users' term for a purge done everywhere
	gossipInterval  = second / 4         // fleet/post looks each turn whether hellos are due
	clockStep       = second / 100       // of the virtual clock
	clockStart      = int64(1_000_000)   // the clock's start: 0 is "not heard"
	testObject      = "7f3a9c21e0b4d655" // of PROTOCOL's form: 16 bytes
	testIssued      = 1_764_576_000_000  // Unix milliseconds, any
)

// spreadResult are of one run: share of (purge, gateway) heard in time, the longest time of those heard (s), pairs that were
// never heard, bytes of frames a second sent by one gateway while purges are told (mean, and of who was told by its watch).
type spreadResult struct {
	inTime, worst                            float64
	missing, lost                            int // of them lost for good: passed over by the number that its hellos say, or kept by nobody any more
	pairs                                    int
	meanBytesPerSecond, sourceBytesPerSecond float64
}

// measureSpread plays n gateways: the first hears its watch at once, the others only peers. No loss, no latency; phases of turns by the seed.
func measureSpread(n int, rate float64, seed uint64) (f spreadResult) {
	chance := rand.New(rand.NewPCG(seed, 0x73697a65))
	books, names, phase, at := make([]*Replica, n), make([]string, n), make([]int64, n), map[string]int{}
	for i := range n {
		names[i], phase[i] = fmt.Sprint("n", i), chance.Int64N(gossipInterval/clockStep)
		at[names[i]] = i
		books[i] = New(Settings{DigestInterval: second / 2, KeepFor: 60 * second}, rand.New(rand.NewPCG(seed, uint64(i))), clockStart)
	}
	peers := make([]string, n-1)
	count := int(rate * float64(purgeTime) / float64(second))
	heard := make([][]int64, n) // by purge: when
	for i := range heard {
		heard[i] = make([]int64, count+1)
	}
	when := func(no int) int64 { return clockStart + int64(float64(no-1)*float64(second)/rate) }
	var sent, first float64
	no, last := 0, clockStart
	for now := clockStart; now < clockStart+purgeTime+waitAfterPurges && now-max(last, clockStart+purgeTime) < 10*second; now += clockStep {
		for no < count && when(no+1) <= now {
			no++
			books[0].RecordOwn(int64(no), []Purge{{Event: int64(no), Object: testObject, Issued: testIssued}}, now)
			heard[0][no] = now
		}
		for i, b := range books {
			if now/clockStep%(gossipInterval/clockStep) != phase[i] {
				continue
			}
			copy(peers, names[:i])
			copy(peers[i:], names[i+1:])
			greeting := b.Digest() // both hellos of a turn go out before an answer comes
			for _, to := range b.DigestTargets(peers, now) {
				j := at[to]
				hello := len(Frame{Digest: greeting}.Append(nil))
				answer := books[j].Delta(greeting)
				back := 0
				if len(answer) > 0 {
					back = len(Frame{IsDelta: true, Purges: answer}.Append(nil))
				}
				if now < clockStart+purgeTime {
					sent += float64(hello + back)
					if j == 0 {
						first += float64(back)
					}
					if i == 0 {
						first += float64(hello)
					}
				}
				for _, p := range b.Merge(answer, now) {
					heard[i][p.Event], last = now, now
				}
			}
		}
	}
	in, held := 0, map[int64]bool{}
	for _, b := range books {
		for _, k := range b.kept {
			held[k.Event] = true
		}
	}
	for i, times := range heard[1:] {
		for no := 1; no <= count; no++ {
			f.pairs++
			switch lag := times[no] - when(no); {
			case times[no] == 0:
				f.missing++
				if int64(no) <= books[i+1].highestEvent || !held[int64(no)] {
					f.lost++
				}
			default:
				if lag <= spreadTarget {
					in++
				}
				f.worst = max(f.worst, float64(lag)/float64(second))
			}
		}
	}
	f.inTime = float64(in) / float64(f.pairs)
	f.meanBytesPerSecond = sent / float64(n) / (float64(purgeTime) / float64(second))
	f.sourceBytesPerSecond = first / (float64(purgeTime) / float64(second))
	return f
}

func parseNumbers(t *testing.T, text string) (out []float64) {
	for _, word := range strings.Split(text, ",") {
		x, err := strconv.ParseFloat(word, 64)
		if err != nil || x <= 0 {
			t.Fatalf("%q: %v", word, err)
		}
		out = append(out, x)
	}
	return out
}

// Of purges told to one gateway, how many do the others hear in time, and at what cost? The short form is 12 gateways at 10 and 100 a
// second, seed 1; the whole of it
//
//	go test ./fleet/verdict -run SizeSpread -v -verdict.sizes 12,50,200,1000 -verdict.rates 10,40,100 -verdict.runs 3
func TestSizeSpread(t *testing.T) {
	for _, n := range parseNumbers(t, *sizes) {
		for _, rate := range parseNumbers(t, *rates) {
			for run := range *runs {
				f := measureSpread(int(n), rate, uint64(run+1))
				t.Logf("gateways %.0f rate %g seed %d: in 4.5 s %.4f, worst %.1f s, never %d of %d (%.4f), lost for good %d, bytes/s mean %.0f, of the told %.0f", n, rate,
					run+1, f.inTime, f.worst, f.missing, f.pairs, float64(f.missing)/float64(f.pairs), f.lost, f.meanBytesPerSecond, f.sourceBytesPerSecond)
				if f.pairs != (int(n)-1)*int(rate*30) || f.inTime < 0 || f.inTime > 1 {
					t.Errorf("the probe counts wrong: %+v", f)
				}
			}
		}
	}
}

// numberedGateway is a gateway with numbers of its own: PROTOCOL has events count from 1 at each start of a gateway, so the same purge has another
// number at each that started at another time.
type numberedGateway struct {
	replica *Replica
	event   int64
	known   map[int]bool // purges, by what they are
	cut     bool         // its watch tells nothing
}

func (w *numberedGateway) recordPurge(p int, now int64) {
	if w.event++; w.cut {
		return
	}
	w.known[p] = true
	w.replica.RecordOwn(w.event, []Purge{{Event: w.event, Object: fmt.Sprint("o", p), Issued: testIssued}}, now)
}

// measureDrops plays two gateways, the second started after `before` events of the first, for 30 s; for 20 s of it 10 purges a second are told,
// and from 10 to 20 s the watch of one tells nothing, so that it can only hear its peer. Counted: of the purges told meanwhile, those that
// it did not hear; purges that a watch told and that the own book left out, so that nobody can be told of them (both gateways); and
// purges heeded that were known under another number.
func measureDrops(before int64, cutFirst bool) (missed, all, leftOut, twice int) {
	var two [2]*numberedGateway
	for i := range two {
		two[i] = &numberedGateway{replica: New(Settings{DigestInterval: second / 2, KeepFor: 60 * second}, rand.New(rand.NewPCG(uint64(i), 1)), clockStart), known: map[int]bool{}}
	}
	two[0].event = before
	two[0].replica.RecordOwn(before, nil, clockStart)
	two[1].replica.RecordOwn(0, nil, clockStart)
	names := []string{"a", "b"}
	cut := two[1]
	if cutFirst {
		cut = two[0]
	}
	p := 0
	for now := clockStart; now < clockStart+30*second; now += second / 10 {
		cut.cut = now-clockStart >= 10*second && now-clockStart < 20*second
		if now-clockStart < 20*second {
			p++
			for _, w := range two {
				kept := w.replica.KeptCount()
				if w.recordPurge(p, now); !w.cut && w.replica.KeptCount() == kept {
					leftOut++
				}
			}
		}
		for i, w := range two {
			for range w.replica.DigestTargets(names[1-i:2-i], now) {
				for _, got := range w.replica.Merge(two[1-i].replica.Delta(w.replica.Digest()), now) {
					var q int
					fmt.Sscanf(got.Object, "o%d", &q)
					if w.known[q] {
						twice++
					}
					w.known[q] = true
				}
			}
		}
	}
	for q := 101; q <= 200; q++ { // told in the cut
		if all++; !cut.known[q] {
			missed++
		}
	}
	return missed, all, leftOut, twice
}

// Do purges get lost where numbers differ? A candidate's document: it prints. Where both began at once nothing may be missed.
func TestSizeDifferingEventNumbers(t *testing.T) {
	for _, before := range []int64{0, 10, 50, 150, 1_000, 100_000} {
		for _, first := range []bool{true, false} {
			missed, all, leftOut, twice := measureDrops(before, first)
			who := "younger"
			if first {
				who = "older"
			}
			t.Logf("numbers %d apart, the %s one cut off for 10 s: missed %d of %d, left out of the own book %d, heeded twice %d", before, who, missed, all,
				leftOut, twice)
			if before == 0 && missed > 0 {
				t.Errorf("%d of %d missed where numbers are the same", missed, all)
			}
		}
	}
}

// The three ways in which a book drops what it is told, where numbers differ: a candidate's document, it prints.
func TestSizeEventNumberTakenByAPeersPurge(t *testing.T) {
	b := newReplica(1)
	b.RecordOwn(5, nil, second)
	heed := b.Merge([]Purge{{Event: 7, Object: "of the peer", Issued: testIssued}}, second)
	b.RecordOwn(6, []Purge{{Event: 6, Object: "six", Issued: testIssued}}, second)
	b.RecordOwn(7, []Purge{{Event: 7, Object: "own", Issued: testIssued}}, second)
	var kept []string
	for _, p := range b.Delta(0) {
		kept = append(kept, p.Object)
	}
	t.Logf("heeded %d of the peer; after the own watch told 6 and 7 the book passes on %q: the own 7 is %s", len(heed), kept,
		map[bool]string{true: "there", false: "dropped"}[strings.Contains(fmt.Sprint(kept), "own")])
	c := newReplica(2)
	c.RecordOwn(100, nil, second)
	t.Logf("a gateway at 100 is told no 7 of a peer whose numbers are younger: %d heeded", len(c.Merge([]Purge{{Event: 7, Object: "own", Issued: testIssued}}, second)))
	d := newReplica(3)
	d.RecordOwn(100, nil, second)
	d.Merge([]Purge{{Event: 101, Object: "x", Issued: testIssued}}, second)
	d.RecordOwn(1, nil, second)
	t.Logf("a watch that counts anew (100, then 1): %d purges kept, %d heeded again when told once more", d.KeptCount(),
		len(d.Merge([]Purge{{Event: 101, Object: "x", Issued: testIssued}}, second)))
}

package scale

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// runShort plays a short run: 60 gateways, 15 virtual seconds of purges.
func runShort(t *testing.T, mechanism, name string, seed uint64) *BroadcastReport {
	t.Helper()
	o := BroadcastOptions{Gateways: 60, Mechanism: mechanism, Case: name, Rate: 100, Seed: seed, Warmup: 2 * time.Second, Duration: 15 * time.Second, Settle: 45 * time.Second,
		ClockSkew: 50 * time.Millisecond}
	if mechanism == "old" {
		o.Settle = 10 * time.Second // it never delivers all, and would use all of the time
	}
	r, err := Broadcast(o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Purges != 1500 || r.UnknownPurges != 0 || r.UnreadableFrames != 0 || r.RefusedDatagrams != 0 {
		t.Errorf("%s, %s: %d purges of 1500; %d that nobody issued, %d frames unread, %d refused", mechanism, name, r.Purges, r.UnknownPurges, r.UnreadableFrames, r.RefusedDatagrams)
	}
	return r
}

// Under each fault all gateways that were up, those beyond a cut and fresh ones receive all purges, within the deadline where there is
// one, and no gateway exceeds its budget.
func TestBroadcastLosesNothingUnderAnyFault(t *testing.T) {
	for _, name := range Cases() {
		t.Run(name, func(t *testing.T) {
			r := runShort(t, "new", name, 1)
			t.Logf("p50 %.2f s, p99 %.2f s, most %.2f s; bytes a second: median %.0f, most %.0f; %d kills", r.P50, r.P99, r.Max, r.Both.Median, r.Both.Max, r.Kills)
			if r.BehindAtEnd > 0 {
				t.Errorf("%d gateways think that they lack purges at the end", r.BehindAtEnd)
			}
			for _, w := range r.Violations {
				t.Error(w)
			}
		})
	}
}

// The same faults show what the old mechanism loses, so that the simulation can tell. It has nothing to do while each gateway's own
// watch works.
func TestPurgesyncLossesUnderEachFault(t *testing.T) {
	for _, name := range Cases() {
		r := runShort(t, "old", name, 1)
		t.Logf("%-8s in time %.3f, pairs %.3f, lost pairs %d", name, r.InTimeShare, r.InTimePairShare, r.LostPairs)
		switch name {
		case "watches":
			if r.InTimeShare != 1 || r.LostPairs > 0 {
				t.Errorf("%s: in time %g, lost pairs %d: each gateway's own watch tells it all", name, r.InTimeShare, r.LostPairs)
			}
		case "control", "region":
			if r.LostPairs == 0 {
				t.Errorf("%s: gateways whose watch was deaf lost nothing", name)
			}
		default:
			if r.InTimeShare > 0.1 {
				t.Errorf("%s: %g of the purges everywhere in time: 24 of 100 a second can come in at most", name, r.InTimeShare)
			}
		}
	}
}

func TestEqualSeedsGiveEqualBroadcastRuns(t *testing.T) {
	for _, mechanism := range Mechanisms() {
		for _, name := range []string{"release"} {
			a, b, c := runShort(t, mechanism, name, 3), runShort(t, mechanism, name, 3), runShort(t, mechanism, name, 4)
			if !reflect.DeepEqual(a, b) {
				t.Errorf("%s, %s: equal seeds, digests %s and %s", mechanism, name, a.Digest, b.Digest)
			}
			if a.Digest == c.Digest {
				t.Errorf("%s, %s: the seed changes nothing", mechanism, name)
			}
		}
	}
}

// A gateway's list follows a crash after half of CrashSeenWithin at the earliest, each at its own time; a gateway that starts again sooner is not
// removed.
func TestMemberListsSeeCrashAtDifferentTimes(t *testing.T) {
	r := newIdleRun(t, 60)
	r.net.Schedule(time.Second, func() { r.restart([]int{7}, time.Hour) })
	r.net.Schedule(time.Second, func() { r.restart([]int{8}, 2*time.Second) })
	sees := func(who int) (n int) {
		for i := range r.gateways {
			if i != 7 && i != 8 && r.gateways[i].view.has(who) {
				n++
			}
		}
		return n
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin/2)
	if n := sees(7); n != 58 {
		t.Errorf("%d of 58 see the dead one before half of the bound", n)
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin*3/4)
	if n := sees(7); n == 0 || n == 58 {
		t.Errorf("%d of 58 see the dead one: all at once", n)
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin + viewInterval)
	if n := sees(7); n != 0 {
		t.Errorf("%d see the dead one after the bound", n)
	}
	if n := sees(8); n != 58 {
		t.Errorf("%d of 58 see the one that started again in time", n)
	}
}

// newIdleRun is a run of the old mechanism that is set up and not played.
func newIdleRun(t *testing.T, n int) *broadcastRun {
	t.Helper()
	o := BroadcastOptions{Gateways: n, Mechanism: "old", Case: "none", Rate: 1, Seed: 1}
	if err := o.setDefaults(); err != nil {
		t.Fatal(err)
	}
	r := newBroadcastRun(o)
	for i := range r.gateways {
		r.net.Start(i)
	}
	return r
}

func TestInvalidBroadcastOptionsAreRefused(t *testing.T) {
	good := BroadcastOptions{Gateways: 60, Mechanism: "new", Case: "none", Rate: 100}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for what, spoil := range map[string]func(o *BroadcastOptions){
		"gateways":  func(o *BroadcastOptions) { o.Gateways = 3 },
		"mechanism": func(o *BroadcastOptions) { o.Mechanism = "best" },
		"case":      func(o *BroadcastOptions) { o.Case = "flood" },
		"told":      func(o *BroadcastOptions) { o.Source = "nobody" },
		"purges":    func(o *BroadcastOptions) { o.Rate = 1001 },
		"times":     func(o *BroadcastOptions) { o.Settle = -1 },
	} {
		o := good
		spoil(&o)
		if err := o.Validate(); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func TestBroadcastPlotsAreWritten(t *testing.T) {
	dir := t.TempDir()
	runs := []*BroadcastReport{{Gateways: 12, Mechanism: "old", Case: "none", P99: -1, Both: Distribution{Max: 2000}}, {Gateways: 50, Mechanism: "new", Case: "none", P99: 2.5, Both: Distribution{Max: 5000}}}
	if err := PlotBroadcast(dir, runs, 4500*time.Millisecond, 15<<10); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"broadcast-p99.svg", "broadcast-bytes.svg"} {
		if b, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !strings.Contains(string(b), "<svg") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

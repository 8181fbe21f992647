package scale

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// runShort simulates 60 gateways for 15 virtual seconds of purges.
func runShort(t *testing.T, mechanism, name string, seed uint64) *BroadcastReport {
	t.Helper()
	o := BroadcastOptions{Gateways: 60, Mechanism: mechanism, Case: name, Rate: 100, Seed: seed, Warmup: 2 * time.Second, Duration: 15 * time.Second, Settle: 45 * time.Second,
		ClockSkew: 50 * time.Millisecond}
	if mechanism == "old" {
		o.Settle = 10 * time.Second // this mechanism never delivers all purges, so the run lasts for the whole settling time
	}
	r, err := Broadcast(o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Purges != 1500 || r.UnknownPurges != 0 || r.UnreadableFrames != 0 || r.RefusedDatagrams != 0 {
		t.Errorf("%s, %s: %d purges finished, want 1500; %d unknown purges, %d unreadable frames and %d refused datagrams, want none", mechanism, name, r.Purges, r.UnknownPurges, r.UnreadableFrames, r.RefusedDatagrams)
	}
	return r
}

// In each fault case every purge reaches all gateways that were up, the gateways on the other side of a cut and the
// fresh ones. It arrives within the deadline where one applies, and no gateway exceeds its limit of bytes a second.
func TestBroadcastLosesNothingUnderAnyFault(t *testing.T) {
	for _, name := range Cases() {
		t.Run(name, func(t *testing.T) {
			r := runShort(t, "new", name, 1)
			t.Logf("p50 %.2f s, p99 %.2f s, max %.2f s; bytes a second: median %.0f, max %.0f; %d kills", r.P50, r.P99, r.Max, r.Both.Median, r.Both.Max, r.Kills)
			if r.BehindAtEnd > 0 {
				t.Errorf("%d gateways still know that they lack purges at the end, want 0", r.BehindAtEnd)
			}
			for _, w := range r.Violations {
				t.Error(w)
			}
		})
	}
}

// The old mechanism loses purges in the same fault cases, which shows that the simulation detects lost and late purges.
// While the own watch of each gateway works, the old mechanism has nothing to deliver.
func TestPurgesyncLossesUnderEachFault(t *testing.T) {
	for _, name := range Cases() {
		r := runShort(t, "old", name, 1)
		t.Logf("%-8s in time %.3f, pairs %.3f, lost pairs %d", name, r.InTimeShare, r.InTimePairShare, r.LostPairs)
		switch name {
		case "watches":
			if r.InTimeShare != 1 || r.LostPairs > 0 {
				t.Errorf("%s: share in time %g, lost pairs %d, want 1 and 0: the own watch of each gateway delivers all purges", name, r.InTimeShare, r.LostPairs)
			}
		case "control", "region":
			if r.LostPairs == 0 {
				t.Errorf("%s: no lost pairs, want some at the gateways with silent watches", name)
			}
		default:
			if r.InTimeShare > 0.1 {
				t.Errorf("%s: share %g of the purges everywhere in time, want at most 0.1: a gateway can receive at most 24 of 100 purges a second", name, r.InTimeShare)
			}
		}
	}
}

func TestEqualSeedsGiveEqualBroadcastRuns(t *testing.T) {
	for _, mechanism := range Mechanisms() {
		for _, name := range []string{"release"} {
			a, b, c := runShort(t, mechanism, name, 3), runShort(t, mechanism, name, 3), runShort(t, mechanism, name, 4)
			if !reflect.DeepEqual(a, b) {
				t.Errorf("%s, %s: runs with equal seeds differ, with digests %s and %s", mechanism, name, a.Digest, b.Digest)
			}
			if a.Digest == c.Digest {
				t.Errorf("%s, %s: runs with different seeds have equal digests", mechanism, name)
			}
		}
	}
}

// Gateways remove a crashed gateway from their lists after half of CrashSeenWithin at the earliest, each at a time of
// its own. A gateway that restarts sooner is not removed.
func TestMemberListsSeeCrashAtDifferentTimes(t *testing.T) {
	r := newIdleRun(t, 60)
	r.net.Schedule(time.Second, func() { r.restart([]int{7}, time.Hour) })
	r.net.Schedule(time.Second, func() { r.restart([]int{8}, 2*time.Second) })
	countListing := func(gateway int) (n int) {
		for i := range r.gateways {
			if i != 7 && i != 8 && r.gateways[i].view.has(gateway) {
				n++
			}
		}
		return n
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin/2)
	if n := countListing(7); n != 58 {
		t.Errorf("%d of 58 gateways list the crashed one before half of CrashSeenWithin, want 58", n)
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin*3/4)
	if n := countListing(7); n == 0 || n == 58 {
		t.Errorf("%d of 58 gateways list the crashed one after three quarters of CrashSeenWithin, want some but not all", n)
	}
	r.net.Run(time.Second + r.options.CrashSeenWithin + viewInterval)
	if n := countListing(7); n != 0 {
		t.Errorf("%d gateways list the crashed one after CrashSeenWithin, want 0", n)
	}
	if n := countListing(8); n != 58 {
		t.Errorf("%d of 58 gateways list the one that restarted in time, want 58", n)
	}
}

// newIdleRun returns a run of the old mechanism with n gateways started and no purges scheduled.
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
	valid := BroadcastOptions{Gateways: 60, Mechanism: "new", Case: "none", Rate: 100}
	if err := valid.Validate(); err != nil {
		t.Error(err)
	}
	for what, invalidate := range map[string]func(o *BroadcastOptions){
		"gateways":  func(o *BroadcastOptions) { o.Gateways = 3 },
		"mechanism": func(o *BroadcastOptions) { o.Mechanism = "best" },
		"case":      func(o *BroadcastOptions) { o.Case = "flood" },
		"told":      func(o *BroadcastOptions) { o.Source = "nobody" },
		"purges":    func(o *BroadcastOptions) { o.Rate = 1001 },
		"times":     func(o *BroadcastOptions) { o.Settle = -1 },
	} {
		o := valid
		invalidate(&o)
		if err := o.Validate(); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: error %v, want one that names the option", what, err)
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
			t.Errorf("%s: not written as an SVG file: error %v", name, err)
		}
	}
}

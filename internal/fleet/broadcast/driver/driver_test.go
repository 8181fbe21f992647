package driver

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
)

// A purge that the discovery watch of one gateway brings must be applied once by every other gateway, within 4.5 s.
func TestOwnPurgeIsAppliedOnceByAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		defer fleet.run()()
		time.Sleep(time.Second)
		purge := newPurge(1)
		fleet.drivers["n5"].RecordPurges([]broadcast.Purge{purge})
		time.Sleep(spreadBound)
		if got := fleet.receivers(purge); len(got) != 11 || slices.Contains(got, "n5") {
			t.Errorf("the purge was applied by %v, want the 11 gateways other than n5", got)
		}
		for name, applied := range fleet.applied {
			if applied[purge] > 1 {
				t.Errorf("%s applied the purge %d times, want once", name, applied[purge])
			}
		}
	})
}

// A gateway is isolated while another publishes 3,000 purges. It must log once that it is behind, and once after the
// network has healed that it has caught up. It must receive all purges. The other gateways must log nothing.
func TestIsolatedGatewayLogsItsModeAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		defer fleet.run()()
		time.Sleep(time.Second)
		fleet.setIsolated("n3", true)
		var purges []broadcast.Purge
		for i := range 3000 {
			purges = append(purges, newPurge(i))
			fleet.drivers["n5"].RecordPurges(purges[i:])
			time.Sleep(20 * time.Millisecond)
		}
		fleet.setIsolated("n3", false)
		time.Sleep(2 * time.Minute)
		for i, p := range purges {
			if got := fleet.receivers(p); len(got) != 11 {
				t.Fatalf("purge %d was applied by %v, want 11 gateways", i, got)
			}
		}
		if got := fmt.Sprint(fleet.loggedModes("n3")); got != "[behind whole]" {
			t.Errorf("n3 logged the modes %s, want [behind whole]", got)
		}
		if got := fleet.log.String(); strings.Count(got, "\n") != 2 {
			t.Errorf("the log has other lines than the two of n3:\n%s", got)
		}
	})
}

// Datagrams of unknown senders and unreadable datagrams must be counted and must not be logged.
func TestUnknownSendersAndUnreadableDatagramsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(2)
		defer fleet.run()()
		time.Sleep(time.Second)
		d := fleet.drivers["n0"]
		header := func(name string) []byte {
			return binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.NameKey(name))
		}
		before := d.Report(0).Counts
		d.HandleMessage([]byte{broadcast.Kind})
		d.HandleMessage(append(header("n9"), 1, 2, 3))
		d.HandleMessage(append(header("n1"), broadcast.Kind, 255, 255, 255))
		time.Sleep(time.Second)
		after := d.Report(0).Counts
		if after.UnknownSenders != before.UnknownSenders+1 || after.Unreadable != before.Unreadable+2 {
			t.Errorf("the counts were %+[2]v and are %+[1]v, want 1 more unknown sender and 2 more unreadable datagrams", after, before)
		}
		if fleet.log.Len() > 0 {
			t.Error(fleet.log.String())
		}
	})
}

// When a queue is full, further datagrams or purges of the own watch must be dropped and counted.
func TestQueuesAreBounded(t *testing.T) {
	fleet := newTestFleet(2) // the drivers do not run, so everything stays queued
	d := fleet.drivers["n0"]
	for range maxQueuedFrames + 3 {
		d.HandleMessage([]byte{broadcast.Kind})
	}
	d.HandleMessage(make([]byte, maxDatagramBytes+1))
	var purges []broadcast.Purge
	for i := range maxQueuedPurges + 5 {
		purges = append(purges, newPurge(i))
	}
	d.RecordPurges(purges)
	d.RecordPurges(purges[:2])
	if got := d.Report(0).Counts; got.Dropped != 4 || got.OwnPurgesDropped != 7 || len(d.queue) != maxQueuedFrames || len(d.ownPurges) != maxQueuedPurges {
		t.Errorf("%+v with %d datagrams and %d purges queued, want full queues and drops of 4 datagrams and 7 purges", got, len(d.queue), len(d.ownPurges))
	}
}

// Sends to a peer whose process is gone must be counted as failures while the view still lists the peer. Once the
// view has dropped the peer, no more sends may fail.
func TestSendFailuresEndWithTheView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(4)
		gone := fleet.drivers["n2"]
		delete(fleet.drivers, "n2")
		defer fleet.run()()
		time.Sleep(time.Second)
		purge := newPurge(1)
		fleet.drivers["n0"].RecordPurges([]broadcast.Purge{purge})
		time.Sleep(5 * time.Second)
		failures := func() (sum uint64) {
			for _, d := range fleet.drivers {
				sum += d.Report(0).Counts.SendFailures
			}
			return sum
		}
		if failures() == 0 {
			t.Error("no send failures were counted while the view listed the dead gateway n2")
		}
		fleet.mu.Lock()
		fleet.ids = slices.DeleteFunc(fleet.ids, func(id view.ID) bool { return id.Name == gone.self })
		fleet.version++
		fleet.mu.Unlock()
		time.Sleep(time.Second)
		before := failures()
		time.Sleep(10 * time.Second)
		if after := failures(); after != before {
			t.Errorf("%d more sends failed after the view had dropped n2, want none", after-before)
		}
		if got := fleet.receivers(purge); !strings.Contains(fmt.Sprint(got), "n1") || len(got) != 2 {
			t.Errorf("the purge was applied by %v, want n1 and n3", got)
		}
	})
}

// At 100 purges per second from the discovery watch of one gateway, every purge must reach all gateways within 4.5 s
// and be applied once. No datagram or purge may be dropped, and nothing may be logged.
func TestHundredPurgesPerSecondReachAllInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(36)
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(100, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 6*time.Second)
		if got != (spreadResult{pairs: 36 * 600}) {
			t.Errorf("got %+v, want 36*600 pairs, none late or missing", got)
		}
		for name, applied := range fleet.applied {
			for p, times := range applied {
				if times > 1 {
					t.Fatalf("%s applied %v %d times, want once", name, p, times)
				}
			}
			counts := fleet.drivers[name].Report(0).Counts
			if counts.Dropped+counts.OwnPurgesDropped+counts.SendFailures+counts.UnknownSenders+counts.Unreadable > 0 {
				t.Errorf("%s counted drops, send failures, unknown senders or unreadable datagrams: %+v", name, counts)
			}
		}
		if fleet.log.Len() > 0 {
			t.Error(fleet.log.String())
		}
	})
}

// The discovery watches of all gateways bring the same purges, each after up to 300 ms. Most purges must be injected
// by one gateway only, and the busiest gateway must keep within the rate limit.
func TestFewPurgesAreInjectedWhereAllWatchesBringThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(36)
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(100, 6, func(p broadcast.Purge) {
			for _, d := range fleet.drivers {
				delay := time.Duration(fleet.rng.Int64N(int64(300 * time.Millisecond)))
				time.AfterFunc(delay, func() { d.RecordPurges([]broadcast.Purge{p}) })
			}
		}, 6*time.Second)
		if got != (spreadResult{pairs: 36 * 600}) {
			t.Errorf("got %+v, want 36*600 pairs, none late or missing", got)
		}
		var injected, maxBytes uint64
		for _, d := range fleet.drivers {
			node := d.Report(0).Node
			injected += node.PurgesSent
			maxBytes = max(maxBytes, node.BytesIn+node.BytesOut)
		}
		if injected < 600 || injected > 700 {
			t.Errorf("600 purges were injected %d times, want 600 to 700", injected)
		}
		if perSecond := maxBytes / 13; perSecond > uint64(broadcast.DefaultSettings.RateLimit) {
			t.Errorf("the busiest gateway carried %d bytes per second, want at most the rate limit", perSecond)
		}
	})
}

// A gateway restarts under a new stamp. Its peers must apply its first purge within 4.5 s, and it must learn the
// purges of the time before its restart.
func TestRestartUnderNewStamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		shutdown := fleet.run()
		time.Sleep(time.Second)
		earlier := newPurge(1)
		fleet.drivers["n0"].RecordPurges([]broadcast.Purge{earlier})
		time.Sleep(5 * time.Second)
		shutdown()
		fleet.stop = make(chan struct{}) // the other drivers go on at once; n0 is a new process
		fleet.mu.Lock()
		fleet.ids[0].Incarnation = 100
		fleet.version++
		fleet.drivers["n0"] = fleet.newDriver(fleet.ids[0], 1000)
		fleet.mu.Unlock()
		defer fleet.run()()
		purge := newPurge(2)
		fleet.drivers["n0"].RecordPurges([]broadcast.Purge{purge})
		time.Sleep(spreadBound)
		if got := fleet.receivers(purge); len(got) != 11 {
			t.Errorf("the purge of the new process was applied by %v, want 11 gateways", got)
		}
		time.Sleep(10 * time.Second)
		if !slices.Contains(fleet.receivers(earlier), "n0") {
			t.Error("the new process of n0 did not learn the earlier purge")
		}
	})
}

// With 5% of datagrams lost, all purges must arrive and at most one in a thousand may be late. No change of the mode
// may be logged, because repair closes each gap soon.
func TestSteadyLossLogsNoModeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(36)
		fleet.loss = 0.05
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(100, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 20*time.Second)
		if got.missing > 0 || got.late > got.pairs/1000 {
			t.Errorf("got %+v, want none missing and at most 1 in 1,000 late", got)
		}
		if got := fleet.log.String(); got != "" {
			t.Error(got)
		}
	})
}

// A report must list the applied purges with numbers above a given one, as far as they are still kept.
func TestReportHasAppliedPurgesAfterANumber(t *testing.T) {
	fleet := newTestFleet(1)
	d := fleet.drivers["n0"]
	for i := range maxLatest + 7 {
		d.RecordPurges([]broadcast.Purge{{Object: fmt.Sprint(i), Issued: 1}})
	}
	report := d.Report(0)
	if len(report.Latest) != maxLatest || report.Applied != maxLatest+7 {
		t.Fatalf("the report lists %d of %d applied purges, want maxLatest of maxLatest+7", len(report.Latest), report.Applied)
	}
	for i, applied := range report.Latest {
		if applied.Number != uint64(i+8) || applied.Object != fmt.Sprint(i+7) || applied.FromPeer {
			t.Fatalf("entry %d of the report is %+v", i, applied)
		}
	}
	if latest := d.Report(maxLatest + 5).Latest; len(latest) != 2 || latest[0].Number != maxLatest+6 {
		t.Errorf("the report after number maxLatest+5 lists %+v, want the last 2 purges", latest)
	}
	if latest := d.Report(1 << 60).Latest; len(latest) > 0 {
		t.Errorf("the report after a number that is not reached yet lists %+v, want no purges", latest)
	}
}

// While the broadcast is enabled gateway by gateway, live gateways without it do not answer. The gateways that have
// it must still receive all purges, but may receive them later than 4.5 s.
func TestBroadcastEnabledGatewayByGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		// These are live members without a driver, which do not answer.
		for _, name := range []string{"n0", "n1", "n2", "n4", "n8", "n11"} {
			delete(fleet.drivers, name)
		}
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(20, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 30*time.Second)
		if got.missing > 0 {
			t.Errorf("got %+v, want no missing pairs", got)
		}
		t.Logf("spread with half of the gateways enabled: %+v", got)
	})
}

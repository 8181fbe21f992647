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

// A purge of one own watch is applied once by each other gateway, within 4.5 s.
func TestOwnPurgeIsAppliedOnceByAllOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		defer fleet.run()()
		time.Sleep(time.Second)
		purge := newPurge(1)
		fleet.drivers["n5"].RecordPurges([]broadcast.Purge{purge})
		time.Sleep(spreadBound)
		if got := fleet.receivers(purge); len(got) != 11 || slices.Contains(got, "n5") {
			t.Errorf("applied by %v", got)
		}
		for name, applied := range fleet.applied {
			if applied[purge] > 1 {
				t.Errorf("%s applies it %d times", name, applied[purge])
			}
		}
	})
}

// An isolated gateway logs that it is behind, and after the heal that it has caught up, and misses no purge.
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
				t.Fatalf("purge %d is lost: applied by %v", i, got)
			}
		}
		if got := fmt.Sprint(fleet.loggedModes("n3")); got != "[behind whole]" {
			t.Errorf("it logs %s", got)
		}
		if got := fleet.log.String(); strings.Count(got, "\n") != 2 {
			t.Errorf("others log too: %s", got)
		}
	})
}

// Datagrams of unknown senders and unreadable ones are counted and not logged.
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
			t.Errorf("%+v, before %+v", after, before)
		}
		if fleet.log.Len() > 0 {
			t.Error(fleet.log.String())
		}
	})
}

// Past the bounds of the queues, datagrams and purges of the own watch are dropped and counted.
func TestQueuesAreBounded(t *testing.T) {
	fleet := newTestFleet(2) // does not run: all stays queued
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
		t.Errorf("%+v, %d datagrams and %d purges are queued", got, len(d.queue), len(d.ownPurges))
	}
}

// Sends to a peer that is gone are counted as failed, until the view drops it.
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
			t.Error("no failures are counted")
		}
		fleet.mu.Lock()
		fleet.ids = slices.DeleteFunc(fleet.ids, func(id view.ID) bool { return id.Name == gone.self })
		fleet.version++
		fleet.mu.Unlock()
		time.Sleep(time.Second)
		before := failures()
		time.Sleep(10 * time.Second)
		if after := failures(); after != before {
			t.Errorf("%d more are sent to the gateway that is gone", after-before)
		}
		if got := fleet.receivers(purge); !strings.Contains(fmt.Sprint(got), "n1") || len(got) != 2 {
			t.Errorf("applied by %v", got)
		}
	})
}

// A hundred purges per second of one own watch reach all within 4.5 s, each once.
func TestHundredPurgesPerSecondReachAllInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(36)
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(100, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 6*time.Second)
		if got != (spreadResult{pairs: 36 * 600}) {
			t.Errorf("%+v", got)
		}
		for name, applied := range fleet.applied {
			for p, times := range applied {
				if times > 1 {
					t.Fatalf("%s applies %v %d times", name, p, times)
				}
			}
			counts := fleet.drivers[name].Report(0).Counts
			if counts.Dropped+counts.OwnPurgesDropped+counts.SendFailures+counts.UnknownSenders+counts.Unreadable > 0 {
				t.Errorf("%s: %+v", name, counts)
			}
		}
		if fleet.log.Len() > 0 {
			t.Error(fleet.log.String())
		}
	})
}

// Where all own watches bring the same purges, few are injected, and in one place.
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
			t.Errorf("%+v", got)
		}
		var injected, maxBytes uint64
		for _, d := range fleet.drivers {
			node := d.Report(0).Node
			injected += node.PurgesSent
			maxBytes = max(maxBytes, node.BytesIn+node.BytesOut)
		}
		if injected < 600 || injected > 700 {
			t.Errorf("%d are injected of 600", injected)
		}
		if perSecond := maxBytes / 13; perSecond > uint64(broadcast.DefaultSettings.RateLimit) {
			t.Errorf("%d bytes per second at the busiest", perSecond)
		}
	})
}

// A gateway that restarts under a new stamp is received at once, and learns earlier purges.
func TestRestartUnderNewStamp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		shutdown := fleet.run()
		time.Sleep(time.Second)
		earlier := newPurge(1)
		fleet.drivers["n0"].RecordPurges([]broadcast.Purge{earlier})
		time.Sleep(5 * time.Second)
		shutdown()
		fleet.stop = make(chan struct{}) // all go on at once; n0 is another process
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
			t.Errorf("applied by %v", got)
		}
		time.Sleep(10 * time.Second)
		if !slices.Contains(fleet.receivers(earlier), "n0") {
			t.Error("the earlier purge is lost at the new process")
		}
	})
}

// With one datagram in twenty lost all purges arrive, all but a few in time, and no mode is logged.
func TestSteadyLossLogsNoModeChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(36)
		fleet.loss = 0.05
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(100, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 20*time.Second)
		if got.missing > 0 || got.late > got.pairs/1000 {
			t.Errorf("%+v", got)
		}
		if got := fleet.log.String(); got != "" {
			t.Error(got)
		}
	})
}

// A report has the applied purges after a number, of the latest that are kept.
func TestReportHasAppliedPurgesAfterANumber(t *testing.T) {
	fleet := newTestFleet(1)
	d := fleet.drivers["n0"]
	for i := range maxLatest + 7 {
		d.RecordPurges([]broadcast.Purge{{Object: fmt.Sprint(i), Issued: 1}})
	}
	report := d.Report(0)
	if len(report.Latest) != maxLatest || report.Applied != maxLatest+7 {
		t.Fatalf("%d of %d", len(report.Latest), report.Applied)
	}
	for i, applied := range report.Latest {
		if applied.Number != uint64(i+8) || applied.Object != fmt.Sprint(i+7) || applied.FromPeer {
			t.Fatalf("%d: %+v", i, applied)
		}
	}
	if latest := d.Report(maxLatest + 5).Latest; len(latest) != 2 || latest[0].Number != maxLatest+6 {
		t.Errorf("%+v", latest)
	}
	if latest := d.Report(1 << 60).Latest; len(latest) > 0 {
		t.Errorf("%+v", latest)
	}
}

// While the broadcast is enabled gateway by gateway, enabled ones receive all, if later.
func TestBroadcastEnabledGatewayByGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(12)
		for _, name := range []string{"n0", "n1", "n2", "n4", "n8", "n11"} { // live, and without a driver: they don't answer
			delete(fleet.drivers, name)
		}
		defer fleet.run()()
		time.Sleep(time.Second)
		got := fleet.spreadPurges(20, 6, func(p broadcast.Purge) { fleet.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 30*time.Second)
		if got.missing > 0 {
			t.Errorf("%+v", got)
		}
		t.Logf("%+v", got)
	})
}

package fleet

import (
	"flag"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
)

var fleetSeeds = flag.Uint64("fleet.seeds", 12, "number of seeds of the splits and leaves on the virtual clock; 1,000 take about ten minutes")

// virtualRun is one run of a test on the virtual clock, with a fleet that has settled.
type virtualRun struct {
	fleet  *VirtualFleet
	log    *logRecorder // log of all gateways
	random *rand.Rand   // seeded with the seed of the run
}

// forEachSeed runs a test once for each seed from 1 to -fleet.seeds. The seed determines the test's
// random choices and the random faults of links. The detector draws random numbers of its own, so a
// seed does not determine a run completely.
func forEachSeed(t *testing.T, test func(t *testing.T, run *virtualRun)) {
	t.Helper()
	for seed := uint64(1); seed <= *fleetSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			run := &virtualRun{fleet: NewVirtualFleet(12, seed, DefaultSettings()), log: &logRecorder{}, random: rand.New(rand.NewPCG(seed, 1))}
			run.fleet.Log = slog.New(slog.NewTextHandler(run.log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: env.ReplaceLogAttr}))
			defer run.fleet.Close()
			if err := run.fleet.Start(run.fleet.names...); err != nil {
				t.Fatal(err)
			}
			if took, ok := run.fleet.WaitForAgreement(true, 30*time.Second); !ok {
				t.Fatalf("seed %d: not settled within %v", seed, took)
			}
			test(t, run)
			if t.Failed() {
				logViews(t, run.fleet)
				t.Fatalf("failed with seed %d; log of the gateways:\n%s", seed, run.log.text.String())
			}
		})
	}
}

// TestSmallerSideKnowsInTimeBySeeds guards against a smaller side of a split that does not detect within the documented
// time that it is in a minority. This happens if the side counts members as alive that none of its gateways has probed.
func TestSmallerSideKnowsInTimeBySeeds(t *testing.T) {
	const limit = 15 * time.Second // documented in docs/fleet.md
	forEachSeed(t, func(t *testing.T, run *virtualRun) {
		names := run.fleet.names
		run.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		small := names[:1+run.random.IntN(len(names)/2)]
		time.Sleep(time.Duration(run.random.IntN(2000)) * time.Millisecond)
		run.fleet.Links.Split([][]string{small, names[len(small):]})
		time.Sleep(limit)
		for _, name := range small {
			if state := run.fleet.Fleet(name).State(); !state.InMinority {
				t.Errorf("%s, on a side of %d gateways, does not report a minority after %v: %+v", name, len(small), limit, state)
			}
		}
	})
}

// TestLeavesOutOfOrderAreNotDeathsBySeeds guards against a member that leaves and is marked dead. This happens if
// a gateway receives the leave before the metadata that announces it, as links delay, lose and reorder datagrams.
func TestLeavesOutOfOrderAreNotDeathsBySeeds(t *testing.T) {
	forEachSeed(t, func(t *testing.T, run *virtualRun) {
		names := run.fleet.names
		run.fleet.Links.Set(names, names, LinkFault{
			Loss:    0.2 * run.random.Float64(),
			Jitter:  time.Duration(run.random.IntN(400)) * time.Millisecond,
			Reorder: 0.2 * run.random.Float64(),
		})
		leaving := names[4 : 5+run.random.IntN(3)]
		left := make(chan struct{})
		for _, name := range leaving {
			go func() {
				run.fleet.Stop(name)
				left <- struct{}{}
			}()
		}
		for range leaving {
			<-left
		}
		time.Sleep(3 * time.Second)
		for _, name := range leaving {
			if run.log.hasLine("event=fleet_member ", "name="+name+" ", "state=dead") {
				t.Errorf("%s left and was marked dead", name)
			}
			for _, observer := range run.fleet.Running() {
				if state := memberRow(t, run.fleet, observer, name).State; state != view.Left {
					t.Errorf("%s sees %s, which left, as %v", observer, name, state)
				}
			}
		}
	})
}

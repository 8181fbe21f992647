package fleet

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"foldslip/internal/config"
	"foldslip/internal/lab/testbed"
)

// program is the path of the gateway program that TestMain builds.
var program string

// TestMain builds the gateway program that the tests start, and claims loopback networks for this process.
func TestMain(m *testing.M) {
	var remove func()
	program, remove = testbed.BuildProgram()
	claimed, err := claimNetworks()
	if err != nil {
		remove()
		fmt.Println("FAIL:", err)
		os.Exit(1)
	}
	code := m.Run()
	claimed.Close()
	remove()
	os.Exit(code)
}

// fastDetector has a fifth of the default probe, gossip and rejoin times, so that all tests together
// take less than two minutes. The rig's command runs the hard cases with the default times.
var fastDetector = config.Fleet{ProbeMS: 200, ProbeTimeoutMS: 100, GossipMS: 40, SettleMS: 300, RejoinMS: 1000}

// runScenario checks a scenario, runs it on the given loopback network and returns the report.
func runScenario(t *testing.T, scenario *Scenario, network int) *Report {
	t.Helper()
	if err := scenario.check(t.Name()); err != nil {
		t.Fatal(err)
	}
	report, err := Run(scenario, Options{Program: program, Dir: t.TempDir(), Seed: 1, Network: network, Progress: t.Logf})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// checkNoViolations reports each violation of a report as a test error.
func checkNoViolations(t *testing.T, report *Report) {
	t.Helper()
	for _, violation := range report.Violations {
		t.Error(violation)
	}
}

// settlingCases returns scenarios in which the fleet must settle after each step, unless the step sets Settle to none.
func settlingCases() []Scenario {
	return []Scenario{
		{Name: "immediate restart", Gateways: 6, KeepMembers: true, Caches: 2, Load: Load{PerSecond: 30}, EndMS: 4000, Steps: []Step{
			{AtMS: 500, Action: "kill", PickCount: 1, PickName: "x", Settle: "none"},
			{AtMS: 600, Action: "start", Targets: []string{"@x"}},
			{AtMS: 5000, Action: "kill", Targets: []string{"@x"}, Settle: "none"},
			{AtMS: 5100, Action: "start", Targets: []string{"@x"}, Forget: true},
		}},
		{Name: "crash", Gateways: 6, EndMS: 10000, Steps: []Step{
			{AtMS: 500, Action: "kill", PickCount: 1},
		}},
		{Name: "paused process", Gateways: 6, Caches: 2, Load: Load{PerSecond: 30}, EndMS: 5000, Steps: []Step{
			{AtMS: 500, Action: "pause", PickCount: 1, PickName: "x"},
			{AtMS: 9000, Action: "resume", Targets: []string{"@x"}},
		}},
		{Name: "split and heal", Gateways: 7, Caches: 2, Load: Load{PerSecond: 30}, EndMS: 8000, Steps: []Step{
			{AtMS: 500, Action: "split", Sizes: []int64{3, 4}},
			{AtMS: 12500, Action: "heal"},
		}},
		{Name: "one-way cut", Gateways: 6, EndMS: 3000, Steps: []Step{
			{AtMS: 500, Action: "link", From: []string{"n2"}, To: []string{"n5"}, Cut: true},
			{AtMS: 6000, Action: "heal"},
		}},
		{Name: "bridge between three sides", Gateways: 7, EndMS: 8000, Steps: []Step{
			{AtMS: 500, Action: "split", Sizes: []int64{2, 2, 2}, Bridge: 1, Settle: "none"},
			{AtMS: 8000, Action: "heal"},
		}},
		{Name: "20 percent datagram loss", Gateways: 6, EndMS: 5000, Steps: []Step{
			{AtMS: 500, Action: "link", From: []string{"*"}, To: []string{"*"}, Loss: 0.2, DelayMS: 1, JitterMS: 4, Reorder: 0.02, Settle: "none"},
			{AtMS: 8000, Action: "heal"},
		}},
		{Name: "half the fleet restarts", Gateways: 6, KeepMembers: true, EndMS: 6000, Steps: []Step{
			{AtMS: 500, Action: "kill", PickCount: 3, PickName: "x", Settle: "none"},
			{AtMS: 700, Action: "start", Targets: []string{"@x"}},
		}},
		{Name: "join storm", Gateways: 15, LateGateways: 10, EndMS: 8000, Steps: []Step{
			{AtMS: 500, Action: "start", Targets: []string{"n6", "n7", "n8", "n9", "n10", "n11", "n12", "n13", "n14", "n15"}},
		}},
		{Name: "clock one hour ahead", Gateways: 5, ClockOffsets: []ClockOffset{{"n3", 3_600_000}}, EndMS: 5000, Steps: []Step{
			{AtMS: 500, Action: "kill", Targets: []string{"n3"}, Settle: "none"},
			{AtMS: 700, Action: "start", Targets: []string{"n3"}},
		}},
		{Name: "flapping gateway", Gateways: 5, EndMS: 8000, Steps: []Step{
			{AtMS: 500, Action: "kill", PickCount: 1, PickName: "x", Settle: "none", Repeat: 5, EveryMS: 1000},
			{AtMS: 1000, Action: "start", Targets: []string{"@x"}, Settle: "none"},
			{AtMS: 5600, Action: "mark"},
		}},
		{Name: "leaving", Gateways: 6, EndMS: 5000, Steps: []Step{
			{AtMS: 500, Action: "stop", PickCount: 2},
		}},
	}
}

// TestRealGatewaysSettleAfter runs each settling case on real processes. It guards against a fleet
// that does not settle after a fault, and against lookups that get no answer meanwhile.
func TestRealGatewaysSettleAfter(t *testing.T) {
	for i, scenario := range settlingCases() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			checkSettles(t, &scenario, testNetwork+i)
		})
	}
}

// leavingCase is the name of the case in which gateways leave gracefully. None of them may be marked dead.
const leavingCase = "leaving"

// checkSettles runs a case and checks that the report has no violation and that at least half of the
// lookups were satisfied.
func checkSettles(t *testing.T, scenario *Scenario, network int) {
	t.Helper()
	scenario.Fleet = fastDetector
	report := runScenario(t, scenario, network)
	checkNoViolations(t, report)
	if scenario.Name == leavingCase {
		for _, event := range report.Events {
			if event.State == eventDead {
				t.Errorf("a gateway that left was marked dead: %+v", event)
			}
		}
	}
	if scenario.Load.PerSecond > 0 && report.Load.Satisfied < report.Load.Sent/2 {
		t.Errorf("of %d lookups, %d were satisfied, want at least half", report.Load.Sent, report.Load.Satisfied)
	}
	if t.Failed() {
		for _, event := range report.Events {
			t.Logf("%+v", event)
		}
	}
}

// TestRigReportsFleetThatDoesNotSettle guards against a rig that passes a fleet which does not settle in time.
// The run ends 300 ms after a kill, before the gateways can detect it, so the report must have a violation.
func TestRigReportsFleetThatDoesNotSettle(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Name: "too soon", Gateways: 3, Fleet: fastDetector, EndMS: 300, Steps: []Step{{AtMS: 300, Action: "kill", PickCount: 1}}}
	report := runScenario(t, &scenario, testNetwork+19)
	if len(report.Violations) == 0 || !strings.Contains(report.Violations[0], "do not agree") {
		t.Errorf("violations are %v, want a first one about views that do not agree", report.Violations)
	}
}

// TestPurgesOfOneWatchReachAllGateways guards against purges that are lost in the broadcast among
// gateways. Only one of twelve gateways in four sites has a discovery watch. Its purges must reach all
// other gateways, even after the root of the broadcast tree is killed.
func TestPurgesOfOneWatchReachAllGateways(t *testing.T) {
	t.Parallel()
	scenario := Scenario{Name: "broadcast", Gateways: 12, Fleet: fastDetector, EndMS: 7000,
		Purges: &PurgeLoad{PerSecond: 10, FromMS: 1000, ForMS: 5000, MinShare: 0.99},
		Localities: []GatewayLocality{
			{Gateways: []string{"n1", "n2", "n3"}, Region: "north", Zone: "a", Site: "a1"},
			{Gateways: []string{"n4", "n5", "n6"}, Region: "north", Zone: "a", Site: "a2"},
			{Gateways: []string{"n7", "n8", "n9"}, Region: "south", Zone: "b", Site: "b1"},
			{Gateways: []string{"n10", "n11", "n12"}, Region: "south", Zone: "b", Site: "b2"},
		},
		Steps: []Step{
			{AtMS: 100, Action: "link", To: []string{DiscoveryName}, Cut: true, Settle: "none"},
			{AtMS: 100, Action: "link", From: []string{DiscoveryName}, Cut: true, Settle: "none"},
			{AtMS: 3000, Action: "kill", Targets: []string{"@root"}, Settle: "none"},
		}}
	scenario.Fleet.BroadcastsPurges = true
	const watcher = "n2"
	withoutWatch := slices.DeleteFunc(scenario.names(), func(name string) bool { return name == watcher })
	scenario.Steps[0].From = withoutWatch
	scenario.Steps[1].To = withoutWatch
	if root := scenario.treeHeads()["root"][0]; root == watcher {
		t.Fatal("the gateway with the discovery watch is the root, which the scenario kills")
	}
	report := runScenario(t, &scenario, testNetwork+21)
	checkNoViolations(t, report)
	if r := report.Broadcast; r.Purges != 50 || r.Pairs < 400 || r.FinalPairs != 11*50 {
		t.Errorf("got %+v, want 50 purges, at least 400 pairs and 11*50 final pairs", r)
	}
	t.Logf("%+v", report.Broadcast)
}

package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"foldslip/internal/lab/testbed"
)

var program string

// TestMain builds the gateway's program. If SCALE_HOLLOW_PROCESS is set, this binary runs as a process of hollow
// gateways instead.
func TestMain(m *testing.M) {
	if os.Getenv("SCALE_HOLLOW_PROCESS") != "" {
		if err := RunHollowProcess(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	var remove func()
	program, remove = testbed.BuildProgram()
	code := m.Run()
	remove()
	os.Exit(code)
}

// hollowProcessCommand returns the command that runs this test binary as a process of hollow gateways; see TestMain.
func hollowProcessCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SCALE_HOLLOW_PROCESS=1")
	return cmd
}

// shortRun returns the options of a run that is short enough for a test.
func shortRun(t *testing.T) WatchOptions {
	t.Helper()
	return WatchOptions{Gateways: 8, Real: 2, PerProcess: 4, PurgesPerSecond: 50, ChangeInterval: 300 * time.Millisecond, Caches: 100, ListInConfig: true, Warmup: 500 * time.Millisecond,
		Duration: 2 * time.Second, Deadline: 30 * time.Second, Seed: 1, Dir: t.TempDir(), Program: program, HollowCommand: hollowProcessCommand}
}

// runWatch plays a run and checks that its report has no violations.
func runWatch(t *testing.T, o WatchOptions) *WatchReport {
	t.Helper()
	r, err := Watch(o)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) > 0 {
		t.Errorf("the run reported violations %q, expected none", r.Violations)
	}
	return r
}

func TestHollowGatewayAppliesWatchEvents(t *testing.T) {
	d := newDiscovery(t, DiscoveryOptions{Gateways: 1, Members: Members(100, 25)})
	known, _ := d.Join(0, true)
	received := make(chan int64, 10)
	h, err := StartHollowGateway(NewEnvironment(NewSlowClock(0, 1)), HollowOptions{DiscoveryAddr: d.Addr(0), Known: known, Settings: Settings(ScaledLayout(1), 0, 25), Seed: 1, LookupsPerSecond: 200,
		OnEvent: func(number int64) { received <- number }})
	if err != nil {
		t.Fatal(err)
	}
	if n := h.Caches.Len(); n != 100 {
		t.Errorf("%d caches from the known list, expected 100", n)
	}
	at := time.Now()
	d.Purge("00000000000000aa", 0, at)
	removed := Members(100, 25)[5]
	removed.Phase = "removed"
	d.Change(removed)
	for want := int64(2); want <= 3; want++ {
		select {
		case number := <-received:
			if number != want {
				t.Errorf("received event number %d, expected %d", number, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("event number %d was not received within 20 s", want)
		}
	}
	if n := h.Caches.Len(); n != 99 {
		t.Errorf("%d caches after one was removed, expected 99", n)
	}
	time.Sleep(h.Purges.Grace + 10*time.Millisecond)
	if issued, _ := h.Purges.InForce("00000000000000aa", 0); issued.UnixMilli() != at.UnixMilli() {
		t.Errorf("the gateway applies a purge issued at %v, expected the published one of %v", issued, at)
	}
	if err := h.Stop(); err != nil {
		t.Error(err)
	}
}

func TestHollowAndRealGatewaysReceiveTheSameEvents(t *testing.T) {
	r := runWatch(t, shortRun(t))
	if r.Events < 100 || r.Events > 112 || r.LostEvents != 0 || r.Processes != 4 || r.Hollow.Gateways != 6 || r.Real.Gateways != 2 {
		t.Errorf("got %+v, expected 100 to 112 events, none lost, and 6 hollow and 2 real gateways in 4 processes", r)
	}
	bytesPerEvent := r.Hollow.In * r.Seconds / float64(r.Events) // a purge has 71 bytes for an object and 53 for a group; changes are few and longer; a heartbeat is sent each second
	if bytesPerEvent < 65 || bytesPerEvent > 100 || r.Hollow.In/r.Real.In > 1.1 || r.Real.In/r.Hollow.In > 1.1 {
		t.Errorf("%.0f bytes a second to a hollow gateway and %.0f to a real one, expected 65 to 100 per event and a difference of at most 10%%", r.Hollow.In, r.Real.In)
	}
	if r.Hollow.Core <= 0 || r.Real.Core <= 0 || r.Hollow.Resident <= 0 || r.Real.Resident <= 0 || r.Hollow.Heap <= 0 || r.Max <= 0 {
		t.Errorf("got %+v, expected a positive value for every measured resource and the slowest arrival", r)
	}
}

func TestNothingIsLostWhileGatewaysRestart(t *testing.T) {
	o := shortRun(t)
	o.Real, o.RestartsPerSecond, o.ListInConfig, o.LookupsPerSecond = 0, 10, false, 20
	o.Warmup, o.Profile = 0, filepath.Join(t.TempDir(), "profile")
	if r := runWatch(t, o); r.LostEvents != 0 || r.Restarts < 5 {
		t.Errorf("%d events lost and %d restarts, expected none lost and at least 5 restarts", r.LostEvents, r.Restarts)
	}
	if s, err := os.Stat(o.Profile); err != nil || s.Size() == 0 {
		t.Errorf("the profile is empty or missing (%v)", err)
	}
}

func TestRunOverBudgetIsReported(t *testing.T) {
	o := shortRun(t)
	o.Real, o.Budget = 0, Budget{Core: 1e-9, Resident: 1, BytesPerSecond: 1}
	r, err := Watch(o)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Violations) != 3 {
		t.Errorf("the run reported violations %q, expected one for each of the 3 budgets", r.Violations)
	}
	o.Gateways, o.Real = 3, 4
	if _, err := Watch(o); err == nil {
		t.Error("Watch accepted 4 real gateways of 3, expected an error")
	}
}

func TestGatewaysOnSlowClockSpendTheSamePerSecond(t *testing.T) {
	o := shortRun(t)
	o.Gateways, o.Real, o.Stretch, o.PurgesPerSecond, o.Warmup, o.Duration = 4, 0, 4, 50, 100*time.Millisecond, time.Second
	began := time.Now()
	r := runWatch(t, o)
	if elapsed := time.Since(began); elapsed < 4400*time.Millisecond {
		t.Errorf("1.1 s of a clock slowed 4 times took %v, expected at least 4.4 s", elapsed)
	}
	bytesPerEvent := r.Hollow.In * r.Seconds / float64(r.Events)
	if r.Events < 50 || r.Events > 56 || bytesPerEvent < 65 || bytesPerEvent > 110 || r.LostEvents != 0 {
		t.Errorf("%d events of %.0f bytes each, %d lost; expected 50 to 56 of 65 to 110 bytes and none lost", r.Events, bytesPerEvent, r.LostEvents)
	}
}

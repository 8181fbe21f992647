package fleet

import (
	"flag"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/env"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// logRecorder keeps the lines of a log.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// hasLine reports whether a line contains all parts.
func (l *logRecorder) hasLine(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			return true
		}
	}
	return false
}

// withSettledFleet runs a test on the virtual clock with a fleet that has settled.
func withSettledFleet(t *testing.T, n int, test func(t *testing.T, v *VirtualFleet, log *logRecorder), options ...func(*membership.Settings)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings := DefaultSettings()
		for _, option := range options {
			option(&settings)
		}
		v := NewVirtualFleet(n, 1, settings)
		log := &logRecorder{}
		v.Log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: env.ReplaceLogAttr}))
		defer v.Close()
		if err := v.Start(v.names...); err != nil {
			t.Fatal(err)
		}
		if took, ok := v.WaitForAgreement(true, 30*time.Second); !ok {
			logViews(t, v)
			t.Fatalf("the fleet did not settle within %v", took)
		}
		test(t, v, log)
	})
}

// logViews logs each running gateway's view and the members that don't agree with it.
func logViews(t *testing.T, v *VirtualFleet) {
	t.Helper()
	for _, name := range v.Running() {
		r, err := v.Fleet(name).Report(true, "")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		disagreeing := ""
		for _, m := range r.Members {
			if !m.Agrees {
				disagreeing += " " + m.Name + "=" + m.State.String()
			}
		}
		t.Logf("%s live %d digest %s %s changed %d counts %+v: %s", name, r.Live, r.Digest, r.State, r.ChangedAgoMS, r.Counts, disagreeing)
	}
}

// waitSettled waits until all gateways have settled; change names what was done in the failure.
func waitSettled(t *testing.T, v *VirtualFleet, change string, timeout time.Duration) {
	t.Helper()
	if took, ok := v.WaitForAgreement(true, timeout); !ok {
		t.Errorf("%s: not settled within %v", change, timeout)
		logViews(t, v)
	} else {
		t.Logf("%s: settled within %v", change, took)
	}
}

// memberRow is a member in a gateway's report.
func memberRow(t *testing.T, v *VirtualFleet, observer, name string) membership.MemberReport {
	t.Helper()
	r, err := v.Fleet(observer).Report(true, name)
	if err != nil {
		t.Fatal(err)
	}
	return r.Members[0]
}

// TestCrashIsSuspectedThenKnownToAll: a crash is suspected by a failed probe, then known to all.
func TestCrashIsSuspectedThenKnownToAll(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Kill("n5")
		waitSettled(t, v, "crash", 45*time.Second)
		// The detector reports a failed probe only in its log: this fails if a new version words it differently.
		if !log.hasLine("event=fleet_member", "name=n5", "state=suspect", "was=alive", "why=probe_failed") {
			t.Error("no gateway logged a suspicion before the death")
		}
		if v.FalseDeaths > 0 {
			t.Errorf("%d false deaths", v.FalseDeaths)
		}
		evidence := memberRow(t, v, "n1", "n5").Evidence
		if !slices.ContainsFunc(evidence, func(e membership.Evidence) bool { return e.What == "probe failed" && e.By != "" }) {
			t.Errorf("the prober is not in the evidence: %+v", evidence)
		}
	})
}

// TestMemberThatLeavesIsNotDead: a member that leaves is in state left and no longer counts.
func TestMemberThatLeavesIsNotDead(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Stop("n5")
		waitSettled(t, v, "leave", 10*time.Second)
		for _, name := range v.Running() {
			if got := memberRow(t, v, name, "n5").State; got != view.Left {
				t.Errorf("%s sees it as %v", name, got)
			}
		}
		if s := v.Fleet("n1").State(); s.FleetSize != 11 {
			t.Errorf("it still counts: a fleet of %d", s.FleetSize)
		}
	})
}

// TestSplitIsKnownOnBothSidesAndHeals: the smaller side knows that it is a minority, and both sides settle again.
func TestSplitIsKnownOnBothSidesAndHeals(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		small, large := v.names[:5], v.names[5:]
		v.Links.Split([][]string{small, large})
		time.Sleep(15 * time.Second) // twice as long as a crash takes to be known: by then the smaller side must know what it is
		for _, name := range small {
			if !v.Fleet(name).State().InMinority {
				t.Errorf("%s does not know after 15 s that it is in a minority: %+v", name, v.Fleet(name).State())
			}
		}
		waitSettled(t, v, "split", 45*time.Second)
		for _, name := range large {
			if s := v.Fleet(name).State(); s.InMinority || s.Alive != 7 || s.FleetSize != 12 {
				t.Errorf("%s of the larger side: %+v", name, s)
			}
		}
		time.Sleep(60 * time.Second) // past the time that the detector gossips to the dead
		v.Links.Heal()
		waitSettled(t, v, "heal", 20*time.Second)
	})
}

// TestSidesThatForgotEachOtherRejoinBySeeds: sides that have reaped each other rejoin by their seeds.
func TestSidesThatForgotEachOtherRejoinBySeeds(t *testing.T) {
	withSettledFleet(t, 6, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Split([][]string{v.names[:3], v.names[3:]})
		time.Sleep(2 * time.Minute)
		if r, err := v.Fleet("n5").Report(true, "n1"); err == nil {
			t.Errorf("n1 is not forgotten: %+v", r.Members)
		}
		v.Links.Heal()
		waitSettled(t, v, "heal", 90*time.Second)
	}, func(s *membership.Settings) { s.ReapAfter = 30 * time.Second })
}

// TestOneDirectionCutMarksNobodyDead: others still receive from both ends of the cut link.
func TestOneDirectionCutMarksNobodyDead(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Set([]string{"n4"}, []string{"n7"}, LinkFault{Cut: true})
		time.Sleep(60 * time.Second)
		if agree, _ := v.Agreement(); !agree || log.hasLine("state=dead") {
			t.Error("a gateway was marked dead, though others receive from both")
		}
	})
}

// TestLossOfOneInFiveMarksNobodyDead: the loss of one datagram in five causes no false death.
func TestLossOfOneInFiveMarksNobodyDead(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Set(v.names, v.names, LinkFault{Loss: 0.2})
		time.Sleep(5 * time.Minute)
		if v.FalseDeaths > 0 {
			t.Errorf("%d false deaths", v.FalseDeaths)
		}
		v.Links.Heal()
		waitSettled(t, v, "heal", 10*time.Second)
	})
}

// TestRestartUnderSameNameReachesAllViews: a restart before anybody missed the member is known to all as a restart.
func TestRestartUnderSameNameReachesAllViews(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		before := memberRow(t, v, "n1", "n5").Incarnation
		v.Kill("n5")
		if err := v.Start("n5"); err != nil { // before it is suspected, at incarnation 1, with nothing kept
			t.Fatal(err)
		}
		waitSettled(t, v, "restart", 15*time.Second)
		for _, name := range v.Running() {
			if m := memberRow(t, v, name, "n5"); m.Incarnation == before || m.Deaths > 0 || name != "n5" && m.Restarts != 1 {
				t.Errorf("on %s: %+v", name, m)
			}
		}
	})
}

// TestJoinStormSettles: a fleet settles that grows to three times its size at once.
func TestJoinStormSettles(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		for i := range 24 {
			v.Add(fmt.Sprintf("m%d", i), "")
			v.names = append(v.names, fmt.Sprintf("m%d", i))
		}
		if err := v.Start(v.names[12:]...); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, v, "storm", 20*time.Second)
	})
}

// TestNameConflictLaterMemberWithdrawsAndReturns: the later one of two members of a name defers until the name is free.
func TestNameConflictLaterMemberWithdrawsAndReturns(t *testing.T) {
	withSettledFleet(t, 5, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Add("twin", "n3")
		time.Sleep(time.Second)
		if err := v.Start("twin"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if r, _ := v.Fleet("twin").Report(false, ""); r.State != "yielded" || r.Counts.NameDeferrals != 1 {
			t.Errorf("the twin does not yield: %s, %+v", r.State, r.Counts)
		}
		if !log.hasLine("level=ERROR", "event=fleet_name_deferred", "name=n3") || !log.hasLine("event=fleet_name_conflict") {
			t.Error("the conflict is not logged")
		}
		for _, name := range v.names {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["n3"].addr || !m.State.IsLive() {
				t.Errorf("%s does not see the first one: %+v", name, m)
			}
		}
		v.Kill("n3") // now the name is free
		time.Sleep(90 * time.Second)
		for _, name := range []string{"n1", "n2", "n4", "n5"} {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["twin"].addr || !m.State.IsLive() {
				t.Errorf("%s does not see the twin: %+v", name, m)
			}
		}
	})
}

// TestNameConflictEarlierMemberReclaimsName: a member that was only cut off gets its name back.
func TestNameConflictEarlierMemberReclaimsName(t *testing.T) {
	withSettledFleet(t, 5, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Split([][]string{{"n3"}, {"n1", "n2", "n4", "n5", "twin"}})
		time.Sleep(60 * time.Second)
		v.Add("twin", "n3") // started in the place of one that had only been cut off
		if err := v.Start("twin"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if m := memberRow(t, v, "n1", "n3"); m.Addr != v.byName["twin"].addr {
			t.Fatalf("the one in its place is not accepted: %+v", m)
		}
		v.Links.Heal()
		time.Sleep(40 * time.Second)
		for _, name := range v.names {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["n3"].addr || !m.State.IsLive() {
				t.Errorf("%s sees %+v", name, m)
			}
		}
		if r, _ := v.Fleet("twin").Report(false, ""); r.State != "yielded" {
			t.Errorf("the later one is %s", r.State)
		}
	})
}

// TestOtherProtocolVersionIsRefusedAndLogged: a member of another protocol version is refused, with a log line.
func TestOtherProtocolVersionIsRefusedAndLogged(t *testing.T) {
	withSettledFleet(t, 3, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		c := memberlist.DefaultLANConfig()
		transport, err := v.Network.Open("old", "10.9.9.9:7946", &transport.Counts{})
		if err != nil {
			t.Fatal(err)
		}
		c.Name, c.Transport, c.Logger = "old", transport, nil
		c.LogOutput = &logRecorder{}
		c.DelegateProtocolMin, c.DelegateProtocolMax, c.DelegateProtocolVersion = 0, membership.ProtocolVersion+1, membership.ProtocolVersion+1
		m, err := memberlist.Create(c)
		if err != nil {
			t.Fatal(err)
		}
		defer m.Shutdown()
		m.Join([]string{v.byName["n1"].addr})
		time.Sleep(5 * time.Second)
		if agree, _ := v.Agreement(); !agree || !log.hasLine("event=fleet_detector", "incompatible") {
			t.Error("it was accepted, or refused without a log line")
		}
	})
}

// TestFleetOfAnotherLabelIsIgnored: fleets of different labels do not see each other.
func TestFleetOfAnotherLabelIsIgnored(t *testing.T) {
	withSettledFleet(t, 3, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.base.Label = "other"
		v.Add("stray", "")
		if err := v.Start("stray"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if s := v.Fleet("stray").State(); s.Live != 1 {
			t.Errorf("it sees %d", s.Live)
		}
		if agree, _ := v.Agreement(); !agree {
			t.Error("the fleet sees it")
		}
	}, func(s *membership.Settings) { s.Label = "one" })
}

// TestFleetIsFoundFromDiskWithoutSeeds: a gateway without seeds rejoins by the members that it kept.
func TestFleetIsFoundFromDiskWithoutSeeds(t *testing.T) {
	withSettledFleet(t, 5, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		disk, err := env.OpenOSDirectory(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		v.Stop("n5")
		v.SetDirectory("n5", disk)
		if err := v.Start("n5"); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, v, "with a disk", 10*time.Second)
		time.Sleep(5 * time.Second) // it writes at most every 2 s
		v.Kill("n5")
		time.Sleep(time.Second)
		v.seeds = 0
		<-v.byName["n5"].ended
		if err := v.Start("n5"); err != nil {
			t.Fatal(err)
		}
		if s := v.Fleet("n5").State(); !s.InMinority || s.FleetSize != 5 {
			t.Errorf("alone at its start it does not know of the others: %+v", s)
		}
		waitSettled(t, v, "from disk", 15*time.Second)
	})
}

// TestFullViewRefusesMembersAndLogsIt: a member beyond MaxMembers is refused, with a log line.
func TestFullViewRefusesMembersAndLogsIt(t *testing.T) {
	withSettledFleet(t, 4, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Add("m1", "")
		if err := v.Start("m1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if agree, _ := v.Agreement(); !agree || !log.hasLine("event=fleet_member_refused", "name=m1", "why=full") {
			t.Error("a fifth is in a view of four, or was refused without a log line")
		}
	}, func(s *membership.Settings) { s.MaxMembers = 4 })
}

var longRunHours = flag.Int("fleet.hours", 2, "hours of the long run; 24 take some 80 s")

// TestLongRunStaysWithinBounds: with a restart every ten minutes and a split every hour nothing grows.
func TestLongRunStaysWithinBounds(t *testing.T) {
	withSettledFleet(t, 6, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Log = slog.New(slog.DiscardHandler)
		for hour := range *longRunHours {
			for range 5 {
				v.Kill("n6")
				time.Sleep(10 * time.Minute)
				if err := v.Start("n6"); err != nil {
					t.Fatal(err)
				}
			}
			v.Links.Split([][]string{v.names[:2], v.names[2:]})
			time.Sleep(8 * time.Minute)
			v.Links.Heal()
			if _, ok := v.WaitForAgreement(true, 2*time.Minute); !ok {
				t.Fatalf("hour %d: not settled", hour)
			}
		}
		for _, name := range v.names {
			if usage := v.Fleet(name).Usage(); usage.Members > 6 || usage.PendingLogLines > 64 || usage.Contacted > 8 || usage.LoggedConflicts > 8 {
				t.Errorf("%s holds %+v", name, usage)
			}
		}
	}, func(s *membership.Settings) { s.ReapAfter = 5 * time.Minute })
}

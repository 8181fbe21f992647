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

// logRecorder is a writer that keeps the text of a log in memory.
type logRecorder struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logRecorder) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// hasLine reports whether a line of the log contains all parts.
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

// withSettledFleet starts a fleet of n gateways on the virtual clock, waits until it has settled, and
// runs a test with it. Each option may change the settings before the start.
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
			t.Fatalf("the fleet did not settle within %v of its start", took)
		}
		test(t, v, log)
	})
}

// logViews logs a summary of each running gateway's view, with the members that do not agree with it.
func logViews(t *testing.T, v *VirtualFleet) {
	t.Helper()
	for _, name := range v.Running() {
		r, err := v.Fleet(name).Report(true, "")
		if err != nil {
			t.Errorf("report of %s: %v", name, err)
			continue
		}
		disagreeing := ""
		for _, m := range r.Members {
			if !m.Agrees {
				disagreeing += " " + m.Name + "=" + m.State.String()
			}
		}
		t.Logf("%s: %d live members, digest %s, %s, changed %d ms ago, counts %+v, disagreeing members:%s", name, r.Live, r.Digest, r.State, r.ChangedAgoMS, r.Counts, disagreeing)
	}
}

// waitSettled waits until all gateways have settled. A timeout is a test error. change names the
// preceding change in the test's log.
func waitSettled(t *testing.T, v *VirtualFleet, change string, timeout time.Duration) {
	t.Helper()
	if took, ok := v.WaitForAgreement(true, timeout); !ok {
		t.Errorf("%s: the fleet did not settle within %v", change, timeout)
		logViews(t, v)
	} else {
		t.Logf("%s: the fleet settled within %v", change, took)
	}
}

// memberRow returns the row for the member name in the observer's membership report.
func memberRow(t *testing.T, v *VirtualFleet, observer, name string) membership.MemberReport {
	t.Helper()
	r, err := v.Fleet(observer).Report(true, name)
	if err != nil {
		t.Fatal(err)
	}
	return r.Members[0]
}

// TestCrashIsSuspectedThenKnownToAll guards against a crash that the fleet does not detect. A failed probe must make
// a gateway suspect the member, and all gateways must then mark it dead. The prober must be named in the evidence.
func TestCrashIsSuspectedThenKnownToAll(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Kill("n5")
		waitSettled(t, v, "crash", 45*time.Second)
		// The detector reports a failed probe only in its log. This check fails if a new version of the
		// detector changes that text.
		if !log.hasLine("event=fleet_member", "name=n5", "state=suspect", "was=alive", "why=probe_failed") {
			t.Error("no gateway logged that it suspects n5 after a failed probe")
		}
		if v.FalseDeaths > 0 {
			t.Errorf("%d false deaths", v.FalseDeaths)
		}
		evidence := memberRow(t, v, "n1", "n5").Evidence
		if !slices.ContainsFunc(evidence, func(e membership.Evidence) bool { return e.What == "probe failed" && e.By != "" }) {
			t.Errorf("the evidence does not name the prober: %+v", evidence)
		}
	})
}

// TestMemberThatLeavesIsNotDead guards against a member that leaves and is marked dead, or still
// counts in the size of the fleet.
func TestMemberThatLeavesIsNotDead(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Stop("n5")
		waitSettled(t, v, "leave", 10*time.Second)
		for _, name := range v.Running() {
			if got := memberRow(t, v, name, "n5").State; got != view.Left {
				t.Errorf("%s reports n5 as %v, want left", name, got)
			}
		}
		if s := v.Fleet("n1").State(); s.FleetSize != 11 {
			t.Errorf("n1 reports a fleet size of %d after n5 left, want 11", s.FleetSize)
		}
	})
}

// TestSplitIsKnownOnBothSidesAndHeals guards against a split that one side does not detect, and
// against sides that do not merge after it. The smaller side must report a minority, the larger side
// must not, and all gateways must settle after the links are healed.
func TestSplitIsKnownOnBothSidesAndHeals(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		small, large := v.names[:5], v.names[5:]
		v.Links.Split([][]string{small, large})
		// This is twice the time after which a crash is known. By then the smaller side must report a minority.
		time.Sleep(15 * time.Second)
		for _, name := range small {
			if !v.Fleet(name).State().InMinority {
				t.Errorf("%s does not report a minority 15 s after the split: %+v", name, v.Fleet(name).State())
			}
		}
		waitSettled(t, v, "split", 45*time.Second)
		for _, name := range large {
			if s := v.Fleet(name).State(); s.InMinority || s.Alive != 7 || s.FleetSize != 12 {
				t.Errorf("%s of the larger side reports %+v, want no minority, 7 alive and a fleet size of 12", name, s)
			}
		}
		time.Sleep(60 * time.Second) // longer than the detector gossips to dead members
		v.Links.Heal()
		waitSettled(t, v, "heal", 20*time.Second)
	})
}

// TestSidesThatForgotEachOtherRejoinBySeeds guards against a split that stays after the links are
// healed. During a long split, the sides remove each other's members from their views. They must find
// each other again by their seed addresses.
func TestSidesThatForgotEachOtherRejoinBySeeds(t *testing.T) {
	withSettledFleet(t, 6, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Split([][]string{v.names[:3], v.names[3:]})
		time.Sleep(2 * time.Minute)
		if r, err := v.Fleet("n5").Report(true, "n1"); err == nil {
			t.Errorf("n5 still reports n1 after a split longer than ReapAfter: %+v", r.Members)
		}
		v.Links.Heal()
		waitSettled(t, v, "heal", 90*time.Second)
	}, func(s *membership.Settings) { s.ReapAfter = 30 * time.Second })
}

// TestOneDirectionCutMarksNobodyDead guards against a false death if a link is cut in one direction.
// The other gateways can still reach both ends of the link, so neither end may be marked dead.
func TestOneDirectionCutMarksNobodyDead(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Set([]string{"n4"}, []string{"n7"}, LinkFault{Cut: true})
		time.Sleep(60 * time.Second)
		if agree, _ := v.Agreement(); !agree || log.hasLine("state=dead") {
			t.Error("views do not agree or a gateway was marked dead, though only one direction of one link is cut")
		}
	})
}

// TestLossOfOneInFiveMarksNobodyDead guards against false deaths if one datagram in five is lost.
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

// TestRestartUnderSameNameReachesAllViews guards against a restart that other gateways do not notice.
// The member restarts before it is suspected, so no gateway marks it dead. All views must still report
// the new incarnation as a restart.
func TestRestartUnderSameNameReachesAllViews(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		before := memberRow(t, v, "n1", "n5").Incarnation
		v.Kill("n5")
		if err := v.Start("n5"); err != nil { // before it is suspected; it starts at incarnation 1 and has no stored members
			t.Fatal(err)
		}
		waitSettled(t, v, "restart", 15*time.Second)
		for _, name := range v.Running() {
			if m := memberRow(t, v, name, "n5"); m.Incarnation == before || m.Deaths > 0 || name != "n5" && m.Restarts != 1 {
				t.Errorf("%s reports %+v, want a new incarnation, no deaths and, except at n5 itself, 1 restart", name, m)
			}
		}
	})
}

// TestJoinStormSettles guards against a fleet that does not settle after many gateways join at once.
// The fleet grows to three times its size.
func TestJoinStormSettles(t *testing.T) {
	withSettledFleet(t, 12, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		for i := range 24 {
			v.Add(fmt.Sprintf("m%d", i), "")
			v.names = append(v.names, fmt.Sprintf("m%d", i))
		}
		if err := v.Start(v.names[12:]...); err != nil {
			t.Fatal(err)
		}
		waitSettled(t, v, "join storm", 20*time.Second)
	})
}

// TestNameConflictLaterMemberWithdrawsAndReturns guards against two members that both use one name. The later
// member must withdraw, and must join the fleet once the earlier member has ended and the name is free.
func TestNameConflictLaterMemberWithdrawsAndReturns(t *testing.T) {
	withSettledFleet(t, 5, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Add("twin", "n3")
		time.Sleep(time.Second)
		if err := v.Start("twin"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if r, _ := v.Fleet("twin").Report(false, ""); r.State != "yielded" || r.Counts.NameDeferrals != 1 {
			t.Errorf("the later member did not withdraw: state %s, counts %+v", r.State, r.Counts)
		}
		if !log.hasLine("level=ERROR", "event=fleet_name_deferred", "name=n3") || !log.hasLine("event=fleet_name_conflict") {
			t.Error("the name conflict or the withdrawal is not logged")
		}
		for _, name := range v.names {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["n3"].addr || !m.State.IsLive() {
				t.Errorf("%s does not report the earlier member as live: %+v", name, m)
			}
		}
		v.Kill("n3") // frees the name
		time.Sleep(90 * time.Second)
		for _, name := range []string{"n1", "n2", "n4", "n5"} {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["twin"].addr || !m.State.IsLive() {
				t.Errorf("%s does not report the later member as live after the name became free: %+v", name, m)
			}
		}
	})
}

// TestNameConflictEarlierMemberReclaimsName guards against a member that loses its name to a
// replacement. The member is only cut off from the fleet while the replacement starts under its name.
// Once the links are healed, the replacement must withdraw.
func TestNameConflictEarlierMemberReclaimsName(t *testing.T) {
	withSettledFleet(t, 5, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Links.Split([][]string{{"n3"}, {"n1", "n2", "n4", "n5", "twin"}})
		time.Sleep(60 * time.Second)
		v.Add("twin", "n3") // a replacement for n3, which is only cut off
		if err := v.Start("twin"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if m := memberRow(t, v, "n1", "n3"); m.Addr != v.byName["twin"].addr {
			t.Fatalf("n1 does not accept the replacement while n3 is cut off: %+v", m)
		}
		v.Links.Heal()
		time.Sleep(40 * time.Second)
		for _, name := range v.names {
			if m := memberRow(t, v, name, "n3"); m.Addr != v.byName["n3"].addr || !m.State.IsLive() {
				t.Errorf("%s does not report the original n3 as live: %+v", name, m)
			}
		}
		if r, _ := v.Fleet("twin").Report(false, ""); r.State != "yielded" {
			t.Errorf("the replacement is in state %s, want yielded", r.State)
		}
	})
}

// TestOtherProtocolVersionIsRefusedAndLogged guards against a fleet that accepts a member of another
// protocol version, or rejects it without a log line.
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
			t.Error("the member of another protocol version was accepted, or rejected without a log line")
		}
	})
}

// TestFleetOfAnotherLabelIsIgnored guards against two fleets with different labels that merge. A
// gateway with another label has the fleet's seed addresses. Neither may appear in the other's view.
func TestFleetOfAnotherLabelIsIgnored(t *testing.T) {
	withSettledFleet(t, 3, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.base.Label = "other"
		v.Add("stray", "")
		if err := v.Start("stray"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if s := v.Fleet("stray").State(); s.Live != 1 {
			t.Errorf("the gateway with another label reports %d live members, want only itself", s.Live)
		}
		if agree, _ := v.Agreement(); !agree {
			t.Error("the views of the fleet changed after a gateway with another label contacted it")
		}
	}, func(s *membership.Settings) { s.Label = "one" })
}

// TestFleetIsFoundFromDiskWithoutSeeds guards against a gateway that cannot rejoin the fleet after a
// restart without seeds. It must find the fleet by the members that it stored on disk.
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
		waitSettled(t, v, "start with a member store", 10*time.Second)
		time.Sleep(5 * time.Second) // the gateway stores its members at most every 2 s
		v.Kill("n5")
		time.Sleep(time.Second)
		v.seeds = 0
		<-v.byName["n5"].ended
		if err := v.Start("n5"); err != nil {
			t.Fatal(err)
		}
		if s := v.Fleet("n5").State(); !s.InMinority || s.FleetSize != 5 {
			t.Errorf("n5 does not count its stored members right after the start: %+v", s)
		}
		waitSettled(t, v, "restart from the member store without seeds", 15*time.Second)
	})
}

// TestFullViewRefusesMembersAndLogsIt guards against views that exceed MaxMembers, and against a
// member that is rejected without a log line.
func TestFullViewRefusesMembersAndLogsIt(t *testing.T) {
	withSettledFleet(t, 4, func(t *testing.T, v *VirtualFleet, log *logRecorder) {
		v.Add("m1", "")
		if err := v.Start("m1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if agree, _ := v.Agreement(); !agree || !log.hasLine("event=fleet_member_refused", "name=m1", "why=full") {
			t.Error("a fifth member was accepted with MaxMembers 4, or rejected without a log line")
		}
	}, func(s *membership.Settings) { s.MaxMembers = 4 })
}

var longRunHours = flag.Int("fleet.hours", 2, "virtual hours of the long run; 24 take about 80 s")

// TestLongRunStaysWithinBounds guards against state of a gateway that grows without bound. A gateway restarts every ten
// minutes, and the fleet is split every hour. The state of each gateway must stay within the bounds for a fleet of six.
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
				t.Fatalf("hour %d: the fleet did not settle within 2 minutes of the heal", hour)
			}
		}
		for _, name := range v.names {
			if usage := v.Fleet(name).Usage(); usage.Members > 6 || usage.PendingLogLines > 64 || usage.Contacted > 8 || usage.LoggedConflicts > 8 {
				t.Errorf("%s holds %+v, want at most 6 members, 64 pending log lines, 8 contacted addresses and 8 logged conflicts", name, usage)
			}
		}
	}, func(s *membership.Settings) { s.ReapAfter = 5 * time.Minute })
}

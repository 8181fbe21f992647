package gossip

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/fleet/view"
	"foldslip/internal/lab/cost"
)

var costs = cost.NewProbes("./fleet/post")

// viewOnlyFleet is a fleet of which only the view is there: what is sent goes nowhere.
type viewOnlyFleet struct{ *view.View }

func (l viewOnlyFleet) Send(string, []byte) error { return nil }

// State is as fleet/membership makes it.
func (l viewOnlyFleet) State() membership.State {
	seen, fleet := l.Size()
	return membership.State{Live: l.LiveCount(), Alive: seen, FleetSize: fleet, Rank: l.Rank(), InMinority: l.InMinority(), Settled: l.Settled(), Digest: l.Digest(), Version: l.Version()}
}

func gateway(i int) view.ID {
	return view.ID{Name: fmt.Sprintf("r%02d-z%02d-s%03d-g%02d", i/325, i/156, i/13, i%13), Addr: fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255), Incarnation: uint64(i) + 1}
}

// One turn at rest, four a second: who is there, their keys, hellos of purges; no limit is shared, nothing is asked for or answered.
func TestCostStep(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "post-step", Title: "fleet/post: processor time of a turn at rest, no limit shared", XLabel: "gateways", YLabel: "us of a core", Budget: 500,
		BudgetOf: "a turn, 0.2% of a core at 4/s", PlanSize: 3900}, []int{12, 50, 200, 500, 1000, 2000, 3900}, func(n int) float64 {
		v := view.New(gateway(0), view.Settings{MaxMembers: 4096, ReapAfter: 3_600_000_000, SettleAfter: 1_000_000, EvidenceMaxAge: 30_000_000}, 1)
		for i := 1; i < n; i++ {
			v.Join(gateway(i), gateway(i).Name, 1)
		}
		p := New(v.Self(), nil, func([]purgesync.Purge) {}, slog.New(slog.NewTextHandler(io.Discard, nil)), 1)
		p.SetFleet(viewOnlyFleet{v})
		us := costs.MicrosPerCall(func(int) { p.step() })
		if len(p.peerNames) != n-1 {
			t.Errorf("%d peers of %d", len(p.peerNames), n-1)
		}
		return us
	})
}

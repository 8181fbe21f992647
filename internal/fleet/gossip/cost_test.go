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

var costs = cost.NewProbes("./internal/fleet/gossip")

// viewOnlyFleet is a Fleet with a view but without a network. Send drops all messages.
type viewOnlyFleet struct{ *view.View }

func (f viewOnlyFleet) Send(string, []byte) error { return nil }

// State returns the state that package membership derives from a view.
func (f viewOnlyFleet) State() membership.State {
	alive, size := f.Size()
	return membership.State{Live: f.LiveCount(), Alive: alive, FleetSize: size, Rank: f.Rank(), InMinority: f.InMinority(), Settled: f.Settled(),
		Digest: f.Digest(), Version: f.Version()}
}

// gatewayID returns the ID of the i-th gateway of a fleet with thirteen gateways a site and twelve sites a zone.
func gatewayID(i int) view.ID {
	return view.ID{Name: fmt.Sprintf("r%02d-z%02d-s%03d-g%02d", i/325, i/156, i/13, i%13),
		Addr: fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255), Incarnation: uint64(i) + 1}
}

// Measures the processor time of an idle step. A gateway makes four steps per second. An idle step reads the live
// members, computes the keys of their names and returns the purge digests that are due. No limit is shared, so nothing
// is requested or answered.
func TestCostStep(t *testing.T) {
	costs.Measure(t, cost.Figure{Name: "post-step", Title: "fleet/post: processor time of a turn at rest, no limit shared", XLabel: "gateways", YLabel: "us of a core", Budget: 500,
		BudgetOf: "a turn, 0.2% of a core at 4/s", PlanSize: 3900}, []int{12, 50, 200, 500, 1000, 2000, 3900}, func(n int) float64 {
		v := view.New(gatewayID(0), view.Settings{MaxMembers: 4096, ReapAfter: 3_600_000_000, SettleAfter: 1_000_000, EvidenceMaxAge: 30_000_000}, 1)
		for i := 1; i < n; i++ {
			v.Join(gatewayID(i), gatewayID(i).Name, 1)
		}
		g := New(v.Self(), nil, func([]purgesync.Purge) {}, slog.New(slog.NewTextHandler(io.Discard, nil)), 1)
		g.SetFleet(viewOnlyFleet{v})
		micros := costs.MicrosPerCall(func(int) { g.step() })
		if len(g.peerNames) != n-1 {
			t.Errorf("%d peers known, want %d", len(g.peerNames), n-1)
		}
		return micros
	})
}

package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/fleet/membership"
)

// fleet are questions to a gateway about the fleet it sees, and the rig that proves it.
type fleet struct {
	View      fleetView      `cmd:"" help:"How much of the fleet a gateway sees, and whether the fleet agrees."`
	Members   fleetMembers   `cmd:"" help:"The gateways that a gateway knows, with how sure it is of each."`
	Explain   fleetExplain   `cmd:"" help:"Who said what of one gateway, and when."`
	Limits    fleetLimits    `cmd:"" help:"The limits of the whole fleet: this gateway's part, what it lent and borrowed, and by how much the fleet can be over now."`
	Broadcast fleetBroadcast `cmd:"" help:"How purges spread among gateways, as one of them sees it: its place in the tree, what it carried, and what it lacks."`
	Run       fleetRun       `cmd:"" passthrough:"" help:"Start a fleet of real gateways on loopback, put faults between them and report (runs foldslip-rig, which stands beside this program)."`
}

type fleetSocket struct {
	Socket string        `env:"FOLDSLIP_FLEET" default:"/run/foldslip/fleet" help:"The gateway's socket, fleet.socket of its settings."`
	JSON   bool          `help:"Print JSON."`
	Wait   time.Duration `name:"wait" default:"10s" help:"For the answer."`
}

func (f fleetSocket) fleetReport(name string) (*membership.Report, error) {
	a, err := adminSocket(f).call(admin.Request{Command: "fleet", Name: name})
	if err != nil {
		return nil, err
	}
	if a.Fleet == nil {
		return nil, fmt.Errorf("%s: the gateway told nothing of its fleet; is it of this version?", f.Socket)
	}
	return a.Fleet, nil
}

func formatDuration(n int64) string {
	return (time.Duration(n) * time.Millisecond).Round(100 * time.Millisecond).String()
}

type fleetView struct{ fleetSocket }

func (f *fleetView) Run(to *streams) error {
	r, err := f.fleetReport("")
	if err != nil {
		return err
	}
	if f.JSON {
		r.Members = nil
		return json.NewEncoder(to.out).Encode(r)
	}
	side := "a majority"
	if r.InMinority {
		side = "a MINORITY"
	}
	fmt.Fprintf(to.out, "%s at %s: %s, sees %d of %d (%s), %d live, %d agree, version %d, set %s unchanged for %s\n", r.Name, r.Addr, r.State,
		r.Alive, r.FleetSize, side, r.Live, r.Agreeing, r.Version, r.Digest, formatDuration(r.ChangedAgoMS))
	c := r.Counts
	fmt.Fprintf(to.out, "joined %d, died %d (%d wrongly), left %d, restarted %d, suspected %d (%d cleared), refused %d, stood still %d, names claimed %d\n",
		c.Joins, c.Deaths, c.FalseDeaths, c.Leaves, c.Restarts, c.Suspicions, c.ClearedSuspicions, c.Refused, c.Pauses, c.NameConflicts)
	up := max(float64(r.UpMS)/1000, 1)
	fmt.Fprintf(to.out, "datagrams %.1f in, %.1f out a second, %.0f and %.0f bytes; %d streams of %d bytes, %d dropped\n", float64(r.PacketsIn)/up,
		float64(r.PacketsOut)/up, float64(r.BytesIn)/up, float64(r.BytesOut)/up, r.Streams, r.StreamBytes, r.Dropped)
	fmt.Fprintf(to.out, "probe p50 %dus p99 %dus max %dus (%d); settling p50 %dms max %dms (%d)\n", r.RTT.P50, r.RTT.P99, r.RTT.Max, r.RTT.N,
		r.SettleTimes.P50, r.SettleTimes.Max, r.SettleTimes.N)
	return nil
}

type fleetMembers struct{ fleetSocket }

func (f *fleetMembers) Run(to *streams) error {
	r, err := f.fleetReport("")
	if err != nil {
		return err
	}
	return printMembers(to, r, f.JSON)
}

func printMembers(to *streams, r *membership.Report, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(to.out).Encode(r.Members)
	}
	w := tabwriter.NewWriter(to.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tADDRESS\tSTATE\tFOR\tHEARD\tBY\tAGREES\tRESTARTS\tDEATHS\tWRONG")
	for _, m := range r.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s ago\t%s\t%v\t%d\t%d\t%d\n", m.Name, m.Addr, m.State, formatDuration(m.SinceMS), formatDuration(m.LastSeenAgoMS), m.LastSeenBy, m.Agrees,
			m.Restarts, m.Deaths, m.FalseDeaths)
	}
	return w.Flush()
}

type fleetExplain struct {
	Name string `arg:"" help:"The gateway to explain."`
	fleetSocket
}

func (f *fleetExplain) Run(to *streams) error {
	r, err := f.fleetReport(f.Name)
	if err != nil {
		return err
	}
	if err := printMembers(to, r, f.JSON); err != nil || f.JSON {
		return err
	}
	for _, m := range r.Members {
		for _, s := range m.Evidence {
			fmt.Fprintf(to.out, "  %s ago, %s: %s\n", formatDuration(s.AgoMS), s.By, s.What)
		}
	}
	return nil
}

type fleetLimits struct{ fleetSocket }

func (f *fleetLimits) Run(to *streams) error {
	a, err := adminSocket{f.Socket, f.JSON, f.Wait}.call(admin.Request{Command: "limits"})
	if err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(a.Limits)
	}
	w := tabwriter.NewWriter(to.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LIMIT\tOF ALL\tPART\tLENT\tBORROWED\tMAY\tWANTED\tUSED\tFLEET USES\tAS OF\tGATEWAYS\tUNSEEN\tOVER AT MOST\tSTATE")
	for _, r := range a.Limits {
		fmt.Fprintf(w, "%s\t%.6g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s ago\t%d\t%d\t%.1f%%\t%s\n", r.Name, r.Total, r.Quota, r.Lent, r.Borrowed,
			r.Lease, r.Demand, r.Used, r.FleetUsed, formatDuration(r.FleetUsedAgeMS), r.FleetSize, r.Unreachable, 100*r.MaxExcess, r.State)
	}
	return w.Flush()
}

type fleetBroadcast struct {
	After uint64 `name:"after" help:"Leave out the heeded purges numbered up to this one (with --json)."`
	fleetSocket
}

func (f *fleetBroadcast) Run(to *streams) error {
	a, err := adminSocket{f.Socket, f.JSON, f.Wait}.call(admin.Request{Command: "broadcast", Version: f.After})
	if err != nil {
		return err
	}
	r := a.Broadcast
	if r == nil {
		return fmt.Errorf("%s: the gateway told nothing of its broadcast; is it of this version?", f.Socket)
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(r)
	}
	parent := "under " + r.Node.Parent
	if r.Node.Parent == "" {
		parent = "the root"
	}
	fmt.Fprintf(to.out, "%s in region %q, zone %q, site %q: %s, %d of %d live below it: %s\n", r.Name, r.Locality.Region, r.Locality.Zone, r.Locality.Site, parent,
		len(r.Node.Children), r.Live, strings.Join(r.Node.Children, ", "))
	if b := r.Node.Behind; r.Mode == "behind" {
		fmt.Fprintf(to.out, "BEHIND: %d batches and %d seconds of purges are known to be missing\n", b.MissingBatches, b.DifferingSeconds)
	} else {
		fmt.Fprintln(to.out, "whole: nothing is known to be missing for longer than 2 s")
	}
	c, up := r.Counts, max(float64(r.UptimeMS)/1000, 1)
	fmt.Fprintf(to.out, "datagrams %.1f in, %.1f out a second, %.0f and %.0f bytes; %d not sent, %d dropped as too many waited, %d of unknown senders, %d unreadable\n",
		float64(c.Received)/up, float64(c.Sent)/up, float64(c.BytesIn)/up, float64(c.BytesOut)/up, c.SendFailures, c.Dropped, c.UnknownSenders, c.Unreadable)
	fmt.Fprintf(to.out, "purges that counted here %d, of them told by peers first %d; own ones without room %d; gaps told %d\n", r.Applied, c.LearnedFromPeers, c.OwnPurgesDropped, c.BehindPeriods)
	return nil
}

// fleetRun is a command of foldslip-rig, whose libraries (plots) a gateway does without.
type fleetRun struct {
	Args []string `arg:"" optional:""`
}

func (f *fleetRun) Run() error {
	args := f.Args
	if len(args) > 0 && strings.HasPrefix(args[0], "--help") {
		args = args[:1]
	}
	return execSibling("foldslip-rig", args...)
}

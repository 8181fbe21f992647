package cli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/fleet/membership"
)

// fleet are requests to a gateway about the fleet that it sees, and the rig that tests fleets.
type fleet struct {
	View      fleetView      `cmd:"" help:"How much of the fleet a gateway sees, and whether the fleet agrees."`
	Members   fleetMembers   `cmd:"" help:"The gateways that a gateway knows, with how sure it is of each."`
	Explain   fleetExplain   `cmd:"" help:"Who said what of one gateway, and when."`
	Limits    fleetLimits    `cmd:"" help:"The limits of the whole fleet: this gateway's part, what it lent and borrowed, and by how much the fleet can be over now."`
	Broadcast fleetBroadcast `cmd:"" help:"How purges spread among gateways, as one of them sees it: its place in the tree, what it carried, and what it lacks."`
	Run       fleetRun       `cmd:"" passthrough:"" help:"Start a fleet of real gateways on loopback, put faults between them and report (runs foldslip-rig, which stands beside this program)."`
}

// fleetSocket is a gateway's socket for requests about the fleet.
type fleetSocket struct {
	Socket string        `env:"FOLDSLIP_FLEET" default:"/run/foldslip/fleet" help:"The gateway's socket, fleet.socket of its settings."`
	JSON   bool          `help:"Print JSON."`
	Wait   time.Duration `name:"wait" default:"10s" help:"For the answer."`
}

// call sends a request and returns the response.
func (s fleetSocket) call(request admin.Request) (admin.Response, error) {
	return adminSocket(s).call(request)
}

// fleetReport requests a gateway's view of the fleet, or of one member if name is not empty.
func (s fleetSocket) fleetReport(name string) (*membership.Report, error) {
	response, err := s.call(admin.Request{Command: "fleet", Name: name})
	if err != nil {
		return nil, err
	}
	if response.Fleet == nil {
		return nil, program.Failedf("%s: the gateway told nothing of its fleet; is it of this version?", s.Socket)
	}
	return response.Fleet, nil
}

// formatMilliseconds formats an elapsed time in milliseconds, rounded to tenths of a second.
func formatMilliseconds(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// upSeconds returns the time since a start, at least one second: rates are computed by dividing by it.
func upSeconds(milliseconds int64) float64 { return max(float64(milliseconds)/1000, 1) }

type fleetView struct{ fleetSocket }

// Run prints a summary of a gateway's view of the fleet.
func (c *fleetView) Run(streams *program.Streams) error {
	report, err := c.fleetReport("")
	if err != nil {
		return err
	}
	if c.JSON {
		report.Members = nil
		return printJSON(streams, report)
	}
	side := "a majority"
	if report.InMinority {
		side = "a MINORITY"
	}
	out := streams.Out
	fmt.Fprintf(out, "%s at %s: %s, sees %d of %d (%s), %d live, %d agree, version %d, set %s unchanged for %s\n", report.Name, report.Addr, report.State,
		report.Alive, report.FleetSize, side, report.Live, report.Agreeing, report.Version, report.Digest, formatMilliseconds(report.ChangedAgoMS))
	counts := report.Counts
	fmt.Fprintf(out, "joined %d, died %d (%d wrongly), left %d, restarted %d, suspected %d (%d cleared), refused %d, stood still %d, names claimed %d\n",
		counts.Joins, counts.Deaths, counts.FalseDeaths, counts.Leaves, counts.Restarts, counts.Suspicions, counts.ClearedSuspicions, counts.Refused,
		counts.Pauses, counts.NameConflicts)
	seconds := upSeconds(report.UpMS)
	fmt.Fprintf(out, "datagrams %.1f in, %.1f out a second, %.0f and %.0f bytes; %d streams of %d bytes, %d dropped\n", float64(report.PacketsIn)/seconds,
		float64(report.PacketsOut)/seconds, float64(report.BytesIn)/seconds, float64(report.BytesOut)/seconds, report.Streams, report.StreamBytes,
		report.Dropped)
	roundTrips, settling := report.RTT, report.SettleTimes
	fmt.Fprintf(out, "probe p50 %dus p99 %dus max %dus (%d); settling p50 %dms max %dms (%d)\n", roundTrips.P50, roundTrips.P99, roundTrips.Max, roundTrips.N,
		settling.P50, settling.Max, settling.N)
	return nil
}

type fleetMembers struct{ fleetSocket }

// Run prints the members that a gateway knows.
func (c *fleetMembers) Run(streams *program.Streams) error {
	report, err := c.fleetReport("")
	if err != nil {
		return err
	}
	return c.printMembers(streams, report)
}

func (s fleetSocket) printMembers(streams *program.Streams, report *membership.Report) error {
	if s.JSON {
		return printJSON(streams, report.Members)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tADDRESS\tSTATE\tFOR\tHEARD\tBY\tAGREES\tRESTARTS\tDEATHS\tWRONG")
	for _, member := range report.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s ago\t%s\t%v\t%d\t%d\t%d\n", member.Name, member.Addr, member.State, formatMilliseconds(member.SinceMS),
			formatMilliseconds(member.LastSeenAgoMS), member.LastSeenBy, member.Agrees, member.Restarts, member.Deaths, member.FalseDeaths)
	}
	return table.Flush()
}

type fleetExplain struct {
	Name string `arg:"" help:"The gateway to explain."`
	fleetSocket
}

// Run prints one member with the heartbeat evidence about it.
func (c *fleetExplain) Run(streams *program.Streams) error {
	report, err := c.fleetReport(c.Name)
	if err != nil {
		return err
	}
	if err := c.printMembers(streams, report); err != nil || c.JSON {
		return err
	}
	for _, member := range report.Members {
		for _, evidence := range member.Evidence {
			fmt.Fprintf(streams.Out, "  %s ago, %s: %s\n", formatMilliseconds(evidence.AgoMS), evidence.By, evidence.What)
		}
	}
	return nil
}

// fleetRun is a command of foldslip-rig, whose plot libraries a gateway does without.
type fleetRun struct {
	Args []string `arg:"" optional:""`
}

// Run replaces the process by foldslip-rig.
func (c *fleetRun) Run() error {
	args := c.Args
	if len(args) > 0 && strings.HasPrefix(args[0], "--help") {
		args = args[:1]
	}
	return execSibling("foldslip-rig", args...)
}

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

// fleet has the commands that query a gateway about its fleet, and the command that runs the test rig for fleets.
type fleet struct {
	View      fleetView      `cmd:"" help:"Print how many members of the fleet a gateway sees, and how many of them agree with it."`
	Members   fleetMembers   `cmd:"" help:"List the members that a gateway knows, with their states and when they were last heard from."`
	Explain   fleetExplain   `cmd:"" help:"Print one member with the evidence about it: what was reported, by whom and when."`
	Limits    fleetLimits    `cmd:"" help:"Print the limits of the whole fleet: the gateway's quota, what it lent and borrowed, and by how much the fleet can exceed each limit now."`
	Broadcast fleetBroadcast `cmd:"" help:"Print how a gateway takes part in the broadcast of purges: its place in the tree, the messages it carried, and whether it is missing purges."`
	Run       fleetRun       `cmd:"" passthrough:"" help:"Start a fleet of real gateways on loopback, inject faults between them and report (runs foldslip-rig, which must be in the same directory)."`
}

// fleetSocket has the flags of commands that query a gateway about its fleet. Its fields are
// those of adminSocket, with other defaults.
type fleetSocket struct {
	Socket string        `env:"FOLDSLIP_FLEET" default:"/run/foldslip/fleet" help:"The gateway's admin socket, fleet.socket in its settings."`
	JSON   bool          `help:"Print JSON."`
	Wait   time.Duration `name:"wait" default:"10s" help:"Time limit for connecting to the socket."`
}

// call sends a request and returns the response, as adminSocket.call does.
func (s fleetSocket) call(request admin.Request) (admin.Response, error) {
	return adminSocket(s).call(request)
}

// fleetReport requests a gateway's view of its fleet. If name is not empty, the
// report has only the member of that name.
func (s fleetSocket) fleetReport(name string) (*membership.Report, error) {
	response, err := s.call(admin.Request{Command: "fleet", Name: name})
	if err != nil {
		return nil, err
	}
	if response.Fleet == nil {
		return nil, program.Failedf("%s: the response has no report of the fleet; check that the gateway runs this version of foldslip", s.Socket)
	}
	return response.Fleet, nil
}

// formatMilliseconds formats a duration in milliseconds, rounded to tenths of a second.
func formatMilliseconds(milliseconds int64) string {
	return (time.Duration(milliseconds) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// upSeconds returns an uptime in seconds, at least 1, since rates are computed by dividing by it.
func upSeconds(milliseconds int64) float64 { return max(float64(milliseconds)/1000, 1) }

type fleetView struct{ fleetSocket }

// Run prints a summary of a gateway's view of its fleet.
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

// Run prints a table of the members that a gateway knows.
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
	Name string `arg:"" help:"Name of the member."`
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

// fleetRun is a command of foldslip-rig. That is a separate program so that a gateway does not load the plot libraries.
type fleetRun struct {
	Args []string `arg:"" optional:""`
}

// Run replaces the process with foldslip-rig.
func (c *fleetRun) Run() error {
	args := c.Args
	if len(args) > 0 && strings.HasPrefix(args[0], "--help") {
		args = args[:1]
	}
	return execSibling("foldslip-rig", args...)
}

package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/fleet/broadcast/driver"
)

type fleetLimits struct{ fleetSocket }

// Run prints a table of the fleet's limits with a gateway's quotas and leases.
func (c *fleetLimits) Run(streams *program.Streams) error {
	response, err := c.call(admin.Request{Command: "limits"})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, response.Limits)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "LIMIT\tOF ALL\tPART\tLENT\tBORROWED\tMAY\tWANTED\tUSED\tFLEET USES\tAS OF\tGATEWAYS\tUNSEEN\tOVER AT MOST\tSTATE")
	for _, limit := range response.Limits {
		fmt.Fprintf(table, "%s\t%.6g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%.4g\t%s ago\t%d\t%d\t%.1f%%\t%s\n", limit.Name, limit.Total, limit.Quota,
			limit.Lent, limit.Borrowed, limit.Lease, limit.Demand, limit.Used, limit.FleetUsed, formatMilliseconds(limit.FleetUsedAgeMS), limit.FleetSize,
			limit.Unreachable, 100*limit.MaxExcess, limit.State)
	}
	return table.Flush()
}

type fleetBroadcast struct {
	After uint64 `name:"after" help:"With --json, list only the applied purges with numbers above this one."`
	fleetSocket
}

// Run prints a gateway's place in the broadcast tree, its counters, and whether it is missing purges.
func (c *fleetBroadcast) Run(streams *program.Streams) error {
	response, err := c.call(admin.Request{Command: "broadcast", Version: c.After})
	if err != nil {
		return err
	}
	report := response.Broadcast
	if report == nil {
		return program.Failedf("%s: the response has no report of the broadcast; check that the gateway runs this version of foldslip", c.Socket)
	}
	if c.JSON {
		return printJSON(streams, report)
	}
	printBroadcast(streams.Out, report)
	return nil
}

func printBroadcast(out io.Writer, report *driver.Report) {
	node := report.Node
	parent := "the root"
	if node.Parent != "" {
		parent = "under " + node.Parent
	}
	locality := report.Locality
	fmt.Fprintf(out, "%s in region %q, zone %q, site %q: %s, %d of %d live below it: %s\n", report.Name, locality.Region, locality.Zone, locality.Site, parent,
		len(node.Children), report.Live, strings.Join(node.Children, ", "))
	if report.Mode == "behind" {
		fmt.Fprintf(out, "BEHIND: %d batches and %d seconds of purges are known to be missing\n", node.Behind.MissingBatches, node.Behind.DifferingSeconds)
	} else {
		fmt.Fprintln(out, "whole: nothing is known to be missing for longer than 2 s")
	}
	counts, seconds := report.Counts, upSeconds(report.UptimeMS)
	fmt.Fprintf(out, "datagrams %.1f in, %.1f out a second, %.0f and %.0f bytes; %d not sent, %d dropped as too many waited, %d of unknown senders, %d unreadable\n",
		float64(counts.Received)/seconds, float64(counts.Sent)/seconds, float64(counts.BytesIn)/seconds, float64(counts.BytesOut)/seconds,
		counts.SendFailures, counts.Dropped, counts.UnknownSenders, counts.Unreadable)
	fmt.Fprintf(out, "purges that counted here %d, of them told by peers first %d; own ones without room %d; gaps told %d\n", report.Applied,
		counts.LearnedFromPeers, counts.OwnPurgesDropped, counts.BehindPeriods)
}

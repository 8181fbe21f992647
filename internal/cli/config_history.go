package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pmezard/go-difflib/difflib"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
)

// diffContextLines is the number of unchanged lines that a diff has around each difference.
const diffContextLines = 3

type configHistory struct{ adminSocket }

// Run lists the versions of the routes and those that are active.
func (c *configHistory) Run(streams *program.Streams) error {
	response, err := c.call(admin.Request{Command: "history"})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, response)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tof\tstage\tauthor\treason\t")
	for _, entry := range response.History {
		reason := entry.Reason
		if entry.RollbackReason != "" {
			reason += " (undone: " + entry.RollbackReason + ")"
		}
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t\n", entry.Version, entry.Parent, entry.Stage, entry.Author, reason)
	}
	table.Flush()
	active := response.Active
	if active.Next != 0 {
		fmt.Fprintf(streams.Out, "in force: %d, and %d for %.3g of the objects\n", active.Base, active.Next, active.Share)
	} else {
		fmt.Fprintf(streams.Out, "in force: %d\n", active.Base)
	}
	return nil
}

type configDiff struct {
	adminSocket
	From uint64 `arg:"" help:"Number of the old version."`
	To   uint64 `arg:"" help:"Number of the new version."`
}

// Run prints the differences between two versions as a unified diff.
func (c *configDiff) Run(streams *program.Streams) error {
	from, err := c.versionLines(c.From)
	if err != nil {
		return err
	}
	to, err := c.versionLines(c.To)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: from, FromFile: fmt.Sprint("version ", c.From),
		B: to, ToFile: fmt.Sprint("version ", c.To),
		Context: diffContextLines,
	})
	if err != nil {
		return err
	}
	if strings.TrimSpace(text) == "" {
		text = "no difference\n"
	}
	_, err = fmt.Fprint(streams.Out, text)
	return err
}

// versionLines returns the routes of a version as lines of indented JSON.
func (c *configDiff) versionLines(version uint64) ([]string, error) {
	response, err := c.call(admin.Request{Command: "text", Version: version})
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, response.Text, "", "  "); err != nil {
		return nil, err
	}
	return difflib.SplitLines(text.String()), nil
}

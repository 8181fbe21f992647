package cli

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// logName is the name of the write-ahead log of the endpoint list in its directory.
const logName = "list"

type list struct {
	Show   listShow   `cmd:"" help:"Print the caches that a directory holds, with the confidence and the budget that each would have at a start now, and the number of purges."`
	Check  listCheck  `cmd:"" help:"Check whether a directory can be read, and print which parts of it are damaged. Changes nothing."`
	Export listExport `cmd:"" help:"Print the list as JSON that the command import reads."`
	Import listImport `cmd:"" help:"Add the caches that a file written by export lists as up. Entries from discovery take precedence, and a draining cache keeps draining."`
	Forget listForget `cmd:"" help:"Remove the list from a directory."`
}

type listFolder struct {
	Folder string `arg:"" help:"Directory that holds the list."`
}

// directory returns the directory. It fails if the directory does not exist.
func (f listFolder) directory() (env.OSDirectory, error) {
	info, err := os.Stat(f.Folder)
	if err != nil {
		return env.OSDirectory{}, program.UsageErrorf("%w: name the folder that holds the list", err)
	}
	if !info.IsDir() {
		return env.OSDirectory{}, program.UsageErrorf("%s is not a directory", f.Folder)
	}
	return env.OSDirectory{Path: f.Folder}, nil
}

// read reads the stored list. It does not take the directory's lock, so that the list of a running gateway can be read.
func (f listFolder) read() (*endpoints.State, wal.Contents, error) {
	directory, err := f.directory()
	if err != nil {
		return nil, wal.Contents{}, err
	}
	contents, err := wal.Read(directory, logName)
	if err != nil {
		return nil, contents, fmt.Errorf("%s: %w", f.Folder, err)
	}
	if contents.Generation == 0 {
		return endpoints.New(), contents, nil
	}
	state, err := endpoints.Restore(contents.Snapshot, contents.Changes)
	if err != nil {
		err = fmt.Errorf("%s: generation %d: %w", f.Folder, contents.Generation, err)
	}
	return state, contents, err
}

// lockedError returns wal.ErrLocked as a usage error with a remedy. It returns any other error unchanged.
func lockedError(err error) error {
	if errors.Is(err, wal.ErrLocked) {
		return program.UsageErrorf("%w: stop the gateway that uses the directory first", err)
	}
	return err
}

type listShow struct {
	listFolder
	JSON bool `help:"Print JSON."`
}

// Run prints the list with the confidence that a gateway that starts now would have in each cache.
func (c *listShow) Run(streams *program.Streams) error {
	state, _, err := c.read()
	if err != nil {
		return err
	}
	view := newListView(state, time.Now())
	if c.JSON {
		return printJSON(streams, view)
	}
	table := tabwriter.NewWriter(streams.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "cache\taddress\tlocality\tmachine\tphase\tstanding\tbudget")
	for _, cache := range view.Caches {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\n", cache.ID, cache.Addr, cache.Zone, cache.Machine, cache.Phase, cache.Confidence, cache.Budget)
	}
	table.Flush()
	fmt.Fprintf(streams.Out, "%d caches, %d left, %d purges; last event %d of %s, stood until %s\n", len(view.Caches), len(view.Tombstones), view.Purges,
		view.LastEvent, view.DiscoveryAddr, view.CurrentAsOf)
	return nil
}

type listCheck struct {
	listFolder
	JSON bool `help:"Print JSON."`
}

// Run reads the list and prints which parts of it are damaged. Without --json it fails if there is damage.
func (c *listCheck) Run(streams *program.Streams) error {
	state, contents, err := c.read()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, map[string]any{"generation": contents.Generation, "changes": len(contents.Changes),
			"lost_bytes": contents.LostBytes, "skipped": contents.Skipped, "caches": len(state.Endpoints)})
	}
	for _, skipped := range contents.Skipped {
		fmt.Fprintf(streams.Out, "not whole, passed over: %s\n", skipped)
	}
	fmt.Fprintf(streams.Out, "generation %d, %d changes since its snapshot, %d bytes behind the last whole one, %d caches\n", contents.Generation,
		len(contents.Changes), contents.LostBytes, len(state.Endpoints))
	if len(contents.Skipped) > 0 || contents.LostBytes > 0 {
		return program.Failedf("the list is damaged; a gateway starts from the newest complete state, which is printed above")
	}
	return nil
}

type listExport struct{ listFolder }

// Run prints the list as JSON that import reads. Confidences and budgets are left out,
// since they depend on the present time.
func (c *listExport) Run(streams *program.Streams) error {
	state, _, err := c.read()
	if err != nil {
		return err
	}
	view := newListView(state, time.Now())
	for i := range view.Caches {
		cache := &view.Caches[i]
		cache.Confidence = ""
		cache.Budget = 0
	}
	return printIndentedJSON(streams, view, " ")
}

type listForget struct{ listFolder }

// Run removes the stored list. It needs the directory's lock.
func (c *listForget) Run(streams *program.Streams) error {
	directory, err := c.directory()
	if err != nil {
		return err
	}
	removed, err := wal.RemoveAll(directory, logName)
	if err != nil {
		return lockedError(err)
	}
	fmt.Fprintf(streams.Out, "%d files removed\n", removed)
	return nil
}

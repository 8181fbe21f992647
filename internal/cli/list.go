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

// logName is the name of the endpoint list's write-ahead log in its directory.
const logName = "list"

type list struct {
	Show   listShow   `cmd:"" help:"Print the caches, drains and purges that a folder holds, with the standing each cache would have now."`
	Check  listCheck  `cmd:"" help:"Tell whether a folder can be read, and what of it was torn. Changes nothing."`
	Export listExport `cmd:"" help:"Print the list as JSON that import reads."`
	Import listImport `cmd:"" help:"Take caches from a file that export wrote. What a bulletin told counts more, and a drain stays one."`
	Forget listForget `cmd:"" help:"Remove the list from a folder."`
}

type listFolder struct {
	Folder string `arg:"" help:"Folder that holds the list."`
}

// directory returns the directory, which must exist.
func (f listFolder) directory() (env.OSDirectory, error) {
	info, err := os.Stat(f.Folder)
	if err != nil {
		return env.OSDirectory{}, program.UsageErrorf("%w: name the folder that holds the list", err)
	}
	if !info.IsDir() {
		return env.OSDirectory{}, program.UsageErrorf("%s is no folder", f.Folder)
	}
	return env.OSDirectory{Path: f.Folder}, nil
}

// read reads the stored list without the directory's lock, so that a running gateway's list can be read.
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

// lockedError adds the remedy to an error that may be wal.ErrLocked.
func lockedError(err error) error {
	if errors.Is(err, wal.ErrLocked) {
		return program.UsageErrorf("%w: stop the gateway that uses it first", err)
	}
	return err
}

type listShow struct {
	listFolder
	JSON bool `help:"Print JSON."`
}

// Run prints the list with the confidence that a start would have in each cache.
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

// Run reads the list and prints what of it is damaged. With --json damage does not make it fail.
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
		return program.Failedf("a part was torn; the newest whole state above is what a gateway starts from")
	}
	return nil
}

type listExport struct{ listFolder }

// Run prints the list in the form that import reads.
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

// Run removes the stored list.
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

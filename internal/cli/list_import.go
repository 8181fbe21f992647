package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

type listImport struct {
	listFolder
	File string `arg:"" help:"File written by export, or - for standard input."`
}

// Run adds those caches of an exported list that are up to the stored list. It needs the directory's lock.
func (c *listImport) Run(streams *program.Streams) error {
	view, err := c.readView()
	if err != nil {
		return err
	}
	update, err := c.parseUpdate(view)
	if err != nil {
		return err
	}
	directory, err := env.OpenOSDirectory(c.Folder)
	if err != nil {
		return program.UsageErrorf("%w", err)
	}
	log, contents, err := wal.Open(directory, logName)
	if err != nil {
		return lockedError(err)
	}
	defer log.Close()
	state, err := endpoints.Restore(contents.Snapshot, contents.Changes)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	before := len(state.Endpoints)
	state.Import(update)
	snapshot, err := state.Snapshot()
	if err != nil {
		return err
	}
	if err := log.WriteSnapshot(snapshot); err != nil {
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	fmt.Fprintf(streams.Out, "%d caches taken of %d, %d in all\n", len(state.Endpoints)-before, len(view.Caches), len(state.Endpoints))
	return nil
}

// readView reads an exported list from the file or from standard input.
func (c *listImport) readView() (view listView, err error) {
	in := io.Reader(os.Stdin)
	if c.File != "-" {
		file, err := os.Open(c.File)
		if err != nil {
			return view, program.UsageErrorf("%w", err)
		}
		defer file.Close()
		in = file
	}
	decoder := json.NewDecoder(io.LimitReader(in, wal.MaxEntrySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&view); err != nil {
		return view, program.UsageErrorf("%s: not a list in the form that export writes: %w", c.File, err)
	}
	return view, nil
}

// parseUpdate returns an update with the caches of an exported list that are up. It checks all caches of the list.
func (c *listImport) parseUpdate(view listView) (endpoints.Update, error) {
	update := endpoints.Update{At: time.Now().UnixMilli()}
	for i, cache := range view.Caches {
		_, err := netip.ParseAddrPort(cache.Addr)
		if err != nil || cache.ID == "" || cache.Zone == "" || cache.Machine == "" {
			return update, program.UsageErrorf("%s: caches[%d] %q: id, host_port (an address and a port), locality and flavor must be set", c.File, i, cache.ID)
		}
		if cache.Phase != "up" {
			continue
		}
		update.Endpoints = append(update.Endpoints, endpoints.Endpoint{
			ID:          cache.ID,
			Addr:        cache.Addr,
			Zone:        cache.Zone,
			MachineType: cache.Machine,
			Cell:        cache.Cell,
			Size:        cache.Size,
			StartedAt:   cache.UpSince,
			Source:      endpoints.Imported,
		})
	}
	return update, nil
}

package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/freshness"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// listName is the record's name in its folder.
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

// open is the folder, which must be there.
func (f listFolder) open() (env.OSDirectory, error) {
	if at, err := os.Stat(f.Folder); err != nil {
		return env.OSDirectory{}, usageErrorf("%v: name the folder that holds the list", err)
	} else if !at.IsDir() {
		return env.OSDirectory{}, usageErrorf("%s is no folder", f.Folder)
	}
	return env.OSDirectory{Path: f.Folder}, nil
}

// read reads what a folder holds, without its lock: the files of a running gateway can be looked at.
func (f listFolder) read() (*endpoints.State, wal.Contents, error) {
	disk, err := f.open()
	if err != nil {
		return nil, wal.Contents{}, err
	}
	kept, err := wal.Read(disk, logName)
	if err != nil {
		return nil, kept, fmt.Errorf("%s: %w", f.Folder, err)
	}
	if kept.Generation == 0 {
		return endpoints.New(), kept, nil
	}
	s, err := endpoints.Restore(kept.Snapshot, kept.Changes)
	if err != nil {
		err = fmt.Errorf("%s: generation %d: %w", f.Folder, kept.Generation, err)
	}
	return s, kept, err
}

// listView is a list for people and machines.
type listView struct {
	DiscoveryAddr string          `json:"bulletin,omitempty"`
	LastEvent     int64           `json:"last"`
	CurrentAsOf   string          `json:"stood,omitempty"` // until when its bulletin stood with it
	Caches        []endpointView  `json:"caches"`
	Tombstones    []tombstoneView `json:"left"`
	Purges        int             `json:"purges"`
}

type endpointView struct {
	ID         string  `json:"id"`
	Addr       string  `json:"host_port"`
	Zone       string  `json:"locality"`
	Machine    string  `json:"flavor"`
	Cell       int     `json:"cell"`
	Size       float64 `json:"size"`
	UpSince    int64   `json:"up_since_ms"`
	Phase      string  `json:"phase"`
	Imported   bool    `json:"imported,omitempty"`
	Ejected    bool    `json:"ill,omitempty"`
	Confidence string  `json:"standing,omitempty"`
	Budget     float64 `json:"budget,omitempty"`
}

type tombstoneView struct {
	ID      string `json:"id"`
	At      string `json:"at"`
	Removed bool   `json:"gone"`
}

func formatMillis(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newListView(s *endpoints.State, now time.Time) listView {
	v := listView{DiscoveryAddr: s.DiscoveryAddr, LastEvent: s.LastEvent, CurrentAsOf: formatMillis(s.CurrentAsOf), Caches: []endpointView{}, Tombstones: []tombstoneView{}, Purges: len(s.Purges)}
	all := freshness.History{CacheHours: s.CacheHours, Departures: s.Departures}
	for _, k := range s.Sorted() {
		standing, budget := freshness.Assess(all, freshness.Evidence{Age: now.Sub(time.UnixMilli(s.CurrentAsOf)), Imported: k.Source == endpoints.Imported,
			Ejected: k.EjectedAt > 0, Withdrawn: k.Phase != endpoints.Up || s.Tombstones[k.ID].ID != ""})
		v.Caches = append(v.Caches, endpointView{k.ID, k.Addr, k.Zone, k.MachineType, k.Cell, k.Size, k.StartedAt,
			[...]string{"up", "draining", "removed"}[k.Phase], k.Source == endpoints.Imported, k.EjectedAt > 0, standing.String(), budget})
	}
	for _, t := range s.SortedTombstones() {
		v.Tombstones = append(v.Tombstones, tombstoneView{t.ID, formatMillis(t.At), t.Removed})
	}
	return v
}

type listShow struct {
	listFolder
	JSON bool `help:"Print JSON."`
}

func (f *listShow) Run(to *streams) error {
	s, _, err := f.read()
	if err != nil {
		return err
	}
	v := newListView(s, time.Now())
	if f.JSON {
		return json.NewEncoder(to.out).Encode(v)
	}
	w := tabwriter.NewWriter(to.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "cache\taddress\tlocality\tmachine\tphase\tstanding\tbudget")
	for _, k := range v.Caches {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%.2f\n", k.ID, k.Addr, k.Zone, k.Machine, k.Phase, k.Confidence, k.Budget)
	}
	w.Flush()
	fmt.Fprintf(to.out, "%d caches, %d left, %d purges; last event %d of %s, stood until %s\n", len(v.Caches), len(v.Tombstones), v.Purges,
		v.LastEvent, v.DiscoveryAddr, v.CurrentAsOf)
	return nil
}

type listCheck struct {
	listFolder
	JSON bool `help:"Print JSON."`
}

func (f *listCheck) Run(to *streams) error {
	s, kept, err := f.read()
	if err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(map[string]any{"generation": kept.Generation, "changes": len(kept.Changes),
			"lost_bytes": kept.LostBytes, "skipped": kept.Skipped, "caches": len(s.Endpoints)})
	}
	for _, x := range kept.Skipped {
		fmt.Fprintf(to.out, "not whole, passed over: %s\n", x)
	}
	fmt.Fprintf(to.out, "generation %d, %d changes since its snapshot, %d bytes behind the last whole one, %d caches\n", kept.Generation,
		len(kept.Changes), kept.LostBytes, len(s.Endpoints))
	if len(kept.Skipped) > 0 || kept.LostBytes > 0 {
		return errors.New("a part was torn; the newest whole state above is what a gateway starts from")
	}
	return nil
}

type listExport struct{ listFolder }

func (f *listExport) Run(to *streams) error {
	s, _, err := f.read()
	if err != nil {
		return err
	}
	v := newListView(s, time.Now())
	for i := range v.Caches {
		v.Caches[i].Confidence, v.Caches[i].Budget = "", 0
	}
	e := json.NewEncoder(to.out)
	e.SetIndent("", " ")
	return e.Encode(v)
}

type listImport struct {
	listFolder
	File string `arg:"" help:"File that export wrote, or - for standard input."`
}

func (f *listImport) Run(to *streams) error {
	in := io.Reader(os.Stdin)
	if f.File != "-" {
		file, err := os.Open(f.File)
		if err != nil {
			return usageErrorf("%v", err)
		}
		defer file.Close()
		in = file
	}
	var v listView
	d := json.NewDecoder(io.LimitReader(in, wal.MaxEntrySize))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return usageErrorf("%s: not a list as export writes it: %v", f.File, err)
	}
	c := endpoints.Update{At: time.Now().UnixMilli()}
	for i, k := range v.Caches {
		if _, err := netip.ParseAddrPort(k.Addr); err != nil || k.ID == "" || k.Zone == "" || k.Machine == "" {
			return usageErrorf("%s: caches[%d] %q: id, host_port (an address and a port), locality and flavor must be told", f.File, i, k.ID)
		}
		if k.Phase == "up" {
			c.Endpoints = append(c.Endpoints, endpoints.Endpoint{ID: k.ID, Addr: k.Addr, Zone: k.Zone, MachineType: k.Machine, Cell: k.Cell, Size: k.Size,
				StartedAt: k.UpSince, Source: endpoints.Imported})
		}
	}
	disk, err := env.OpenOSDirectory(f.Folder)
	if err != nil {
		return usageErrorf("%v", err)
	}
	r, kept, err := wal.Open(disk, logName)
	if errors.Is(err, wal.ErrLocked) {
		return usageErrorf("%v: stop the gateway that uses it first", err)
	}
	if err != nil {
		return err
	}
	defer r.Close()
	s, err := endpoints.Restore(kept.Snapshot, kept.Changes)
	if err != nil {
		return fmt.Errorf("%s: %w", f.Folder, err)
	}
	before := len(s.Endpoints)
	s.Import(c)
	snap, err := s.Snapshot()
	if err != nil {
		return err
	}
	if err := r.WriteSnapshot(snap); err != nil {
		return fmt.Errorf("%s: %w", f.Folder, err)
	}
	fmt.Fprintf(to.out, "%d caches taken of %d, %d in all\n", len(s.Endpoints)-before, len(v.Caches), len(s.Endpoints))
	return nil
}

type listForget struct{ listFolder }

func (f *listForget) Run(to *streams) error {
	disk, err := f.open()
	if err != nil {
		return err
	}
	n, err := wal.RemoveAll(disk, logName)
	if errors.Is(err, wal.ErrLocked) {
		return usageErrorf("%v: stop the gateway that uses it first", err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(to.out, "%d files removed\n", n)
	return nil
}

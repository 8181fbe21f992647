package membership

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foldslip/internal/fleet/view"
)

// Report is what a gateway holds of its fleet, for operators and for the fleet's limits and choices. Ages in place of times, in
// milliseconds.
type Report struct {
	Name       string `json:"name"`
	Addr       string `json:"addr"`
	Stamp      uint64 `json:"stamp"`
	State      string `json:"state"` // settled, unsettled, alone, yielded
	Version    uint64 `json:"version"`
	Digest     string `json:"digest"`
	Live       int    `json:"live"`
	Seen       int    `json:"seen"`  // alive, suspects not counted
	Fleet      int    `json:"fleet"` // of which
	Minority   bool   `json:"minority"`
	Agree      int    `json:"agree"` // live members known to see the same set, itself included
	ChangedMS  int64  `json:"changed_ago_ms"`
	Members    []Row  `json:"members,omitempty"`
	Counts     Counts `json:"counts"`
	RTT        Spread `json:"probe_rtt_us"`
	Settlings  Spread `json:"settling_ms"`
	PacketsIn  uint64 `json:"packets_in"`
	PacketsOut uint64 `json:"packets_out"`
	BytesIn    uint64 `json:"bytes_in"`
	BytesOut   uint64 `json:"bytes_out"`
	Streams    uint64 `json:"streams"`
	StreamByte uint64 `json:"stream_bytes"`
	Dropped    uint64 `json:"dropped"`
	UpMS       int64  `json:"up_ms"`
}

// Row is a member in a report.
type Row struct {
	Name     string     `json:"name"`
	Addr     string     `json:"addr"`
	Stamp    uint64     `json:"stamp"`
	Place    view.Place `json:"place,omitzero"`
	State    view.State `json:"state"`
	SinceMS  int64      `json:"since_ms"`
	HeardMS  int64      `json:"heard_ago_ms"`
	By       string     `json:"heard_by"`
	Agrees   bool       `json:"agrees"`
	Restarts int        `json:"restarts"`
	Deaths   int        `json:"deaths"`
	Wrong    int        `json:"wrong_deaths"`
	Said     []Word     `json:"said,omitempty"`
}

// Word is who said what of a member, how long ago.
type Word struct {
	AgoMS int64  `json:"ago_ms"`
	By    string `json:"by"`
	What  string `json:"what"`
}

// Spread is a whole distribution in five figures.
type Spread struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func spread(h *hdrhistogram.Histogram) Spread {
	return Spread{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// Report tells what this gateway holds; members false leaves them out, explain names the one whose words are told ("" none).
func (f *Fleet) Report(members bool, explain string) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	c := f.parts.Count
	r := Report{Name: f.id.Name, Addr: f.id.Addr, Stamp: f.id.Stamp, Version: f.view.Version(), Digest: fmt.Sprintf("%08x", f.view.Digest()),
		Live: f.view.Count(), Minority: f.view.Minority(), ChangedMS: (now - f.view.Changed()) / 1000, Counts: f.counts,
		RTT: spread(f.rtt), Settlings: spread(f.settling), PacketsIn: c.PacketsIn.Load(), PacketsOut: c.PacketsOut.Load(),
		BytesIn: c.BytesIn.Load(), BytesOut: c.BytesOut.Load(), Streams: c.StreamsIn.Load() + c.StreamsOut.Load(),
		StreamByte: c.StreamBytes.Load(), Dropped: c.Dropped.Load(), UpMS: now / 1000}
	r.Seen, r.Fleet = f.view.Size()
	r.Agree = f.view.Agreeing()
	switch {
	case f.desk.Away():
		r.State = "yielded"
	case r.Live == 1:
		r.State = "alone"
	case f.view.Settled():
		r.State = "settled"
	default:
		r.State = "unsettled"
	}
	found := explain == ""
	for _, m := range f.view.All() {
		row := Row{Name: m.Name, Addr: m.Addr, Stamp: m.Stamp, Place: m.Place, State: m.State, SinceMS: (now - m.Since) / 1000, HeardMS: (now - m.Heard) / 1000,
			By: m.By, Agrees: f.view.Agrees(m.Name), Restarts: m.Restarts, Deaths: m.Deaths, Wrong: m.Wrong}
		if m.Name == explain {
			found = true
			for _, s := range m.Said() {
				row.Said = append(row.Said, Word{(now - s.At) / 1000, s.By, s.What})
			}
		}
		if members && (explain == "" || m.Name == explain) {
			r.Members = append(r.Members, row)
		}
	}
	if !found {
		return r, fmt.Errorf("no gateway %q is known here", explain)
	}
	return r, nil
}

// State is how far a gateway may rely on its view: what fleet limits and shares ask before they act.
type State struct {
	Live, Seen, Fleet int // live members; of them alive; the fleet that they are a part of
	Rank              int // of this gateway among those who did not leave, by name
	Minority, Settled bool
	Digest            uint32
	Version           uint64
}

// State tells it.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, fleet := f.view.Size()
	return State{f.view.Count(), seen, fleet, f.view.Rank(), f.view.Minority(), f.view.Settled(), f.view.Digest(), f.view.Version()}
}

// Live are the names of live members, this gateway included, sorted.
func (f *Fleet) Live() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Live()
}

// LiveIDs are the processes of live members, this gateway's included, by name, and the view's version that they are of.
func (f *Fleet) LiveIDs() ([]view.ID, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LiveIDs(), f.view.Version()
}

// Version is the view's.
func (f *Fleet) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Version()
}

// Held is how many things wait or are kept, for who looks whether bounds hold.
type Held struct{ Members, Lines, Called, Refused int }

// Held tells it.
func (f *Fleet) Held() Held {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Held{len(f.view.All()), len(f.lines), f.desk.Called(), len(f.refused)}
}

package membership

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foldslip/internal/fleet/view"
)

// Report is what a gateway holds of its fleet, for operators and for the fleet's limits and choices. Ages in place of times, in
// milliseconds.
type Report struct {
	Name         string         `json:"name"`
	Addr         string         `json:"addr"`
	Incarnation  uint64         `json:"stamp"`
	State        string         `json:"state"` // settled, unsettled, alone, yielded
	Version      uint64         `json:"version"`
	Digest       string         `json:"digest"`
	Live         int            `json:"live"`
	Alive        int            `json:"seen"`  // alive, suspects not counted
	FleetSize    int            `json:"fleet"` // of which
	InMinority   bool           `json:"minority"`
	Agreeing     int            `json:"agree"` // live members known to see the same set, itself included
	ChangedAgoMS int64          `json:"changed_ago_ms"`
	Members      []MemberReport `json:"members,omitempty"`
	Counts       Counts         `json:"counts"`
	RTT          Distribution   `json:"probe_rtt_us"`
	SettleTimes  Distribution   `json:"settling_ms"`
	PacketsIn    uint64         `json:"packets_in"`
	PacketsOut   uint64         `json:"packets_out"`
	BytesIn      uint64         `json:"bytes_in"`
	BytesOut     uint64         `json:"bytes_out"`
	Streams      uint64         `json:"streams"`
	StreamBytes  uint64         `json:"stream_bytes"`
	Dropped      uint64         `json:"dropped"`
	UpMS         int64          `json:"up_ms"`
}

// MemberReport is a member in a report.
type MemberReport struct {
	Name          string        `json:"name"`
	Addr          string        `json:"addr"`
	Incarnation   uint64        `json:"stamp"`
	Locality      view.Locality `json:"place,omitzero"`
	State         view.State    `json:"state"`
	SinceMS       int64         `json:"since_ms"`
	LastSeenAgoMS int64         `json:"heard_ago_ms"`
	LastSeenBy    string        `json:"heard_by"`
	Agrees        bool          `json:"agrees"`
	Restarts      int           `json:"restarts"`
	Deaths        int           `json:"deaths"`
	FalseDeaths   int           `json:"wrong_deaths"`
	Evidence      []Evidence    `json:"said,omitempty"`
}

// Evidence is who said what of a member, how long ago.
type Evidence struct {
	AgoMS int64  `json:"ago_ms"`
	By    string `json:"by"`
	What  string `json:"what"`
}

// Distribution is a whole distribution in five figures.
type Distribution struct {
	N   int64 `json:"n"`
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

func summarize(h *hdrhistogram.Histogram) Distribution {
	return Distribution{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// Report tells what this gateway holds; members false leaves them out, explain names the one whose words are told ("" none).
func (f *Fleet) Report(members bool, explain string) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	c := f.deps.TransportCounts
	r := Report{Name: f.self.Name, Addr: f.self.Addr, Incarnation: f.self.Incarnation, Version: f.view.Version(), Digest: fmt.Sprintf("%08x", f.view.Digest()),
		Live: f.view.LiveCount(), InMinority: f.view.InMinority(), ChangedAgoMS: (now - f.view.LiveChangedAt()) / 1000, Counts: f.counts,
		RTT: summarize(f.rtt), SettleTimes: summarize(f.settleTimes), PacketsIn: c.PacketsIn.Load(), PacketsOut: c.PacketsOut.Load(),
		BytesIn: c.BytesIn.Load(), BytesOut: c.BytesOut.Load(), Streams: c.StreamsIn.Load() + c.StreamsOut.Load(),
		StreamBytes: c.StreamBytes.Load(), Dropped: c.Dropped.Load(), UpMS: now / 1000}
	r.Alive, r.FleetSize = f.view.Size()
	r.Agreeing = f.view.AgreeingCount()
	switch {
	case f.scheduler.HasDeferred():
		r.State = "yielded"
	case r.Live == 1:
		r.State = "alone"
	case f.view.Settled():
		r.State = "settled"
	default:
		r.State = "unsettled"
	}
	found := explain == ""
	for _, m := range f.view.Members() {
		row := MemberReport{Name: m.Name, Addr: m.Addr, Incarnation: m.Incarnation, Locality: m.Locality, State: m.State, SinceMS: (now - m.Since) / 1000, LastSeenAgoMS: (now - m.LastSeen) / 1000,
			LastSeenBy: m.LastSeenBy, Agrees: f.view.Agrees(m.Name), Restarts: m.Restarts, Deaths: m.Deaths, FalseDeaths: m.FalseDeaths}
		if m.Name == explain {
			found = true
			for _, s := range m.Evidence() {
				row.Evidence = append(row.Evidence, Evidence{(now - s.At) / 1000, s.By, s.What})
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
	Live, Alive, FleetSize int // live members; of them alive; the fleet that they are a part of
	Rank                   int // of this gateway among those who did not leave, by name
	InMinority, Settled    bool
	Digest                 uint32
	Version                uint64
}

// State tells it.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen, fleet := f.view.Size()
	return State{f.view.LiveCount(), seen, fleet, f.view.Rank(), f.view.InMinority(), f.view.Settled(), f.view.Digest(), f.view.Version()}
}

// LiveNames are the names of live members, this gateway included, sorted.
func (f *Fleet) LiveNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LiveNames()
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

// Usage is how many things wait or are kept, for who looks whether bounds hold.
type Usage struct{ Members, PendingLogLines, Contacted, LoggedConflicts int }

// Usage tells it.
func (f *Fleet) Usage() Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Usage{len(f.view.Members()), len(f.pendingLog), f.scheduler.ContactedCount(), len(f.conflictLoggedAt)}
}

package membership

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foldslip/internal/fleet/view"
)

// Report is a gateway's view of its fleet, for operators. It gives ages in milliseconds instead of points in time.
type Report struct {
	Name         string         `json:"name"`
	Addr         string         `json:"addr"`
	Incarnation  uint64         `json:"stamp"`
	State        string         `json:"state"` // settled, unsettled, alone, or yielded if another process has the name
	Version      uint64         `json:"version"`
	Digest       string         `json:"digest"`
	Live         int            `json:"live"`  // alive and suspect members
	Alive        int            `json:"seen"`  // alive members, without suspects
	FleetSize    int            `json:"fleet"` // known members that have not left, or the expected number if larger
	InMinority   bool           `json:"minority"`
	Agreeing     int            `json:"agree"` // live members known to have the same live set, this gateway included
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

// MemberReport describes one member in a Report.
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

// Evidence is a gateway's report about a member, with its age.
type Evidence struct {
	AgoMS int64  `json:"ago_ms"`
	By    string `json:"by"`
	What  string `json:"what"`
}

// Counts holds the numbers of events since the process started.
type Counts struct {
	Joins                uint64 `json:"Joins"`
	Deaths               uint64 `json:"Deaths"`
	FalseDeaths          uint64 `json:"WrongDeaths"` // deaths after which the same process came back
	Leaves               uint64 `json:"Lefts"`
	Suspicions           uint64 `json:"Suspicions"`
	ClearedSuspicions    uint64 `json:"Cleared"`
	Restarts             uint64 `json:"Restarts"`
	Settled              uint64 `json:"Settled"`
	Contacts             uint64 `json:"Calls"`
	FailedContacts       uint64 `json:"CallsFailed"`
	Refused              uint64 `json:"Refused"`
	NameConflicts        uint64 `json:"Conflicts"`
	NameDeferrals        uint64 `json:"Yields"`
	Pauses               uint64 `json:"Pauses"`
	UnreadableHeartbeats uint64 `json:"BadWords"` // heartbeat frames and leave notices that could not be decoded
}

func (c *Counts) add(change view.Change) {
	switch {
	case change.Reason == view.ReasonRestarted:
		c.Restarts++
	case change.To == view.Alive && change.From == view.Suspect:
		c.ClearedSuspicions++
	case change.To == view.Alive:
		c.Joins++
		if change.Reason == view.ReasonCameBack {
			c.FalseDeaths++
		}
	case change.To == view.Suspect:
		c.Suspicions++
	case change.To == view.Dead:
		c.Deaths++
	case change.To == view.Left:
		c.Leaves++
	}
}

// Distribution summarizes a histogram by its count N, three percentiles and its maximum.
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

// UnknownMemberError reports that the view has no member with the name.
type UnknownMemberError struct{ Name string }

// Error returns a message with the name.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("no gateway %q is known here", e.Name)
}

// Report returns a report on the fleet as this gateway sees it. The report lists members only if withMembers is set.
// If explain is not empty, the report lists only the member with that name, together with its evidence. The error is
// an *UnknownMemberError if the view has no such member.
func (f *Fleet) Report(withMembers bool, explain string) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	report := f.summary(now)
	found := explain == ""
	for _, member := range f.view.Members() {
		isExplained := member.Name == explain
		found = found || isExplained
		if !withMembers || explain != "" && !isExplained {
			continue
		}
		row := f.reportMember(member, now)
		if isExplained {
			row.Evidence = reportEvidence(member, now)
		}
		report.Members = append(report.Members, row)
	}
	if !found {
		return report, &UnknownMemberError{explain}
	}
	return report, nil
}

// summary returns a report without members. The caller must hold mu.
func (f *Fleet) summary(now int64) Report {
	counts := f.deps.TransportCounts
	alive, size := f.view.Size()
	return Report{
		Name:         f.self.Name,
		Addr:         f.self.Addr,
		Incarnation:  f.self.Incarnation,
		State:        f.stateName(),
		Version:      f.view.Version(),
		Digest:       fmt.Sprintf("%08x", f.view.Digest()),
		Live:         f.view.LiveCount(),
		Alive:        alive,
		FleetSize:    size,
		InMinority:   f.view.InMinority(),
		Agreeing:     f.view.AgreeingCount(),
		ChangedAgoMS: (now - f.view.LiveChangedAt()) / 1000,
		Counts:       f.counts,
		RTT:          summarize(f.rtt),
		SettleTimes:  summarize(f.settleTimes),
		PacketsIn:    counts.PacketsIn.Load(),
		PacketsOut:   counts.PacketsOut.Load(),
		BytesIn:      counts.BytesIn.Load(),
		BytesOut:     counts.BytesOut.Load(),
		Streams:      counts.StreamsIn.Load() + counts.StreamsOut.Load(),
		StreamBytes:  counts.StreamBytes.Load(),
		Dropped:      counts.Dropped.Load(),
		UpMS:         now / 1000,
	}
}

// stateName returns the value of Report.State. The caller must hold mu.
func (f *Fleet) stateName() string {
	switch {
	case f.scheduler.HasDeferred():
		return "yielded"
	case f.view.LiveCount() == 1:
		return "alone"
	case f.view.Settled():
		return "settled"
	}
	return "unsettled"
}

// reportMember returns the report on a member, without its evidence. The caller must hold mu.
func (f *Fleet) reportMember(member view.Member, now int64) MemberReport {
	return MemberReport{
		Name:          member.Name,
		Addr:          member.Addr,
		Incarnation:   member.Incarnation,
		Locality:      member.Locality,
		State:         member.State,
		SinceMS:       (now - member.Since) / 1000,
		LastSeenAgoMS: (now - member.LastSeen) / 1000,
		LastSeenBy:    member.LastSeenBy,
		Agrees:        f.view.Agrees(member.Name),
		Restarts:      member.Restarts,
		Deaths:        member.Deaths,
		FalseDeaths:   member.FalseDeaths,
	}
}

func reportEvidence(member view.Member, now int64) (out []Evidence) {
	for _, evidence := range member.Evidence() {
		out = append(out, Evidence{(now - evidence.At) / 1000, evidence.By, evidence.What})
	}
	return out
}

// State describes the view and how far a gateway may rely on it. Fleet limits and quotas depend on it.
type State struct {
	Live       int // alive and suspect members
	Alive      int // alive members, without suspects
	FleetSize  int // known members that have not left, or the expected number if larger
	Rank       int // position of this gateway among the members that have not left, sorted by name; 0 is the first
	InMinority bool
	Settled    bool
	Digest     uint32 // hash of the live set
	Version    uint64 // version of the view
}

// State returns the current State.
func (f *Fleet) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	alive, size := f.view.Size()
	return State{
		Live:       f.view.LiveCount(),
		Alive:      alive,
		FleetSize:  size,
		Rank:       f.view.Rank(),
		InMinority: f.view.InMinority(),
		Settled:    f.view.Settled(),
		Digest:     f.view.Digest(),
		Version:    f.view.Version(),
	}
}

// LiveNames returns the sorted names of the live members, this gateway included.
func (f *Fleet) LiveNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LiveNames()
}

// LiveIDs returns the identities of the live members, this gateway included,
// sorted by name. The version is that of the view from which they were read.
func (f *Fleet) LiveIDs() (ids []view.ID, version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.LiveIDs(), f.view.Version()
}

// Version returns the view's version.
func (f *Fleet) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Version()
}

// Usage counts the entries that a Fleet holds, so that its bounds can be checked.
type Usage struct {
	Members         int
	PendingLogLines int
	Contacted       int // addresses that the contact scheduler remembers
	LoggedConflicts int // names for which the time of the last log line about a refusal or conflict is kept
}

// Usage returns the current Usage.
func (f *Fleet) Usage() Usage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Usage{len(f.view.Members()), len(f.pendingLog), f.scheduler.ContactedCount(), len(f.conflictLoggedAt)}
}

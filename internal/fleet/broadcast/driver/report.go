package driver

import "foldslip/internal/fleet/broadcast"

const maxLatest = 1024 // number of applied purges that are kept for reports

// AppliedPurge is a purge that was applied at this gateway.
type AppliedPurge struct {
	Number     uint64 `json:"no"` // counts from 1 since the process started, without gaps
	Object     string `json:"object,omitempty"`
	Group      int64  `json:"group,omitempty"`
	Issued     int64  `json:"issued_ms"` // Unix milliseconds, set by the source of the purge
	AtUptimeMS int64  `json:"at_up_ms"`  // on the scale of Report.UptimeMS, which a wrong clock does not shift
	// FromPeer is true if a peer sent the purge first. It is false if the own watch brought the purge, even if it did
	// so after a peer.
	FromPeer bool `json:"peer,omitempty"`
}

// appliedLog keeps the latest maxLatest applied purges.
type appliedLog struct {
	latest []AppliedPurge // ring buffer once it holds maxLatest purges
	count  uint64         // number of purges added so far
}

// add appends purges that were applied at now, a time in microseconds.
func (l *appliedLog) add(purges []broadcast.Purge, fromPeer bool, now int64) {
	for _, p := range purges {
		l.count++
		applied := AppliedPurge{Number: l.count, Object: p.Object, Group: p.Group, Issued: p.Issued, AtUptimeMS: now / 1000, FromPeer: fromPeer}
		if len(l.latest) < maxLatest {
			l.latest = append(l.latest, applied)
		} else {
			l.latest[(l.count-1)%maxLatest] = applied
		}
	}
}

// since returns the kept purges with numbers above after, in the order of their numbers.
func (l *appliedLog) since(after uint64) (purges []AppliedPurge) {
	oldest := l.count - uint64(len(l.latest))
	for number := max(after, oldest) + 1; number <= l.count; number++ {
		purges = append(purges, l.latest[(number-1)%maxLatest])
	}
	return purges
}

// Report is the state of a gateway's broadcast that operators see.
type Report struct {
	Name     string             `json:"name"`
	Locality broadcast.Locality `json:"place"`
	Live     int                `json:"live"` // number of live members, including this gateway
	Mode     string             `json:"mode"` // behind or whole, as in the log
	Counts   Counts             `json:"counts"`
	Node     broadcast.Stats    `json:"node"`
	UptimeMS int64              `json:"up_ms"`
	Applied  uint64             `json:"heeded"` // number of the latest applied purge
	Latest   []AppliedPurge     `json:"latest,omitempty"`
}

// Report returns the current state. Latest holds the applied purges with numbers above after, as far as they are
// among the maxLatest that are kept.
func (d *Driver) Report(after uint64) Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	report := Report{
		Name:     d.self,
		Locality: d.locality,
		Live:     len(d.peerNames) + 1,
		Mode:     modeCaughtUp,
		Counts:   d.counts,
		Node:     d.node.Stats(),
		UptimeMS: d.now() / 1000,
		Applied:  d.applied.count,
		Latest:   d.applied.since(after),
	}
	if d.lag.isBehind {
		report.Mode = modeBehind
	}
	return report
}

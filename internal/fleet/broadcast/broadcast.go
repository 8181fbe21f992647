// Package broadcast spreads purges among gateways: what the discovery watch of one of them brings reaches all within seconds, and what a
// gateway missed through a loss, a death or a cut it gets later. It is pure: purges of the own watch, frames of peers, the members of the
// view and the time in whole microseconds go in; frames to send and purges to apply come out. docs/fleet-broadcast.md tells why it is so.
//
//   - A purge is identified by its content (Purge). Merging is a join: a known purge stays known, from whichever gateway and in whatever
//     order it came; event numbers of watches are not compared. A wrong or outdated purge costs a refill.
//   - Injection (inject.go): purges of the own watch that no peer sent meanwhile go out in batches, along a tree (tree.go) that all compute
//     alike from the members, at most fanOut children each, one copy an edge, forwarded at once (eager push).
//   - Repair (repair.go, lazypush.go): gaps in an origin's batches are requested, and lazy push announces batches where no gap shows them.
//     Silent neighbours are bypassed by grafts (graft.go).
//   - Reconciliation (reconcile.go, serve.go): sums of the kept purges (keptpurges.go) by issue time, then purges, newest first, within a
//     rate.
//
// Bounds of a node: Settings.MaxKept purges, some 31 bytes each, maxLongNames of them with names that are not 16 hex digits; maxMinutes
// of issue time; maxWaiting purges that wait for injection; maxOrigins origins; maxStoredBatches batches for batchLifetime; maxRepairs
// requested batches; one reconciliation of maxPendingRequests pending requests; the members are held, not copied, if they come sorted. A
// peer that lies can add purges (each a refill), crowd out kept ones (oldest first) and slow repair; it cannot prevent a purge from being
// applied that a frame or the own watch brings.
package broadcast

import "cmp"

// Locality is where a gateway stands: nested names, the widest first.
type Locality struct {
	Region string `json:"Region"`
	Zone   string `json:"Zone"`
	Site   string `json:"Site"`
}

// Member is a live gateway of the view.
type Member struct {
	Name     string
	Locality Locality
}

// Purge is a purge; the whole value is its identity.
type Purge struct {
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds, above 0 and below maxIssued
}

// isPlausible reports whether a purge can have been issued at its time.
func (p Purge) isPlausible() bool { return p.Issued > 0 && p.Issued < maxIssued }

// Message is a frame for a member, to be sent as a datagram. Messages may share a frame: it must not be written to.
type Message struct {
	To    string
	Frame []byte // at most maxFrameBytes
}

// Settings are times in whole microseconds and rates in bytes per second. A zero field has the value of DefaultSettings, except
// StartUnixMillis.
type Settings struct {
	// StartUnixMillis is the Unix time when now was 0; 0: not known, and the newest issue that is known tells the time. It may be wrong: a
	// fast clock expires nothing too early as long as purges come, a slow one keeps more (MaxKept bounds it).
	StartUnixMillis   int64
	KeepFor           int64 // time from its issue for which a purge is kept
	MaxKept           int   // purges; past them the oldest seconds go first
	RateLimit         int64 // in and out together, headers of UDP and IP included: repair keeps within it, batches are forwarded into debt
	BatchDelay        int64 // time for which purges of the own watch wait for others, to go in one batch
	LazyPushInterval  int64
	ReconcileInterval int64 // between passes, give or take a half
	// MaxBatchAge bounds the age of what is injected: of what a gateway's watch brings at a start, all but the last is known to the others.
	// An older purge is left to reconciliation.
	MaxBatchAge int64
}

// DefaultSettings are for a fleet of 3,900 gateways and 100 purges per second. KeepFor is a cut of an hour and half an hour to make up for
// it: what is older when its turn comes no peer has any more.
var DefaultSettings = Settings{
	KeepFor:           5_400_000_000,
	MaxKept:           600_000,
	RateLimit:         9_000,
	BatchDelay:        200_000,
	LazyPushInterval:  300_000,
	ReconcileInterval: 3_000_000,
	MaxBatchAge:       5_000_000,
}

// withDefaults returns the settings with zero fields set.
func (s Settings) withDefaults() Settings {
	s.KeepFor = cmp.Or(s.KeepFor, DefaultSettings.KeepFor)
	s.MaxKept = cmp.Or(s.MaxKept, DefaultSettings.MaxKept)
	s.RateLimit = cmp.Or(s.RateLimit, DefaultSettings.RateLimit)
	s.BatchDelay = cmp.Or(s.BatchDelay, DefaultSettings.BatchDelay)
	s.LazyPushInterval = cmp.Or(s.LazyPushInterval, DefaultSettings.LazyPushInterval)
	s.ReconcileInterval = cmp.Or(s.ReconcileInterval, DefaultSettings.ReconcileInterval)
	s.MaxBatchAge = cmp.Or(s.MaxBatchAge, DefaultSettings.MaxBatchAge)
	return s
}

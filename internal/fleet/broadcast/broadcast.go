// Package broadcast distributes purges among gateways. A purge that the discovery watch of one gateway delivers
// reaches all gateways within seconds. A gateway that misses purges through packet loss, a crash or a network
// partition receives them later.
//
// The package does no I/O and reads no clock. It takes the purges of the own watch, the frames of peers, the members
// of the view and the time in whole microseconds. It returns frames to send and purges to apply.
// docs/fleet-broadcast.md gives the reasons for the design.
//
//   - A purge is identified by its content (Purge). Merging is a join: a known purge stays known, whichever gateway
//     sent it and in whatever order purges arrive. Event numbers of different watches are not compared. A wrong or
//     outdated purge costs one refill.
//   - Injection (inject.go) sends the purges of the own watch that no peer has sent in the meantime. They travel in
//     batches along a tree (tree.go). All gateways compute the same tree from the members. Each gateway has at most
//     fanOut children, sends one copy of a batch along each edge, and forwards a received batch at once (eager push).
//   - Repair (repair.go, lazypush.go) requests the batches that are missing from an origin's sequence. Lazy push
//     announces batches whose loss leaves no gap in the sequence. Grafts (graft.go) bypass silent neighbours.
//   - Reconciliation (reconcile.go, serve.go) compares sums of the kept purges (keptpurges.go) by issue time, then
//     transfers the missing purges, newest first, within a rate limit.
//
// A Node keeps all its state in memory, within these bounds:
//
//   - Settings.MaxKept purges of some 31 bytes each. At most maxLongNames of them do not fit the packed form, for
//     instance because their names are not 16 hex digits. Their issue times span at most maxMinutes.
//   - maxWaiting purges that wait for injection.
//   - maxOrigins origins, maxStoredBatches batches stored for batchLifetime, and maxRepairs requested batches.
//   - One reconciliation session with maxPendingRequests pending requests.
//   - The members, which are held without a copy if they are passed in sorted order.
//
// A peer that sends false frames can add purges, each of which costs a refill, displace kept purges, oldest first,
// and slow down repair. It cannot prevent a gateway from applying a purge that a frame or its own watch delivers.
package broadcast

import "cmp"

// Locality is the location of a gateway, as nested names with the widest first.
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

// Purge is the purge of an object or a group. Its identity is the whole value.
type Purge struct {
	Object string // "": the whole group is purged
	Group  int64
	Issued int64 // Unix milliseconds, above 0 and below maxIssued
}

// isPlausible reports whether the issue time of a purge is in the valid range.
func (p Purge) isPlausible() bool { return p.Issued > 0 && p.Issued < maxIssued }

// Message is a frame to send to a member as one datagram. Several messages may share a frame, so it must not be
// modified.
type Message struct {
	To    string
	Frame []byte // at most maxFrameBytes
}

// Settings holds times in whole microseconds and rates in bytes per second. A zero field other than StartUnixMillis
// takes its value from DefaultSettings.
type Settings struct {
	// StartUnixMillis is the Unix time in milliseconds at which now was 0. If it is 0, that time is unknown, and the
	// newest known issue time is taken for the present. The value may be wrong: with a fast clock, nothing expires
	// too early as long as purges arrive; with a slow clock, purges are kept for longer, within MaxKept.
	StartUnixMillis int64

	KeepFor int64 // how long a purge is kept after its issue
	MaxKept int   // kept purges; beyond it, the purges of the oldest seconds are dropped first
	// RateLimit covers both directions together, including UDP and IP headers. Reconciliation stops at a small debt,
	// and the resending and forwarding of batches stop at larger ones.
	RateLimit         int64
	BatchDelay        int64 // how long a purge of the own watch waits for others, to share a batch with them
	LazyPushInterval  int64 // mean time between lazy pushes
	ReconcileInterval int64 // mean time between passes; each wait differs from it by up to a half
	// MaxBatchAge is the maximum age of an injected purge. Older purges are left to reconciliation. When a gateway
	// starts, its watch delivers many purges, of which the other gateways know all but the latest.
	MaxBatchAge int64
}

// DefaultSettings are the settings for a fleet of 3,900 gateways and 100 purges per second. KeepFor covers a
// partition of one hour and half an hour of reconciliation after it. A purge that is older when its turn comes has
// expired at all peers.
var DefaultSettings = Settings{
	KeepFor:           5_400_000_000,
	MaxKept:           600_000,
	RateLimit:         9_000,
	BatchDelay:        200_000,
	LazyPushInterval:  300_000,
	ReconcileInterval: 3_000_000,
	MaxBatchAge:       5_000_000,
}

// withDefaults returns the settings with their zero fields replaced by defaults.
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

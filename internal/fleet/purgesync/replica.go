// Package purgesync disseminates purges among gateways by anti-entropy. A gateway whose discovery watch is late, or is
// disconnected for a while, learns purges from its peers. The package does no I/O and reads no clock. The purges of the
// gateway's own discovery watch, the digests and deltas of peers, and the time in whole microseconds are its input. The
// digests and deltas to send to peers, and the purges to apply, are its output. Package gossip does the I/O.
//
// Discovery numbers its events. A digest is the highest event number whose purges a gateway knows. A peer that knows
// purges of later events answers a digest with a delta: these purges in order of their event numbers (pull
// anti-entropy; Demers and others, Epidemic Algorithms, PODC 1987). A gateway passes on the purges that it learned from
// peers in the same way.
//
// Merging is a join: a known purge stays known, whichever gateway it came from and in whatever order purges arrive. A
// merged purge can only make a gateway stricter, because it rules out answers from an older copy. It never undoes what
// the gateway's own watch reported. Neither clocks nor votes are therefore needed, and a wrong or outdated purge costs
// a refill.
//
// A Replica holds the purges of one gateway: at most maxKept, each for Settings.KeepFor. A delta holds at most
// maxPurgesPerFrame purges and maxDeltaBytes bytes of encoded purges.
package purgesync

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Purge is one purge with the number of its discovery event.
type Purge struct {
	Event  int64
	Object string // "" for the purge of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// maxIssued is the exclusive upper bound on Purge.Issued in purges of peers. It lies in the year 5138.
const maxIssued = 1e14

// isValid reports whether the event number and the time of issue of a peer's purge are in range.
func (p Purge) isValid() bool { return p.Event > 0 && p.Issued > 0 && p.Issued < maxIssued }

// Settings are the times of a Replica in whole microseconds.
type Settings struct {
	DigestInterval int64 // time between two rounds of digests
	KeepFor        int64 // time for which a purge is kept and passed on
}

const (
	maxKept      = 2048
	digestFanOut = 2 // peers that receive a digest in each round
)

// keptPurge is a purge that the replica passes on to peers.
type keptPurge struct {
	Purge
	keptAt int64
}

// Replica holds the purges that one gateway passes on to peers. It is not safe for concurrent use. Package gossip owns
// it and guards it with a mutex.
type Replica struct {
	settings     Settings
	rng          *rand.Rand
	ownEvent     int64       // number of the last event of the gateway's own discovery watch
	highestEvent int64       // highest event number whose purges are known
	kept         []keptPurge // in ascending order of event numbers
	nextDigestAt int64

	LearnedFromPeers uint64 // purges received from a peer before the gateway's own discovery watch delivered them
}

// New returns an empty replica whose first round of digests is due at once.
func New(settings Settings, rng *rand.Rand, now int64) *Replica {
	return &Replica{settings: settings, rng: rng, nextDigestAt: now}
}

// RecordOwn records purges of the gateway's own discovery watch and the number of the watch's last event. A number
// below the previous one means that discovery restarted its numbering. The replica then drops all kept purges and
// resets its digest.
func (r *Replica) RecordOwn(lastEvent int64, purges []Purge, now int64) {
	if lastEvent < r.ownEvent {
		r.kept = nil
		r.highestEvent = 0
	}
	r.ownEvent = lastEvent
	r.highestEvent = max(r.highestEvent, lastEvent)
	for _, p := range purges {
		r.insert(p, now)
	}
}

// insert adds a purge in order of event numbers and reports whether it was added. A purge is not added if one with the
// same event number is already kept. Each insertion drops the purges that are older than KeepFor and, beyond maxKept,
// those with the lowest event numbers.
func (r *Replica) insert(p Purge, now int64) bool {
	i, found := slices.BinarySearchFunc(r.kept, p.Event, func(k keptPurge, event int64) int { return cmp.Compare(k.Event, event) })
	if found {
		return false
	}
	r.kept = slices.Insert(r.kept, i, keptPurge{p, now})
	r.kept = slices.DeleteFunc(r.kept, func(k keptPurge) bool { return now-k.keptAt > r.settings.KeepFor })
	if excess := len(r.kept) - maxKept; excess > 0 {
		r.kept = slices.Delete(r.kept, 0, excess)
	}
	return true
}

// DigestTargets returns the peers to which a digest is to be sent now, chosen at random. It returns none until the next
// round is due.
func (r *Replica) DigestTargets(peers []string, now int64) []string {
	if now < r.nextDigestAt || len(peers) == 0 {
		return nil
	}
	r.nextDigestAt = now + r.settings.DigestInterval
	targets := slices.Clone(peers)
	r.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(digestFanOut, len(targets))]
}

// Digest returns the highest event number whose purges this gateway knows.
func (r *Replica) Digest() int64 { return r.highestEvent }

// Delta returns the kept purges with event numbers above a peer's digest, in ascending order. It returns the first ones
// that fit in one frame.
func (r *Replica) Delta(digest int64) (delta []Purge) {
	size := 0
	for _, k := range r.kept {
		size += purgeHeaderSize + len(k.Object)
		switch {
		case k.Event <= digest:
			size = 0
		case len(delta) < maxPurgesPerFrame && size <= maxDeltaBytes:
			delta = append(delta, k.Purge)
		}
	}
	return delta
}

// Merge merges the purges of a peer's delta. It returns the purges that this gateway did not know, which the caller
// must apply.
func (r *Replica) Merge(purges []Purge, now int64) (learned []Purge) {
	for _, p := range purges {
		if !p.isValid() {
			continue
		}
		if p.Event > r.ownEvent && r.insert(p, now) {
			learned = append(learned, p)
			r.LearnedFromPeers++
		}
		r.highestEvent = max(r.highestEvent, p.Event)
	}
	return learned
}

// KeptCount returns the number of kept purges.
func (r *Replica) KeptCount() int { return len(r.kept) }

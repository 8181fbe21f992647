// Package purgesync spreads purges among gateways by anti-entropy: a gateway whose discovery watch is late, or away for a while, learns of
// purges from its peers. It is pure: purges of this gateway's own watch, digests and deltas of peers and the time in whole microseconds go
// in; what to send to which peer, and which purges to apply, come out. Package gossip does the I/O.
//
// The rule of merging is a join: a known purge stays known, from whichever gateway and in whatever order it came; it only ever makes a
// gateway stricter (no answer from an older copy), and nothing that the own watch said is taken back for it. So neither clocks nor votes
// are needed, and a wrong or outdated purge costs a refill. Events are numbered by discovery: a digest is the highest number whose purges
// a gateway knows, and a peer that has later ones answers with them in order (Demers and others, Epidemic Algorithms, PODC 1987, pull).
// What a gateway learned from a peer it passes on in the same way.
//
// Bounds: maxKept purges, each for Settings.KeepFor; maxPurgesPerFrame and maxDeltaBytes in a frame.
package purgesync

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Purge is one purge with the number of its discovery event.
type Purge struct {
	Event  int64
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// maxIssued bounds Purge.Issued of peers: the year 5138.
const maxIssued = 1e14

// isValid reports whether a peer's purge can be one.
func (p Purge) isValid() bool { return p.Event > 0 && p.Issued > 0 && p.Issued < maxIssued }

// Settings are times in whole microseconds.
type Settings struct {
	DigestInterval int64 // between two rounds of digests
	KeepFor        int64 // time for which a purge is passed on
}

const (
	maxKept      = 2048
	digestFanOut = 2 // peers that get a digest in a round
)

// keptPurge is a purge that is passed on.
type keptPurge struct {
	Purge
	keptAt int64
}

// Replica holds the purges that one gateway passes on. It is not safe for concurrent use; its owner is package gossip, under its lock.
type Replica struct {
	settings     Settings
	rng          *rand.Rand
	ownEvent     int64       // last event of the own discovery watch
	highestEvent int64       // highest number whose purges are known
	kept         []keptPurge // by rising number
	nextDigestAt int64

	LearnedFromPeers uint64 // purges that a peer sent before the own watch did
}

// New makes an empty replica; its first digests are due at once.
func New(settings Settings, rng *rand.Rand, now int64) *Replica {
	return &Replica{settings: settings, rng: rng, nextDigestAt: now}
}

// RecordOwn takes the purges of the own discovery watch and the number of its last event. A number below the one before means that
// discovery numbers anew: the replica begins anew as well.
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

// insert adds a purge in order; it reports false where one of its number is kept already.
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

// DigestTargets returns the peers to send a digest to now, drawn at random; none between two rounds.
func (r *Replica) DigestTargets(peers []string, now int64) []string {
	if now < r.nextDigestAt || len(peers) == 0 {
		return nil
	}
	r.nextDigestAt = now + r.settings.DigestInterval
	targets := slices.Clone(peers)
	r.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(digestFanOut, len(targets))]
}

// Digest is the highest number whose purges are known here.
func (r *Replica) Digest() int64 { return r.highestEvent }

// Delta returns the purges that a peer with a digest does not have: as many of the first as fit a frame, in order.
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

// Merge takes the purges of a peer's delta and returns those that are new here and are to be applied.
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

// KeptCount is how many purges are kept.
func (r *Replica) KeptCount() int { return len(r.kept) }

package view

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TickResult is the result of a Tick.
type TickResult struct {
	Reaped     []string // sorted names of the members that were removed
	HasSettled bool     // true if the view settled in this Tick
	SettleTime int64    // microseconds for which the view was unsettled before it settled
}

// Tick advances the time. It removes members that have not been live for Settings.ReapAfter and checks whether the view
// has settled. Each time that the view settles, exactly one Tick reports it.
func (v *View) Tick(now int64) TickResult {
	result := TickResult{Reaped: v.reap(now)}
	v.members[v.self].LastSeen = now
	if v.settled || now-v.liveChangedAt < v.settings.SettleAfter || !v.allAgree() {
		return result
	}
	v.settled = true
	result.HasSettled = true
	result.SettleTime = now - v.settlingSince
	return result
}

// reap removes members that have not been live for Settings.ReapAfter and returns their sorted names.
func (v *View) reap(now int64) (names []string) {
	if len(v.members) == v.liveCount {
		return nil
	}
	for name, m := range v.members {
		if !m.State.IsLive() && now-m.Since >= v.settings.ReapAfter {
			v.forget(m)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// liveSetChanged records a change of the live set: the view is unsettled, the digest is recomputed when it is next
// needed, and a new agreement generation starts.
func (v *View) liveSetChanged(now int64) {
	v.version++
	v.liveChangedAt = now
	v.stateChangedAt = now
	if v.settled || v.settlingSince == 0 {
		v.settlingSince = now
	}
	v.settled = false
	v.digestKnown = false
	v.startGeneration()
	v.liveCount = 0
	for _, m := range v.members {
		if m.State.IsLive() {
			v.liveCount++
		}
	}
}

// unsettle marks a settled view as unsettled because a member sees a different live set, or may have seen one.
func (v *View) unsettle(now int64) {
	if !v.settled {
		return
	}
	v.settled = false
	v.settlingSince = now
	v.version++
}

// Settled reports whether the view is settled.
func (v *View) Settled() bool { return v.settled }

// LiveChangedAt returns when the live set last changed.
func (v *View) LiveChangedAt() int64 { return v.liveChangedAt }

// ShouldGossip reports whether heartbeat frames should be sent with gossip messages. They should if a member's state
// changed less than minTime ago, or if the live set changed less than maxTime ago and the view is not settled. maxTime
// bounds the traffic of a fleet that cannot agree, for instance one with a half-open cut. A suspicion counts as a
// change of state, so that the members of the smaller side of a split combine their failed probes and recognize that
// they are a minority.
func (v *View) ShouldGossip(now, minTime, maxTime int64) bool {
	return now-v.stateChangedAt < minTime || !v.settled && now-v.liveChangedAt < maxTime
}

// DifferingAddrs returns the sorted addresses of live members that see a different live set. It counts only digests
// that this gateway received after its own live set had not changed for Settings.SettleAfter. It returns nil while the
// view is settled.
func (v *View) DifferingAddrs(now int64) (addrs []string) {
	if v.settled || now-v.liveChangedAt < v.settings.SettleAfter {
		return nil
	}
	for name, m := range v.members {
		if m.State.IsLive() && name != v.self && m.Digest != v.Digest() && m.DigestAt >= v.liveChangedAt+v.settings.SettleAfter {
			addrs = append(addrs, m.Addr)
		}
	}
	slices.Sort(addrs)
	return addrs
}

// Digest returns a hash of the live set. The hash is computed on demand, because many changes often arrive at the same
// time.
func (v *View) Digest() uint32 {
	if !v.digestKnown {
		v.digest = v.computeDigest()
		v.digestKnown = true
	}
	return v.digest
}

// computeDigest returns a hash of the sorted names and the incarnations of the live members.
func (v *View) computeDigest() uint32 {
	hash := xxhash.New()
	var incarnation [8]byte
	for _, name := range v.LiveNames() {
		hash.WriteString(name)
		binary.LittleEndian.PutUint64(incarnation[:], v.members[name].Incarnation)
		hash.Write(incarnation[:])
	}
	return uint32(hash.Sum64())
}

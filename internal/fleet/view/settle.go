package view

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// TickResult is what came of a Tick.
type TickResult struct {
	Reaped     []string // names of members that were forgotten, sorted
	HasSettled bool     // the view settled now
	SettleTime int64    // how long the settling took, in microseconds
}

// Tick moves time on: it forgets members that are gone for long and reports, once a settling, that the view has settled.
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

// reap forgets members that have not been live for the reap time, and returns their names, sorted.
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

// liveSetChanged notes that the live set is another one.
func (v *View) liveSetChanged(now int64) {
	v.version++
	v.liveChangedAt = now
	v.unsettledAt = now
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

// unsettle notes that a member sees another live set than this gateway.
func (v *View) unsettle(now int64) {
	if !v.settled {
		return
	}
	v.settled = false
	v.settlingSince = now
	v.version++
}

// Settled reports whether the view has settled and nothing changed since.
func (v *View) Settled() bool { return v.settled }

// LiveChangedAt returns when the set of live members last changed.
func (v *View) LiveChangedAt() int64 { return v.liveChangedAt }

// ShouldGossip reports whether heartbeat frames should ride on gossip: a member's state changed within minTime, or the live set changed
// within maxTime and the view has not settled since. The bound ends it in a fleet that can't agree, as across a half-open cut. Suspicions
// count as changes, so that the smaller side of a split learns from all its members' probes together that it is one.
func (v *View) ShouldGossip(now, minTime, maxTime int64) bool {
	return now-v.unsettledAt < minTime || !v.settled && now-v.liveChangedAt < maxTime
}

// DifferingAddrs returns the addresses of live members that reported to this gateway, since its view has rested for the settle time, that
// they see another live set; sorted.
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

// Digest returns a hash of the set of live members. It is computed when it is asked for, since many changes come at once.
func (v *View) Digest() uint32 {
	if !v.digestKnown {
		v.digest = v.computeDigest()
		v.digestKnown = true
	}
	return v.digest
}

// computeDigest hashes the names of live members, sorted, with their incarnations.
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

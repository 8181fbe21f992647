package view

import "slices"

// maxRefuteRequests is the number of times that a member is asked to refute one suspicion.
const maxRefuteRequests = 3

// RecordSeen records evidence that gateway by saw a member at time at. It clears a suspicion if at is later than the
// failed probe.
func (v *View) RecordSeen(name, by string, at, now int64) []Change {
	m := v.members[name]
	if m == nil || name == v.self || at <= m.LastSeen {
		return nil
	}
	m.LastSeen = min(at, now)
	m.LastSeenBy = by
	if m.State == Suspect && at > m.ProbeFailedAt {
		m.clearedAt = now
		m.refuteRequests = 0
		return []Change{v.transition(m, Alive, by, ReasonSeen, now)}
	}
	if !m.State.IsLive() && by != v.self {
		m.addEvidence(now, by, "heard while not live here")
		v.version++ // makes package membership pass the new LastSeen to package rejoin
	}
	return nil
}

// RecordFailedProbe records evidence that a probe of a member by gateway by failed at time at. An alive member that was
// not seen since at becomes suspect.
func (v *View) RecordFailedProbe(name, by string, at, now int64) []Change {
	m := v.members[name]
	if m == nil || at <= m.ProbeFailedAt || at > now {
		return nil
	}
	m.ProbeFailedAt = at
	m.ProbeFailedBy = by
	if name == v.self {
		m.addEvidence(now, by, "probe failed: this gateway is here")
		return nil
	}
	m.addEvidence(now, by, "probe failed")
	if m.State == Alive && at > m.LastSeen {
		return []Change{v.transition(m, Suspect, by, ReasonProbeFailed, now)}
	}
	return nil
}

// DueRefuteRequests returns the sorted names of the live members that must now be asked to refute a suspicion. Evidence
// has cleared the suspicion in this view, but the detector does not use evidence. It may still hold the suspicion and
// declare the member dead when the suspicion times out, up to half a minute later. Each member is asked
// maxRefuteRequests times, and the delay after the clearing doubles from one request to the next, starting at
// Settings.SettleAfter.
func (v *View) DueRefuteRequests(now int64) (names []string) {
	for name, m := range v.members {
		if m.clearedAt == 0 || now-m.clearedAt < v.settings.SettleAfter<<m.refuteRequests {
			continue
		}
		m.refuteRequests++
		if m.refuteRequests == maxRefuteRequests || !m.State.IsLive() {
			m.clearedAt = 0
		}
		if m.State.IsLive() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

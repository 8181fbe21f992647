package view

import "slices"

// maxRefuteRequests is how often a member is asked to refute one suspicion.
const maxRefuteRequests = 3

// RecordSeen takes the evidence that a member was seen by a gateway at a time.
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
		v.version++ // the peers of package rejoin are read again
	}
	return nil
}

// RecordFailedProbe takes the evidence that a probe of a member by a gateway failed at a time.
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

// DueRefuteRequests returns the live members that are to be asked now to refute a suspicion, sorted. Evidence cleared it here, but the
// detector, which takes no evidence, may still hold it and declare the member dead when it runs out, up to half a minute later. Each
// member is asked maxRefuteRequests times, each time after twice as long.
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

package view

// Join records the detector's report that a gateway is alive. by is the name of the gateway that reported it first.
func (v *View) Join(id ID, by string, now int64) []Change {
	if id.Name == v.self {
		return nil
	}
	m := v.members[id.Name]
	if m == nil {
		return v.joinNew(id, by, now)
	}
	from := m.State
	isOtherProcess := m.Incarnation != id.Incarnation
	reason := ReasonJoined
	switch {
	case isOtherProcess && from != NeverSeen:
		reason = ReasonRestarted
		m.Restarts++
	case from == Dead:
		reason = ReasonCameBack
		m.FalseDeaths++
	}
	if isOtherProcess {
		m.leavingSince = 0
	}
	m.ID = id
	m.LastSeen = max(m.LastSeen, now)
	m.LastSeenBy = by
	m.ProbeFailedAt = 0
	m.clearedAt = 0
	if from.IsLive() && isOtherProcess { // the live set changes in the incarnation, not in the name
		v.liveSetChanged(now)
	}
	if from != Alive {
		return []Change{v.transition(m, Alive, by, reason, now)}
	}
	if !isOtherProcess {
		return nil
	}
	m.addEvidence(now, by, "alive: "+string(reason))
	return []Change{{Name: id.Name, From: from, To: Alive, By: by, Reason: reason, HeldFor: now - m.Since}}
}

// joinNew adds a gateway that the view does not hold as an alive member. It does nothing if the view refuses the
// gateway.
func (v *View) joinNew(id ID, by string, now int64) []Change {
	if v.RefusalOf(id.Name) != "" {
		return nil
	}
	m := v.add(id, Alive, now)
	m.LastSeenBy = by
	m.addEvidence(now, by, "alive: joined")
	v.liveSetChanged(now)
	return []Change{{Name: id.Name, From: NeverSeen, To: Alive, IsNew: true, By: by, Reason: ReasonJoined}}
}

// Update records the detector's report that a live gateway changed its metadata.
func (v *View) Update(id ID, now int64) []Change {
	m := v.members[id.Name]
	if m == nil || id.Name == v.self || m.ID == id {
		return nil
	}
	return v.Join(id, id.Name, now)
}

// MarkGone records the detector's report that a gateway has left or is dead. A member that was marked as dead can later
// be marked as left.
func (v *View) MarkGone(name string, left bool, now int64) []Change {
	m := v.members[name]
	if m == nil || name == v.self || !m.State.IsLive() && !(left && m.State == Dead) {
		return nil
	}
	if left {
		return []Change{v.transition(m, Left, name, ReasonLeft, now)}
	}
	m.Deaths++
	by := v.self
	if m.ProbeFailedBy != "" {
		by = m.ProbeFailedBy
	}
	return []Change{v.transition(m, Dead, by, ReasonUnseen, now)}
}

// MarkPaused records that this process was paused. Its knowledge of the other members is out of date, so the view has
// to settle again.
func (v *View) MarkPaused(now int64) {
	v.members[v.self].addEvidence(now, v.self, "stood still")
	v.liveSetChanged(now)
}

// RecordNameConflict adds evidence that a process at another address claims a member's name.
func (v *View) RecordNameConflict(name, addr string, now int64) {
	if m := v.members[name]; m != nil {
		m.addEvidence(now, addr, "claims the name")
	}
}

// Package view is one gateway's view of the fleet of gateways: who is in it, in which state, since when, by which report and how sure that
// is. It is a pure state machine: reports of the failure detector, heartbeat frames of peers and times go in, changes come out. It does no
// I/O, holds no lock and knows no transport (package membership brings both).
//
// Two sources feed it. The detector (memberlist: SWIM, Das, Gupta and Motivala, DSN 2002, with Lifeguard, Dadgar, Phillips and Currey,
// DSN-W 2018) alone makes a member alive, dead or left (detector.go). Heartbeat evidence is first-hand knowledge that gateways pass on in
// frames (heartbeat.go): "I saw NAME so long ago", "my probe of NAME failed so long ago". It makes a member suspect, clears it and tells
// how sure the view is; it never makes a member dead or brings one back (evidence.go). So wrong or late evidence costs a log line only.
//
// Each frame also has a digest of the live set that its sender sees, and whom the sender knows to see the same (agreement.go). The view
// has settled once its own set has rested for the settle time and every live member is known to see the same set since: agreement that
// was received, not silence taken for it.
//
// Times are whole microseconds of this process's clock. Bounds: Settings.MaxMembers members, self included; maxEvidence pieces of evidence
// each; dead and left members are forgotten after Settings.ReapAfter. Concurrency: for one goroutine at a time, or under its owner's lock.
package view

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Settings bound the view; times in microseconds.
type Settings struct {
	MaxMembers      int   // held, self included
	ExpectedMembers int   // gateways that the operators say there are; 0: not known
	ReapAfter       int64 // dead and left members are forgotten so long after
	SettleAfter     int64 // the live set must rest so long before the view can settle
	EvidenceMaxAge  int64 // older evidence is not passed on
	VerifyAfter     int64 // members that nobody has seen for so long are verified while others are suspect
}

// View is one gateway's view. Use New.
type View struct {
	self      string
	settings  Settings
	members   map[string]*Member
	nameByKey map[uint64]string
	version   uint64

	liveCount     int
	liveChangedAt int64  // when the set of live members last changed
	unsettledAt   int64  // when that, or a member's state, last changed
	digest        uint32 // of the live set, if digestKnown
	digestKnown   bool

	agreement
	settled       bool
	settlingSince int64 // when the settling under way began
	rotation      uint64
}

// New returns a view that holds only self.
func New(self ID, settings Settings, now int64) *View {
	settings.MaxMembers = max(1, settings.MaxMembers)
	v := &View{
		self:      self.Name,
		settings:  settings,
		members:   map[string]*Member{},
		nameByKey: map[uint64]string{NameKey(self.Name): self.Name},
	}
	v.members[self.Name] = &Member{ID: self, State: Alive, Since: now, LastSeen: now, LastSeenBy: self.Name}
	v.liveSetChanged(now)
	return v
}

// Self returns this gateway's name.
func (v *View) Self() string { return v.self }

// RefusalOf returns why a gateway can't be taken into the view, "" if it can. Members that are not live give way to one that joins.
func (v *View) RefusalOf(name string) Refusal {
	if v.members[name] != nil {
		return ""
	}
	if other, taken := v.nameByKey[NameKey(name)]; taken && other != name {
		return KeyTaken
	}
	if len(v.members) >= v.settings.MaxMembers && v.longestGone() == nil {
		return Full
	}
	return ""
}

// longestGone returns the member that has not been live for the longest; nil: all are live.
func (v *View) longestGone() (longest *Member) {
	for _, m := range v.members {
		if m.State.IsLive() || m.Name == v.self {
			continue
		}
		if longest == nil || cmp.Or(cmp.Compare(m.Since, longest.Since), cmp.Compare(m.Name, longest.Name)) < 0 {
			longest = m
		}
	}
	return longest
}

// add adds a member that RefusalOf does not refuse. A full view forgets the longest gone one: joins right after many deaths must be taken.
func (v *View) add(id ID, state State, now int64) *Member {
	if len(v.members) >= v.settings.MaxMembers {
		v.forget(v.longestGone())
	}
	m := &Member{ID: id, State: state, Since: now, LastSeen: now}
	v.members[id.Name] = m
	v.nameByKey[NameKey(id.Name)] = id.Name
	return m
}

func (v *View) forget(m *Member) {
	delete(v.members, m.Name)
	delete(v.nameByKey, NameKey(m.Name))
	v.version++
}

// AddKnown adds a member that is known from disk and that the detector has yet to find. It reports whether there was room for it. Like
// any member that is not live it gives way to one that joins.
func (v *View) AddKnown(id ID, now int64) bool {
	if v.members[id.Name] != nil || v.RefusalOf(id.Name) != "" || len(v.members) >= v.settings.MaxMembers {
		return false
	}
	m := v.add(id, NeverSeen, now)
	m.addEvidence(now, v.self, "known from disk")
	v.version++
	return true
}

// transition moves a member to a state.
func (v *View) transition(m *Member, to State, by string, reason Reason, now int64) Change {
	change := Change{Name: m.Name, From: m.State, To: to, By: by, Reason: reason, HeldFor: now - m.Since, SilentFor: now - m.LastSeen}
	m.State = to
	m.Since = now
	m.addEvidence(now, by, to.String()+": "+string(reason))
	v.version++
	v.unsettledAt = now
	if change.From.IsLive() != to.IsLive() {
		v.liveSetChanged(now)
	}
	return change
}

// Version returns a number that each change of the view raises.
func (v *View) Version() uint64 { return v.version }

// LiveCount returns how many members are live, self included.
func (v *View) LiveCount() int { return v.liveCount }

// LiveNames returns the names of live members, self included, sorted.
func (v *View) LiveNames() []string {
	var names []string
	for name, m := range v.members {
		if m.State.IsLive() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LiveIDs returns the processes of live members, self included, by name.
func (v *View) LiveIDs() []ID {
	ids := make([]ID, 0, v.liveCount)
	for _, m := range v.members {
		if m.State.IsLive() {
			ids = append(ids, m.ID)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int { return strings.Compare(a.Name, b.Name) })
	return ids
}

// Size returns how many members are alive, and the size of the fleet that they are a part of: all who are known and did not leave, or
// what the operators said, if that is more. Unlike LiveCount it leaves out suspects, so one side of a split learns that it is one at
// suspicion, before the deaths.
func (v *View) Size() (alive, fleet int) {
	for _, m := range v.members {
		if m.State == Alive {
			alive++
		}
		if m.State != Left {
			fleet++
		}
	}
	return alive, max(fleet, v.settings.ExpectedMembers)
}

// InMinority reports whether no more than half of the fleet is alive in this view. Two halves are both minorities.
func (v *View) InMinority() bool {
	alive, fleet := v.Size()
	return fleet > 1 && 2*alive <= fleet
}

// Rank returns how many of those who are known and did not leave have a lower name than this gateway.
func (v *View) Rank() (rank int) {
	for name, m := range v.members {
		if m.State != Left && name < v.self {
			rank++
		}
	}
	return rank
}

// Get returns a copy of one member.
func (v *View) Get(name string) (Member, bool) {
	m := v.members[name]
	if m == nil {
		return Member{}, false
	}
	member := *m
	member.evidence = slices.Clone(m.evidence)
	return member, true
}

// Members returns copies of all members, sorted by name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		member, _ := v.Get(name)
		members = append(members, member)
	}
	return members
}

// Package view keeps one gateway's view of the fleet of gateways. For each member it records the state, when and why
// the state last changed, and the evidence for it. It also decides whether the view has settled.
//
// The package is a pure state machine. Its inputs are reports of the failure detector, heartbeat frames of peers and
// times. Its outputs are changes of members' states. It does no I/O, holds no lock and knows no transport; package
// membership provides those.
//
// The view has two sources:
//
//   - The failure detector (memberlist: SWIM, Das, Gupta and Motivala, DSN 2002, with Lifeguard, Dadgar, Phillips and
//     Currey, DSN-W 2018). Only the detector's reports add a member to the live set or remove it (detector.go).
//   - Heartbeat evidence, which gateways forward in heartbeat frames (heartbeat.go). Each record states when a gateway
//     last saw a member, or when its probe of a member failed. Evidence makes a member suspect and clears a suspicion.
//     It never makes a member dead and never revives one (evidence.go), so wrong or late evidence costs no more than a
//     log line.
//
// Each frame also carries a digest of the live set that its sender sees, and the set of members that the sender knows
// to see the same live set (agreement.go). The view settles once its live set has not changed for the settle time and
// every live member has been reported to see the same set since. The absence of reports is never taken as agreement.
//
// Times are whole microseconds of this process's clock. A view holds at most Settings.MaxMembers members, self
// included, and at most maxEvidence pieces of evidence for each member. Dead and left members are removed after
// Settings.ReapAfter. A View is not safe for concurrent use; its owner serializes the calls.
package view

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// Settings are the bounds and intervals of a View. Durations are in microseconds.
type Settings struct {
	MaxMembers      int   // maximum number of members, self included
	ExpectedMembers int   // fleet size configured by the operators; 0 if unknown
	ReapAfter       int64 // time after which a member that is not live is removed
	SettleAfter     int64 // time without a change of the live set that settling requires
	EvidenceMaxAge  int64 // maximum age of evidence that is sent in heartbeat frames
	VerifyAfter     int64 // time without proof of life after which a member is verified while others are suspect
}

// View is one gateway's view of the fleet. Use New to create one.
type View struct {
	self      string
	settings  Settings
	members   map[string]*Member
	nameByKey map[uint64]string
	version   uint64

	liveCount      int
	liveChangedAt  int64  // when the live set last changed
	stateChangedAt int64  // when the live set or the state of a member last changed
	digest         uint32 // digest of the live set, valid if digestKnown is set
	digestKnown    bool

	agreement
	settled       bool
	settlingSince int64  // when the view last became unsettled
	rotation      uint64 // number of seen records sent in frames that did not fit all of them; see nextSeen
}

// New returns a view whose only member is self.
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

// RefusalOf returns the reason why the gateway of the given name cannot become a member, or "" if it can. In a full
// view, a member that is not live is evicted for a gateway that joins, so the view refuses a gateway only if all
// members are live.
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

// longestGone returns the member that has been dead, left or never seen for the longest time, or nil if all members are
// live.
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

// add adds a member that RefusalOf does not refuse. A full view evicts the member that longestGone returns, so that
// gateways can join right after many deaths, before the dead members are reaped.
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

// AddKnown adds a member that was loaded from disk and that the detector has not reported yet. It reports whether the
// member was added. It adds no member to a full view. Like any member that is not live, an added member can be evicted
// for a gateway that joins.
func (v *View) AddKnown(id ID, now int64) bool {
	if v.members[id.Name] != nil || v.RefusalOf(id.Name) != "" || len(v.members) >= v.settings.MaxMembers {
		return false
	}
	m := v.add(id, NeverSeen, now)
	m.addEvidence(now, v.self, "known from disk")
	v.version++
	return true
}

// transition changes the state of a member, adds the change to its evidence and returns it.
func (v *View) transition(m *Member, to State, by string, reason Reason, now int64) Change {
	change := Change{Name: m.Name, From: m.State, To: to, By: by, Reason: reason, HeldFor: now - m.Since, SilentFor: now - m.LastSeen}
	m.State = to
	m.Since = now
	m.addEvidence(now, by, to.String()+": "+string(reason))
	v.version++
	v.stateChangedAt = now
	if change.From.IsLive() != to.IsLive() {
		v.liveSetChanged(now)
	}
	return change
}

// Version returns a counter that increases when a member is added, removed or changes state, when the view becomes
// unsettled, and when a peer has seen a member that is not live here.
func (v *View) Version() uint64 { return v.version }

// LiveCount returns the number of live members, self included.
func (v *View) LiveCount() int { return v.liveCount }

// LiveNames returns the sorted names of the live members, self included.
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

// LiveIDs returns the IDs of the live members, self included, sorted by name.
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

// Size returns the number of alive members and the size of the fleet. The fleet size is the number of known members
// that have not left, or Settings.ExpectedMembers if that is larger. Unlike LiveCount, alive excludes suspects. One
// side of a split therefore detects the split when its probes fail, before the detector declares the other members
// dead.
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

// InMinority reports whether at most half of the fleet is alive in this view. If a fleet splits into two equal halves,
// both are minorities.
func (v *View) InMinority() bool {
	alive, fleet := v.Size()
	return fleet > 1 && 2*alive <= fleet
}

// Rank returns the position of this gateway among the known members that have not left, sorted by name. The first
// position is 0.
func (v *View) Rank() (rank int) {
	for name, m := range v.members {
		if m.State != Left && name < v.self {
			rank++
		}
	}
	return rank
}

// Get returns a copy of the member of the given name and reports whether the view holds it.
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

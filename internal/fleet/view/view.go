// Package view is one gateway's view of the fleet of gateways: who is there, in which state, since when, who said so and how
// sure that is. It is a pure state machine: what the failure detector says, words of life from peers and whole microseconds go
// in, changes come out. It does no I/O, holds no lock and knows no transport (package fleet/membership brings both).
//
// Two sources feed it. The detector (memberlist: SWIM, Das, Gupta and Motivala, DSN 2002, with Lifeguard, Dadgar, Phillips and
// Currey, DSN-W 2018) alone makes a member alive, dead or left. Words (package file words.go) are first-hand evidence that
// gateways pass on: "I heard NAME so long ago", "my probe of NAME failed so long ago". They make a member suspect, clear it,
// and tell how sure the view is; they never make one dead or bring one back. So a wrong or late word costs a line in the log
// and nothing else.
//
// Each gateway also tells a digest of whom it sees, and of whom it knows that they see the same (file agree.go). The view has settled
// once its own set has rested for the settle time and every live member is known to see the same set since: agreement that was
// heard, not silence taken for it.
//
// Bounds: Most members, self included; kept evidence of lastSaid words a member; the dead and the left are forgotten after the
// reap time. Owner: one goroutine or whoever holds its owner's lock; it lives as long as the process.
package view

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// State is what the view holds of a member.
type State int

const (
	NeverSeen State = iota // known from disk or a seed, never seen by this process
	Alive
	Suspect // held alive by the detector, but a probe of it failed after it was last heard
	Dead    // the detector gave it up
	Left    // it said that it goes
)

var stateNames = [...]string{"unheard", "alive", "suspect", "dead", "left"}

func (s State) String() string { return stateNames[s] }

// MarshalText writes the state as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(stateNames[s]), nil }

// UnmarshalText reads the word.
func (s *State) UnmarshalText(text []byte) error {
	*s = State(max(0, slices.Index(stateNames[:], string(text))))
	return nil
}

// IsLive tells whether the member counts as there: the next decisions act on it.
func (s State) IsLive() bool { return s == Alive || s == Suspect }

// ID is one process under a name. Stamp is unlike that of any process before it under the name; the lesser one started first.
type ID struct {
	Name        string   `json:"name"`
	Addr        string   `json:"addr"`
	Incarnation uint64   `json:"stamp"`
	Locality    Locality `json:"place,omitzero"`
}

// Locality is where a gateway stands, as its operators name it; all empty: not told. Nothing is decided by the names, only by which
// gateways share them.
type Locality struct {
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Site   string `json:"site,omitempty"`
}

// NameKey stands for a name in words: a 64-bit hash. Two names of one fleet that share a key are refused (Join).
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// Evidence is one thing somebody said of a member, for explaining.
type Evidence struct {
	At   int64  `json:"at_us"` // whole microseconds of this process's clock
	By   string `json:"by"`
	What string `json:"what"`
}

// Member is what the view holds of one gateway. Times are whole microseconds of this process's clock.
type Member struct {
	ID
	State          State  `json:"state"`
	Since          int64  `json:"since_us"` // when the state was taken
	LastSeen       int64  `json:"heard_us"` // newest proof of life
	LastSeenBy     string `json:"by"`       // whose proof that was
	ProbeFailedAt  int64  `json:"-"`        // newest failed probe that was told
	ProbeFailedBy  string `json:"-"`
	Digest         uint32 `json:"digest"`    // its last word to this gateway itself on whom it sees
	DigestAt       int64  `json:"digest_us"` // when that came
	Restarts       int    `json:"restarts"`  // new stamps seen under the name
	Deaths         int    `json:"deaths"`
	FalseDeaths    int    `json:"wrong"` // deaths after which the same process came back
	clearedAt      int64  // when words cleared a suspicion that the detector may still hold; 0: none
	refuteRequests int    // times it was asked to speak up since
	evidence       []Evidence
}

// Evidence is what was said of the member, oldest first.
func (m Member) Evidence() []Evidence { return m.evidence }

// Change is one change of a member's state.
type Change struct {
	Name       string
	From, To   State
	IsNew      bool // the member was not held before
	By, Reason string
	HeldFor    int64 // for how long the state before was held
	SilentFor  int64 // since the newest proof of life
}

// Settings bound the view; times in whole microseconds.
type Settings struct {
	MaxMembers      int   // members held, self included
	ExpectedMembers int   // gateways that the operators say there are; 0: not said
	ReapAfter       int64 // the dead and the left are forgotten so long after
	SettleAfter     int64 // no change for so long before the view can have settled
	EvidenceMaxAge  int64 // words older than this are not passed on
}

const (
	maxEvidence       = 16 // words kept a member
	maxRefuteRequests = 3
)

// View is one gateway's view. Use New.
type View struct {
	self          string
	settings      Settings
	members       map[string]*Member
	nameByKey     map[uint64]string
	version       uint64
	liveChangedAt int64  // when the set of live members last changed
	unsettledAt   int64  // when that, or a suspicion, was last news
	liveCount     int    // how many are in it
	digest        uint32 // of that set, if it is known
	digestKnown   bool
	agreement
	settled       bool
	settlingSince int64 // what the settling under way began with
	rotation      uint64
}

// New starts a view that holds only self.
func New(self ID, set Settings, now int64) *View {
	set.MaxMembers = max(1, set.MaxMembers)
	v := &View{self: self.Name, settings: set, members: map[string]*Member{}, nameByKey: map[uint64]string{NameKey(self.Name): self.Name}}
	v.members[self.Name] = &Member{ID: self, State: Alive, Since: now, LastSeen: now, LastSeenBy: self.Name}
	v.liveSetChanged(now)
	return v
}

// Self is this gateway's name.
func (v *View) Self() string { return v.self }

func (m *Member) addEvidence(now int64, by, what string) {
	if len(m.evidence) > 0 && m.evidence[len(m.evidence)-1].By == by && m.evidence[len(m.evidence)-1].What == what {
		m.evidence[len(m.evidence)-1].At = now
		return
	}
	if len(m.evidence) == maxEvidence {
		m.evidence = slices.Delete(m.evidence, 0, 1)
	}
	m.evidence = append(m.evidence, Evidence{now, by, what})
}

// transition moves a member to a state.
func (v *View) transition(m *Member, to State, by, why string, now int64) Change {
	c := Change{Name: m.Name, From: m.State, To: to, By: by, Reason: why, HeldFor: now - m.Since, SilentFor: now - m.LastSeen}
	was := m.State
	m.State, m.Since = to, now
	m.addEvidence(now, by, to.String()+": "+why)
	v.version++
	v.unsettledAt = now
	if was.IsLive() != to.IsLive() {
		v.liveSetChanged(now)
	}
	return c
}

// liveSetChanged takes note that the live set is another one.
func (v *View) liveSetChanged(now int64) {
	v.version++
	v.liveChangedAt, v.unsettledAt = now, now
	if v.settled || v.settlingSince == 0 {
		v.settlingSince = now
	}
	v.settled, v.digestKnown = false, false
	v.startGeneration()
	v.liveCount = 0
	for _, m := range v.members {
		if m.State.IsLive() {
			v.liveCount++
		}
	}
}

// computeDigest is a digest of the live set: names with stamps, sorted.
func (v *View) computeDigest() uint32 {
	h := xxhash.New()
	var b [8]byte
	for _, name := range v.LiveNames() {
		h.WriteString(name)
		binary.LittleEndian.PutUint64(b[:], v.members[name].Incarnation)
		h.Write(b[:])
	}
	return uint32(h.Sum64())
}

// Refusal is why a gateway is not taken into the view.
type Refusal string

const (
	Full     Refusal = "full"      // Most members are held, all of them live
	KeyTaken Refusal = "key_taken" // its name has the key of another's
)

// RefusalOf tells whether a gateway could be taken; "" if so. Dead and left members give way to a live one.
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

// longestGone is the member that is not live and has been so the longest.
func (v *View) longestGone() (least *Member) {
	for _, m := range v.members {
		if m.State.IsLive() || m.Name == v.self {
			continue
		}
		if least == nil || cmp.Or(cmp.Compare(m.Since, least.Since), cmp.Compare(m.Name, least.Name)) < 0 {
			least = m
		}
	}
	return least
}

func (v *View) add(id ID, state State, now int64) *Member {
	if len(v.members) >= v.settings.MaxMembers { // a join storm right after many deaths must find room: the longest dead goes
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

// AddKnown takes a member from disk: it is unheard until the detector finds it. Its place is the first to be given up.
func (v *View) AddKnown(id ID, now int64) bool {
	if v.members[id.Name] != nil || v.RefusalOf(id.Name) != "" || len(v.members) >= v.settings.MaxMembers {
		return false
	}
	m := v.add(id, NeverSeen, now)
	m.addEvidence(now, v.self, "known from disk")
	v.version++
	return true
}

// Join takes the detector's word that a gateway is alive, by whom it was first said where that is known.
func (v *View) Join(id ID, by string, now int64) []Change {
	if id.Name == v.self {
		return nil
	}
	m := v.members[id.Name]
	if m == nil {
		if v.RefusalOf(id.Name) != "" {
			return nil
		}
		m = v.add(id, Alive, now)
		m.LastSeenBy = by
		m.addEvidence(now, by, "alive: joined")
		v.liveSetChanged(now)
		return []Change{{Name: id.Name, From: NeverSeen, To: Alive, IsNew: true, By: by, Reason: "joined"}}
	}
	why := "joined"
	switch {
	case m.Incarnation != id.Incarnation && m.State != NeverSeen:
		why = "restarted"
		m.Restarts++
	case m.State == Dead:
		why = "came_back" // the same process: its death was a wrong one, or the way to it had been cut
		m.FalseDeaths++
	}
	was := m.State
	newer := m.Incarnation != id.Incarnation
	m.ID = id
	m.LastSeen, m.LastSeenBy, m.ProbeFailedAt, m.clearedAt = max(m.LastSeen, now), by, 0, 0
	if was.IsLive() && newer { // the live set has another process in it, though the name was in it before
		v.liveSetChanged(now)
	}
	if was == Alive {
		if !newer {
			return nil
		}
		m.addEvidence(now, by, "alive: "+why)
		return []Change{{Name: id.Name, From: was, To: Alive, By: by, Reason: why, HeldFor: now - m.Since}}
	}
	return []Change{v.transition(m, Alive, by, why, now)}
}

// Update takes the detector's word that a live gateway told other things of itself.
func (v *View) Update(id ID, now int64) []Change {
	m := v.members[id.Name]
	if m == nil || id.Name == v.self || m.ID == id {
		return nil
	}
	return v.Join(id, id.Name, now)
}

// MarkGone takes the detector's word that a gateway is dead, or has left.
func (v *View) MarkGone(name string, left bool, now int64) []Change {
	m := v.members[name]
	if m == nil || name == v.self || !m.State.IsLive() && !(left && m.State == Dead) {
		return nil
	}
	if left {
		return []Change{v.transition(m, Left, name, "left", now)}
	}
	m.Deaths++
	by, why := v.self, "no_proof_of_life"
	if m.ProbeFailedBy != "" {
		by = m.ProbeFailedBy
	}
	return []Change{v.transition(m, Dead, by, why, now)}
}

// RecordSeen takes a proof of life: by heard the member at a time.
func (v *View) RecordSeen(name, by string, at, now int64) []Change {
	m := v.members[name]
	if m == nil || name == v.self || at <= m.LastSeen {
		return nil
	}
	m.LastSeen, m.LastSeenBy = min(at, now), by
	if m.State == Suspect && at > m.ProbeFailedAt {
		m.clearedAt, m.refuteRequests = now, 0
		return []Change{v.transition(m, Alive, by, "heard", now)}
	}
	if !m.State.IsLive() && by != v.self {
		m.addEvidence(now, by, "heard while not live here")
		v.version++ // who looks for the lost wants to know
	}
	return nil
}

// DueRefuteRequests are live members that are to be asked to speak up now: words cleared a suspicion of them here, and the detector, which heeds
// no words, may still hold it (it missed their refutation) and take them for dead when it runs out, up to half a minute later. Each is
// asked mostAsks times, each time after twice as long.
func (v *View) DueRefuteRequests(now int64) (names []string) {
	for name, m := range v.members {
		if m.clearedAt == 0 || now-m.clearedAt < v.settings.SettleAfter<<m.refuteRequests {
			continue
		}
		if m.refuteRequests++; m.refuteRequests == maxRefuteRequests || !m.State.IsLive() {
			m.clearedAt = 0
		}
		if m.State.IsLive() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordFailedProbe takes the word that a probe by somebody of a member failed at a time.
func (v *View) RecordFailedProbe(name, by string, at, now int64) []Change {
	m := v.members[name]
	if m == nil || at <= m.ProbeFailedAt || at > now {
		return nil
	}
	m.ProbeFailedAt, m.ProbeFailedBy = at, by
	if name == v.self {
		m.addEvidence(now, by, "probe failed: this gateway is here")
		return nil
	}
	m.addEvidence(now, by, "probe failed")
	if m.State == Alive && at > m.LastSeen {
		return []Change{v.transition(m, Suspect, by, "probe_failed", now)}
	}
	return nil
}

// MarkPaused takes note that this process stood still: what it held of others is old, so the view has not settled.
func (v *View) MarkPaused(now int64) {
	v.members[v.self].addEvidence(now, v.self, "stood still")
	v.liveSetChanged(now)
}

// Tick moves time on to now: who is forgotten, and whether the view has settled since (told once a settling, with how long it
// took).
func (v *View) Tick(now int64) (forgotten []string, settled bool, took int64) {
	if len(v.members) > v.liveCount {
		for name, m := range v.members {
			if !m.State.IsLive() && now-m.Since >= v.settings.ReapAfter {
				v.forget(m)
				forgotten = append(forgotten, name)
			}
		}
		slices.Sort(forgotten)
	}
	v.members[v.self].LastSeen = now
	if v.settled || now-v.liveChangedAt < v.settings.SettleAfter || !v.allAgree() {
		return forgotten, false, 0
	}
	v.settled = true
	return forgotten, true, now - v.settlingSince
}

// DifferingAddrs are the addresses of live members that told this gateway, since its view rested for the settle time, that they see others;
// sorted.
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

// Version is raised by every change of the view.
func (v *View) Version() uint64 { return v.version }

// Digest stands for the set of live members. It is made when it is asked for: many changes come at once.
func (v *View) Digest() uint32 {
	if !v.digestKnown {
		v.digest, v.digestKnown = v.computeDigest(), true
	}
	return v.digest
}

// LiveCount is how many live members there are, self included.
func (v *View) LiveCount() int { return v.liveCount }

// Settled tells whether the view has settled and nothing changed since.
func (v *View) Settled() bool { return v.settled }

// LiveNames returns the names of alive and suspect members, self included, sorted.
func (v *View) LiveNames() []string {
	var out []string
	for name, m := range v.members {
		if m.State.IsLive() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LiveIDs returns the processes of alive and suspect members, self included, by name.
func (v *View) LiveIDs() []ID {
	out := make([]ID, 0, v.liveCount)
	for _, m := range v.members {
		if m.State.IsLive() {
			out = append(out, m.ID)
		}
	}
	slices.SortFunc(out, func(a, b ID) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Size is how much of the fleet is seen: members that are alive, and the fleet they are a part of. The fleet is all who are
// known and have not left, or what the operators said there are, if more. Unlike Live, a suspect does not count as seen: one
// side of a split learns what it is at suspicion, not only at death.
func (v *View) Size() (seen, fleet int) {
	for _, m := range v.members {
		if m.State == Alive {
			seen++
		}
		if m.State != Left {
			fleet++
		}
	}
	return seen, max(fleet, v.settings.ExpectedMembers)
}

// Rank is this gateway's place, by name, among all who are known and did not leave.
func (v *View) Rank() (n int) {
	for name, m := range v.members {
		if m.State != Left && name < v.self {
			n++
		}
	}
	return n
}

// InMinority tells whether this gateway sees no more than half of the fleet: it must not act as if it were the fleet. Of an even
// split both halves are minorities.
func (v *View) InMinority() bool {
	seen, fleet := v.Size()
	return fleet > 1 && 2*seen <= fleet
}

// Get returns what the view holds of one member.
func (v *View) Get(name string) (Member, bool) {
	m := v.members[name]
	if m == nil {
		return Member{}, false
	}
	out := *m
	out.evidence = slices.Clone(m.evidence)
	return out, true
}

// Members returns all members, sorted by name.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m, _ := v.Get(name)
		out = append(out, m)
	}
	return out
}

// RecordNameConflict takes note that somebody at another address says that it has a member's name.
func (v *View) RecordNameConflict(name, addr string, now int64) {
	if m := v.members[name]; m != nil {
		m.addEvidence(now, addr, "claims the name")
	}
}

// ShouldGossip tells whether words should ride on gossip: something was news within the least time, or the view has not settled since
// it changed, up to the most (a fleet that cannot agree, as across a half-open cut, must not talk for ever). Suspicions count, so
// that the smaller side of a split learns from all its members' probes together that it is one.
func (v *View) ShouldGossip(now, least, most int64) bool {
	return now-v.unsettledAt < least || !v.settled && now-v.liveChangedAt < most
}

// LiveChangedAt is when the set of live members last changed.
func (v *View) LiveChangedAt() int64 { return v.liveChangedAt }

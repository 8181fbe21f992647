// Package view is one gateway's view of the fleet of gateways: who is there, in which state, since when, and who said so.
// It is a pure state machine in the manner of SWIM's dissemination rules (Das, Gupta, Motivala, DSN 2002, section 4.2):
// updates and whole microseconds go in, changes come out; the transport (memberlist, or the virtual clock) stays beside it.
//
// Precedence of an update about one member: a higher incarnation wins; at the same incarnation dead and left beat
// suspect, and suspect beats alive. An update that suspects this gateway itself is refuted by raising its own
// incarnation. A suspect not refuted within the suspicion time is taken for dead. Dead and left members are forgotten
// after the reap time, and the view never holds more than Max members: it is bounded by its settings, owned by one
// goroutine (no lock), and lives as long as the process.
package view

import (
	"cmp"
	"slices"
)

// State is what the view holds of a member.
type State int

const (
	Alive State = iota
	Suspect
	Dead
	Left
)

func (s State) String() string { return [...]string{"alive", "suspect", "dead", "left"}[s] }

// rank orders states at one incarnation: the higher one wins.
func (s State) rank() int { return [...]int{0, 1, 2, 2}[s] }

// Update is one word about a member: its name, incarnation and state, and the gateway that said it.
type Update struct {
	Name        string
	Incarnation uint64
	State       State
	From        string
}

// Member is what the view holds of one gateway. Since and Heard are whole microseconds of the caller's clock.
type Member struct {
	Name        string
	Incarnation uint64
	State       State
	Since       int64  // when the state was taken
	Heard       int64  // when last heard of
	From        string // who said the state
}

// Settings bound the view; all times in whole microseconds.
type Settings struct {
	Max       int   // members held at most, self included
	SuspectUs int64 // a suspect not refuted so long is dead
	ReapUs    int64 // a dead or left member is forgotten so long after
	SettleUs  int64 // no change for so long: the view has settled
}

// View is one gateway's view. The zero value is not usable: use New.
type View struct {
	self    string
	set     Settings
	members map[string]*Member
	version uint64 // raised by every change
	changed int64  // when the last change was taken
}

// New starts a view holding only self, alive at incarnation 1. Max below 1 is taken as 1.
func New(self string, set Settings, now int64) *View {
	if set.Max < 1 {
		set.Max = 1
	}
	v := &View{self: self, set: set, members: map[string]*Member{}, changed: now}
	v.members[self] = &Member{Name: self, Incarnation: 1, Since: now, Heard: now, From: self}
	v.version = 1
	return v
}

// Apply takes one update at now and returns the update this gateway should spread in its place, if any: the same
// update when it changed the view, a refutation when it suspected this gateway, nothing when it was old news or the
// view is full. Updates about unknown members that are not alive are not taken (nothing to forget later).
func (v *View) Apply(u Update, now int64) (spread Update, ok bool) {
	if u.Name == v.self {
		me := v.members[v.self]
		if u.State == Alive || u.Incarnation < me.Incarnation {
			return Update{}, false
		}
		// Refute: a word that this gateway is not alive is answered by a higher incarnation (SWIM 4.2).
		me.Incarnation = u.Incarnation + 1
		me.Heard = now
		v.mark(now)
		return Update{Name: v.self, Incarnation: me.Incarnation, State: Alive, From: v.self}, true
	}
	m, known := v.members[u.Name]
	if !known {
		if u.State != Alive || len(v.members) >= v.set.Max {
			return Update{}, false
		}
		v.members[u.Name] = &Member{Name: u.Name, Incarnation: u.Incarnation, State: Alive, Since: now, Heard: now, From: u.From}
		v.mark(now)
		return u, true
	}
	m.Heard = max(m.Heard, now)
	newer := u.Incarnation > m.Incarnation
	stronger := u.Incarnation == m.Incarnation && u.State.rank() > m.State.rank()
	if !newer && !stronger {
		return Update{}, false
	}
	if m.State == u.State && m.Incarnation != u.Incarnation {
		m.Incarnation = u.Incarnation
		return u, true // a new incarnation in the same state changes nothing others rely on
	}
	*m = Member{Name: u.Name, Incarnation: u.Incarnation, State: u.State, Since: now, Heard: now, From: u.From}
	v.mark(now)
	return u, true
}

// Tick moves time to now: suspects past the suspicion time become dead (returned, to be spread), dead and left
// members past the reap time are forgotten.
func (v *View) Tick(now int64) (spread []Update) {
	for name, m := range v.members {
		switch {
		case m.State == Suspect && now-m.Since >= v.set.SuspectUs:
			m.State, m.Since, m.From = Dead, now, v.self
			v.mark(now)
			spread = append(spread, Update{Name: name, Incarnation: m.Incarnation, State: Dead, From: v.self})
		case (m.State == Dead || m.State == Left) && now-m.Since >= v.set.ReapUs:
			delete(v.members, name)
			v.mark(now)
		}
	}
	slices.SortFunc(spread, func(a, b Update) int { return cmp.Compare(a.Name, b.Name) })
	return spread
}

func (v *View) mark(now int64) { v.version++; v.changed = now }

// Version is raised by every change of the view.
func (v *View) Version() uint64 { return v.version }

// Settled tells whether nothing changed for the settle time up to now.
func (v *View) Settled(now int64) bool { return now-v.changed >= v.set.SettleUs }

// Live returns the names of alive and suspect members, self included, sorted.
func (v *View) Live() []string {
	var out []string
	for name, m := range v.members {
		if m.State == Alive || m.State == Suspect {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Minority tells whether this gateway sees no more than half of the members it knows that have not left: the side of a
// split that must not act as if it were the fleet (issues of fleet limits and shares read it). Unlike Live, a suspect
// does not count as seen here: a side of a split learns it is the smaller one at suspicion, not only at death.
func (v *View) Minority() bool {
	known, alive := 0, 0
	for _, m := range v.members {
		if m.State == Left {
			continue
		}
		known++
		if m.State == Alive {
			alive++
		}
	}
	return 2*alive <= known
}

// Get returns what the view holds of one member.
func (v *View) Get(name string) (Member, bool) {
	m, ok := v.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

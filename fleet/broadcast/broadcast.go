// Package broadcast spreads purges among gateways. It is pure: what the own discovery watch told, frames of peers, the members of the view and
// whole microseconds go in; frames to send and purges to heed come out.
package broadcast

import "math/rand/v2"

// Kind is the first byte of every frame, beside other things that gateways say.
const Kind = 4

// Place is where a gateway stands.
type Place struct{ Region, Zone, Site string }

// Member is a live gateway of the view.
type Member struct {
	Name  string
	Place Place
}

// Purge is one; the whole value is its identity, and no number of any watch is.
type Purge struct {
	Object string // "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// Letter is a frame to send to a member, as a datagram.
type Letter struct {
	To    string
	Frame []byte
}

// Settings are times in whole microseconds, rates in bytes a second.
type Settings struct {
	Unix   int64 // Unix milliseconds when now was 0; 0: not known, and only what is heard tells the time
	Keep   int64 // a purge is kept for so long from its issue
	Most   int   // purges kept
	Rate   int64 // bytes a second in and out together, UDP and IP included, that repair keeps within
	Gather int64 // purges of the own watch wait for others so long, to go in one batch
}

// Usual are the settings for the whole fleet.
var Usual = Settings{Keep: 3_900_000_000, Most: 400_000, Rate: 9_000, Gather: 200_000}

// Stats are counters since New, and what is at hand.
type Stats struct {
	Parent   string   // "": the root, or not in the list
	Children []string // at most 3
	Behind   Behind
}

// Behind tells what this gateway knows that it lacks; its own watch remains the authority, and nothing is refused for it.
type Behind struct {
	Batches int   // heard of and not had
	Seconds int   // of issue time whose sums differ from the last peer's that was asked
	Since   int64 // of now; 0: not behind
}

// Node is one gateway's. No lock: its owner is its carrier.
type Node struct {
	set    Settings
	self   Member
	chance *rand.Rand
	out    []Letter
	stats  Stats
}

// New makes a node; stamp differs at each start of a process.
func New(set Settings, self Member, stamp uint64, chance *rand.Rand, now int64) *Node {
	return &Node{set: set, self: self, chance: chance}
}

// See takes the live members by the view, self included, in any order. The slice is the node's to read from then on: a sorted one
// (SortMembers) is held and not copied.
func (n *Node) See(members []Member, now int64) {}

// Own takes what the own discovery watch told.
func (n *Node) Own(purges []Purge, now int64) {}

// Take takes a frame of a peer and returns what was not known here; an error is an unreadable frame, counted.
func (n *Node) Take(from string, frame []byte, now int64) (heed []Purge, err error) { return nil, nil }

// Step does what is due.
func (n *Node) Step(now int64) {}

// Next is when Step is due.
func (n *Node) Next() int64 { return 1<<63 - 1 }

// Out drains what is to be sent.
func (n *Node) Out() []Letter { out := n.out; n.out = nil; return out }

// Stats gives the counters.
func (n *Node) Stats() Stats { return n.stats }

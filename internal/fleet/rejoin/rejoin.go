// Package rejoin decides which addresses a gateway contacts to join its fleet after a start, and to rejoin it after a
// network partition or a pause of the process. The package does no I/O, reads no clock and has no random source of its
// own. Its input is the members of the gateway's view, the time and a random source. Its output is the address to
// contact. Package membership makes the contacts.
//
// The failure detector gossips to dead members only for a limited time (GossipToTheDeadTime). Without this package the
// two sides of a partition that lasts longer would remain two separate fleets. The rules are:
//
//   - A gateway without live peers contacts the seeds and all lost members in a shuffled order. The time between two
//     contacts has full jitter; its upper bound starts at InitialBackoff and doubles in each round up to MaxBackoff
//     (backoff with full jitter, AWS Architecture Blog, Brooker, 2015). Gateways that start at the same time therefore
//     don't contact each other at the same time.
//   - A gateway with live peers may contact one lost member in every RejoinInterval, give or take a quarter. The
//     probability is contactsPerInterval x lost / live. The fleet as a whole therefore contacts a dead gateway about
//     contactsPerInterval times in an interval, whatever the size of the fleet (Serf reconnects in the same way). If
//     half of the fleet is lost, each gateway of the other half makes a contact in every interval.
//   - A member that has been lost for long is contacted less often: after an eighth of the time since it was lost, at
//     most MaxRejoinInterval.
//   - A seed address that no live or lost member has counts as lost since the time at which this gateway got its first
//     live peer.
//   - A lost member that a peer has seen since it was lost is contacted at once, but at most once in a RejoinInterval,
//     because the network path to it is probably open again.
//   - While live members report another live set than this gateway has, it may contact one of them in every
//     DifferInterval. The probability is contactsPerInterval x differing / live. Gossip occasionally misses a member,
//     because each message is sent only about 4 log10(n) times, and the detector exchanges full states only every half
//     minute. The gateway that missed a message sees that all others differ and contacts one of them at once. The
//     others see one member that differs and rarely contact it.
//   - After a pause of the process one live member is contacted at once, so that the other gateways learn early that
//     this gateway is back.
//   - If two processes claim one name, the process that started later defers. It tries the name again after a backoff
//     that starts at InitialNameBackoff and doubles up to MaxNameBackoff.
//
// Times are in whole microseconds. A Scheduler holds one entry for each lost member or missing seed that it contacted,
// and drops the entry when the address is live or is no longer lost or a seed. It is not safe for concurrent use.
package rejoin

// contactsPerInterval is the expected number of contacts that the fleet as a whole makes with one lost or differing
// member in an interval.
const contactsPerInterval = 4

// Settings are the times of a Scheduler in microseconds.
type Settings struct {
	InitialBackoff     int64 // first upper bound of the time between contacts without live peers
	MaxBackoff         int64
	RejoinInterval     int64 // time between contacts of lost members
	MaxRejoinInterval  int64 // longest time between contacts of one lost member
	DifferInterval     int64 // time between contacts of members that see another live set
	InitialNameBackoff int64 // first backoff before a name that another process claims is tried again
	MaxNameBackoff     int64
}

// Lost is a member that is not live in this gateway's view and did not leave on its own.
type Lost struct {
	Addr     string
	LostAt   int64
	LastSeen int64 // time of the newest evidence from any peer that the member runs
}

// Peers is the part of a gateway's view that the scheduler needs.
type Peers struct {
	Self  string   // this gateway's address
	Live  []string // addresses of the other live members
	Lost  []Lost
	Seeds []string // seed addresses, which may include this gateway's own
}

// Reason is the reason for a contact. Its text is written to the log.
type Reason string

// Reasons for contacts.
const (
	ReasonStart    Reason = "start"   // this gateway has no live peers
	ReasonRejoin   Reason = "rejoin"  // a lost member or missing seed is due
	ReasonSeen     Reason = "heard"   // a peer has seen a lost member
	ReasonDiffer   Reason = "differ"  // a live member sees another live set
	ReasonResumed  Reason = "awake"   // this process resumed after a pause
	ReasonConflict Reason = "claimed" // another process claims this gateway's name
)

// Contact is an address to contact and the reason for the contact.
type Contact struct {
	Addr   string
	Reason Reason
}

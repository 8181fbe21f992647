// Package rejoin decides which addresses a gateway contacts to find its fleet, and to find it again: after its start, after a cut was
// mended, after a pause. It is pure: what the view holds and times go in, an address to contact comes out, random numbers come from the
// caller. Package membership makes the contacts.
//
// It is needed since the detector gossips to the dead for a while (GossipToTheDeadTime) and then no more, so two sides of a cut that
// outlasts that would stay two fleets for good. The rules:
//
//   - Alone, a gateway contacts the seeds and every member it ever knew, in a shuffled order, with full jitter from InitialBackoff,
//     doubled up to MaxBackoff (backoff with full jitter as in the AWS Architecture Blog, Brooker, 2015): gateways that start at once
//     don't contact each other at once.
//   - In company, every RejoinInterval, give or take a quarter, it contacts one lost member with the probability contactsPerInterval x
//     lost / live. So a dead gateway is contacted some contactsPerInterval times an interval by the fleet as a whole, however large it
//     is (Serf reconnects in the same way), and a half that lost the other half makes all the contacts it may.
//   - A member that has been lost for long is contacted more seldom: each eighth of the time it has been lost, at most MaxRejoinInterval.
//   - Seeds that no member has count as lost since this gateway found company.
//   - A lost member that a peer has seen since is contacted at once, but at most once a RejoinInterval: the way is open again.
//   - While live members report that they see another set than this gateway, it contacts one of them every DifferInterval with the
//     probability contactsPerInterval x differing / live. Gossip misses a member now and then (each message is sent some 4 log10(n)
//     times), and the detector's own exchange of whole states comes only every half minute. The one that missed something sees all others
//     differ and contacts one at once; the others leave it to that one.
//   - After a pause one live member is contacted at once, so that the others learn early that this gateway is back.
//   - Of two processes with one name the one that started later defers, and tries again after InitialNameBackoff, doubled up to
//     MaxNameBackoff.
//
// Times are whole microseconds. Bounds: an entry for each lost member or missing seed that was contacted, dropped with it. Concurrency:
// for one goroutine at a time, or under its owner's lock.
package rejoin

// contactsPerInterval is how often the fleet as a whole contacts one lost or differing member in an interval.
const contactsPerInterval = 4

// Settings are times in microseconds.
type Settings struct {
	InitialBackoff     int64 // between contacts while alone
	MaxBackoff         int64
	RejoinInterval     int64 // between contacts of lost members
	MaxRejoinInterval  int64 // for those that have been lost for long
	DifferInterval     int64 // between contacts of members that see another live set
	InitialNameBackoff int64 // between tries of a name that is taken
	MaxNameBackoff     int64
}

// Lost is a member that is not live here and did not leave by its own will.
type Lost struct {
	Addr     string
	LostAt   int64
	LastSeen int64 // newest proof that it runs, by whichever peer
}

// Peers is what the scheduler needs of a view.
type Peers struct {
	Self  string   // this gateway's address
	Live  []string // addresses of the other live members
	Lost  []Lost
	Seeds []string // addresses, among them perhaps this gateway's own
}

// Reason is why an address is contacted. Its text is part of log lines.
type Reason string

// Reasons of contacts.
const (
	ReasonStart    Reason = "start"   // this gateway is alone
	ReasonRejoin   Reason = "rejoin"  // a lost member or missing seed is due
	ReasonSeen     Reason = "heard"   // a peer saw a lost member
	ReasonDiffer   Reason = "differ"  // a live member sees another live set
	ReasonResumed  Reason = "awake"   // this process ran on after a pause
	ReasonConflict Reason = "claimed" // another process claims this gateway's name
)

// Contact is an address to contact, and why.
type Contact struct {
	Addr   string
	Reason Reason
}

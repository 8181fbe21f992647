// Package rejoin decides whom a gateway calls to find the fleet, and to find it again: after its start, after a cut was mended,
// after it stood still. It is pure: what the view holds and whole microseconds go in, an address to call comes out, chance comes
// from the caller. Who calls is package fleet/membership.
//
// Why it is needed: the detector gossips to the dead for a while (GossipToTheDeadTime) and then no more, so two sides of a cut
// that outlasts that would stay two fleets for ever. The rules:
//
//   - Alone, a gateway calls seeds and everybody it ever knew, in a shuffled order, with full jitter from First, doubled up to
//     Most (backoff with full jitter as in the AWS Architecture Blog, Brooker, 2015): gateways that start at once do not call at once.
//   - In company, every Rejoin (give or take a quarter) it calls one who is lost, with a chance of crowd x lost / live. So one dead
//     gateway is called some crowd times an interval by the fleet as a whole, however large (as Serf reconnects, by chance), and
//     a half that lost the other half calls with all it has.
//   - Who is lost for long is called more seldom: as often as an eighth of the time it has been lost, at most RejoinMost.
//   - Seeds that nobody here has count as lost since this gateway found company.
//   - A lost one that somebody heard since is called at once, but each at most once a Rejoin: the way is open again.
//   - While live members say that they see others than this gateway does, it calls one of them every Differ, with a chance of
//     crowd x differing / live: gossip misses a member now and then (each message is told some 4 log10(n) times and no more), and
//     the detector's own exchange of whole states comes only every half minute. The one that missed something sees all others
//     differ and calls at once; the others leave it to that one.
//   - After standing still, one live member is called at once, so that the others learn early that this gateway is back.
//   - Of two processes with one name the one that started later yields, and asks again after Claim, doubled up to ClaimMost.
//
// Bounds: calls one at a time; an entry for each lost address given, dropped with it. Owner: package fleet/membership.
package rejoin

import (
	"math/rand/v2"
	"slices"
)

const contactsPerInterval = 4

// Settings are times in whole microseconds.
type Settings struct {
	InitialBackoff, MaxBackoff         int64 // between calls while alone
	RejoinInterval, MaxRejoinInterval  int64 // between calls for the lost
	DifferInterval                     int64 // between calls of those who see others
	InitialNameBackoff, MaxNameBackoff int64 // between tries of one whose name is taken
}

// Lost is a gateway that is not here and did not say that it goes.
type Lost struct {
	Addr     string
	LostAt   int64 // when it was lost
	LastSeen int64 // newest proof of life, by whomever
}

// Peers is what the view holds, as far as it matters here.
type Peers struct {
	Live  []string // addresses of live members but this gateway
	Lost  []Lost
	Seeds []string // addresses; those of live members and of this gateway itself count as found
	Self  string
}

// Contact is an address to call, and why.
type Contact struct{ Addr, Reason string }

// Why a call is made.
const (
	ReasonStart   = "start"  // alone
	ReasonRejoin  = "rejoin" // lost ones, seeds nobody here has
	ReasonSeen    = "heard"  // a lost one that somebody heard
	ReasonDiffer  = "differ" // one who sees others
	ReasonResumed = "awake"  // after standing still
)

// Scheduler decides. Use New.
type Scheduler struct {
	settings     Settings
	rng          *rand.Rand
	nextAt       int64 // the next turn
	backoff      int64 // while alone
	companySince int64 // since when it has been in company; 0: alone
	queue        []string
	contactedAt  map[string]int64
	resumed      bool
	differAt     int64 // the next turn for those who differ
	nameRetryAt  int64 // when to try again under a name that was taken; 0: it is ours
	nameBackoff  int64 // what was waited last
}

// New makes a desk.
func New(set Settings, chance *rand.Rand, now int64) *Scheduler {
	return &Scheduler{settings: set, rng: chance, nextAt: now, contactedAt: map[string]int64{}}
}

// jitter is a time give or take a quarter.
func (d *Scheduler) jitter(t int64) int64 { return t*3/4 + d.rng.Int64N(t/2+1) }

// MarkResumed takes note that this process stood still.
func (d *Scheduler) MarkResumed() { d.resumed = true }

// Next tells whom to call now, if anybody. differ gives the addresses of live members that see others; it is asked when its turn has
// come.
func (d *Scheduler) Next(now int64, s Peers, differ func() []string) (Contact, bool) {
	if d.nameRetryAt > 0 {
		return Contact{}, false
	}
	d.forgetFound(s)
	if len(s.Live) == 0 {
		d.resumed, d.companySince = false, 0
		return d.nextAlone(now, s)
	}
	if d.companySince == 0 {
		// Gateways that start at once find each other in islands: one that is called stops being alone before it made its own
		// calls, and calls that failed while the others were not up yet say nothing. All that are still missing are due anew.
		d.companySince, d.backoff, d.queue = now, 0, nil
		clear(d.contactedAt)
		d.nextAt = now + d.rng.Int64N(d.settings.InitialBackoff*5+1)
	}
	if d.resumed {
		d.resumed = false
		return d.contact(s.Live[d.rng.IntN(len(s.Live))], ReasonResumed, now), true
	}
	for _, l := range s.Lost {
		if last, was := d.contactedAt[l.Addr]; l.LastSeen > l.LostAt && (!was || now-last >= d.settings.RejoinInterval && last < l.LastSeen) {
			return d.contact(l.Addr, ReasonSeen, now), true
		}
	}
	if now >= d.differAt {
		d.differAt = now + d.jitter(d.settings.DifferInterval)
		if call, ok := d.drawOne(differ(), ReasonDiffer, now, s); ok {
			return call, true
		}
	}
	if now < d.nextAt {
		return Contact{}, false
	}
	d.nextAt = now + d.jitter(d.settings.RejoinInterval)
	return d.drawOne(d.due(now, s), ReasonRejoin, now, s)
}

// drawOne draws whether this gateway calls one of some, so that the fleet as a whole does so crowd times for each of them.
func (d *Scheduler) drawOne(of []string, why string, now int64, s Peers) (Contact, bool) {
	if len(of) == 0 || d.rng.Float64()*float64(len(s.Live)+1) >= float64(contactsPerInterval*len(of)) {
		return Contact{}, false
	}
	return d.contact(of[d.rng.IntN(len(of))], why, now), true
}

// due are the lost ones and missing seeds whose time has come.
func (d *Scheduler) due(now int64, s Peers) (due []string) {
	for _, l := range s.Lost {
		gap := min(max((now-l.LostAt)/8, d.settings.RejoinInterval), d.settings.MaxRejoinInterval)
		if last, was := d.contactedAt[l.Addr]; !was || now-last >= gap {
			due = append(due, l.Addr)
		}
	}
	for _, addr := range missingSeeds(s) {
		gap := min(max((now-d.companySince)/8, d.settings.RejoinInterval), d.settings.MaxRejoinInterval)
		if last, was := d.contactedAt[addr]; !was || now-last >= gap {
			due = append(due, addr)
		}
	}
	return due
}

// missingSeeds are the seeds that no live or lost member has.
func missingSeeds(s Peers) (out []string) {
	for _, addr := range s.Seeds {
		if addr != s.Self && !slices.Contains(s.Live, addr) && !slices.ContainsFunc(s.Lost, func(l Lost) bool { return l.Addr == addr }) {
			out = append(out, addr)
		}
	}
	return out
}

// nextAlone goes round all addresses there are.
func (d *Scheduler) nextAlone(now int64, s Peers) (Contact, bool) {
	if now < d.nextAt {
		return Contact{}, false
	}
	if len(d.queue) == 0 {
		for _, l := range s.Lost {
			d.queue = append(d.queue, l.Addr)
		}
		d.queue = append(d.queue, missingSeeds(s)...)
		d.rng.Shuffle(len(d.queue), func(i, j int) { d.queue[i], d.queue[j] = d.queue[j], d.queue[i] })
		if d.backoff == 0 {
			d.backoff = d.settings.InitialBackoff
		} else {
			d.backoff = min(2*d.backoff, d.settings.MaxBackoff)
		}
	}
	d.nextAt = now + d.rng.Int64N(d.backoff+1)
	if len(d.queue) == 0 {
		return Contact{}, false
	}
	addr := d.queue[0]
	d.queue = d.queue[1:]
	return d.contact(addr, ReasonStart, now), true
}

func (d *Scheduler) contact(addr, why string, now int64) Contact {
	d.contactedAt[addr] = now
	return Contact{addr, why}
}

// forgetFound drops what was called and is found or forgotten since.
func (d *Scheduler) forgetFound(s Peers) {
	for addr := range d.contactedAt {
		if slices.Contains(s.Live, addr) || !slices.Contains(s.Seeds, addr) &&
			!slices.ContainsFunc(s.Lost, func(l Lost) bool { return l.Addr == addr }) {
			delete(d.contactedAt, addr)
		}
	}
}

// ShouldDefer tells whether, of two processes that claim one name, the one with this stamp gives way: the one that started later. Both
// decide alike, whatever their clocks say, since both compare the same two stamps.
func ShouldDefer(own, other uint64) bool { return own > other }

// DeferName takes note that another process has this gateway's name, and tells how long to stay away.
func (d *Scheduler) DeferName(now int64) (wait int64) {
	if d.nameBackoff == 0 {
		d.nameBackoff = d.settings.InitialNameBackoff
	} else {
		d.nameBackoff = min(2*d.nameBackoff, d.settings.MaxNameBackoff)
	}
	wait = d.jitter(d.nameBackoff)
	d.nameRetryAt = now + wait
	return wait
}

// ReclaimName tells whether it is time to try again under the name.
func (d *Scheduler) ReclaimName(now int64) bool {
	if d.nameRetryAt == 0 || now < d.nameRetryAt {
		return false
	}
	d.nameRetryAt, d.nextAt, d.queue = 0, now, nil
	return true
}

// HasDeferred tells whether this gateway gave way to another process of its name and waits.
func (d *Scheduler) HasDeferred() bool { return d.nameRetryAt > 0 }

// ContactedCount is how many addresses the desk keeps in mind.
func (d *Scheduler) ContactedCount() int { return len(d.contactedAt) }

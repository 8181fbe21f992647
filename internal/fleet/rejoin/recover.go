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

const crowd = 4

// Settings are times in whole microseconds.
type Settings struct {
	First, Most        int64 // between calls while alone
	Rejoin, RejoinMost int64 // between calls for the lost
	Differ             int64 // between calls of those who see others
	Claim, ClaimMost   int64 // between tries of one whose name is taken
}

// Lost is a gateway that is not here and did not say that it goes.
type Lost struct {
	Addr  string
	Since int64 // when it was lost
	Heard int64 // newest proof of life, by whomever
}

// Sight is what the view holds, as far as it matters here.
type Sight struct {
	Live  []string // addresses of live members but this gateway
	Lost  []Lost
	Seeds []string // addresses; those of live members and of this gateway itself count as found
	Self  string
}

// Call is an address to call, and why.
type Call struct{ Addr, Why string }

// Why a call is made.
const (
	Start  = "start"  // alone
	Rejoin = "rejoin" // lost ones, seeds nobody here has
	Heard  = "heard"  // a lost one that somebody heard
	Differ = "differ" // one who sees others
	Awake  = "awake"  // after standing still
)

// Desk decides. Use New.
type Desk struct {
	set     Settings
	chance  *rand.Rand
	next    int64 // the next turn
	wait    int64 // while alone
	company int64 // since when it has been in company; 0: alone
	order   []string
	called  map[string]int64
	awake   bool
	repair  int64 // the next turn for those who differ
	claimed int64 // when to try again under a name that was taken; 0: it is ours
	claims  int64 // what was waited last
}

// New makes a desk.
func New(set Settings, chance *rand.Rand, now int64) *Desk {
	return &Desk{set: set, chance: chance, next: now, called: map[string]int64{}}
}

// spread is a time give or take a quarter.
func (d *Desk) spread(t int64) int64 { return t*3/4 + d.chance.Int64N(t/2+1) }

// Woke takes note that this process stood still.
func (d *Desk) Woke() { d.awake = true }

// Next tells whom to call now, if anybody. differ gives the addresses of live members that see others; it is asked when its turn has
// come.
func (d *Desk) Next(now int64, s Sight, differ func() []string) (Call, bool) {
	if d.claimed > 0 {
		return Call{}, false
	}
	d.tidy(s)
	if len(s.Live) == 0 {
		d.awake, d.company = false, 0
		return d.alone(now, s)
	}
	if d.company == 0 {
		// Gateways that start at once find each other in islands: one that is called stops being alone before it made its own
		// calls, and calls that failed while the others were not up yet say nothing. All that are still missing are due anew.
		d.company, d.wait, d.order = now, 0, nil
		clear(d.called)
		d.next = now + d.chance.Int64N(d.set.First*5+1)
	}
	if d.awake {
		d.awake = false
		return d.call(s.Live[d.chance.IntN(len(s.Live))], Awake, now), true
	}
	for _, l := range s.Lost {
		if last, was := d.called[l.Addr]; l.Heard > l.Since && (!was || now-last >= d.set.Rejoin && last < l.Heard) {
			return d.call(l.Addr, Heard, now), true
		}
	}
	if now >= d.repair {
		d.repair = now + d.spread(d.set.Differ)
		if call, ok := d.one(differ(), Differ, now, s); ok {
			return call, true
		}
	}
	if now < d.next {
		return Call{}, false
	}
	d.next = now + d.spread(d.set.Rejoin)
	return d.one(d.due(now, s), Rejoin, now, s)
}

// one draws whether this gateway calls one of some, so that the fleet as a whole does so crowd times for each of them.
func (d *Desk) one(of []string, why string, now int64, s Sight) (Call, bool) {
	if len(of) == 0 || d.chance.Float64()*float64(len(s.Live)+1) >= float64(crowd*len(of)) {
		return Call{}, false
	}
	return d.call(of[d.chance.IntN(len(of))], why, now), true
}

// due are the lost ones and missing seeds whose time has come.
func (d *Desk) due(now int64, s Sight) (due []string) {
	for _, l := range s.Lost {
		gap := min(max((now-l.Since)/8, d.set.Rejoin), d.set.RejoinMost)
		if last, was := d.called[l.Addr]; !was || now-last >= gap {
			due = append(due, l.Addr)
		}
	}
	for _, addr := range missing(s) {
		gap := min(max((now-d.company)/8, d.set.Rejoin), d.set.RejoinMost)
		if last, was := d.called[addr]; !was || now-last >= gap {
			due = append(due, addr)
		}
	}
	return due
}

// missing are the seeds that no live or lost member has.
func missing(s Sight) (out []string) {
	for _, addr := range s.Seeds {
		if addr != s.Self && !slices.Contains(s.Live, addr) && !slices.ContainsFunc(s.Lost, func(l Lost) bool { return l.Addr == addr }) {
			out = append(out, addr)
		}
	}
	return out
}

// alone goes round all addresses there are.
func (d *Desk) alone(now int64, s Sight) (Call, bool) {
	if now < d.next {
		return Call{}, false
	}
	if len(d.order) == 0 {
		for _, l := range s.Lost {
			d.order = append(d.order, l.Addr)
		}
		d.order = append(d.order, missing(s)...)
		d.chance.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
		if d.wait == 0 {
			d.wait = d.set.First
		} else {
			d.wait = min(2*d.wait, d.set.Most)
		}
	}
	d.next = now + d.chance.Int64N(d.wait+1)
	if len(d.order) == 0 {
		return Call{}, false
	}
	addr := d.order[0]
	d.order = d.order[1:]
	return d.call(addr, Start, now), true
}

func (d *Desk) call(addr, why string, now int64) Call {
	d.called[addr] = now
	return Call{addr, why}
}

// tidy drops what was called and is found or forgotten since.
func (d *Desk) tidy(s Sight) {
	for addr := range d.called {
		if slices.Contains(s.Live, addr) || !slices.Contains(s.Seeds, addr) &&
			!slices.ContainsFunc(s.Lost, func(l Lost) bool { return l.Addr == addr }) {
			delete(d.called, addr)
		}
	}
}

// Yields tells whether, of two processes that claim one name, the one with this stamp gives way: the one that started later. Both
// decide alike, whatever their clocks say, since both compare the same two stamps.
func Yields(own, other uint64) bool { return own > other }

// Claimed takes note that another process has this gateway's name, and tells how long to stay away.
func (d *Desk) Claimed(now int64) (wait int64) {
	if d.claims == 0 {
		d.claims = d.set.Claim
	} else {
		d.claims = min(2*d.claims, d.set.ClaimMost)
	}
	wait = d.spread(d.claims)
	d.claimed = now + wait
	return wait
}

// Reclaim tells whether it is time to try again under the name.
func (d *Desk) Reclaim(now int64) bool {
	if d.claimed == 0 || now < d.claimed {
		return false
	}
	d.claimed, d.next, d.order = 0, now, nil
	return true
}

// Away tells whether this gateway gave way to another process of its name and waits.
func (d *Desk) Away() bool { return d.claimed > 0 }

// Called is how many addresses the desk keeps in mind.
func (d *Desk) Called() int { return len(d.called) }

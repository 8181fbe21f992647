// Package limits holds limits for the fleet as a whole: what all gateways together may let in. It is pure: what the view says of the
// fleet, what lookups wanted, asks and loans of peers and whole microseconds go in; what this gateway may let in, and what to ask of
// whom, come out. Package fleet/post carries it.
//
// The rule is escrow, as bounded counters have it (O'Neil, The Escrow Transactional Method, ACM TODS 1986; Balegas and others,
// Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants, SRDS 2015): the right to let in is split, moved, and
// never made. Of a limit L, each of n gateways has L/n of its own by what the view says (docs/fleet-limits.md has the proof and the bound):
//
//   - n counts all who are known and did not leave, the dead with them, and never less than operators said there are (Expect): who cannot
//     be heard may run and use its part.
//   - A gateway lends what it does not use, at most Lend of its part, for a time. The lender does without from the moment it grants until
//     the loan has run out by its own clock; the borrower counts that time from before it asked. So no instant has the right on both
//     sides, whatever the links lose, repeat or delay. A loan is renewed by a new ask and answer, never called back; a peer that falls
//     silent costs its loan's time.
//   - A process that starts uses nothing until its view has settled once (all others count with it by then), and until its first loan time is
//     over 1 - Lend of its part: the process before it may have lent the rest.
//
// Bounds: mostLimits limits, mostLoans loans each way a limit; past them nothing is lent or borrowed. Owner: package post, under its lock.
package limits

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Amount is a right: a rate a second, or a number at once (then whole).
type Amount = float64

// Settings are the same on all gateways of a fleet.
type Settings struct {
	Loan int64   // microseconds that a loan lasts
	Lend float64 // the part of its own part that a gateway may lend, 0 to 1
	Turn int64   // microseconds between asks
	Wait int64   // a process whose view has not settled so long after its start goes on as if it had, with 1 - Lend of its part
}

const (
	mostLimits = 256
	mostLoans  = 4096
	mostAsked  = 8    // peers a turn
	headroom   = 1.25 // of what was wanted, kept or asked for, so that a rise is not met with refusals
)

// Standing is what the view says of the fleet.
type Standing struct {
	Fleet   int  // who is known and did not leave, or is expected
	Dead    int  // of these, who is not live
	Rank    int  // of this gateway among those known, by name
	Settled bool // all live ones see the same
}

type loan struct {
	amount Amount
	until  int64
	id     uint64 // of the ask that it was first granted for
}

// Limit is one limit of the fleet.
type Limit struct {
	Name    string
	All     Amount // of the fleet
	Whole   bool   // a number at once
	wanted  Amount // here, of late
	used    Amount
	lent    map[string][]loan // by borrower
	taken   map[string][]loan // by lender
	asked   map[uint64]ask
	peers   map[string]tell // what peers said of themselves
	refused map[string]int64
}

type ask struct {
	to     string
	at     int64
	amount Amount
	renews uint64
}

type tell struct {
	wanted, used Amount
	at           int64
}

// Book holds the limits of one gateway.
type Book struct {
	set     Settings
	chance  *rand.Rand
	began   int64
	ripe    int64 // when its own part is whole; 0: its view has not settled yet
	stand   Standing
	least   int // the smallest fleet since somebody who is lost now was lost
	limits  map[string]*Limit
	next    int64
	serial  uint64
	Granted uint64
	Denied  uint64
	Late    uint64 // loans that came for no ask, or after their time
}

// New makes a book.
func New(set Settings, chance *rand.Rand, now int64) *Book {
	return &Book{set: set, chance: chance, began: now, limits: map[string]*Limit{}, stand: Standing{Fleet: 1}, serial: chance.Uint64() | 1}
}

// Set says which limits there are. A limit that stays keeps its loans, also where its amount changes.
func (b *Book) Set(all map[string]Limit) {
	maps.DeleteFunc(b.limits, func(name string, _ *Limit) bool { _, stays := all[name]; return !stays })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		l := b.limits[name]
		if l == nil {
			if len(b.limits) >= mostLimits {
				continue
			}
			l = &Limit{Name: name, lent: map[string][]loan{}, taken: map[string][]loan{}, asked: map[uint64]ask{}, peers: map[string]tell{},
				refused: map[string]int64{}}
			b.limits[name] = l
		}
		l.All, l.Whole = all[name].All, all[name].Whole
	}
}

// See takes what the view says now.
func (b *Book) See(s Standing, now int64) {
	s.Fleet = max(1, s.Fleet)
	if s.Dead == 0 || b.least == 0 {
		b.least = s.Fleet
	}
	b.least = min(b.least, s.Fleet)
	b.stand = s
	if b.ripe == 0 && (s.Settled || now-b.began >= b.set.Wait) {
		b.ripe = now + b.set.Loan
	}
}

// Used takes what lookups here wanted and what was let in, of late, in the limit's unit.
func (b *Book) Used(name string, wanted, used Amount) {
	if l := b.limits[name]; l != nil {
		l.wanted, l.used = wanted, used
	}
}

// part is what a gateway has of its own.
func (b *Book) part(l *Limit) Amount {
	n := Amount(b.stand.Fleet)
	if !l.Whole {
		return l.All / n
	}
	p := math.Floor(l.All / n)
	if b.stand.Settled && Amount(b.stand.Rank) < l.All-p*n { // what does not divide goes to the first names
		p++
	}
	return p
}

func sum(loans map[string][]loan, now int64) (all Amount, first int64) {
	first = math.MaxInt64
	for who, some := range loans {
		some = slices.DeleteFunc(some, func(o loan) bool { return now >= o.until })
		if loans[who] = some; len(some) == 0 {
			delete(loans, who)
			continue
		}
		for _, o := range some {
			all += o.amount
			first = min(first, o.until)
		}
	}
	return all, first
}

// own is what this gateway may use of its own part: what it lent is not there until it has run out.
func (b *Book) own(l *Limit, now int64) Amount {
	lent, _ := sum(l.lent, now)
	part := b.part(l)
	switch {
	case b.ripe == 0:
		return 0
	case now < b.ripe:
		part *= 1 - b.set.Lend
		if l.Whole {
			part = math.Floor(part)
		}
	}
	return max(0, part-lent)
}

// Lease is what this gateway may let in now, until a time; after it, if nobody says otherwise, Then.
type Lease struct {
	Now, Then Amount
	Until     int64
}

// Lease tells it. Then leaves out all that is borrowed: a process that stood still past its loans must not use them when it goes on.
func (b *Book) Lease(name string, now int64) Lease {
	l := b.limits[name]
	if l == nil {
		return Lease{}
	}
	own := b.own(l, now)
	taken, first := sum(l.taken, now)
	return Lease{Now: own + taken, Then: own, Until: first}
}

// Ask is one ask of a peer, for one limit. Wanted and Used are this gateway's, for who adds up the fleet.
type Ask struct {
	To           string
	Name         string
	ID           uint64
	Renews       uint64 // the loan that is to last longer; 0: a new one
	Amount       Amount
	Wanted, Used Amount
}

// Asks tells what to ask of whom now: where more is wanted than there is, some peers by chance.
func (b *Book) Asks(peers []string, now int64) (out []Ask) {
	if now < b.next || b.ripe == 0 || len(peers) == 0 {
		return nil
	}
	b.next = now + b.set.Turn
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[name]
		for id, a := range l.asked {
			if now-a.at >= b.set.Loan {
				delete(l.asked, id)
			}
		}
		sum(l.taken, now) // drops those that are over
		missing := l.wanted*headroom - b.own(l, now)
		put := func(a ask) {
			if len(l.asked) < mostLoans {
				b.serial++
				l.asked[b.serial] = a
				out = append(out, Ask{a.to, name, b.serial, a.renews, a.amount, l.wanted, l.used})
			}
		}
		// Loans that are still wanted are renewed from half their time on: a new one cannot come before the lender has the old one back.
		for _, who := range slices.Sorted(maps.Keys(l.taken)) {
			for _, o := range l.taken[who] {
				if missing > 0 && o.until-now < b.set.Loan/2 && slices.Contains(peers, who) {
					put(ask{who, now, o.amount, o.id})
				}
				missing -= o.amount
			}
		}
		if l.Whole {
			missing = math.Ceil(missing)
		}
		if missing <= 0 || missing < l.All/1e6 {
			continue
		}
		// Who had nothing to spare is left alone for half a loan's time: in a flood on all sides nobody has.
		from := slices.DeleteFunc(slices.Clone(peers), func(who string) bool {
			at, was := l.refused[who]
			return was && now-at < b.set.Loan/2 || len(l.taken[who]) > 0
		})
		b.chance.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		from = from[:min(mostAsked, len(from))]
		each := missing
		if len(from) > 2 { // twice as much in all as is missing: some have nothing to spare
			each = missing * 2 / Amount(len(from))
		}
		if l.Whole {
			each = math.Ceil(each)
		}
		for _, to := range from {
			put(ask{to, now, each, 0})
		}
	}
	return out
}

// Grant is an answer to an ask; Amount 0: nothing to spare.
type Grant struct {
	Name         string
	ID           uint64
	Amount       Amount
	Wanted, Used Amount
}

// Lend answers a peer's ask. The same ask, come twice, is answered alike and granted once.
func (b *Book) Lend(from string, a Ask, now int64) (Grant, bool) {
	l := b.limits[a.Name]
	if l == nil || a.Amount <= 0 || math.IsNaN(a.Amount) {
		return Grant{}, false
	}
	l.heard(from, tell{a.Wanted, a.Used, now})
	g := Grant{a.Name, a.ID, 0, l.wanted, l.used}
	lent, _ := sum(l.lent, now)
	part := b.part(l)
	for i, o := range l.lent[from] {
		switch {
		case o.id == a.ID: // the same ask again
			g.Amount = o.amount
			return g, true
		case a.Renews != 0 && o.id == a.Renews && b.own(l, now) >= l.wanted && lent <= part*b.set.Lend*(1+1e-9):
			// Else it is wanted here now, or the fleet grew and the part is less than it was: it runs out, within the time in which
			// newcomers leave it to those who have it.
			l.lent[from][i].until = now + b.set.Loan
			g.Amount = o.amount
			return g, true
		}
	}
	if a.Renews != 0 {
		b.Denied++
		return g, true
	}
	if b.ripe == 0 || now < b.ripe || len(l.lent) >= mostLoans || len(l.lent[from]) >= 8 {
		b.Denied++
		return g, true
	}
	spare := min(part*b.set.Lend-lent, part-lent-l.wanted*headroom, a.Amount)
	if l.Whole {
		spare = math.Floor(spare)
	}
	if spare <= 0 || spare < l.All/1e6 {
		b.Denied++
		return g, true
	}
	l.lent[from] = append(l.lent[from], loan{spare, now + b.set.Loan, a.ID})
	b.Granted++
	g.Amount = spare
	return g, true
}

// Took takes an answer. A loan runs from when it was asked for, which was before it was granted; one for no ask, or whose time is over,
// counts for nothing.
func (b *Book) Took(from string, g Grant, now int64) {
	l := b.limits[g.Name]
	if l == nil {
		return
	}
	a, open := l.asked[g.ID]
	if !open || a.to != from {
		b.Late++
		return
	}
	delete(l.asked, g.ID)
	l.heard(from, tell{g.Wanted, g.Used, now})
	if g.Amount <= 0 {
		if a.renews != 0 {
			return // it runs out
		}
		l.refused[from] = now
		if len(l.refused) > mostLoans {
			clear(l.refused)
		}
		return
	}
	delete(l.refused, from)
	until := a.at + b.set.Loan
	if now >= until || g.Amount > a.amount {
		b.Late++
		return
	}
	id := g.ID
	if a.renews != 0 { // asked for more than once, a loan is still one
		id = a.renews
		for _, o := range l.taken[from] {
			if o.id == id {
				until = max(until, o.until)
			}
		}
		l.taken[from] = slices.DeleteFunc(l.taken[from], func(o loan) bool { return o.id == id })
	}
	l.taken[from] = append(l.taken[from], loan{g.Amount, until, id})
}

func (l *Limit) heard(from string, t tell) {
	if len(l.peers) >= mostLoans {
		clear(l.peers)
	}
	l.peers[from] = t
}

// Row is one limit as this gateway sees it, for operators.
type Row struct {
	Name    string  `json:"name"`
	All     float64 `json:"all"`
	Part    float64 `json:"part"`
	Lease   float64 `json:"lease"`
	Lent    float64 `json:"lent"`
	Taken   float64 `json:"borrowed"`
	Wanted  float64 `json:"wanted"`
	Used    float64 `json:"used"`
	Fleet   int     `json:"fleet"`
	Sum     float64 `json:"sum_seen"`       // used by all who told of it lately
	SumAge  int64   `json:"sum_age_ms"`     // of the oldest word in it
	Over    float64 `json:"over_at_most"`   // of the limit, 0.1 is a tenth: the bound in force, see Over
	State   string  `json:"state"`          // waiting, ripening, whole
	Joined  int     `json:"joined_in_cut"`  // gateways that came since somebody who is lost was lost
	Missing int     `json:"cannot_be_seen"` // gateways that may run and cannot be heard
}

// Over is by how much of a limit the fleet can be over it now, as a part of it. While all that run count each other it is 0. Of n
// gateways k cannot be heard and may run with L/n each, as the fleet was when they were lost; if m came since, the others use
// (n - k + m) / (n + m), so the sum is over by k m / (n (n + m)).
func (b *Book) Over() float64 {
	k, n, all := float64(b.stand.Dead), float64(b.least), float64(b.stand.Fleet)
	if k == 0 || all <= n {
		return 0
	}
	return k * (all - n) / (n * all)
}

// Rows tells all limits.
func (b *Book) Rows(now int64) (rows []Row) {
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[name]
		lent, _ := sum(l.lent, now)
		taken, _ := sum(l.taken, now)
		r := Row{Name: name, All: l.All, Part: b.part(l), Lease: b.Lease(name, now).Now, Lent: lent, Taken: taken, Wanted: l.wanted, Used: l.used,
			Fleet: b.stand.Fleet, Sum: l.used, Over: b.Over(), State: "whole", Joined: max(0, b.stand.Fleet-b.least), Missing: b.stand.Dead}
		switch {
		case b.ripe == 0:
			r.State = "waiting"
		case now < b.ripe:
			r.State = "ripening"
		}
		for _, t := range l.peers {
			if age := now - t.at; age <= 2*b.set.Loan {
				r.Sum += t.used
				r.SumAge = max(r.SumAge, age/1000)
			}
		}
		rows = append(rows, r)
	}
	return rows
}

// Ripe tells whether this gateway's own part is whole.
func (b *Book) Ripe(now int64) bool { return b.ripe > 0 && now >= b.ripe }

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
	LoanDuration    int64   // microseconds that a loan lasts
	MaxLentFraction float64 // the part of its own part that a gateway may lend, 0 to 1
	RequestInterval int64   // microseconds between asks
	MaxSettleWait   int64   // a process whose view has not settled so long after its start goes on as if it had, with 1 - Lend of its part
}

const (
	maxLimits          = 256
	maxLoans           = 4096
	maxRequestsPerTurn = 8    // peers a turn
	demandHeadroom     = 1.25 // of what was wanted, kept or asked for, so that a rise is not met with refusals
)

// FleetState is what the view says of the fleet.
type FleetState struct {
	Size    int  // who is known and did not leave, or is expected
	NotLive int  // of these, who is not live
	Rank    int  // of this gateway among those known, by name
	Settled bool // all live ones see the same
}

type loan struct {
	amount    Amount
	expiresAt int64
	requestID uint64 // of the ask that it was first granted for
}

// Limit is one limit of the fleet.
type Limit struct {
	Name      string
	Total     Amount // of the fleet
	Integral  bool   // a number at once
	demand    Amount // here, of late
	used      Amount
	lent      map[string][]loan // by borrower
	borrowed  map[string][]loan // by lender
	requested map[uint64]pendingRequest
	peerUsage map[string]usage // what peers said of themselves
	deniedAt  map[string]int64
}

type pendingRequest struct {
	lender      string
	requestedAt int64
	amount      Amount
	renews      uint64
}

type usage struct {
	demand, used Amount
	reportedAt   int64
}

// Ledger holds the limits of one gateway.
type Ledger struct {
	settings       Settings
	rng            *rand.Rand
	startedAt      int64
	fullQuotaAt    int64 // when its own part is whole; 0: its view has not settled yet
	fleet          FleetState
	minFleetSize   int // the smallest fleet since somebody who is lost now was lost
	limits         map[string]*Limit
	nextRequestsAt int64
	lastRequestID  uint64
	Granted        uint64
	Denied         uint64
	Late           uint64 // loans that came for no ask, or after their time
}

// New makes a book.
func New(set Settings, chance *rand.Rand, now int64) *Ledger {
	return &Ledger{settings: set, rng: chance, startedAt: now, limits: map[string]*Limit{}, fleet: FleetState{Size: 1}, lastRequestID: chance.Uint64() | 1}
}

// SetLimits says which limits there are. A limit that stays keeps its loans, also where its amount changes.
func (b *Ledger) SetLimits(all map[string]Limit) {
	maps.DeleteFunc(b.limits, func(name string, _ *Limit) bool { _, stays := all[name]; return !stays })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		l := b.limits[name]
		if l == nil {
			if len(b.limits) >= maxLimits {
				continue
			}
			l = &Limit{Name: name, lent: map[string][]loan{}, borrowed: map[string][]loan{}, requested: map[uint64]pendingRequest{}, peerUsage: map[string]usage{},
				deniedAt: map[string]int64{}}
			b.limits[name] = l
		}
		l.Total, l.Integral = all[name].Total, all[name].Integral
	}
}

// UpdateFleet takes what the view says now.
func (b *Ledger) UpdateFleet(s FleetState, now int64) {
	s.Size = max(1, s.Size)
	if s.NotLive == 0 || b.minFleetSize == 0 {
		b.minFleetSize = s.Size
	}
	b.minFleetSize = min(b.minFleetSize, s.Size)
	b.fleet = s
	if b.fullQuotaAt == 0 && (s.Settled || now-b.startedAt >= b.settings.MaxSettleWait) {
		b.fullQuotaAt = now + b.settings.LoanDuration
	}
}

// RecordUsage takes what lookups here wanted and what was let in, of late, in the limit's unit.
func (b *Ledger) RecordUsage(name string, wanted, used Amount) {
	if l := b.limits[name]; l != nil {
		l.demand, l.used = wanted, used
	}
}

// quota is what a gateway has of its own.
func (b *Ledger) quota(l *Limit) Amount {
	n := Amount(b.fleet.Size)
	if !l.Integral {
		return l.Total / n
	}
	p := math.Floor(l.Total / n)
	if b.fleet.Settled && Amount(b.fleet.Rank) < l.Total-p*n { // what does not divide goes to the first names
		p++
	}
	return p
}

func sumLoans(loans map[string][]loan, now int64) (all Amount, first int64) {
	first = math.MaxInt64
	for who, some := range loans {
		some = slices.DeleteFunc(some, func(o loan) bool { return now >= o.expiresAt })
		if loans[who] = some; len(some) == 0 {
			delete(loans, who)
			continue
		}
		for _, o := range some {
			all += o.amount
			first = min(first, o.expiresAt)
		}
	}
	return all, first
}

// availableQuota is what this gateway may use of its own part: what it lent is not there until it has run out.
func (b *Ledger) availableQuota(l *Limit, now int64) Amount {
	lent, _ := sumLoans(l.lent, now)
	part := b.quota(l)
	switch {
	case b.fullQuotaAt == 0:
		return 0
	case now < b.fullQuotaAt:
		part *= 1 - b.settings.MaxLentFraction
		if l.Integral {
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
func (b *Ledger) Lease(name string, now int64) Lease {
	l := b.limits[name]
	if l == nil {
		return Lease{}
	}
	own := b.availableQuota(l, now)
	taken, first := sumLoans(l.borrowed, now)
	return Lease{Now: own + taken, Then: own, Until: first}
}

// Request is one ask of a peer, for one limit. Wanted and Used are this gateway's, for who adds up the fleet.
type Request struct {
	To           string
	Limit        string
	ID           uint64
	Renews       uint64 // the loan that is to last longer; 0: a new one
	Amount       Amount
	Demand, Used Amount
}

// Requests tells what to ask of whom now: where more is wanted than there is, some peers by chance.
func (b *Ledger) Requests(peers []string, now int64) (out []Request) {
	if now < b.nextRequestsAt || b.fullQuotaAt == 0 || len(peers) == 0 {
		return nil
	}
	b.nextRequestsAt = now + b.settings.RequestInterval
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[name]
		for id, a := range l.requested {
			if now-a.requestedAt >= b.settings.LoanDuration {
				delete(l.requested, id)
			}
		}
		sumLoans(l.borrowed, now) // drops those that are over
		missing := l.demand*demandHeadroom - b.availableQuota(l, now)
		put := func(a pendingRequest) {
			if len(l.requested) < maxLoans {
				b.lastRequestID++
				l.requested[b.lastRequestID] = a
				out = append(out, Request{a.lender, name, b.lastRequestID, a.renews, a.amount, l.demand, l.used})
			}
		}
		// Loans that are still wanted are renewed from half their time on: a new one cannot come before the lender has the old one back.
		for _, who := range slices.Sorted(maps.Keys(l.borrowed)) {
			for _, o := range l.borrowed[who] {
				if missing > 0 && o.expiresAt-now < b.settings.LoanDuration/2 && slices.Contains(peers, who) {
					put(pendingRequest{who, now, o.amount, o.requestID})
				}
				missing -= o.amount
			}
		}
		if l.Integral {
			missing = math.Ceil(missing)
		}
		if missing <= 0 || missing < l.Total/1e6 {
			continue
		}
		// Who had nothing to spare is left alone for half a loan's time: in a flood on all sides nobody has.
		from := slices.DeleteFunc(slices.Clone(peers), func(who string) bool {
			at, was := l.deniedAt[who]
			return was && now-at < b.settings.LoanDuration/2 || len(l.borrowed[who]) > 0
		})
		b.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
		from = from[:min(maxRequestsPerTurn, len(from))]
		each := missing
		if len(from) > 2 { // twice as much in all as is missing: some have nothing to spare
			each = missing * 2 / Amount(len(from))
		}
		if l.Integral {
			each = math.Ceil(each)
		}
		for _, to := range from {
			put(pendingRequest{to, now, each, 0})
		}
	}
	return out
}

// Grant is an answer to an ask; Amount 0: nothing to spare.
type Grant struct {
	Limit        string
	ID           uint64
	Amount       Amount
	Demand, Used Amount
}

// HandleRequest answers a peer's ask. The same ask, come twice, is answered alike and granted once.
func (b *Ledger) HandleRequest(from string, a Request, now int64) (Grant, bool) {
	l := b.limits[a.Limit]
	if l == nil || a.Amount <= 0 || math.IsNaN(a.Amount) {
		return Grant{}, false
	}
	l.recordPeerUsage(from, usage{a.Demand, a.Used, now})
	g := Grant{a.Limit, a.ID, 0, l.demand, l.used}
	lent, _ := sumLoans(l.lent, now)
	part := b.quota(l)
	for i, o := range l.lent[from] {
		switch {
		case o.requestID == a.ID: // the same ask again
			g.Amount = o.amount
			return g, true
		case a.Renews != 0 && o.requestID == a.Renews && b.availableQuota(l, now) >= l.demand && lent <= part*b.settings.MaxLentFraction*(1+1e-9):
			// Else it is wanted here now, or the fleet grew and the part is less than it was: it runs out, within the time in which
			// newcomers leave it to those who have it.
			l.lent[from][i].expiresAt = now + b.settings.LoanDuration
			g.Amount = o.amount
			return g, true
		}
	}
	if a.Renews != 0 {
		b.Denied++
		return g, true
	}
	if b.fullQuotaAt == 0 || now < b.fullQuotaAt || len(l.lent) >= maxLoans || len(l.lent[from]) >= 8 {
		b.Denied++
		return g, true
	}
	spare := min(part*b.settings.MaxLentFraction-lent, part-lent-l.demand*demandHeadroom, a.Amount)
	if l.Integral {
		spare = math.Floor(spare)
	}
	if spare <= 0 || spare < l.Total/1e6 {
		b.Denied++
		return g, true
	}
	l.lent[from] = append(l.lent[from], loan{spare, now + b.settings.LoanDuration, a.ID})
	b.Granted++
	g.Amount = spare
	return g, true
}

// HandleGrant takes an answer. A loan runs from when it was asked for, which was before it was granted; one for no ask, or whose time is over,
// counts for nothing.
func (b *Ledger) HandleGrant(from string, g Grant, now int64) {
	l := b.limits[g.Limit]
	if l == nil {
		return
	}
	a, open := l.requested[g.ID]
	if !open || a.lender != from {
		b.Late++
		return
	}
	delete(l.requested, g.ID)
	l.recordPeerUsage(from, usage{g.Demand, g.Used, now})
	if g.Amount <= 0 {
		if a.renews != 0 {
			return // it runs out
		}
		l.deniedAt[from] = now
		if len(l.deniedAt) > maxLoans {
			clear(l.deniedAt)
		}
		return
	}
	delete(l.deniedAt, from)
	until := a.requestedAt + b.settings.LoanDuration
	if now >= until || g.Amount > a.amount {
		b.Late++
		return
	}
	id := g.ID
	if a.renews != 0 { // asked for more than once, a loan is still one
		id = a.renews
		for _, o := range l.borrowed[from] {
			if o.requestID == id {
				until = max(until, o.expiresAt)
			}
		}
		l.borrowed[from] = slices.DeleteFunc(l.borrowed[from], func(o loan) bool { return o.requestID == id })
	}
	l.borrowed[from] = append(l.borrowed[from], loan{g.Amount, until, id})
}

func (l *Limit) recordPeerUsage(from string, t usage) {
	if len(l.peerUsage) >= maxLoans {
		clear(l.peerUsage)
	}
	l.peerUsage[from] = t
}

// Report is one limit as this gateway sees it, for operators.
type Report struct {
	Name           string  `json:"name"`
	Total          float64 `json:"all"`
	Quota          float64 `json:"part"`
	Lease          float64 `json:"lease"`
	Lent           float64 `json:"lent"`
	Borrowed       float64 `json:"borrowed"`
	Demand         float64 `json:"wanted"`
	Used           float64 `json:"used"`
	FleetSize      int     `json:"fleet"`
	FleetUsed      float64 `json:"sum_seen"`       // used by all who told of it lately
	FleetUsedAgeMS int64   `json:"sum_age_ms"`     // of the oldest word in it
	MaxExcess      float64 `json:"over_at_most"`   // of the limit, 0.1 is a tenth: the bound in force, see Over
	State          string  `json:"state"`          // waiting, ripening, whole
	JoinedInCut    int     `json:"joined_in_cut"`  // gateways that came since somebody who is lost was lost
	Unreachable    int     `json:"cannot_be_seen"` // gateways that may run and cannot be heard
}

// MaxExcess is by how much of a limit the fleet can be over it now, as a part of it. While all that run count each other it is 0. Of n
// gateways k cannot be heard and may run with L/n each, as the fleet was when they were lost; if m came since, the others use
// (n - k + m) / (n + m), so the sum is over by k m / (n (n + m)).
func (b *Ledger) MaxExcess() float64 {
	k, n, all := float64(b.fleet.NotLive), float64(b.minFleetSize), float64(b.fleet.Size)
	if k == 0 || all <= n {
		return 0
	}
	return k * (all - n) / (n * all)
}

// Reports tells all limits.
func (b *Ledger) Reports(now int64) (rows []Report) {
	for _, name := range slices.Sorted(maps.Keys(b.limits)) {
		l := b.limits[name]
		lent, _ := sumLoans(l.lent, now)
		taken, _ := sumLoans(l.borrowed, now)
		r := Report{Name: name, Total: l.Total, Quota: b.quota(l), Lease: b.Lease(name, now).Now, Lent: lent, Borrowed: taken, Demand: l.demand, Used: l.used,
			FleetSize: b.fleet.Size, FleetUsed: l.used, MaxExcess: b.MaxExcess(), State: "whole", JoinedInCut: max(0, b.fleet.Size-b.minFleetSize), Unreachable: b.fleet.NotLive}
		switch {
		case b.fullQuotaAt == 0:
			r.State = "waiting"
		case now < b.fullQuotaAt:
			r.State = "ripening"
		}
		for _, t := range l.peerUsage {
			if age := now - t.reportedAt; age <= 2*b.settings.LoanDuration {
				r.FleetUsed += t.used
				r.FleetUsedAgeMS = max(r.FleetUsedAgeMS, age/1000)
			}
		}
		rows = append(rows, r)
	}
	return rows
}

// HasFullQuota tells whether this gateway's own part is whole.
func (b *Ledger) HasFullQuota(now int64) bool { return b.fullQuotaAt > 0 && now >= b.fullQuotaAt }

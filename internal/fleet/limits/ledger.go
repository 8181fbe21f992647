// Package limits enforces limits that hold for the fleet as a whole: what all gateways together may admit. It is pure: the state of
// the fleet, the demand of lookups, requests and grants of peers and the time in whole microseconds go in; what this gateway may admit,
// and what to request of which peer, come out. Package gossip does the I/O.
//
// The rule is escrow, as bounded counters have it (O'Neil, The Escrow Transactional Method, ACM TODS 1986; Balegas and others,
// Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants, SRDS 2015): the right to admit is split and moved,
// never created. Of a limit L, each of n gateways has a quota of L/n by its view of the fleet (docs/fleet-limits.md has the proof and the
// bound):
//
//   - n counts all members that are known and have not left, dead ones included, and is never below the number that operators expect:
//     a gateway that is unreachable may run and use its quota.
//   - A gateway lends what it does not use, at most Settings.MaxLentFraction of its quota, for Settings.LoanDuration. The lender goes
//     without from its grant until the loan expires by its own clock; the borrower counts that time from before its request. So at no
//     instant do both sides have the right, whatever the network loses, repeats or delays. A loan is renewed by another request and
//     grant, never recalled; a peer that falls silent costs the time of its loan.
//   - A process that starts uses nothing until its view has settled once (all others count it by then), and until its first loan
//     duration has passed only 1 - MaxLentFraction of its quota: the process before it may have lent the rest.
//
// Bounds: maxLimits limits, maxLoans loans in each direction of a limit; past them nothing is lent or borrowed.
package limits

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Amount is a right to admit: a rate per second, or a number of lookups that are open at once, which is then a whole number.
type Amount = float64

// Settings are the same on all gateways of a fleet. Times are in microseconds.
type Settings struct {
	LoanDuration    int64
	MaxLentFraction float64 // of its quota that a gateway may lend, 0 to 1
	RequestInterval int64   // between two rounds of requests to peers
	MaxSettleWait   int64   // a process whose view has not settled so long after its start goes on as if it had
}

const (
	maxLimits          = 256
	maxLoans           = 4096 // of a limit, in each direction
	maxLoansOfPeer     = 8    // of a limit, lent to one peer
	maxRequestsPerTurn = 8    // peers that are asked for a new loan in a turn
	demandHeadroom     = 1.25 // of the demand, retained or requested, so that a rise is not met with rejections
	minLoanDivisor     = 1e6  // a loan is at least the limit's total divided by it: a smaller one is not worth a message
	roundingTolerance  = 1e-9 // relative, of sums of loans
)

// FleetState is what the members' view says of the fleet.
type FleetState struct {
	Size    int  // members that are known and have not left, or as many as operators expect
	NotLive int  // of these, members that are not live
	Rank    int  // of this gateway among the known members, by name
	Settled bool // all live members see the same fleet
}

// loan is a part of a quota that one gateway has from another until it expires.
type loan struct {
	amount    Amount
	expiresAt int64
	requestID uint64 // of the request that it was first granted for
}

// Limit is one limit of the fleet.
type Limit struct {
	Name      string
	Total     Amount            // of the whole fleet
	Integral  bool              // amounts are whole numbers
	demand    Amount            // of lookups here, lately
	used      Amount            // admitted here, lately
	lent      map[string][]loan // by borrower
	borrowed  map[string][]loan // by lender
	requested map[uint64]pendingRequest
	peerUsage map[string]usage // what peers reported of themselves
	deniedAt  map[string]int64 // by peer that had nothing to spare
}

func newLimit(name string) *Limit {
	return &Limit{
		Name:      name,
		lent:      map[string][]loan{},
		borrowed:  map[string][]loan{},
		requested: map[uint64]pendingRequest{},
		peerUsage: map[string]usage{},
		deniedAt:  map[string]int64{},
	}
}

// pendingRequest is a request that no grant has answered yet.
type pendingRequest struct {
	lender      string
	requestedAt int64
	amount      Amount
	renews      uint64 // request of the loan that is to be renewed; 0: a new loan
}

// usage is what a peer reported of itself.
type usage struct {
	demand, used Amount
	reportedAt   int64
}

// Ledger holds the limits of one gateway: its quotas, what it lent and what it borrowed. It is not safe for concurrent use; its owner
// is package gossip, under its lock.
type Ledger struct {
	settings       Settings
	rng            *rand.Rand
	startedAt      int64
	fullQuotaAt    int64 // when the whole quota may be used; 0: the view has not settled yet
	fleet          FleetState
	minFleetSize   int // the smallest size of the fleet since a member that is not live now was last seen live
	limits         map[string]*Limit
	nextRequestsAt int64
	lastRequestID  uint64

	Granted uint64 // requests of peers
	Denied  uint64 // requests of peers
	Late    uint64 // grants that no request is open for, or that came after their time
}

// New makes a ledger without limits. Request numbers begin at a random one, so that grants to an earlier process are not mistaken.
func New(settings Settings, rng *rand.Rand, now int64) *Ledger {
	return &Ledger{settings: settings, rng: rng, startedAt: now, limits: map[string]*Limit{}, fleet: FleetState{Size: 1}, lastRequestID: rng.Uint64() | 1}
}

// SetLimits sets which limits there are, by name. A limit that remains keeps its loans, also where its total changes.
func (l *Ledger) SetLimits(all map[string]Limit) {
	maps.DeleteFunc(l.limits, func(name string, _ *Limit) bool {
		_, remains := all[name]
		return !remains
	})
	for _, name := range slices.Sorted(maps.Keys(all)) {
		limit := l.limits[name]
		if limit == nil {
			if len(l.limits) >= maxLimits {
				continue
			}
			limit = newLimit(name)
			l.limits[name] = limit
		}
		limit.Total = all[name].Total
		limit.Integral = all[name].Integral
	}
}

// UpdateFleet takes the present state of the fleet.
func (l *Ledger) UpdateFleet(state FleetState, now int64) {
	state.Size = max(1, state.Size)
	if state.NotLive == 0 || l.minFleetSize == 0 {
		l.minFleetSize = state.Size
	}
	l.minFleetSize = min(l.minFleetSize, state.Size)
	l.fleet = state
	if l.fullQuotaAt == 0 && (state.Settled || now-l.startedAt >= l.settings.MaxSettleWait) {
		l.fullQuotaAt = now + l.settings.LoanDuration
	}
}

// RecordUsage takes what lookups demanded here and what was admitted, lately, in the limit's unit.
func (l *Ledger) RecordUsage(name string, demand, used Amount) {
	if limit := l.limits[name]; limit != nil {
		limit.demand = demand
		limit.used = used
	}
}

// HasFullQuota reports whether this gateway may use its whole quota.
func (l *Ledger) HasFullQuota(now int64) bool { return l.fullQuotaAt > 0 && now >= l.fullQuotaAt }

// quota is the part of a limit that a gateway has by the size of the fleet alone.
func (l *Ledger) quota(limit *Limit) Amount {
	size := Amount(l.fleet.Size)
	if !limit.Integral {
		return limit.Total / size
	}
	quota := math.Floor(limit.Total / size)
	remainder := limit.Total - quota*size
	if l.fleet.Settled && Amount(l.fleet.Rank) < remainder { // it goes to the first names, one each
		quota++
	}
	return quota
}

// availableQuota is what this gateway may use of its own quota: what it lent is missing until the loan expires.
func (l *Ledger) availableQuota(limit *Limit, now int64) Amount {
	lent, _ := sumLoans(limit.lent, now)
	quota := l.quota(limit)
	switch {
	case l.fullQuotaAt == 0:
		return 0
	case now < l.fullQuotaAt:
		quota *= 1 - l.settings.MaxLentFraction
		if limit.Integral {
			quota = math.Floor(quota)
		}
	}
	return max(0, quota-lent)
}

// sumLoans drops expired loans and returns the sum of the others, and when the first of them expires.
func sumLoans(loans map[string][]loan, now int64) (sum Amount, firstExpiry int64) {
	firstExpiry = math.MaxInt64
	for peer, ofPeer := range loans {
		ofPeer = slices.DeleteFunc(ofPeer, func(o loan) bool { return now >= o.expiresAt })
		if len(ofPeer) == 0 {
			delete(loans, peer)
			continue
		}
		loans[peer] = ofPeer
		for _, o := range ofPeer {
			sum += o.amount
			firstExpiry = min(firstExpiry, o.expiresAt)
		}
	}
	return sum, firstExpiry
}

// Lease is what this gateway may admit: Now until Until, and Then after it, unless a later lease says otherwise.
type Lease struct {
	Now, Then Amount
	Until     int64
}

// Lease returns the present lease of a limit, the zero one of an unknown limit. Then leaves out all that is borrowed: a process that
// was paused past the end of its loans must not use them when it resumes.
func (l *Ledger) Lease(name string, now int64) Lease {
	limit := l.limits[name]
	if limit == nil {
		return Lease{}
	}
	available := l.availableQuota(limit, now)
	borrowed, firstExpiry := sumLoans(limit.borrowed, now)
	return Lease{Now: available + borrowed, Then: available, Until: firstExpiry}
}

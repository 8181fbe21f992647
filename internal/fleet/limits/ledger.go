// Package limits enforces limits on what all gateways of a fleet together may admit. A Ledger holds the quotas and
// loans of one gateway. Its inputs are the state of the fleet, the demand of lookups, requests and grants of peers, and
// the time in whole microseconds. Its outputs are what this gateway may admit and which loans to request from which
// peers. The package is pure; package gossip does the I/O.
//
// The method is escrow, as in bounded counters (O'Neil, The Escrow Transactional Method, ACM TODS 1986; Balegas and
// others, Extending Eventually Consistent Cloud Databases for Enforcing Numeric Invariants, SRDS 2015). The right to
// admit is split and transferred, never created. Each of n gateways has a quota of L/n of a limit L, where n is the
// fleet size in its own view. docs/fleet-limits.md contains the proof and the bound. The rules are:
//
//   - n counts all members that are known and have not left, including dead ones, and is at least the number that the
//     operators expect. An unreachable gateway may still run and use its quota.
//   - A gateway lends unused quota, at most Settings.MaxLentFraction of its quota, for Settings.LoanDuration. The
//     lender gives up the amount from its grant until the loan expires by the lender's clock. The borrower measures the
//     duration from a time before it sent the request. At no instant do both sides have the right, even if the network
//     loses, repeats or delays messages. A loan is renewed by another request and grant and is never recalled. If a
//     borrower becomes unreachable, the lender is without the amount until the loan expires.
//   - A process that starts uses nothing until its view has settled once, because all other gateways count it by then.
//     Until its first loan duration has passed, it uses only 1 - MaxLentFraction of its quota, because the previous
//     process of the gateway may have lent the rest.
//
// A ledger holds at most maxLimits limits. For each limit it lends to at most maxLoans peers and has at most maxLoans
// pending requests. Beyond these bounds it neither lends nor borrows. A Ledger is not persisted, so a process that
// starts has an empty one.
package limits

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// Amount is a right to admit. It is either a rate per second or a number of concurrently open lookups, which is a whole
// number.
type Amount = float64

// Settings are the settings of a Ledger, which must be the same on all gateways of a fleet. Durations are in
// microseconds.
type Settings struct {
	LoanDuration    int64
	MaxLentFraction float64 // maximum fraction of its quota that a gateway lends, from 0 to 1
	RequestInterval int64   // time between two rounds of requests to peers
	MaxSettleWait   int64   // time after its start at which a process proceeds even if its view has not settled
}

const (
	maxLimits           = 256
	maxLoans            = 4096 // maximum number of borrowers, pending requests and peer reports of one limit
	maxLoansOfPeer      = 8    // maximum number of loans of one limit to one peer
	maxRequestsPerRound = 8    // maximum number of peers that are asked for a new loan in one round
	demandHeadroom      = 1.25 // factor on the demand that is retained or requested, so that a rising demand is not rejected
	minLoanDivisor      = 1e6  // a loan of less than the limit's total divided by this is not worth a message
	roundingTolerance   = 1e-9 // relative rounding error that is tolerated in sums of loans
)

// FleetState is the state of the fleet according to this gateway's view of the members.
type FleetState struct {
	Size    int  // number of known members that have not left, or the expected number if that is larger
	NotLive int  // number of members in Size that are not live
	Rank    int  // position of this gateway among the known members, sorted by name
	Settled bool // true if all live members see the same fleet
}

// loan is a part of the lender's quota that the borrower may use until the loan expires.
type loan struct {
	amount    Amount
	expiresAt int64
	requestID uint64 // ID of the request for which the loan was first granted
}

// Limit is one limit of the fleet.
type Limit struct {
	Name      string
	Total     Amount            // limit of the whole fleet
	Integral  bool              // true if amounts are whole numbers
	demand    Amount            // recent demand of lookups at this gateway
	used      Amount            // recent amount that this gateway admitted
	lent      map[string][]loan // loans by borrower
	borrowed  map[string][]loan // loans by lender
	pending   map[uint64]pendingRequest
	peerUsage map[string]usage // usage that peers reported, by peer
	deniedAt  map[string]int64 // time of the last denial, by peer that denied a new loan
}

func newLimit(name string) *Limit {
	return &Limit{
		Name:      name,
		lent:      map[string][]loan{},
		borrowed:  map[string][]loan{},
		pending:   map[uint64]pendingRequest{},
		peerUsage: map[string]usage{},
		deniedAt:  map[string]int64{},
	}
}

// pendingRequest is a request that has not been answered by a grant yet.
type pendingRequest struct {
	lender      string
	requestedAt int64
	amount      Amount
	renews      uint64 // request ID of the loan to renew; 0 for a new loan
}

// usage is the demand and the use that a peer reported for itself.
type usage struct {
	demand, used Amount
	reportedAt   int64
}

// Ledger holds the limits of the fleet as one gateway sees them, with the loans that this gateway granted and received.
// It is not safe for concurrent use. Package gossip owns it and guards it with a lock.
type Ledger struct {
	settings       Settings
	rng            *rand.Rand
	startedAt      int64
	fullQuotaAt    int64 // time from which the whole quota may be used; 0 if the view has not settled yet
	fleet          FleetState
	minFleetSize   int // smallest fleet size since all members were last live
	limits         map[string]*Limit
	nextRequestsAt int64
	lastRequestID  uint64

	Granted uint64 // number of requests of peers that were granted
	Denied  uint64 // number of requests of peers that were denied
	Late    uint64 // number of grants that were ignored: without a pending request, expired, or larger than requested
}

// New returns a ledger without limits. Request IDs start at a random number, so that a grant to a previous process of
// this gateway matches no pending request.
func New(settings Settings, rng *rand.Rand, now int64) *Ledger {
	return &Ledger{settings: settings, rng: rng, startedAt: now, limits: map[string]*Limit{}, fleet: FleetState{Size: 1}, lastRequestID: rng.Uint64() | 1}
}

// SetLimits replaces the limits, which are given by name. A limit that remains keeps its loans, even if its total
// changes. New limits beyond maxLimits are ignored.
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

// UpdateFleet sets the current state of the fleet. When the view has settled for the first time, or after
// Settings.MaxSettleWait, it starts the first loan duration, after which the whole quota may be used.
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

// RecordUsage sets the recent demand of lookups at this gateway and the amount that it admitted, in the unit of the
// limit.
func (l *Ledger) RecordUsage(name string, demand, used Amount) {
	if limit := l.limits[name]; limit != nil {
		limit.demand = demand
		limit.used = used
	}
}

// HasFullQuota reports whether this gateway may use its whole quota.
func (l *Ledger) HasFullQuota(now int64) bool { return l.fullQuotaAt > 0 && now >= l.fullQuotaAt }

// quota returns this gateway's share of a limit without regard to loans. It depends only on the state of the fleet.
func (l *Ledger) quota(limit *Limit) Amount {
	size := Amount(l.fleet.Size)
	if !limit.Integral {
		return limit.Total / size
	}
	quota := math.Floor(limit.Total / size)
	remainder := limit.Total - quota*size
	if l.fleet.Settled && Amount(l.fleet.Rank) < remainder { // the first gateways by name get one unit more
		quota++
	}
	return quota
}

// availableQuota returns the part of its own quota that this gateway may use now. Lent amounts are excluded until the
// loans expire.
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

// sumLoans deletes expired loans. It returns the sum of the others and the time at which the first of them expires,
// which is math.MaxInt64 if there are none.
func sumLoans(loans map[string][]loan, now int64) (sum Amount, firstExpiry int64) {
	firstExpiry = math.MaxInt64
	for peer, ofPeer := range loans {
		ofPeer = slices.DeleteFunc(ofPeer, func(ln loan) bool { return now >= ln.expiresAt })
		if len(ofPeer) == 0 {
			delete(loans, peer)
			continue
		}
		loans[peer] = ofPeer
		for _, ln := range ofPeer {
			sum += ln.amount
			firstExpiry = min(firstExpiry, ln.expiresAt)
		}
	}
	return sum, firstExpiry
}

// Lease is the amount that this gateway may admit. Granted applies until ExpiresAt, and Fallback applies after it, unless
// a newer lease replaces this one. ExpiresAt is math.MaxInt64 if nothing is borrowed.
type Lease struct {
	Granted, Fallback Amount
	ExpiresAt         int64
}

// Lease returns the current lease of a limit, or the zero Lease if the limit is unknown. Fallback excludes all borrowed
// amounts, because a process that was paused past the expiry of its loans must not use them when it resumes.
func (l *Ledger) Lease(name string, now int64) Lease {
	limit := l.limits[name]
	if limit == nil {
		return Lease{}
	}
	available := l.availableQuota(limit, now)
	borrowed, firstExpiry := sumLoans(limit.borrowed, now)
	return Lease{Granted: available + borrowed, Fallback: available, ExpiresAt: firstExpiry}
}

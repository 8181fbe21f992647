package limits

import (
	"maps"
	"math"
	"slices"
)

// Request asks one peer for a loan of one limit. Demand and Used are this gateway's own, so that its peers can add up the fleet.
type Request struct {
	To           string
	Limit        string
	ID           uint64
	Renews       uint64 // request of the loan that is to last longer; 0: a new loan
	Amount       Amount
	Demand, Used Amount
}

// Requests returns the requests to send now, empty between two rounds (Settings.RequestInterval): renewals of loans that are still in
// demand, and where more is in demand than there is, new loans of some live peers, drawn at random.
func (l *Ledger) Requests(peers []string, now int64) (requests []Request) {
	if now < l.nextRequestsAt || l.fullQuotaAt == 0 || len(peers) == 0 {
		return nil
	}
	l.nextRequestsAt = now + l.settings.RequestInterval
	for _, name := range slices.Sorted(maps.Keys(l.limits)) {
		limit := l.limits[name]
		l.dropExpiredRequests(limit, now)
		sumLoans(limit.borrowed, now) // drops expired ones
		missing := limit.demand*demandHeadroom - l.availableQuota(limit, now)
		requests, missing = l.requestRenewals(requests, limit, peers, missing, now)
		if limit.Integral {
			missing = math.Ceil(missing)
		}
		if missing <= 0 || missing < limit.Total/minLoanDivisor {
			continue
		}
		requests = l.requestNewLoans(requests, limit, peers, missing, now)
	}
	return requests
}

func (l *Ledger) dropExpiredRequests(limit *Limit, now int64) {
	for id, pending := range limit.requested {
		if now-pending.requestedAt >= l.settings.LoanDuration {
			delete(limit.requested, id)
		}
	}
}

// requestRenewals asks for more time of loans that are in demand, from half of their time on: a new loan cannot come before the lender
// has the old one back. It returns what is missing beyond all loans.
func (l *Ledger) requestRenewals(requests []Request, limit *Limit, peers []string, missing Amount, now int64) ([]Request, Amount) {
	for _, lender := range slices.Sorted(maps.Keys(limit.borrowed)) {
		for _, o := range limit.borrowed[lender] {
			if missing > 0 && o.expiresAt-now < l.settings.LoanDuration/2 && slices.Contains(peers, lender) {
				requests = l.addRequest(requests, limit, pendingRequest{lender, now, o.amount, o.requestID})
			}
			missing -= o.amount
		}
	}
	return requests, missing
}

// requestNewLoans asks some peers, drawn at random, for what is missing. A peer that had nothing to spare is passed over for half the
// time of a loan: in a flood on all sides nobody has.
func (l *Ledger) requestNewLoans(requests []Request, limit *Limit, peers []string, missing Amount, now int64) []Request {
	lenders := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool {
		at, denied := limit.deniedAt[peer]
		return denied && now-at < l.settings.LoanDuration/2 || len(limit.borrowed[peer]) > 0
	})
	l.rng.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	lenders = lenders[:min(maxRequestsPerTurn, len(lenders))]
	amount := missing
	if len(lenders) > 2 { // twice as much in all as is missing: some have nothing to spare
		amount = missing * 2 / Amount(len(lenders))
	}
	if limit.Integral {
		amount = math.Ceil(amount)
	}
	for _, lender := range lenders {
		requests = l.addRequest(requests, limit, pendingRequest{lender, now, amount, 0})
	}
	return requests
}

// addRequest numbers a request and adds it, unless too many are open.
func (l *Ledger) addRequest(requests []Request, limit *Limit, pending pendingRequest) []Request {
	if len(limit.requested) >= maxLoans {
		return requests
	}
	l.lastRequestID++
	limit.requested[l.lastRequestID] = pending
	return append(requests, Request{
		To:     pending.lender,
		Limit:  limit.Name,
		ID:     l.lastRequestID,
		Renews: pending.renews,
		Amount: pending.amount,
		Demand: limit.demand,
		Used:   limit.used,
	})
}

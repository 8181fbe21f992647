package limits

import (
	"maps"
	"math"
	"slices"
)

// Request asks one peer for a loan of one limit or for its renewal. Demand and Used are those of the requesting
// gateway, so that peers can sum them up for the fleet.
type Request struct {
	To           string
	Limit        string
	ID           uint64
	Renews       uint64 // request ID of the loan to renew; 0 for a new loan
	Amount       Amount
	Demand, Used Amount
}

// Requests returns the requests to send now. They renew loans that are still needed. If the demand exceeds the
// available quota and all loans, they also ask some randomly chosen peers for new loans. peers are the names of the
// other live gateways. Requests returns nothing until Settings.RequestInterval has passed since the last round, and
// nothing before the view has settled for the first time.
func (l *Ledger) Requests(peers []string, now int64) (requests []Request) {
	if now < l.nextRequestsAt || l.fullQuotaAt == 0 || len(peers) == 0 {
		return nil
	}
	l.nextRequestsAt = now + l.settings.RequestInterval
	for _, name := range slices.Sorted(maps.Keys(l.limits)) {
		limit := l.limits[name]
		l.dropExpiredRequests(limit, now)
		sumLoans(limit.borrowed, now) // deletes expired loans
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
	for id, pending := range limit.pending {
		if now-pending.requestedAt >= l.settings.LoanDuration {
			delete(limit.pending, id)
		}
	}
}

// requestRenewals adds requests to renew loans that are still needed and of which less than half of the duration
// remains. Renewal is needed because the lender cannot grant the amount again before the old loan has expired.
// requestRenewals also returns the demand that all loans together leave unmet.
func (l *Ledger) requestRenewals(requests []Request, limit *Limit, peers []string, missing Amount, now int64) ([]Request, Amount) {
	for _, lender := range slices.Sorted(maps.Keys(limit.borrowed)) {
		for _, ln := range limit.borrowed[lender] {
			if missing > 0 && ln.expiresAt-now < l.settings.LoanDuration/2 && slices.Contains(peers, lender) {
				requests = l.addRequest(requests, limit, pendingRequest{lender, now, ln.amount, ln.requestID})
			}
			missing -= ln.amount
		}
	}
	return requests, missing
}

// requestNewLoans adds requests for new loans of the missing amount to some randomly chosen peers. A peer that denied a
// request is skipped for half of the loan duration, because no peer has unused quota when the whole fleet is
// overloaded.
func (l *Ledger) requestNewLoans(requests []Request, limit *Limit, peers []string, missing Amount, now int64) []Request {
	lenders := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool {
		at, denied := limit.deniedAt[peer]
		return denied && now-at < l.settings.LoanDuration/2 || len(limit.borrowed[peer]) > 0
	})
	l.rng.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	lenders = lenders[:min(maxRequestsPerRound, len(lenders))]
	amount := missing
	if len(lenders) > 2 { // request twice the missing amount in total, because some peers have no unused quota
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

// addRequest assigns an ID to a request and adds it, unless maxLoans requests of the limit are pending.
func (l *Ledger) addRequest(requests []Request, limit *Limit, pending pendingRequest) []Request {
	if len(limit.pending) >= maxLoans {
		return requests
	}
	l.lastRequestID++
	limit.pending[l.lastRequestID] = pending
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

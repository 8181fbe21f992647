package limits

import (
	"math"
	"slices"
)

// Grant is the answer to a Request. An Amount of 0 denies the request. Demand and Used are those of the gateway that
// answers.
type Grant struct {
	Limit        string
	ID           uint64
	Amount       Amount
	Demand, Used Amount
}

// HandleRequest returns the answer to a peer's request. ok is false if the request gets no answer, because its limit is
// unknown or its amount is invalid. A request that arrives again while its loan lasts gets the same amount, and no
// second loan is granted.
func (l *Ledger) HandleRequest(from string, request Request, now int64) (grant Grant, ok bool) {
	limit := l.limits[request.Limit]
	if limit == nil || request.Amount <= 0 || math.IsNaN(request.Amount) {
		return Grant{}, false
	}
	limit.recordPeerUsage(from, usage{request.Demand, request.Used, now})
	grant = Grant{Limit: request.Limit, ID: request.ID, Demand: limit.demand, Used: limit.used}
	grant.Amount = l.lend(limit, from, request, now)
	return grant, true
}

// lend grants or denies a request of a peer. It records a granted loan as lent and returns its amount, or 0 if the
// request is denied.
func (l *Ledger) lend(limit *Limit, to string, request Request, now int64) Amount {
	lent, _ := sumLoans(limit.lent, now)
	quota := l.quota(limit)
	for i, ln := range limit.lent[to] {
		switch {
		case ln.requestID == request.ID: // a repetition of a granted request
			return ln.amount
		case request.Renews != 0 && ln.requestID == request.Renews && l.availableQuota(limit, now) >= limit.demand &&
			lent <= quota*l.settings.MaxLentFraction*(1+roundingTolerance):
			// The loan is not renewed if this gateway now needs the amount itself, or if the fleet grew and the quota
			// shrank. The loan then expires before members that joined may use their full quota.
			limit.lent[to][i].expiresAt = now + l.settings.LoanDuration
			return ln.amount
		}
	}
	if request.Renews != 0 || !l.HasFullQuota(now) || len(limit.lent) >= maxLoans || len(limit.lent[to]) >= maxLoansOfPeer {
		l.Denied++
		return 0
	}
	lendable := quota*l.settings.MaxLentFraction - lent
	unused := quota - lent - limit.demand*demandHeadroom
	amount := min(lendable, unused, request.Amount)
	if limit.Integral {
		amount = math.Floor(amount)
	}
	if amount <= 0 || amount < limit.Total/minLoanDivisor {
		l.Denied++
		return 0
	}
	limit.lent[to] = append(limit.lent[to], loan{amount, now + l.settings.LoanDuration, request.ID})
	l.Granted++
	return amount
}

// HandleGrant processes a peer's answer to a request. The loan lasts from the time of the request, which is before the
// time of the grant. Grants without a pending request to that peer, expired grants and grants of more than the
// requested amount are ignored and counted as late.
func (l *Ledger) HandleGrant(from string, grant Grant, now int64) {
	limit := l.limits[grant.Limit]
	if limit == nil {
		return
	}
	request, open := limit.pending[grant.ID]
	if !open || request.lender != from {
		l.Late++
		return
	}
	delete(limit.pending, grant.ID)
	limit.recordPeerUsage(from, usage{grant.Demand, grant.Used, now})
	if grant.Amount <= 0 {
		if request.renews == 0 { // a denied renewal only lets the loan expire
			limit.recordDenial(from, now)
		}
		return
	}
	delete(limit.deniedAt, from)
	expiresAt := request.requestedAt + l.settings.LoanDuration
	if now >= expiresAt || grant.Amount > request.amount {
		l.Late++
		return
	}
	limit.addBorrowed(from, request, loan{grant.Amount, expiresAt, grant.ID})
}

// addBorrowed records a loan from a peer. A renewal replaces the renewed loan, so several renewals of a loan still
// result in one loan.
func (l *Limit) addBorrowed(from string, request pendingRequest, granted loan) {
	if request.renews != 0 {
		granted.requestID = request.renews
		for _, ln := range l.borrowed[from] {
			if ln.requestID == granted.requestID {
				granted.expiresAt = max(granted.expiresAt, ln.expiresAt)
			}
		}
		l.borrowed[from] = slices.DeleteFunc(l.borrowed[from], func(ln loan) bool { return ln.requestID == granted.requestID })
	}
	l.borrowed[from] = append(l.borrowed[from], granted)
}

func (l *Limit) recordDenial(from string, now int64) {
	l.deniedAt[from] = now
	if len(l.deniedAt) > maxLoans {
		clear(l.deniedAt)
	}
}

func (l *Limit) recordPeerUsage(from string, reported usage) {
	if len(l.peerUsage) >= maxLoans {
		clear(l.peerUsage)
	}
	l.peerUsage[from] = reported
}

package limits

import (
	"math"
	"slices"
)

// Grant answers a request; an Amount of 0 denies it. Demand and Used are the answering gateway's own.
type Grant struct {
	Limit        string
	ID           uint64
	Amount       Amount
	Demand, Used Amount
}

// HandleRequest answers a peer's request; ok is false where there is nothing to answer (an unknown limit, no valid amount). A request
// that arrives twice is answered alike and granted once.
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

// lend returns what a peer gets for its request, 0 where it is denied, and enters it as lent.
func (l *Ledger) lend(limit *Limit, to string, request Request, now int64) Amount {
	lent, _ := sumLoans(limit.lent, now)
	quota := l.quota(limit)
	for i, o := range limit.lent[to] {
		switch {
		case o.requestID == request.ID: // it arrived before
			return o.amount
		case request.Renews != 0 && o.requestID == request.Renews && l.availableQuota(limit, now) >= limit.demand &&
			lent <= quota*l.settings.MaxLentFraction*(1+roundingTolerance):
			// Otherwise it is in demand here now, or the fleet grew and the quota shrank: the loan expires, within the time in
			// which members that joined leave it to those who have it.
			limit.lent[to][i].expiresAt = now + l.settings.LoanDuration
			return o.amount
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

// HandleGrant takes a peer's answer. A loan runs from the time of its request, which was before its grant; one that no request is open
// for, or whose time is over, is ignored.
func (l *Ledger) HandleGrant(from string, grant Grant, now int64) {
	limit := l.limits[grant.Limit]
	if limit == nil {
		return
	}
	request, open := limit.requested[grant.ID]
	if !open || request.lender != from {
		l.Late++
		return
	}
	delete(limit.requested, grant.ID)
	limit.recordPeerUsage(from, usage{grant.Demand, grant.Used, now})
	if grant.Amount <= 0 {
		if request.renews == 0 { // a loan that is not renewed just expires
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

// addBorrowed enters a loan of a peer. One that renews another takes its place: requested more than once, it is still one loan.
func (l *Limit) addBorrowed(from string, request pendingRequest, granted loan) {
	if request.renews != 0 {
		granted.requestID = request.renews
		for _, o := range l.borrowed[from] {
			if o.requestID == granted.requestID {
				granted.expiresAt = max(granted.expiresAt, o.expiresAt)
			}
		}
		l.borrowed[from] = slices.DeleteFunc(l.borrowed[from], func(o loan) bool { return o.requestID == granted.requestID })
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

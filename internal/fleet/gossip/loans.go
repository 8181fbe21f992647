package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/limit"
)

// handleLimitFrame passes the grants of a frame to the ledger, or answers the frame's requests with grants. It drops
// and counts a malformed frame and a frame whose sender is not a live peer.
func (g *Gossiper) handleLimitFrame(b []byte, now int64) []message {
	frame, err := limits.ParseFrame(b)
	from := g.peerNames[frame.SenderKey]
	if err != nil || from == "" {
		g.droppedMessages++
		return nil
	}
	grants := limits.Frame{SenderKey: limits.NameKey(g.self), IsGrant: true}
	for _, e := range frame.Entries {
		name := g.limitNames[e.LimitKey]
		if frame.IsGrant {
			g.ledger.HandleGrant(from, limits.Grant{Limit: name, ID: e.ID, Amount: e.Amount, Demand: e.Demand, Used: e.Used}, now)
			continue
		}
		request := limits.Request{Limit: name, ID: e.ID, Renews: e.Renews, Amount: e.Amount, Demand: e.Demand, Used: e.Used}
		if grant, ok := g.ledger.HandleRequest(from, request, now); ok {
			grants.Entries = append(grants.Entries, limits.Entry{LimitKey: e.LimitKey, ID: grant.ID, Amount: grant.Amount, Demand: grant.Demand, Used: grant.Used})
		}
	}
	if len(grants.Entries) == 0 {
		return nil
	}
	return []message{{from, grants.Append(nil)}}
}

// updateLedger passes the current state of the fleet, the fleet limits and this gateway's demand to the ledger.
func (g *Gossiper) updateLedger(state membership.State, now int64) {
	g.ledger.UpdateFleet(limits.FleetState{
		Size:    state.FleetSize,
		NotLive: state.FleetSize - state.Live,
		Rank:    state.Rank,
		Settled: state.Settled,
	}, now)
	present := map[string]limits.Limit{}
	clear(g.limitNames)
	g.admission.FleetLimits(func(name string, spec limit.Spec, usage limit.Usage) {
		d := g.demands[name]
		if d == nil {
			d = &demand{lastUse: usage, measuredAt: time.Since(g.startedAt)}
			g.demands[name] = d
		}
		d.update(usage, time.Since(g.startedAt))
		for _, dim := range dimensions(name, spec, d) {
			present[dim.Name] = dim.Limit
			g.limitNames[limits.NameKey(dim.Name)] = dim.Name
		}
	})
	g.ledger.SetLimits(present)
	g.recordDemands(present)
	if full := g.ledger.HasFullQuota(now); full != g.hasFullQuota {
		g.hasFullQuota = full
		g.log.Info("fleet_limits", "full_quota", full, "limits", len(present), "fleet", state.FleetSize)
	}
}

// recordDemands passes the demand for each present limit to the ledger, and deletes the demand for limits that no
// longer exist.
func (g *Gossiper) recordDemands(present map[string]limits.Limit) {
	allDimensions := limit.Spec{LookupsPerSecond: 1, BytesPerSecond: 1, MaxOpen: 1}
	for name, d := range g.demands {
		isPresent := false
		for _, dim := range dimensions(name, allDimensions, d) {
			if _, ok := present[dim.Name]; ok {
				isPresent = true
				g.ledger.RecordUsage(dim.Name, dim.demand, dim.used)
			}
		}
		if !isPresent {
			delete(g.demands, name)
		}
	}
}

// addLoanRequests appends the loan requests that are due and returns all messages sorted by peer.
func (g *Gossiper) addLoanRequests(messages []message, peers []string, now int64) []message {
	byPeer := map[string][]limits.Entry{}
	for _, r := range g.ledger.Requests(peers, now) {
		byPeer[r.To] = append(byPeer[r.To], limits.Entry{LimitKey: limits.NameKey(r.Limit), ID: r.ID, Renews: r.Renews, Amount: r.Amount, Demand: r.Demand, Used: r.Used})
	}
	for to, entries := range byPeer {
		for chunk := range slices.Chunk(entries, limits.MaxEntries) {
			frame := limits.Frame{SenderKey: limits.NameKey(g.self), Entries: chunk}
			messages = append(messages, message{to, frame.Append(nil)})
		}
	}
	slices.SortFunc(messages, func(a, b message) int { return cmp.Compare(a.to, b.to) })
	return messages
}

// applyLeases applies the current lease of every limit to admission.
func (g *Gossiper) applyLeases() {
	g.mu.Lock()
	now := g.now()
	wallNow := time.Now()
	leases := map[string]limit.Lease{}
	for name := range g.demands {
		leases[name] = g.lease(name, now, wallNow)
	}
	g.mu.Unlock()
	g.admission.ApplyLeases(leases)
}

// lease combines the leases of a limit's dimensions into one lease, which expires when the first of them expires.
func (g *Gossiper) lease(name string, now int64, wallNow time.Time) limit.Lease {
	combined := limit.Lease{ExpiresAt: wallNow.Add(time.Hour)}
	amounts := func(suffix string) (granted, fallback float64) {
		if _, known := g.limitNames[limits.NameKey(name+suffix)]; !known {
			return 0, 0
		}
		lease := g.ledger.Lease(name+suffix, now)
		if lease.ExpiresAt < math.MaxInt64 {
			expiresAt := wallNow.Add(time.Duration(lease.ExpiresAt-now) * time.Microsecond)
			if expiresAt.Before(combined.ExpiresAt) {
				combined.ExpiresAt = expiresAt
			}
		}
		return lease.Granted, lease.Fallback
	}
	combined.Granted.LookupsPerSecond, combined.Fallback.LookupsPerSecond = amounts(lookupsSuffix)
	combined.Granted.BytesPerSecond, combined.Fallback.BytesPerSecond = amounts(bytesSuffix)
	open, openFallback := amounts(openSuffix)
	combined.Granted.MaxOpen = int(open)
	combined.Fallback.MaxOpen = int(openFallback)
	return combined
}

// LimitReports returns a report on each limit of the fleet from this gateway's point of view.
func (g *Gossiper) LimitReports() []limits.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Reports(g.now())
}

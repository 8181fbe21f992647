package scenario

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// A differential run makes the same lookups, with the same outcomes of their requests at the same instants, once through
// a gateway and once through its external processor with a stand-in caller. Messages take no time, so that the routing
// module receives every call in the same microsecond in both, and its decisions can be compared one by one.

// differentialScript determines the lookups and their outcomes, in place of clients and caches.
type differentialScript struct {
	seed         uint64
	atExtproc    bool
	decisions    []string // in the order in which they were made
	decidedAt    []time.Duration
	divergesAt   time.Duration // from here on the contract allows the two to differ; -1: never
	divergence   string
	lookups      int
	attemptCount int
}

// schedule has the script's lookups sent at their times.
func (script *differentialScript) schedule(s *Scenario) {
	r := rand.New(rand.NewPCG(script.seed, 0x7477696e))
	at := warmup
	for n := 0; at < warmup+time.Duration(s.Plan.Seconds)*time.Second; n++ {
		at += time.Duration(1+r.IntN(60_000_000))*time.Nanosecond + time.Microsecond
		g, l := s.gateways[r.IntN(len(s.gateways))], &lookup{kind: r.IntN(len(lookupKinds)), part: r.IntN(3), id: fmt.Sprintf("%016x", r.Uint64())}
		l.object = fmt.Sprintf("%c%d", l.kindSettings().name[0], r.IntN(40))
		if l.kindSettings().passesThrough {
			l.object = fmt.Sprintf("%c%d", l.kindSettings().name[0], n)
		}
		l.group, l.deadline = groupOf(l.object), (l.kindSettings().deadline / time.Duration(1+r.IntN(4))).Truncate(time.Millisecond)
		s.sim.After(at, func() {
			l.process = g.current
			if l.process == nil || !l.process.ready || l.process.ended {
				return
			}
			script.lookups++
			s.checker.lookupSent(l)
			if caller := s.callers[g]; caller != nil {
				caller.sendLookup(l)
				return
			}
			c := &clientConn{clients: s.clients, gateway: g, process: g.current, next: l}
			c.end = s.clients.host.Connect(g.addr(), c)
		})
	}
}

// answerAttempt answers a request as drawn from the lookup and the cache.
func (script *differentialScript) answerAttempt(c *cache, request *attemptRequest) {
	script.attemptCount++
	r := rand.New(rand.NewPCG(script.seed^hashString(request.id), hashString(c.id)))
	after := time.Duration(200+r.IntN(90_000)) * time.Microsecond
	note, waited := "hit", 0.0
	switch n := r.IntN(100); {
	case n < 2:
		return // no answer
	case n < 6:
		c.scenario.after(after, func() { c.respond(request, "NONE", "-") })
		return
	case n < 10:
		c.scenario.after(after, func() { c.respond(request, "SHED", "-") })
		return
	case n < 13:
		c.scenario.after(after, func() {
			c.respond(request, "FAULT", "note="+[]string{"src_broke", "origin_failed", "src_refused"}[n-10])
		})
		return
	case n < 30 && request.source != "":
		note = []string{"filled", "via_origin", "joined"}[n%3]
		after += time.Duration(r.IntN(300_000)) * time.Microsecond
		waited = float64(after.Microseconds()) / 1000
	}
	got := c.scenario.originCopy(request)
	got.createdAt = got.createdAt.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)
	c.scenario.after(after, func() {
		if request.ended || !c.up || request.conn.deliver == nil && request.conn.requests[request.id] != request {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, waited, got.version, got.createdAt.UnixMilli())
		body := got.body(request.key())
		c.scenario.checker.cacheAnswered(request, got, false)
		request.ended = true
		request.conn.send(request, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", request.id, fields, len(body), body))
	})
}

// interceptor records every decision of the module.
func (script *differentialScript) interceptor(s *Scenario) dispatch.Interceptor {
	note := func(format string, a ...any) {
		script.decisions = append(script.decisions, fmt.Sprintf("%d us ", s.sim.Now().Microseconds())+fmt.Sprintf(format, a...))
		script.decidedAt = append(script.decidedAt, s.sim.Now())
	}
	return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		return start(&decisionRecorder{Executor: h, script: script, scenario: s, record: note})
	}
}

// decisionRecorder wraps the module's executor and records its decisions.
type decisionRecorder struct {
	policy.Executor
	script   *differentialScript
	scenario *Scenario
	record   func(format string, a ...any)
}

func (n *decisionRecorder) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	n.record("send %s to %s from %s rank %d how %d for %d oldest %d", lk.ID, request.Cache.Name, request.Source.Name, request.Rank, request.Mode,
		request.Timeout, request.MaxAge)
	n.Executor.Fetch(lk, request)
}

func (n *decisionRecorder) Reject(lk *policy.Lookup, in policy.Micros) {
	n.record("nack %s, again in %d", lk.ID, in)
	n.Executor.Reject(lk, in)
}

func (n *decisionRecorder) Fail(lk *policy.Lookup) {
	n.record("fail %s", lk.ID)
	n.Executor.Fail(lk)
}

// CancelAttempt records that the runs may differ from now on: a gateway cancels at the cache, but a caller cannot be called
// back, as the contract says.
func (n *decisionRecorder) CancelAttempt(lk *policy.Lookup, send int) {
	n.script.mayDiverge(n.scenario.sim.Now(), "cancelled")
	n.Executor.CancelAttempt(lk, send)
}

func (script *differentialScript) mayDiverge(at time.Duration, why string) {
	if script.divergesAt < 0 {
		script.divergesAt, script.divergence = at, why
	}
}

// DifferentialResult is the comparison of a differential run.
type DifferentialResult struct {
	Seed       uint64 `json:"seed"`
	Lookups    int    `json:"lookups"`
	Attempts   int    `json:"sends"`
	Compared   int    `json:"compared"`            // decisions
	Divergence string `json:"term,omitempty"`      // the case of the contract after which they may differ
	Different  string `json:"different,omitempty"` // the first decision that differs before that
	Broken     string `json:"broken,omitempty"`
}

// RunDifferential runs a seed through a gateway and through its external processor, and compares each decision of the module.
func RunDifferential(seed uint64) (DifferentialResult, error) {
	r := rand.New(rand.NewPCG(seed, 0x7477696e73))
	p := Plan{Form: PlanForm, Seed: seed, Profile: "calm", Seconds: 20, Gateways: 1, Caches: 4 + r.IntN(5), Parents: 2, Rate: 1, MemoryMB: 64, Descriptors: 384}
	for range r.IntN(5) {
		kind := []string{"cache_drain", "cache_replace", "purge_object", "purge_group", "cache_kill", "bulletin_lag", "cold_mass"}[r.IntN(7)]
		p.Faults = append(p.Faults, Fault{AtMS: 500 + r.IntN(18000), Kind: kind, Target: r.IntN(100), DurationMS: 500 + r.IntN(3000), Variant: r.IntN(100)})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	var both [2]*differentialScript
	pair := DifferentialResult{Seed: seed}
	for i := range both {
		script := &differentialScript{seed: seed, atExtproc: i == 1, divergesAt: -1}
		both[i] = script
		day, err := Run(p, Hooks{script: script})
		if err != nil {
			return pair, err
		}
		if len(day.Violations) > 0 {
			pair.Broken = day.Violations[0].String()
		}
		if n := day.Reasons["cache_closed silent"]; n > 0 { // a gateway detects a silent connection by several attempts, a caller sees one
			pair.Divergence = "silent"
		}
	}
	a, b := both[0], both[1]
	pair.Lookups, pair.Attempts = a.lookups, a.attemptCount
	until := 1000 * time.Hour
	for _, script := range both {
		if script.divergesAt >= 0 {
			until, pair.Divergence = min(until, script.divergesAt), script.divergence
		}
	}
	for i := range max(len(a.decisions), len(b.decisions)) {
		if i < len(a.decidedAt) && a.decidedAt[i] >= until || i < len(b.decidedAt) && b.decidedAt[i] >= until {
			break
		}
		x, y := "nothing", "nothing"
		if i < len(a.decisions) {
			x = a.decisions[i]
		}
		if i < len(b.decisions) {
			y = b.decisions[i]
		}
		if !sameDecision(x, y) {
			pair.Different = fmt.Sprintf("%s at the gateway, %s at the door", x, y)
			break
		}
		pair.Compared++
	}
	return pair, nil
}

// sameDecision reports whether two decisions are the same at instants at most 1 us apart: a gateway and its external
// processor round the instant of the same event differently, so that one's sweep may be a microsecond before the other's.
func sameDecision(x, y string) bool {
	var a, b int64
	var restA, restB string
	if x == y {
		return true
	}
	if i, j := strings.Index(x, " us "), strings.Index(y, " us "); i > 0 && j > 0 {
		restA, restB = x[i:], y[j:]
		if _, err := fmt.Sscan(x[:i], &a); err == nil {
			if _, err := fmt.Sscan(y[:j], &b); err == nil {
				return restA == restB && a-b <= 1 && b-a <= 1
			}
		}
	}
	return false
}

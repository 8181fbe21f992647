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

// A differential run sends the same lookups twice: once through a gateway and once through its external processor with
// a simulated caller. The attempts have the same outcomes at the same instants in both. Messages take no time, so that
// the routing module receives every call in the same microsecond in both, and its decisions can be compared one by one.

// differentialScript determines the lookups of one half of a differential run and the outcomes of their attempts, in
// place of clients and caches. It records the decisions of the module.
type differentialScript struct {
	seed         uint64
	atExtproc    bool
	decisions    []string // in the order in which they were made
	decidedAt    []time.Duration
	divergesAt   time.Duration // from then on the contract allows the two halves to differ; -1: never
	divergence   string
	lookups      int
	attemptCount int
}

// schedule schedules the script's lookups.
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

// answerAttempt answers a request. The outcome is drawn from the script's seed, the ID of the lookup and the ID of the
// cache, so that it is the same in both halves of the run.
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
	copied := c.scenario.originCopy(request)
	copied.createdAt = copied.createdAt.Add(-time.Duration(r.IntN(4000)) * time.Millisecond)
	c.scenario.after(after, func() {
		if request.ended || !c.up || request.conn.deliver == nil && request.conn.requests[request.id] != request {
			return
		}
		fields := fmt.Sprintf("note=%s,waited=%.3f,ver=%s,born=%d", note, waited, copied.version, copied.createdAt.UnixMilli())
		body := copied.body(request.key())
		c.scenario.checker.cacheAnswered(request, copied, false)
		request.ended = true
		request.conn.send(request, fmt.Sprintf("%s HIT %s %d\r\n%s\r\n", request.id, fields, len(body), body))
	})
}

// interceptor returns an interceptor that records every decision of the module.
func (script *differentialScript) interceptor(s *Scenario) dispatch.Interceptor {
	record := func(format string, a ...any) {
		script.decisions = append(script.decisions, fmt.Sprintf("%d us ", s.sim.Now().Microseconds())+fmt.Sprintf(format, a...))
		script.decidedAt = append(script.decidedAt, s.sim.Now())
	}
	return func(executor policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		return start(&decisionRecorder{Executor: executor, script: script, scenario: s, record: record})
	}
}

// decisionRecorder wraps the module's executor and records the module's decisions.
type decisionRecorder struct {
	policy.Executor
	script   *differentialScript
	scenario *Scenario
	record   func(format string, a ...any)
}

func (d *decisionRecorder) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	d.record("fetch %s from %s, source %s, rank %d, mode %d, timeout %d us, max age %d us", lk.ID, request.Cache.Name, request.Source.Name,
		request.Rank, request.Mode, request.Timeout, request.MaxAge)
	d.Executor.Fetch(lk, request)
}

func (d *decisionRecorder) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	d.record("reject %s, retry in %d us", lk.ID, retryIn)
	d.Executor.Reject(lk, retryIn)
}

func (d *decisionRecorder) Fail(lk *policy.Lookup) {
	d.record("fail %s", lk.ID)
	d.Executor.Fail(lk)
}

// CancelAttempt records that the halves may differ from now on. A gateway cancels the attempt at the cache, but the
// contract of the external processor does not let it recall an attempt that a caller makes.
func (d *decisionRecorder) CancelAttempt(lk *policy.Lookup, attempt int) {
	d.script.mayDiverge(d.scenario.sim.Now(), "cancelled")
	d.Executor.CancelAttempt(lk, attempt)
}

// mayDiverge records the first time from which the halves may differ, and the reason.
func (script *differentialScript) mayDiverge(at time.Duration, reason string) {
	if script.divergesAt < 0 {
		script.divergesAt, script.divergence = at, reason
	}
}

// DifferentialResult is the result of a differential run.
type DifferentialResult struct {
	Seed       uint64 `json:"seed"`
	Lookups    int    `json:"lookups"`
	Attempts   int    `json:"sends"`
	Compared   int    `json:"compared"`            // number of decisions compared
	Divergence string `json:"term,omitempty"`      // the case of the contract from which on the halves may differ
	Different  string `json:"different,omitempty"` // the first decision that differs before that case
	Broken     string `json:"broken,omitempty"`    // the first rule that was broken in a half
}

// RunDifferential runs the script of a seed through a gateway and through its external processor, and compares the
// decisions of the module one by one, up to the first that may differ.
func RunDifferential(seed uint64) (DifferentialResult, error) {
	r := rand.New(rand.NewPCG(seed, 0x7477696e73))
	p := Plan{Form: PlanForm, Seed: seed, Profile: "calm", Seconds: 20, Gateways: 1, Caches: 4 + r.IntN(5), Parents: 2, Rate: 1, MemoryMB: 64, Descriptors: 384}
	for range r.IntN(5) {
		kind := []string{"cache_drain", "cache_replace", "purge_object", "purge_group", "cache_kill", "bulletin_lag", "cold_mass"}[r.IntN(7)]
		p.Faults = append(p.Faults, Fault{AtMS: 500 + r.IntN(18000), Kind: kind, Target: r.IntN(100), DurationMS: 500 + r.IntN(3000), Variant: r.IntN(100)})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	var halves [2]*differentialScript
	result := DifferentialResult{Seed: seed}
	for i := range halves {
		script := &differentialScript{seed: seed, atExtproc: i == 1, divergesAt: -1}
		halves[i] = script
		half, err := Run(p, Hooks{script: script})
		if err != nil {
			return result, err
		}
		if len(half.Violations) > 0 {
			result.Broken = half.Violations[0].String()
		}
		// A gateway detects a silent connection by several attempts on it. A caller sees only one attempt.
		if n := half.Reasons["cache_closed silent"]; n > 0 {
			result.Divergence = "silent"
		}
	}
	a, b := halves[0], halves[1]
	result.Lookups, result.Attempts = a.lookups, a.attemptCount
	until := 1000 * time.Hour
	for _, script := range halves {
		if script.divergesAt >= 0 {
			until, result.Divergence = min(until, script.divergesAt), script.divergence
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
			result.Different = fmt.Sprintf("%s at the gateway, %s at the external processor", x, y)
			break
		}
		result.Compared++
	}
	return result, nil
}

// sameDecision reports whether two recorded decisions are the same and at most 1 us apart. A gateway and
// its external processor round the time of the same event differently, so that the periodic sweep of one
// may run a microsecond before that of the other.
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

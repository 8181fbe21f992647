package scenario

import (
	"testing"
	"time"
)

// runExtprocCase runs a case as runCase does, with callers of the external processor in place of clients.
func runExtprocCase(t *testing.T, faults []Fault, newHooks func() (Hooks, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	occurred := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := DrawPlan(seed, "door")
		p.Seconds, p.Gateways, p.Caches, p.Faults, p.Rate = 12, 3, 8, faults, 12
		hooks, happened := newHooks()
		r, err := Run(p, hooks)
		if err != nil || len(r.Violations) > 0 {
			t.Errorf("seed %d: violations %v, error %v", seed, r.Violations, err)
		}
		if happened(r) {
			occurred++
		}
	}
	if occurred == 0 {
		t.Error("the subject of the case occurred for none of the three seeds")
	}
}

// outcomeAtLeast returns the argument of runExtprocCase for a case whose subject has occurred if at least count lookups
// had the outcome.
func outcomeAtLeast(outcome string, count int) func() (Hooks, func(r Result) bool) {
	return func() (Hooks, func(r Result) bool) {
		return Hooks{}, func(r Result) bool { return r.Outcomes[outcome] >= count }
	}
}

// TestExtprocCases guards against broken rules at the external processor when callers break its contract, or when
// faults strike between a decision and the caller's attempt.
func TestExtprocCases(t *testing.T) {
	all := func(kind string) []Fault { return []Fault{{AtMS: 2000, Kind: kind, DurationMS: 9000}} }
	t.Run("the caller gives up halfway through a request", func(t *testing.T) { runExtprocCase(t, all("caller_leaves"), outcomeAtLeast("client left", 5)) })
	t.Run("a caller that never reports", func(t *testing.T) { runExtprocCase(t, all("caller_mute"), outcomeAtLeast("caller says nothing", 5)) })
	t.Run("a caller that reports wrong outcomes of attempts", func(t *testing.T) { runExtprocCase(t, all("caller_lies"), outcomeAtLeast("odd", 5)) })
	t.Run("a caller that does not read", func(t *testing.T) { runExtprocCase(t, all("caller_deaf"), outcomeAtLeast("200", 100)) })
	t.Run("the same lookup on two streams, while an attempt is in flight and after it", func(t *testing.T) { runExtprocCase(t, all("caller_twice"), outcomeAtLeast("200", 100)) })
	t.Run("one caller dies and comes back while the others go on", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_dies"}, {AtMS: 5000, Kind: "caller_dies", Target: 1}, {AtMS: 5000, Kind: "burst", DurationMS: 2000}}, outcomeAtLeast("caller gone", 1))
	})
	t.Run("a flood of lookups from another caller besides the usual ones", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_flood", DurationMS: 4000}}, outcomeAtLeast("200", 500))
	})
	t.Run("the clocks of gateways step by seconds between two processes of a gateway", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 2000, Kind: "clock_step", DurationMS: 5000}, {AtMS: 3000, Kind: "gateway_kill", DurationMS: 500}, {AtMS: 5000, Kind: "purge_object"}}, outcomeAtLeast("200", 100))
	})
	t.Run("SIGTERM during a burst of lookups, with attempts in flight at callers", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 4000, Kind: "burst", DurationMS: 3000}, {AtMS: 5000, Kind: "gateway_restart"}}, func() (Hooks, func(r Result) bool) {
			return Hooks{}, func(r Result) bool { return r.Reasons["stopping"] > 3 }
		})
	})
	// between calls do once, after a decision and before its caller's request to the cache. Callers delay every
	// request. The caller sends the request as decided, which the grace of the rules allows.
	between := func(do func(s *Scenario, to string)) func() (Hooks, func(r Result) bool) {
		return func() (Hooks, func(r Result) bool) {
			n := 0
			return Hooks{onStart: func(s *Scenario) {
					for _, caller := range s.callers { // callers are independent, so the order does not matter
						caller.delayOneIn = 1
					}
				}, onDecision: func(s *Scenario, _ *gatewayProcess, to string) {
					if s.sim.Now() > 4*time.Second && n == 0 && s.byID[to].isUndisturbed() {
						n++
						do(s, to)
					}
				}},
				func(Result) bool { return n > 0 }
		}
	}
	t.Run("a drain between the decision and the caller's attempt", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(s *Scenario, to string) {
			c := s.byID[to]
			c.phase = "draining"
			s.publishDrain(c, "draining", 0)
		}))
	})
	t.Run("a purge between the decision and the caller's attempt", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(s *Scenario, _ string) {
			for _, o := range []string{"s0", "s1", "p0", "p1"} {
				s.purge(o, 0)
			}
		}))
	})
}

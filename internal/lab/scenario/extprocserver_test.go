package scenario

import (
	"testing"
	"time"
)

// runExtprocCase does as runCase through the external processor.
func runExtprocCase(t *testing.T, faults []Fault, look func() (Hooks, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	met := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := DrawPlan(seed, "door")
		p.Seconds, p.Gateways, p.Caches, p.Faults, p.Rate = 12, 3, 8, faults, 12
		l, happened := look()
		r, err := Run(p, l)
		if err != nil || len(r.Violations) > 0 {
			t.Errorf("seed %d: %v %v", seed, r.Violations, err)
		}
		if happened(r) {
			met++
		}
	}
	if met == 0 {
		t.Error("the subject of the case never occurred")
	}
}

func outcomeAtLeast(word string, least int) func() (Hooks, func(r Result) bool) {
	return func() (Hooks, func(r Result) bool) {
		return Hooks{}, func(r Result) bool { return r.Outcomes[word] >= least }
	}
}

// TestExtprocCases runs cases of the external processor.
func TestExtprocCases(t *testing.T) {
	all := func(kind string) []Fault { return []Fault{{AtMS: 2000, Kind: kind, DurationMS: 9000}} }
	t.Run("the caller gives up halfway through a request", func(t *testing.T) { runExtprocCase(t, all("caller_leaves"), outcomeAtLeast("client left", 5)) })
	t.Run("a caller that never reports", func(t *testing.T) { runExtprocCase(t, all("caller_mute"), outcomeAtLeast("caller says nothing", 5)) })
	t.Run("a caller that lies about how sends ended", func(t *testing.T) { runExtprocCase(t, all("caller_lies"), outcomeAtLeast("odd", 5)) })
	t.Run("a caller that does not read", func(t *testing.T) { runExtprocCase(t, all("caller_deaf"), outcomeAtLeast("200", 100)) })
	t.Run("the same request on two streams, while a send is out and after it", func(t *testing.T) { runExtprocCase(t, all("caller_twice"), outcomeAtLeast("200", 100)) })
	t.Run("one caller dies and comes back, the other goes on", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_dies"}, {AtMS: 5000, Kind: "caller_dies", Target: 1}, {AtMS: 5000, Kind: "burst", DurationMS: 2000}}, outcomeAtLeast("caller gone", 1))
	})
	t.Run("a flood of another caller beside usual ones", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_flood", DurationMS: 4000}}, outcomeAtLeast("200", 500))
	})
	t.Run("gateways' clocks step by seconds between the lives of gateways", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 2000, Kind: "clock_step", DurationMS: 5000}, {AtMS: 3000, Kind: "gateway_kill", DurationMS: 500}, {AtMS: 5000, Kind: "purge_object"}}, outcomeAtLeast("200", 100))
	})
	t.Run("SIGTERM amid a burst, with sends at their callers", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 4000, Kind: "burst", DurationMS: 3000}, {AtMS: 5000, Kind: "gateway_restart"}}, func() (Hooks, func(r Result) bool) {
			return Hooks{}, func(r Result) bool { return r.Reasons["stopping"] > 3 }
		})
	})
	// What a gateway learns between a decision and its caller's request: the request is sent as decided, within the grace.
	between := func(do func(s *Scenario, to string)) func() (Hooks, func(r Result) bool) {
		return func() (Hooks, func(r Result) bool) {
			n := 0
			return Hooks{onStart: func(s *Scenario) {
					for _, caller := range s.callers { // each by itself: the order does not matter
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
	t.Run("a drain between the decision and the caller's send", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(s *Scenario, to string) {
			c := s.byID[to]
			c.phase = "draining"
			s.publishDrain(c, "draining", 0)
		}))
	})
	t.Run("a purge between the decision and the caller's send", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(s *Scenario, _ string) {
			for _, o := range []string{"s0", "s1", "p0", "p1"} {
				s.purge(o, 0)
			}
		}))
	})
}

package scenario

import (
	"testing"
	"time"
)

// runExtprocCase plays a story at the door for some seeds; happened tells whether what it is about did happen.
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
		t.Error("what the story is about never happened")
	}
}

func endsAtLeast(word string, least int) func() (Hooks, func(r Result) bool) {
	return func() (Hooks, func(r Result) bool) {
		return Hooks{}, func(r Result) bool { return r.Outcomes[word] >= least }
	}
}

func TestExtprocCases(t *testing.T) {
	all := func(kind string) []Fault { return []Fault{{AtMS: 2000, Kind: kind, DurationMS: 9000}} }
	t.Run("the caller gives up halfway through a request", func(t *testing.T) { runExtprocCase(t, all("caller_leaves"), endsAtLeast("client left", 5)) })
	t.Run("a caller that never reports", func(t *testing.T) { runExtprocCase(t, all("caller_mute"), endsAtLeast("caller says nothing", 5)) })
	t.Run("a caller that lies about how sends ended", func(t *testing.T) { runExtprocCase(t, all("caller_lies"), endsAtLeast("odd", 5)) })
	t.Run("a caller that does not read", func(t *testing.T) { runExtprocCase(t, all("caller_deaf"), endsAtLeast("200", 100)) })
	t.Run("the same request on two streams, while a send is out and after it", func(t *testing.T) { runExtprocCase(t, all("caller_twice"), endsAtLeast("200", 100)) })
	t.Run("one caller dies and comes back, the other goes on", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_dies"}, {AtMS: 5000, Kind: "caller_dies", Target: 1}, {AtMS: 5000, Kind: "burst", DurationMS: 2000}}, endsAtLeast("caller gone", 1))
	})
	t.Run("a flood of another caller beside usual ones", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 3000, Kind: "caller_flood", DurationMS: 4000}}, endsAtLeast("200", 500))
	})
	t.Run("gateways' clocks step by seconds between the lives of gateways", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 2000, Kind: "clock_step", DurationMS: 5000}, {AtMS: 3000, Kind: "gateway_kill", DurationMS: 500}, {AtMS: 5000, Kind: "purge_object"}}, endsAtLeast("200", 100))
	})
	t.Run("SIGTERM amid a burst, with sends at their callers", func(t *testing.T) {
		runExtprocCase(t, []Fault{{AtMS: 4000, Kind: "burst", DurationMS: 3000}, {AtMS: 5000, Kind: "gateway_restart"}}, func() (Hooks, func(r Result) bool) {
			return Hooks{}, func(r Result) bool { return r.Reasons["stopping"] > 3 }
		})
	})
	// What is told between a decision and its caller's send: the send goes out as decided, within the grace.
	between := func(do func(d *Scenario, to string)) func() (Hooks, func(r Result) bool) {
		return func() (Hooks, func(r Result) bool) {
			n := 0
			return Hooks{onStart: func(d *Scenario) {
					for _, p := range d.callers { // each by itself: the order does not matter
						p.delayOneIn = 1
					}
				}, onDecision: func(d *Scenario, _ *gatewayProcess, to string) {
					if d.sim.Now() > 4*time.Second && n == 0 && d.byID[to].isUndisturbed() {
						n++
						do(d, to)
					}
				}},
				func(Result) bool { return n > 0 }
		}
	}
	t.Run("a drain between the decision and the caller's send", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(d *Scenario, to string) {
			c := d.byID[to]
			c.phase = "draining"
			d.publishDrain(c, "draining", 0)
		}))
	})
	t.Run("a purge between the decision and the caller's send", func(t *testing.T) {
		runExtprocCase(t, nil, between(func(d *Scenario, _ string) {
			for _, o := range []string{"s0", "s1", "p0", "p1"} {
				d.purge(o, 0)
			}
		}))
	})
}

package scenario

import (
	"fmt"
	"testing"
	"time"
)

// runCase runs a case for three seeds; happened reports whether its subject occurred, as it must for one at least.
func runCase(t *testing.T, faults []Fault, look func(seed uint64) (Hooks, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	met := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := DrawPlan(seed, "calm")
		p.Seconds, p.Faults, p.Rate = 12, faults, 12
		l, happened := look(seed)
		r, err := Run(p, l)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, r.Violations[0])
			for _, line := range r.RecentEvents {
				t.Log(line)
			}
		}
		if happened(r) {
			met++
		}
	}
	if met == 0 {
		t.Error("the subject of the case never occurred")
	}
}

func withoutHooks(happened func(r Result) bool) func(uint64) (Hooks, func(Result) bool) {
	return func(uint64) (Hooks, func(Result) bool) { return Hooks{}, happened }
}

// drainOnce drains the cache of an attempt at one point of its way, at that instant.
func drainOnce(place func(l *Hooks, drain func(s *Scenario, cache string))) func(uint64) (Hooks, func(Result) bool) {
	return func(uint64) (Hooks, func(Result) bool) {
		var l Hooks
		drained := ""
		place(&l, func(s *Scenario, id string) {
			if c := s.byID[id]; drained == "" && s.sim.Now() > 4*time.Second && c != nil && c.flavor == "edge" && c.isUndisturbed() {
				drained = id
				c.phase = "draining"
				s.publishDrain(c, "draining", 0)
				s.after(6*time.Second, func() { c.publishPhase("removed", 0); s.after(100*time.Millisecond, func() { c.stop(false) }) })
			}
		})
		return l, func(Result) bool { return drained != "" }
	}
}

// TestCases runs cases of faults at one exact point of a lookup.
func TestCases(t *testing.T) {
	t.Run("a drain told between a send's decision and its first byte", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(l *Hooks, drain func(*Scenario, string)) {
			l.onDecision = func(s *Scenario, _ *gatewayProcess, to string) { drain(s, to) }
		}))
	})
	t.Run("a drain told while the send is on the wire", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(l *Hooks, drain func(*Scenario, string)) {
			l.onAttempt = func(s *Scenario, conn *cacheConn, _ *attemptRequest) { drain(s, conn.cache.id) }
		}))
	})
	t.Run("a drain told while the answer is written", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(l *Hooks, drain func(*Scenario, string)) {
			l.onAnswer = func(s *Scenario, request *attemptRequest) { drain(s, request.conn.cache.id) }
		}))
	})
	t.Run("nearly half of the gateways die in the instant of a purge, with a slow origin", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 3000, Kind: "origin_slow", DurationMS: 9000, Variant: 40}, {AtMS: 5000, Kind: "gateway_half", DurationMS: 800},
			{AtMS: 5000, Kind: "purge_group"}, {AtMS: 5000, Kind: "purge_object"}},
			withoutHooks(func(r Result) bool { return r.Outcomes["gateway gone"] > 0 }))
	})
	t.Run("a purge told between an answer's first and last byte", func(t *testing.T) {
		runCase(t, nil, func(uint64) (Hooks, func(Result) bool) {
			n := 0
			return Hooks{onAnswer: func(s *Scenario, request *attemptRequest) {
				if partBytes(request.object, request.part) > 10000 && n < 20 {
					n++
					s.after(300*time.Microsecond, func() { s.purge(request.object, 0) })
				}
			}}, func(Result) bool { return n > 0 }
		})
	})
	t.Run("a cache resets after the last byte of a send and before its answer", func(t *testing.T) {
		runCase(t, nil, func(uint64) (Hooks, func(Result) bool) {
			n := 0
			return Hooks{onAttempt: func(s *Scenario, conn *cacheConn, request *attemptRequest) {
				if n++; n%15 == 0 {
					s.after(time.Millisecond, func() { conn.end.Reset(); conn.endAtCache(false) })
				}
			}}, func(r Result) bool { return r.Reasons["cache_closed reset"] > 5 }
		})
	})
	t.Run("a client resets after the last byte of its lookup and before the answer", func(t *testing.T) {
		runCase(t, nil, func(uint64) (Hooks, func(Result) bool) {
			n := 0
			return Hooks{onReceived: func(s *Scenario, a *lookup) {
				if n++; n%9 == 0 {
					s.after(0, func() { a.conn.close("client left") })
				}
			}}, func(r Result) bool { return r.Outcomes["client left"] > 5 }
		})
	})
	t.Run("SIGTERM amid a burst", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 4000, Kind: "burst", DurationMS: 3000}, {AtMS: 5000, Kind: "gateway_restart"}},
			withoutHooks(func(r Result) bool { return r.Reasons["stopping"] > 3 && r.Reasons["client_closed stopping"] > 0 }))
	})
	t.Run("SIGHUP in a bulletin break", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 4000, Kind: "bulletin_break"}, {AtMS: 4000, Kind: "reload_good"}, {AtMS: 4000, Kind: "purge_object"},
			{AtMS: 6000, Kind: "bulletin_gone", DurationMS: 2000}, {AtMS: 6000, Kind: "reload_good"}, {AtMS: 6100, Kind: "cache_drain", DurationMS: 1000}},
			withoutHooks(func(r Result) bool { return r.Reasons["reloaded"] > 3 }))
	})
	t.Run("time moves on while a write is blocked", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 3000, Kind: "cache_deaf", DurationMS: 4000}, {AtMS: 4000, Kind: "cache_deaf", Target: 1, DurationMS: 4000},
			{AtMS: 3000, Kind: "clients_mute", DurationMS: 8000}, {AtMS: 5000, Kind: "burst", DurationMS: 2000}},
			withoutHooks(func(r Result) bool { return r.Reasons["cache_closed write_failed"] > 0 }))
	})
	two := []Fault{{AtMS: 5000, Kind: "cache_kill", Target: 2, DurationMS: 700}, {AtMS: 5000, Kind: "purge_object", Variant: 1},
		{AtMS: 5000, Kind: "gateway_kill", Target: 1, DurationMS: 900}, {AtMS: 5000, Kind: "bulletin_gone", DurationMS: 1500}}
	for i, a := range two {
		for _, b := range two[i+1:] {
			for n, order := range [][]Fault{{a, b}, {b, a}} {
				t.Run(fmt.Sprintf("two faults in one instant: %s and %s, %d", a.Kind, b.Kind, n), func(t *testing.T) {
					runCase(t, order, withoutHooks(func(r Result) bool { return r.Lookups > 100 }))
				})
			}
		}
	}
}

// runColdStart plays a morning for some seeds; more tells what must be so beside the rules.
func runColdStart(t *testing.T, cold ColdStart, faults []Fault, more func(r Result) string) {
	t.Helper()
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		p := DrawPlan(seed, "calm")
		cold := cold
		if cold.StartFrom == "" {
			cold.StartFrom = "list"
		}
		p.Seconds, p.ColdStart, p.Faults = 30, &cold, faults
		r, err := Run(p, Hooks{})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, r.Violations[0])
			continue
		}
		if text := more(r); text != "" {
			t.Errorf("seed %d: %s, %v, %+v", seed, text, r.Outcomes, r.EarlyLookups)
		}
	}
}

// TestColdStarts runs cases of gateways that start while discovery is away.
func TestColdStarts(t *testing.T) {
	least := func(share float64) func(r Result) string {
		return func(r Result) string {
			if float64(r.EarlyLookups.Satisfied) < share*float64(r.EarlyLookups.Sent) {
				return fmt.Sprintf("under %.2f of the first lookups satisfied", share)
			}
			if r.Reasons["started_from_stored_list"] == 0 {
				return "not started from the list"
			}
			return ""
		}
	}
	for _, story := range []struct {
		name string
		m    ColdStart
		more func(r Result) string
	}{
		{"a list a minute old, and all as it says", ColdStart{AgeSeconds: 60}, least(0.97)},
		{"an hour old", ColdStart{AgeSeconds: 3600}, least(0.97)},
		{"a month old", ColdStart{AgeSeconds: 30 * 86400}, least(0.9)},
		{"half of it is wrong: gone, silent, strangers, other caches at old addresses", ColdStart{AgeSeconds: 3600, WrongShare: 0.5}, least(0.6)},
		{"all that it calls warm has just started", ColdStart{AgeSeconds: 60, WrongShare: 1, Cold: true}, least(0.5)},
		{"the clock that wrote it was two hours ahead", ColdStart{AgeSeconds: 60, SkewSeconds: 7200}, least(0.9)},
		{"or two hours behind", ColdStart{AgeSeconds: 60, SkewSeconds: -7200}, least(0.97)},
		{"the bulletin comes back with its numbers from 1", ColdStart{AgeSeconds: 60, AwayMS: 9000, NumbersRestarted: true}, least(0.97)},
		{"the bulletin comes back, behind the list by a drain", ColdStart{AgeSeconds: 60, AwayMS: 3000, DrainUnannounced: true}, least(0.97)},
		{"the last bytes of the list are torn", ColdStart{AgeSeconds: 60, Torn: true, AwayMS: 3000}, func(r Result) string {
			if r.Reasons["list_damaged"]+r.Reasons["started_from_stored_list"] == 0 {
				return "nothing was read"
			}
			return ""
		}},
		{"no list and no bulletin: all is nacked at once, until it speaks", ColdStart{StartFrom: "wait", AwayMS: 9000}, func(r Result) string {
			if r.Reasons["no_list"] == 0 || r.Outcomes["503"] == 0 || r.EarlyLookups.Satisfied == 0 {
				return "expected nacks first, then answers"
			}
			return ""
		}},
	} {
		t.Run(story.name, func(t *testing.T) { runColdStart(t, story.m, nil, story.more) })
	}
	t.Run("a drain told, then all gateways killed with or without their machines", func(t *testing.T) {
		runColdStart(t, ColdStart{AgeSeconds: 60, AwayMS: 1}, []Fault{{AtMS: 5000, Kind: "cache_drain", Target: 1, DurationMS: 20000},
			{AtMS: 9000, Kind: "gateway_kill", Target: 0, DurationMS: 1000}, {AtMS: 9000, Kind: "gateway_kill", Target: 1, DurationMS: 1000}, {AtMS: 9000, Kind: "gateway_kill", Target: 2, DurationMS: 1000},
			{AtMS: 9100, Kind: "bulletin_gone", Target: 0, DurationMS: 12000}, {AtMS: 9100, Kind: "bulletin_gone", Target: 1, DurationMS: 12000}}, func(r Result) string {
			if r.Reasons["started_from_stored_list"] < 4 {
				return "nobody started from the list once more"
			}
			return ""
		})
	})
	t.Run("all gateways restart from their lists while all caches are cold", func(t *testing.T) {
		runColdStart(t, ColdStart{AgeSeconds: 3600, WrongShare: 1, Cold: true}, []Fault{{AtMS: 1500, Kind: "gateway_kill", Target: 0, DurationMS: 500}, {AtMS: 1500, Kind: "gateway_kill", Target: 1, DurationMS: 700},
			{AtMS: 1500, Kind: "gateway_kill", Target: 2, DurationMS: 900}}, least(0.3))
	})
}

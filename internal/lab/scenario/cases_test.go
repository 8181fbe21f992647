package scenario

import (
	"fmt"
	"testing"
	"time"
)

// runCase runs a case for three seeds. hooksFor returns the hooks of a run, and a function that reports whether the
// subject of the case occurred in it. The subject must occur for at least one seed.
func runCase(t *testing.T, faults []Fault, hooksFor func(seed uint64) (Hooks, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	occurred := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := DrawPlan(seed, "calm")
		p.Seconds, p.Faults, p.Rate = 12, faults, 12
		hooks, happened := hooksFor(seed)
		r, err := Run(p, hooks)
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
			occurred++
		}
	}
	if occurred == 0 {
		t.Error("the subject of the case occurred for none of the three seeds")
	}
}

// withoutHooks returns the argument of runCase for a case that needs no hooks.
func withoutHooks(happened func(r Result) bool) func(uint64) (Hooks, func(Result) bool) {
	return func(uint64) (Hooks, func(Result) bool) { return Hooks{}, happened }
}

// drainOnce drains the cache of one attempt at the instant at which a hook runs. install sets that hook.
func drainOnce(install func(hooks *Hooks, drain func(s *Scenario, cache string))) func(uint64) (Hooks, func(Result) bool) {
	return func(uint64) (Hooks, func(Result) bool) {
		var hooks Hooks
		drained := ""
		install(&hooks, func(s *Scenario, id string) {
			if c := s.byID[id]; drained == "" && s.sim.Now() > 4*time.Second && c != nil && c.flavor == "edge" && c.isUndisturbed() {
				drained = id
				c.phase = "draining"
				s.publishDrain(c, "draining", 0)
				s.after(6*time.Second, func() { c.publishPhase("removed", 0); s.after(100*time.Millisecond, func() { c.stop(false) }) })
			}
		})
		return hooks, func(Result) bool { return drained != "" }
	}
}

// TestCases guards against broken rules when a fault strikes at one exact point in the processing of a
// lookup, or two faults strike at the same instant.
func TestCases(t *testing.T) {
	t.Run("a drain announced between the decision of an attempt and its first byte", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(hooks *Hooks, drain func(*Scenario, string)) {
			hooks.onDecision = func(s *Scenario, _ *gatewayProcess, to string) { drain(s, to) }
		}))
	})
	t.Run("a drain announced while the attempt is on the wire", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(hooks *Hooks, drain func(*Scenario, string)) {
			hooks.onAttempt = func(s *Scenario, conn *cacheConn, _ *attemptRequest) { drain(s, conn.cache.id) }
		}))
	})
	t.Run("a drain announced while the answer is written", func(t *testing.T) {
		runCase(t, nil, drainOnce(func(hooks *Hooks, drain func(*Scenario, string)) {
			hooks.onAnswer = func(s *Scenario, request *attemptRequest) { drain(s, request.conn.cache.id) }
		}))
	})
	t.Run("nearly half of the gateways are killed at the instant of a purge, with a slow origin", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 3000, Kind: "origin_slow", DurationMS: 9000, Variant: 40}, {AtMS: 5000, Kind: "gateway_half", DurationMS: 800},
			{AtMS: 5000, Kind: "purge_group"}, {AtMS: 5000, Kind: "purge_object"}},
			withoutHooks(func(r Result) bool { return r.Outcomes["gateway gone"] > 0 }))
	})
	t.Run("a purge published between the first and the last byte of an answer", func(t *testing.T) {
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
	t.Run("a cache resets the connection after the last byte of an attempt and before its answer", func(t *testing.T) {
		runCase(t, nil, func(uint64) (Hooks, func(Result) bool) {
			n := 0
			return Hooks{onAttempt: func(s *Scenario, conn *cacheConn, request *attemptRequest) {
				if n++; n%15 == 0 {
					s.after(time.Millisecond, func() { conn.end.Reset(); conn.endAtCache(false) })
				}
			}}, func(r Result) bool { return r.Reasons["cache_closed reset"] > 5 }
		})
	})
	t.Run("a client closes the connection after the last byte of its lookup and before the answer", func(t *testing.T) {
		runCase(t, nil, func(uint64) (Hooks, func(Result) bool) {
			n := 0
			return Hooks{onReceived: func(s *Scenario, a *lookup) {
				if n++; n%9 == 0 {
					s.after(0, func() { a.conn.close("client left") })
				}
			}}, func(r Result) bool { return r.Outcomes["client left"] > 5 }
		})
	})
	t.Run("SIGTERM during a burst of lookups", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 4000, Kind: "burst", DurationMS: 3000}, {AtMS: 5000, Kind: "gateway_restart"}},
			withoutHooks(func(r Result) bool { return r.Reasons["stopping"] > 3 && r.Reasons["client_closed stopping"] > 0 }))
	})
	t.Run("SIGHUP while the connection to discovery breaks", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 4000, Kind: "bulletin_break"}, {AtMS: 4000, Kind: "reload_good"}, {AtMS: 4000, Kind: "purge_object"},
			{AtMS: 6000, Kind: "bulletin_gone", DurationMS: 2000}, {AtMS: 6000, Kind: "reload_good"}, {AtMS: 6100, Kind: "cache_drain", DurationMS: 1000}},
			withoutHooks(func(r Result) bool { return r.Reasons["reloaded"] > 3 }))
	})
	t.Run("writes to caches and clients are blocked for seconds", func(t *testing.T) {
		runCase(t, []Fault{{AtMS: 3000, Kind: "cache_deaf", DurationMS: 4000}, {AtMS: 4000, Kind: "cache_deaf", Target: 1, DurationMS: 4000},
			{AtMS: 3000, Kind: "clients_mute", DurationMS: 8000}, {AtMS: 5000, Kind: "burst", DurationMS: 2000}},
			withoutHooks(func(r Result) bool { return r.Reasons["cache_closed write_failed"] > 0 }))
	})
	simultaneous := []Fault{{AtMS: 5000, Kind: "cache_kill", Target: 2, DurationMS: 700}, {AtMS: 5000, Kind: "purge_object", Variant: 1},
		{AtMS: 5000, Kind: "gateway_kill", Target: 1, DurationMS: 900}, {AtMS: 5000, Kind: "bulletin_gone", DurationMS: 1500}}
	for i, a := range simultaneous {
		for _, b := range simultaneous[i+1:] {
			for n, order := range [][]Fault{{a, b}, {b, a}} {
				t.Run(fmt.Sprintf("two faults at one instant: %s and %s, %d", a.Kind, b.Kind, n), func(t *testing.T) {
					runCase(t, order, withoutHooks(func(r Result) bool { return r.Lookups > 100 }))
				})
			}
		}
	}
}

// runColdStart runs a cold start for six seeds. check returns what is wrong with a result
// in addition to broken rules, "" if nothing is.
func runColdStart(t *testing.T, cold ColdStart, faults []Fault, check func(r Result) string) {
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
		if text := check(r); text != "" {
			t.Errorf("seed %d: %s, %v, %+v", seed, text, r.Outcomes, r.EarlyLookups)
		}
	}
}

// TestColdStarts guards against broken rules and too few satisfied lookups when gateways start while discovery is
// unreachable, from a stored list that is old, wrong or damaged, or without a list.
func TestColdStarts(t *testing.T) {
	satisfiedAtLeast := func(share float64) func(r Result) string {
		return func(r Result) string {
			if float64(r.EarlyLookups.Satisfied) < share*float64(r.EarlyLookups.Sent) {
				return fmt.Sprintf("less than %.2f of the lookups of the first 30 s were satisfied", share)
			}
			if r.Reasons["started_from_stored_list"] == 0 {
				return "no gateway started from the stored list"
			}
			return ""
		}
	}
	for _, test := range []struct {
		name  string
		cold  ColdStart
		check func(r Result) string
	}{
		{"the list is a minute old and correct", ColdStart{AgeSeconds: 60}, satisfiedAtLeast(0.97)},
		{"the list is an hour old", ColdStart{AgeSeconds: 3600}, satisfiedAtLeast(0.97)},
		{"the list is a month old", ColdStart{AgeSeconds: 30 * 86400}, satisfiedAtLeast(0.9)},
		{"half of the list is wrong: removed, silent and restarted caches, other caches at old addresses", ColdStart{AgeSeconds: 3600, WrongShare: 0.5}, satisfiedAtLeast(0.6)},
		{"all caches that the list calls warm have just started", ColdStart{AgeSeconds: 60, WrongShare: 1, Cold: true}, satisfiedAtLeast(0.5)},
		{"the clock that wrote the list was two hours ahead", ColdStart{AgeSeconds: 60, SkewSeconds: 7200}, satisfiedAtLeast(0.9)},
		{"the clock that wrote the list was two hours behind", ColdStart{AgeSeconds: 60, SkewSeconds: -7200}, satisfiedAtLeast(0.97)},
		{"discovery comes back with event numbers from 1", ColdStart{AgeSeconds: 60, AwayMS: 9000, NumbersRestarted: true}, satisfiedAtLeast(0.97)},
		{"discovery comes back and lacks a drain that the list has", ColdStart{AgeSeconds: 60, AwayMS: 3000, DrainUnannounced: true}, satisfiedAtLeast(0.97)},
		{"the last bytes of the list are corrupted", ColdStart{AgeSeconds: 60, Torn: true, AwayMS: 3000}, func(r Result) string {
			if r.Reasons["list_damaged"]+r.Reasons["started_from_stored_list"] == 0 {
				return "no gateway read the stored list"
			}
			return ""
		}},
		{"without a list, lookups are rejected at once until discovery answers", ColdStart{StartFrom: "wait", AwayMS: 9000}, func(r Result) string {
			if r.Reasons["no_list"] == 0 || r.Outcomes["503"] == 0 || r.EarlyLookups.Satisfied == 0 {
				return "expected rejections without a list first, then satisfied lookups"
			}
			return ""
		}},
	} {
		t.Run(test.name, func(t *testing.T) { runColdStart(t, test.cold, nil, test.check) })
	}
	t.Run("a drain is announced, then all gateways are killed, with or without a crash of their machines", func(t *testing.T) {
		runColdStart(t, ColdStart{AgeSeconds: 60, AwayMS: 1}, []Fault{{AtMS: 5000, Kind: "cache_drain", Target: 1, DurationMS: 20000},
			{AtMS: 9000, Kind: "gateway_kill", Target: 0, DurationMS: 1000}, {AtMS: 9000, Kind: "gateway_kill", Target: 1, DurationMS: 1000}, {AtMS: 9000, Kind: "gateway_kill", Target: 2, DurationMS: 1000},
			{AtMS: 9100, Kind: "bulletin_gone", Target: 0, DurationMS: 12000}, {AtMS: 9100, Kind: "bulletin_gone", Target: 1, DurationMS: 12000}}, func(r Result) string {
			if r.Reasons["started_from_stored_list"] < 4 {
				return "no gateway started from the stored list a second time"
			}
			return ""
		})
	})
	t.Run("all gateways restart from their lists while all caches are cold", func(t *testing.T) {
		runColdStart(t, ColdStart{AgeSeconds: 3600, WrongShare: 1, Cold: true}, []Fault{{AtMS: 1500, Kind: "gateway_kill", Target: 0, DurationMS: 500}, {AtMS: 1500, Kind: "gateway_kill", Target: 1, DurationMS: 700},
			{AtMS: 1500, Kind: "gateway_kill", Target: 2, DurationMS: 900}}, satisfiedAtLeast(0.3))
	})
}

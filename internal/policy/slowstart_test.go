package policy

import (
	"fmt"
	"testing"
)

// dueAttempt is an attempt with the time at which its answer comes.
type dueAttempt struct {
	startedAttempt
	at Micros
}

// What a cold cache is sent (rule 4).
func TestSlowStartBudget(t *testing.T) {
	t.Run("no more than its budget in any window", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[0], Ready, f.now)
		sent := 0
		for i := range 100 {
			f.now += 10 * millisecond
			f.lookUp(0, fmt.Sprint(i))
			if len(f.attempts) > 0 && f.lastAttempt().Cache == caches[0] {
				sent++
			}
			if len(f.attempts) > 0 && f.lastAttempt().Cache != caches[0] { // a link that small has answered none of them by then
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			}
		}
		if cap := 3; sent > cap { // 0.3 of one transfer twice over, by two routers, is 3 lookups of 100 ms a second
			t.Fatalf("%d attempts to a cold cache", sent)
		}
	})
	t.Run("a budget too small for any lookup admits at random, and keeps its mean", func(t *testing.T) {
		f, caches := newFixture(t, func(s *Settings) { s.ZoneGateways, s.Gateways = []int{20}, 20 })
		f.updateEndpoint(caches[0], Ready, f.now)
		sent := 0
		for i := range 2000 {
			f.now += 2 * millisecond
			f.router.admitSlowStart(&Attempt{}, caches[0], float64(100*millisecond))
			if i > 0 && f.router.admitSlowStart(&Attempt{}, caches[0], float64(100*millisecond)) {
				sent++
			}
		}
		// 4 s at 0.2 to 0.52 of one transfer, a twentieth each: 0.7 lookups of 100 ms on the mean
		if sent > 4 {
			t.Fatalf("%d attempts", sent)
		}
	})
	t.Run("a lookup is sent once, with its fill, also while fills are limited", func(t *testing.T) {
		f, caches := newFixture(t, func(s *Settings) { s.SlowStartShare = 0.9 })
		f.updateEndpoint(caches[0], Ready, f.now)
		f.router.cutFillLimit()
		for i := range 50 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache == caches[0] && s.Source == s.Cache {
				t.Fatal("a cold cache is asked for its copy alone, which counts as much as the fill that follows")
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			f.advance(20 * millisecond)
		}
	})
}

// A cold cache is sent more as it shows what it bears.
func TestSlowStartPace(t *testing.T) {
	t.Run("a slow cache is sent less, one at full pace up to the multiple of what it carried", func(t *testing.T) {
		sent := map[Micros]int{}
		for _, latency := range []Micros{100 * millisecond, 400 * millisecond} {
			f, caches := newFixture(t, nil)
			f.updateEndpoint(caches[0], Ready, f.now)
			var due []dueAttempt
			carried := 0
			for i := range 400 {
				f.now += 10 * millisecond
				for len(due) > 0 && due[0].at <= f.now {
					f.router.AttemptEnded(f.now, due[0].lookup, AttemptReport{Attempt: due[0].number, Outcome: OutcomeSatisfied, Detail: DetailHit, Latency: latency, LookupEnded: true})
					due, carried = due[1:], carried+1
				}
				f.lookUp(0, fmt.Sprint(i))
				if s := f.lastAttempt(); s.Cache != caches[0] {
					f.endAttempt(s, OutcomeSatisfied, DetailHit, 100*millisecond)
				} else if len(due) == 0 || due[len(due)-1].lookup != s.lookup {
					due = append(due, dueAttempt{s, f.now + latency})
					sent[latency]++
				}
				if most := 3 + 2*(carried+1); sent[latency] > most {
					t.Fatalf("%d attempts to a cold cache that has answered %d", sent[latency], carried)
				}
			}
		}
		if sent[400*millisecond] > 12 || sent[100*millisecond] < 2*sent[400*millisecond] {
			t.Fatalf("%v attempts in 4 s, by latency", sent)
		}
	})
}

// When a slow start begins.
func TestSlowStartBegins(t *testing.T) {
	t.Run("a cache that dies while it warms up starts again", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[0], Ready, f.now-5*second)
		first := caches[0].warmingSince
		for range 2 {
			f.now += 100 * millisecond
			s := &Attempt{lookup: f.lookUp(0, "a"), edge: caches[0], source: caches[0], startedAt: f.now}
			f.router.noteEdgeOutcome(s, AttemptReport{Outcome: OutcomeConnectFailed})
		}
		if !caches[0].ejected {
			t.Fatal("two refused connections and not ejected")
		}
		f.now += 2 * second
		caches[0].probe = &Attempt{lookup: f.lookUp(0, "b"), edge: caches[0], source: caches[0], startedAt: f.now}
		f.router.noteSuccess(caches[0], caches[0].probe)
		if caches[0].warmingSince <= first {
			t.Fatalf("warming since %d, before its death since %d", caches[0].warmingSince, first)
		}
	})
}

// Many routers share a cold cache.
func TestSlowStartAmongManyRouters(t *testing.T) {
	t.Run("a router of 250 sends its small part", func(t *testing.T) {
		f, caches := newFixture(t, func(c *Settings) {
			c.Gateways, c.ZoneGateways, c.ReportsHits, c.ReportsFirstByte = 250, []int{250}, false, false
		})
		for i := range 200 { // warm caches carry what they get
			f.lookUp(0, fmt.Sprint("w", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		f.updateEndpoint(caches[0], Ready, f.now) // it starts, cold
		coldAttempts := 0
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("c", i))
			if f.lastAttempt().Cache == caches[0] {
				coldAttempts++
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		// Each warm cache bore some 33 attempts of 100 ms a second from this router, as from each of the 250: in any second
		// the rule allows all together twice the cold share (0.2) of that, so this router's part is 13 attempts.
		if coldAttempts > 13 {
			t.Fatalf("%d of 100 attempts at a cold cache in its first second", coldAttempts)
		}
	})
}

// A lookup that names a cold parent and turns out to be a hit at its edge cache never reached that parent. It gives back what the parent's
// budget was charged, in the slot where it was charged: not more (a fill admitted at random is charged less than its work), nor later,
// when the charge has left the window and giving it back would make budget out of nothing.
func TestHitsGiveBackTheirCharge(t *testing.T) {
	for _, late := range []Micros{20 * millisecond, 900 * millisecond, 3 * second} {
		t.Run(fmt.Sprintf("hits after %d ms", late/millisecond), func(t *testing.T) {
			f, caches := newFixture(t, func(s *Settings) { s.ZoneGateways, s.Gateways = []int{20}, 20 })
			parents := caches[3:5]
			for _, p := range parents {
				f.updateEndpoint(p, Ready, f.now)
			}
			admittedAtRandom, ended := 0, 0
			for i := range 2000 {
				f.now += 5 * millisecond
				f.lookUp(0, fmt.Sprint("o", i))
				for ended < len(f.attempts) && f.now >= f.attempts[ended].lookup.attempts[f.attempts[ended].number].startedAt+late {
					s := f.attempts[ended]
					if ended++; s.Source.Kind != 1 || s.lookup.ended {
						continue
					}
					if charge := s.lookup.attempts[s.number].slowStartCharge; charge < float64(s.lookup.work) {
						admittedAtRandom++
					}
					f.endAttempt(s, OutcomeSatisfied, DetailHit, late)
				}
				for _, p := range parents {
					if charged := p.slowStartSent.read(f.now, f.router.breakWindow()); charged < -1 {
						t.Fatalf("%d us after the start: %.0f us of work charged to %s", f.now-100*second, charged, p.Name)
					}
				}
			}
			if admittedAtRandom == 0 {
				t.Fatal("no fill was admitted at random: the test shows nothing")
			}
		})
	}
}

package policy

import (
	"fmt"
	"testing"
)

// dueAttempt is an attempt and the instant at which it is answered.
type dueAttempt struct {
	startedAttempt
	at Micros
}

// Rule 4 limits the load admitted to a cold cache.
func TestSlowStartBudget(t *testing.T) {
	t.Run("a cold cache gets no more than its budget in any window", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[0], Ready, f.now)
		sent := 0
		for i := range 100 {
			f.now += 10 * millisecond
			f.lookUp(0, fmt.Sprint(i))
			if len(f.attempts) > 0 && f.lastAttempt().Cache == caches[0] {
				sent++
			}
			if len(f.attempts) > 0 && f.lastAttempt().Cache != caches[0] { // the small link has answered none by then
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			}
		}
		if cap := 3; sent > cap { // 0.3 of one transfer times 2, over 2 routers: 3 lookups of 100 ms per second
			t.Fatalf("%d attempts at a cold cache", sent)
		}
	})
	t.Run("a budget too small for any lookup admits at random and keeps the mean", func(t *testing.T) {
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
		// In 4 s the cache has 0.2 to 0.52 of one transfer, and each
		// router a twentieth of that: 0.7 lookups of 100 ms on average.
		if sent > 4 {
			t.Fatalf("%d lookups were admitted, want at most 4", sent)
		}
	})
	t.Run("a cold cache gets no attempt without a fill, even while fills are limited", func(t *testing.T) {
		f, caches := newFixture(t, func(s *Settings) { s.SlowStartShare = 0.9 })
		f.updateEndpoint(caches[0], Ready, f.now)
		f.router.cutFillLimit()
		for i := range 50 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache == caches[0] && s.Source == s.Cache {
				t.Fatal("a cold cache got an attempt without a fill, which is charged as much as the fill that follows")
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			f.advance(20 * millisecond)
		}
	})
}

// The load admitted to a cold cache grows with the load that it has carried.
func TestSlowStartPace(t *testing.T) {
	t.Run("a slow cache gets less, a cache at full pace up to the break multiple of its carried load", func(t *testing.T) {
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
					t.Fatalf("%d attempts at a cold cache that has answered %d", sent[latency], carried)
				}
			}
		}
		if sent[400*millisecond] > 12 || sent[100*millisecond] < 2*sent[400*millisecond] {
			t.Fatalf("attempts in 4 s by latency in us: %v, want at most 12 at 400 ms and at least twice as many at 100 ms", sent)
		}
	})
}

// A cache that dies and is readmitted begins a new slow start.
func TestSlowStartBegins(t *testing.T) {
	t.Run("a cache that dies during slow start begins it anew", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		f.updateEndpoint(caches[0], Ready, f.now-5*second)
		first := caches[0].warmingSince
		for range 2 {
			f.now += 100 * millisecond
			s := &Attempt{lookup: f.lookUp(0, "a"), edge: caches[0], source: caches[0], startedAt: f.now}
			f.router.observeEdgeOutcome(s, AttemptReport{Outcome: OutcomeConnectFailed})
		}
		if !caches[0].ejected {
			t.Fatal("a cache was not ejected after two refused connections")
		}
		f.now += 2 * second
		caches[0].probe = &Attempt{lookup: f.lookUp(0, "b"), edge: caches[0], source: caches[0], startedAt: f.now}
		f.router.recordSuccess(caches[0], caches[0].probe)
		if caches[0].warmingSince <= first {
			t.Fatalf("slow start began at %d, want later than that before the failure, %d", caches[0].warmingSince, first)
		}
	})
}

// With many routers, each one sends only its share of the budget of a cold cache.
func TestSlowStartAmongManyRouters(t *testing.T) {
	t.Run("one router of 250 stays within its share", func(t *testing.T) {
		f, caches := newFixture(t, func(c *Settings) {
			c.Gateways, c.ZoneGateways, c.ReportsHits, c.ReportsFirstByte = 250, []int{250}, false, false
		})
		for i := range 200 { // the router observes the load that warm caches carry
			f.lookUp(0, fmt.Sprint("w", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		f.updateEndpoint(caches[0], Ready, f.now) // the cache starts cold
		coldAttempts := 0
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("c", i))
			if f.lastAttempt().Cache == caches[0] {
				coldAttempts++
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		// Each warm cache carried about 33 attempts of 100 ms per second from this router, and as many
		// from each of the 250 routers. In any second, rule 4 allows all routers together the break
		// multiple (2) times the cold share (0.2) of that load. This router's share is 13 attempts.
		if coldAttempts > 13 {
			t.Fatalf("%d of 100 attempts went to a cold cache in its first second, want at most 13", coldAttempts)
		}
	})
}

// An attempt that hits at its edge cache never reaches the cold parent whose budget it was charged to, so the
// charge is refunded. The refund must equal the charge, which is less than the work for a fill admitted at
// random. It must go to the window slot of the charge. A charge that has left the window must not be refunded,
// because that would create budget. The test checks that the charged work never falls below zero.
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
						t.Fatalf("%d us after the start, %.0f us of work are charged to %s, want no negative value", f.now-100*second, charged, p.Name)
					}
				}
			}
			if admittedAtRandom == 0 {
				t.Fatal("no fill was admitted at random, so the test covered nothing")
			}
		})
	}
}

package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestOrdinaryPath(t *testing.T) {
	t.Run("an object keeps its cache and its parent, is kept and joins", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		first := f.lastAttempt()
		f.endAttempt(first, OutcomeSatisfied, DetailFilled, 120*millisecond)
		f.lookUp(0, "a")
		if again := f.lastAttempt(); again.Cache != first.Cache || again.Source != first.Source || again.Mode&ModeCoalesce == 0 {
			t.Fatalf("moved from %s to %s", first.Cache.Name, again.Cache.Name)
		}
		if first.Rank != 1 || first.Source.Kind != 1 {
			t.Fatalf("rank %d by %s", first.Rank, first.Source.Name)
		}
	})
	t.Run("ranks rise as size over count falls", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		var ranks []int
		for range 3 {
			f.lookUpSized(0, "big", 1000)
			ranks = append(ranks, f.lastAttempt().Rank)
		}
		for range 3 {
			f.lookUpSized(1, "small", 100)
			ranks = append(ranks, f.lastAttempt().Rank)
		}
		if !slices.Equal(ranks, []int{1, 2, 2, 1, 3, 3}) {
			t.Fatal(ranks)
		}
	})
	t.Run("a list that loses a cache moves only its objects", func(t *testing.T) {
		f, all := newFixture(t, nil)
		home := map[int]*Cache{}
		for i := range 40 {
			f.lookUp(1, fmt.Sprint(i))
			home[i] = f.lastAttempt().Cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
		f.updateEndpoint(all[0], Gone, 0)
		for i := range 40 {
			f.lookUp(1, fmt.Sprint(i))
			if to := f.lastAttempt().Cache; to == all[0] || home[i] != all[0] && to != home[i] {
				t.Fatalf("object %d went from %s to %s", i, home[i].Name, to.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
}

// What runs at the origin gains nothing from a parent, whose way and places cost it time: it names the origin, while
// copies of other kinds go on meeting at their home parent.
func TestPassThroughNamesOrigin(t *testing.T) {
	start := func(t *testing.T) (*fixture, []*Cache) {
		return newFixture(t, func(c *Settings) { c.Kinds[1].PassThrough = true })
	}
	t.Run("it names the origin, a kind that is kept names a parent", func(t *testing.T) {
		f, all := start(t)
		f.lookUp(1, "a")
		write := f.lastAttempt()
		f.lookUp(0, "a")
		if fill := f.lastAttempt(); write.Source != all[5] || fill.Source.Kind != 1 {
			t.Fatalf("write by %s, fill by %s", write.Source.Name, fill.Source.Name)
		}
	})
	t.Run("also while a parent warms, and while fills are pressed", func(t *testing.T) {
		f, all := start(t)
		f.updateEndpoint(all[3], Ready, f.now)
		f.updateEndpoint(all[4], Ready, f.now)
		f.router.cutFillLimit()
		f.lookUp(1, "a")
		if len(f.attempts) != 1 || f.lastAttempt().Source != all[5] {
			t.Fatalf("%d sends", len(f.attempts))
		}
	})
	t.Run("by a parent while no origin is ready", func(t *testing.T) {
		f, all := start(t)
		f.updateEndpoint(all[5], Draining, 0)
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got.Kind != 1 {
			t.Fatalf("by %s", got.Name)
		}
	})
	t.Run("by a parent where its scope names sources and the origin is none of them", func(t *testing.T) {
		f, all := start(t)
		f.scope = &Scope{Sources: map[string]bool{all[3].Name: true}}
		f.lookUp(1, "a")
		if got := f.lastAttempt().Source; got != all[3] {
			t.Fatalf("by %s", got.Name)
		}
	})
}

func TestRules(t *testing.T) {
	t.Run("a drain is heeded at once, for sends and for sources", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		was := f.lastAttempt()
		f.updateEndpoint(was.Cache, Draining, 0)
		f.updateEndpoint(was.Source, Draining, 0)
		f.lookUp(0, "a")
		if now := f.lastAttempt(); now.Cache == was.Cache || now.Source == was.Source || now.lookup == was.lookup {
			t.Fatalf("still %s by %s", now.Cache.Name, now.Source.Name)
		}
	})
	t.Run("no copy older than a purge, and never 0", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.router.ApplyPurge(f.now, "", 3, 0)
		f.lookUp(1, "a")
		if got := f.lastAttempt().MaxAge; got <= 0 || got > 10*millisecond {
			t.Fatal(got)
		}
		f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
		f.advance(2 * second)
		f.lookUp(1, "a")
		if got := f.lastAttempt().MaxAge; got != 2*second {
			t.Fatal(got)
		}
	})
	t.Run("a side-effecting lookup that may have run is failed, not repeated", func(t *testing.T) {
		f, _ := newFixture(t, func(c *Settings) { c.Kinds[0].Effect = SideEffecting })
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 {
			t.Fatalf("%d sends after one that never ran", len(f.attempts))
		}
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a deduplicated lookup stays in its circle", func(t *testing.T) {
		f, _ := newFixture(t, func(c *Settings) { c.Kinds[0].Effect, c.Kinds[0].DedupScope = Deduplicated, SameCell })
		f.lookUp(0, "a")
		first := f.lastAttempt().Cache
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Cache != first {
			t.Fatalf("%d sends, last to %s after %s", len(f.attempts), f.lastAttempt().Cache.Name, first.Name)
		}
		f.updateEndpoint(first, Gone, 0)
		f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || len(f.calls) != 1 || !f.lastCallIs("fail") {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a cold cache gets no more than its budget in any window", func(t *testing.T) {
		f, all := newFixture(t, nil)
		f.updateEndpoint(all[0], Ready, f.now)
		sent := 0
		for i := range 100 {
			f.now += 10 * millisecond
			f.lookUp(0, fmt.Sprint(i))
			if len(f.attempts) > 0 && f.lastAttempt().Cache == all[0] {
				sent++
			}
			if len(f.attempts) > 0 && f.lastAttempt().Cache != all[0] { // a link that small has answered none of them by then
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			}
		}
		if cap := 3; sent > cap { // 0.3 of one transfer twice over, by two routers, is 3 lookups of 100 ms a second
			t.Fatalf("%d sends to a cold cache", sent)
		}
	})
	t.Run("a cold cache that is slow is sent less, one that answers at full pace up to the multiple of what it carried", func(t *testing.T) {
		sent := map[Micros]int{}
		for _, took := range []Micros{100 * millisecond, 400 * millisecond} {
			f, all := newFixture(t, nil)
			f.updateEndpoint(all[0], Ready, f.now)
			var due []sentAt
			carried := 0
			for i := range 400 {
				f.now += 10 * millisecond
				for len(due) > 0 && due[0].at <= f.now {
					f.router.AttemptEnded(f.now, due[0].lookup, AttemptReport{Attempt: due[0].number, Outcome: OutcomeSatisfied, Detail: DetailHit, Latency: took, LookupEnded: true})
					due, carried = due[1:], carried+1
				}
				f.lookUp(0, fmt.Sprint(i))
				if s := f.lastAttempt(); s.Cache != all[0] {
					f.endAttempt(s, OutcomeSatisfied, DetailHit, 100*millisecond)
				} else if len(due) == 0 || due[len(due)-1].lookup != s.lookup {
					due = append(due, sentAt{s, f.now + took})
					sent[took]++
				}
				if most := 3 + 2*(carried+1); sent[took] > most {
					t.Fatalf("%d sends to a cold cache that has answered %d", sent[took], carried)
				}
			}
		}
		if sent[400*millisecond] > 12 || sent[100*millisecond] < 2*sent[400*millisecond] {
			t.Fatalf("%v sends in 4 s, by the time that each takes", sent)
		}
	})
	t.Run("a cache that dies anew while it warms starts anew", func(t *testing.T) {
		f, all := newFixture(t, nil)
		f.updateEndpoint(all[0], Ready, f.now-5*second)
		first := all[0].warmingSince
		for range 2 {
			f.now += 100 * millisecond
			s := &Attempt{lookup: f.lookUp(0, "a"), edge: all[0], source: all[0], startedAt: f.now}
			f.router.noteEdgeOutcome(s, AttemptReport{Outcome: OutcomeConnectFailed})
		}
		if !all[0].ejected {
			t.Fatal("two refused connections and not out")
		}
		f.now += 2 * second
		all[0].probe = &Attempt{lookup: f.lookUp(0, "b"), edge: all[0], source: all[0], startedAt: f.now}
		f.router.noteSuccess(all[0], all[0].probe)
		if all[0].warmingSince <= first {
			t.Fatalf("warming since %d, before its death since %d", all[0].warmingSince, first)
		}
	})
	t.Run("a cold cache is sent the whole lookup once, also while fills are pressed", func(t *testing.T) {
		f, all := newFixture(t, func(c *Settings) { c.SlowStartShare = 0.9 })
		f.updateEndpoint(all[0], Ready, f.now)
		f.router.cutFillLimit()
		for i := range 50 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache == all[0] && s.Source == s.Cache {
				t.Fatal("a look at a cold cache, which counts as much as the fill that follows")
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			f.advance(20 * millisecond)
		}
	})
	t.Run("one final answer, and nothing after it", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		lk := f.lookUp(0, "a")
		s := f.lastAttempt()
		f.router.ClientGone(f.now, lk)
		f.endAttempt(s, OutcomeCancelled, DetailNone, millisecond)
		f.advance(4 * second)
		if len(f.attempts) != 1 || len(f.calls) != 1 || !lk.Ended() {
			t.Fatal(len(f.attempts), f.calls)
		}
	})
	t.Run("a timeout at the deadline is answered at once", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		lk := f.lookUp(0, "a")
		f.now += 3 * second
		f.endAttempt(f.lastAttempt(), OutcomeTimeout, DetailNone, 3*second)
		if !lk.Ended() || len(f.calls) != 1 {
			t.Fatal(f.calls)
		}
	})
}

// sentAt is a send with the time at which its answer comes.
type sentAt struct {
	startedAttempt
	at Micros
}

func TestFailures(t *testing.T) {
	t.Run("fills that wait long for a source and are sent quickly: a large miss waits as long, not in proportion", func(t *testing.T) {
		f, all := newFixture(t, nil)
		for i := range 20 {
			lk := f.lookUpSized(0, fmt.Sprint("o", i), 20)
			s := f.lastAttempt()
			f.router.AttemptEnded(f.now, lk, AttemptReport{Attempt: s.number, Outcome: OutcomeSatisfied, Detail: DetailFilled, Latency: 120 * millisecond, SourceWait: 100 * millisecond, LookupEnded: true})
		}
		large := f.lookUpSized(0, "large", 200)
		large.missedAt = all[0]
		if took := large.kind.expectedLatency(f.now, large); took < 280*millisecond || took > 320*millisecond {
			t.Errorf("expected to take %d us", took)
		}
	})
	t.Run("what every send of it ends in an error is asked for three times, and a fill that failed goes on", func(t *testing.T) {
		for remark, sends := range map[OutcomeDetail]int{DetailNone: 3, DetailOriginFailed: 4} {
			f, _ := newFixture(t, nil)
			lk := f.lookUp(0, "unknown")
			for range 3 {
				f.now += 5 * millisecond
				f.endAttempt(f.lastAttempt(), OutcomeError, remark, 5*millisecond)
			}
			f.advance(40 * millisecond)
			if len(f.attempts) != sends || lk.ended != (sends == 3) {
				t.Errorf("remark %d: %d sends, over %v, %v", remark, len(f.attempts), lk.ended, f.calls)
			}
		}
	})
	t.Run("a cache that answers all with errors is left by lookups after some, and put out", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "o")
		bad := f.lastAttempt().Cache
		for range errorsToEject {
			f.lookUp(0, "o")
			if s := f.lastAttempt(); s.Cache != bad {
				t.Fatalf("sent to %s first", s.Cache.Name)
			}
			few := bad.errorsInRow < errorsToAvoid-1 // say little: the copy is there
			if f.endAttempt(f.lastAttempt(), OutcomeError, DetailNone, millisecond); (f.lastAttempt().Cache == bad) != few {
				t.Fatalf("sent on to %s after %d in a row", f.lastAttempt().Cache.Name, bad.errorsInRow)
			}
		}
		if f.lookUp(0, "o"); !bad.ejected || f.lastAttempt().Cache == bad {
			t.Error("still in")
		}
	})
	t.Run("errors and resets have accounts of their own, and a good answer closes both", func(t *testing.T) {
		for _, mixed := range [][]AttemptOutcome{{OutcomeError, OutcomeReset}, {OutcomeReset, OutcomeError}, {OutcomeError, OutcomeError, OutcomeError, OutcomeError, OutcomeError}} {
			f, _ := newFixture(t, nil)
			f.lookUp(0, "o")
			home := f.lastAttempt().Cache
			for _, e := range mixed {
				f.advance(10 * millisecond) // a reset counts for sends after the last one only
				f.lookUp(0, "o")
				s := f.lastAttempt()
				if s.Cache != home {
					t.Fatalf("%v: home is left", mixed)
				}
				f.router.AttemptEnded(f.now, s.lookup, AttemptReport{Attempt: s.number, Outcome: e, Latency: 5 * millisecond, LookupEnded: true}) // its client leaves: nothing more is asked of home
			}
			if home.ejected {
				t.Errorf("%v put home out", mixed)
			}
			f.lookUp(0, "o")
			if f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 5*millisecond); home.errorsInRow+home.failuresInRow > 0 {
				t.Errorf("%v: a good answer leaves an account open", mixed)
			}
		}
	})
	t.Run("a size out of all bounds is nacked at once and hardly counts", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "usual")
		f.lookUpSized(0, "odd", 1e9)
		if len(f.attempts) != 1 || len(f.calls) != 1 || f.router.kinds[0].meanWork(f.now) > float64(f.router.kinds[0].Deadline) {
			t.Errorf("%d sends, %v, mean %.0f", len(f.attempts), f.calls, f.router.kinds[0].meanWork(f.now))
		}
	})
	t.Run("a day of ever new objects keeps a bounded table, and a count lasts as long as a copy is asked for", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for i := range maxCounts + 10 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint(i), Object: fmt.Sprint("new", i), Group: 3, SizeKB: 1e9, Deadline: f.now + second})
			if i%20 == 0 {
				f.router.StartLookup(f.now, Arrival{ID: "u", Object: "usual", Group: 3, SizeKB: 1e9, Deadline: f.now + second})
			}
		}
		f.router.ApplyPurge(f.now, "usual", 0, 0)
		f.advance(sweepInterval)
		if len(f.router.lookupCounts) != 1 {
			t.Errorf("%d counts left", len(f.router.lookupCounts))
		}
		f.advance(2 * countDecayInterval)
		if len(f.router.purges) != 0 {
			t.Error("a purge is kept though no copy can be older")
		}
	})
	t.Run("a connection that breaks under many sends is one strike, and they go to the same cache again", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		var out []startedAttempt
		for i := range 8 {
			f.lookUp(0, fmt.Sprint("o", i))
			out = append(out, f.lastAttempt())
		}
		f.now += 10 * millisecond
		for _, s := range out {
			f.endAttempt(s, OutcomeReset, DetailNone, 10*millisecond)
			if again := f.lastAttempt(); again.lookup != s.lookup || again.Cache != s.Cache || s.Cache.ejected || s.Cache.restartsCold {
				t.Fatalf("%s went to %s after %s; out %v", s.lookup.ID, again.Cache.Name, s.Cache.Name, s.Cache.ejected)
			}
		}
		f.now += 10 * millisecond
		again := f.lastAttempt()
		if f.endAttempt(again, OutcomeReset, DetailNone, 10*millisecond); !again.Cache.ejected {
			t.Error("in after a second break without an answer between")
		}
		if again.Cache.restartsCold {
			t.Error("thought dead though nothing was refused")
		}
	})
	t.Run("a silent cache is left once looks go unanswered, and a trial brings it back", func(t *testing.T) {
		f, all := newFixture(t, nil)
		for i := 0; !all[0].ejected && i < 200; i++ {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Cache != all[0] {
				f.endAttempt(s, OutcomeSatisfied, DetailHit, 100*millisecond)
			}
			f.advance(120 * millisecond)
		}
		if !all[0].ejected {
			t.Fatal("never left")
		}
		for i := 0; all[0].ejected && i < 400; i++ {
			f.lookUp(1, fmt.Sprint("x", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.advance(120 * millisecond)
		}
		if all[0].ejected {
			t.Fatal("never back")
		}
	})
	t.Run("late fills on a full link make lookups look first, not the cache silent", func(t *testing.T) {
		f, all := newFixture(t, nil)
		looks := 0
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				if s.Mode&ModeCoalesce != 0 {
					t.Fatal("a look that may wait for a fill shows nothing")
				}
				looks++
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond) // its fill stays out, as the others
			}
			f.advance(50 * millisecond)
		}
		for _, c := range all {
			if c.ejected || looks == 0 {
				t.Fatalf("%s out %v after %d looks", c.Name, c.ejected, looks)
			}
		}
	})
	t.Run("a parent that owes fills is out only if the others owe few", func(t *testing.T) {
		for _, alone := range []bool{true, false} {
			f, all := newFixture(t, nil)
			for i := range 40 { // at first one parent answers; then, not alone, it owes as well
				f.now += Micros(i/20) * millisecond
				f.lookUp(0, fmt.Sprint(i))
				if s := f.lastAttempt(); s.Source == all[4] && (alone || i < 20) {
					f.endAttempt(s, OutcomeSatisfied, DetailFilled, 100*millisecond)
				}
			}
			for range 60 { // the caches answer others
				f.now += 20 * millisecond
				for _, c := range all[:3] {
					c.lastSuccessAt = f.now
				}
				f.router.TimerFired(f.now, timerSweep)
			}
			if all[3].ejected != alone {
				t.Fatalf("alone %v: out %v", alone, all[3].ejected)
			}
		}
	})
	t.Run("a crowded home spills to the second in hash order, never to a third", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		order := f.router.rendezvousOrder(mixHash(hashString("a"), 1), f.router.edges)
		order[0].attemptLimit, order[1].attemptLimit = 1, 1
		for range 4 {
			f.lookUp(0, "a")
		}
		if len(f.attempts) != 2 || f.attempts[0].Cache != order[0] || f.attempts[1].Cache != order[1] {
			t.Fatalf("%d sends, last to %s", len(f.attempts), f.lastAttempt().Cache.Name)
		}
	})
	t.Run("many routers before one slow cache take turns, each under one open send", func(t *testing.T) {
		f, _ := newFixture(t, func(c *Settings) { c.ZoneGateways = []int{20} })
		home := f.router.rendezvousOrder(mixHash(hashString("a"), 1), f.router.edges)[0]
		for range 40 {
			f.lookUp(0, "a")
			if s := f.lastAttempt(); s.Cache == home {
				f.now += 2 * second
				f.endAttempt(s, OutcomeSatisfied, DetailHit, 2*second)
				if home.attemptLimit < 0.9 && home.pausedUntil <= f.now {
					t.Fatalf("no pause at a limit of %.2f", home.attemptLimit)
				}
			}
			f.advance(100 * millisecond)
		}
		if home.attemptLimit >= 1 || home.attemptLimit < minOpen/20 {
			t.Fatalf("limit %.2f", home.attemptLimit)
		}
		n := len(f.attempts)
		home.pausedUntil = f.now + second
		if f.lookUp(0, "a"); len(f.attempts) > n && f.lastAttempt().Cache == home {
			t.Fatal("sent out of turn")
		}
	})
	t.Run("a held miss is given up once fills of late take longer than it has left", func(t *testing.T) {
		for _, took := range []Micros{100 * millisecond, 400 * millisecond} {
			f, _ := newFixture(t, nil)
			for i := range 5 {
				f.lookUp(0, fmt.Sprint("x", i))
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, took)
			}
			f.endAttempt(f.attempts[0], OutcomeRejected, DetailNoFillSlot, millisecond)
			f.router.fills.limit, f.router.fills.nextAt = 0, 0
			lk := f.lookUp(0, "b")
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
			f.advance(250 * millisecond)
			if lk.Ended() != (took > 100*millisecond) {
				t.Fatalf("fills of %d: over %v", took, lk.Ended())
			}
		}
	})
	t.Run("before a miss is given up one look takes a copy within its grace, past no purge", func(t *testing.T) {
		for _, purged := range []bool{false, true} {
			f, _ := newFixture(t, func(c *Settings) { c.Kinds[1].StaleGrace = 20 * second })
			x := f.lookUp(1, "x")
			f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
			f.router.ClientGone(f.now, x)
			f.router.fills.limit = 0
			if purged {
				f.router.ApplyPurge(f.now, "", 3, 0)
			}
			lk := f.lookUp(1, "a")
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
			n := len(f.attempts)
			f.advance(600 * millisecond)
			s := f.lastAttempt()
			if len(f.attempts) != n+1 || s.lookup != lk || s.Source != s.Cache || purged && s.MaxAge > second ||
				!purged && s.MaxAge != 28*second {
				t.Fatalf("%d sends, the last for copies of %d", len(f.attempts)-n, s.MaxAge)
			}
			if f.endAttempt(s, OutcomeMiss, DetailNone, millisecond); !lk.Ended() || len(f.attempts) != n+1 {
				t.Fatal("neither answered nor left alone")
			}
		}
	})
	t.Run("a client's repeat waits behind a fresh lookup", func(t *testing.T) {
		f, _ := newFixture(t, func(c *Settings) { c.Kinds[0].LateUtilityShare = 0.2 })
		old := f.router.StartLookup(f.now, Arrival{ID: "old", Object: "a", Group: 3, SizeKB: 100, Deadline: f.now + 3*second, IsRepeat: true})
		fresh := f.router.StartLookup(f.now, Arrival{ID: "new", Object: "b", Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
		if old.utilityDensity() >= fresh.utilityDensity() {
			t.Fatal(old.utilityDensity(), fresh.utilityDensity())
		}
	})
	t.Run("a parent whose fills fail is skipped; with none up the origin serves", func(t *testing.T) {
		f, all := newFixture(t, nil)
		for i := range 60 {
			f.lookUp(0, fmt.Sprint(i))
			for s := f.lastAttempt(); !s.lookup.Ended(); s = f.lastAttempt() {
				if s.Source.Kind == 2 {
					f.endAttempt(s, OutcomeSatisfied, DetailFilledFromOrigin, 100*millisecond)
					continue
				}
				f.endAttempt(s, OutcomeRejected, DetailSourceBroke, 10*millisecond)
				f.advance(50 * millisecond)
			}
		}
		if !all[3].ejected || !all[4].ejected {
			t.Fatal("parents still in use")
		}
		if s := f.lastAttempt(); s.Source != all[5] {
			t.Fatalf("filled by %s", s.Source.Name)
		}
	})
	t.Run("while fills have no places, hits go on and misses are filled a few at a time", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
		f.router.fills.limit = 1
		f.lookUp(0, "b")
		look := f.lastAttempt()
		if look.Source != look.Cache {
			t.Fatalf("no look first but a fill by %s", look.Source.Name)
		}
		f.endAttempt(look, OutcomeMiss, DetailNone, millisecond)
		if fill := f.lastAttempt(); fill.lookup != look.lookup || fill.Source == fill.Cache {
			t.Fatal("the miss was not filled")
		}
		n := len(f.attempts)
		for i := range 20 {
			f.lookUp(0, fmt.Sprint("c", i))
			if s := f.lastAttempt(); s.Source == s.Cache {
				f.endAttempt(s, OutcomeMiss, DetailNone, millisecond)
			}
		}
		if len(f.attempts) != n+20 {
			t.Fatalf("%d sends for 20 looks", len(f.attempts)-n)
		}
		for _, s := range f.attempts[n:] {
			if s.Source != s.Cache {
				t.Fatal("a second fill went out")
			}
		}
	})
	t.Run("a lookup that missed looks no more, whatever its home", func(t *testing.T) {
		f, all := newFixture(t, nil)
		f.lookUp(0, "a")
		f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNoFillSlot, millisecond)
		f.router.fills.limit = 1
		for i := range 4 {
			f.lookUp(0, fmt.Sprint("c", i))
			f.endAttempt(f.lastAttempt(), OutcomeMiss, DetailNone, millisecond)
		}
		f.updateEndpoint(all[0], Draining, 0)
		f.advance(50 * millisecond)
		looks := map[*Lookup]int{}
		for _, s := range f.attempts {
			if s.Source == s.Cache {
				looks[s.lookup]++
			}
			if looks[s.lookup] > 1 {
				t.Fatal("looked twice")
			}
		}
	})
	t.Run("a bucket too small for any lookup is staked, and keeps its mean", func(t *testing.T) {
		f, all := newFixture(t, func(c *Settings) { c.ZoneGateways, c.Gateways = []int{20}, 20 })
		f.updateEndpoint(all[0], Ready, f.now)
		sent := 0
		for i := range 2000 {
			f.now += 2 * millisecond
			f.router.admitSlowStart(&Attempt{}, all[0], float64(100*millisecond))
			if i > 0 && f.router.admitSlowStart(&Attempt{}, all[0], float64(100*millisecond)) {
				sent++
			}
		}
		// 4 s at 0.2 to 0.52 of one transfer, a twentieth each: 0.7 lookups of 100 ms on the mean
		if sent > 4 {
			t.Fatalf("%d sends", sent)
		}
	})
	t.Run("where a fleet counts more routers than were told, each takes a part of as many; fewer change nothing", func(t *testing.T) {
		seats := func(told, fleet int) float64 {
			f, _ := newFixture(t, func(c *Settings) { c.ZoneGateways, c.Gateways, c.Zone = []int{told / 2}, told, 0 })
			f.router.FleetSize = fleet
			return f.router.zoneRouterCount()
		}
		if seats(12, 0) != 6 || seats(12, 12) != 6 || seats(12, 5) != 6 || seats(12, 24) != 12 {
			t.Fatal(seats(12, 0), seats(12, 12), seats(12, 5), seats(12, 24))
		}
	})
	t.Run("routers of one location raise fills by a part each, and cut them when late", func(t *testing.T) {
		grown := map[int]float64{}
		for _, seats := range []int{1, 4} {
			f, _ := newFixture(t, func(c *Settings) { c.ZoneGateways = []int{seats} })
			f.lookUp(0, "a")
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			grown[seats] = f.router.fills.limit - initialLimit
			f.lookUp(0, "b")
			f.now += 2 * second
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 2*second)
			if f.router.fills.limit >= initialLimit || f.router.fills.limitedUntil <= f.now {
				t.Fatalf("a late fill left the limit at %.1f", f.router.fills.limit)
			}
		}
		if grown[4] <= 0 || grown[1] < 3.9*grown[4] {
			t.Fatal(grown)
		}
	})
	t.Run("among hundreds of fills a few late ones are late by their way, a tenth is not", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		pace := 3 * millisecond
		fill := func(n, lateEach int) bool {
			for i := range n {
				f.lookUp(0, fmt.Sprint(f.now))
				f.now += pace
				took := 100 * millisecond
				if i%lateEach == lateEach-1 {
					took = 2 * second
				}
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, took)
			}
			return f.router.fills.limitedUntil > f.now
		}
		if fill(400, 1000) || fill(400, 25) {
			t.Fatal("pressed by a few late fills")
		}
		if !fill(400, 5) {
			t.Fatal("not pressed by a fifth of late fills")
		}
		f.now, pace = f.now+fillPressureTime, 18*millisecond // some eighty of late
		if fill(200, 1000) || fill(200, 40) {
			t.Fatal("pressed by one late fill in forty")
		}
	})
	t.Run("a parent silent for long returns cold, after a short pause warm", func(t *testing.T) {
		for _, away := range []Micros{second, 5 * second} {
			f, all := newFixture(t, nil)
			f.router.eject(all[3], "silent")
			f.now += away
			for i := 0; all[3].ejected && i < 20; i++ {
				f.lookUp(0, fmt.Sprint(i))
				f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 100*millisecond)
			}
			if all[3].ejected || (all[3].warmingSince > 0) != (away > coldAfterOutage) {
				t.Fatalf("after %d: out %v, cold from %d", away, all[3].ejected, all[3].warmingSince)
			}
		}
	})
}

func TestBareSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no flow, no sizes":  func(c *Settings) { c.TransferKBPerSecond = 0 },
		"no seats told":      func(c *Settings) { c.ZoneGateways, c.Gateways = nil, 0 },
		"no parents":         func(c *Settings) { c.ParentKind = -1 },
		"no rule figures":    func(c *Settings) { c.SlowStartTime, c.BreakWindow, c.BreakMultiple, c.SlowStartShare = 0, 0, 0, 0 },
		"absurd weights":     func(c *Settings) { c.WeightIsCapacity, c.WeightIsSize = true, true },
		"no joins, no hints": func(c *Settings) { c.CoalescesFills, c.ReportsFirstByte, c.MaxRetryAfter = false, false, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			f, all := newFixture(t, change)
			all[0].Weight = 0
			f.updateEndpoint(all[1], Ready, f.now)
			for i := range 30 {
				lk := f.lookUpSized(i%2, fmt.Sprint(i), float64(i*50))
				if s := f.lastAttempt(); s.lookup == lk {
					f.endAttempt(s, []AttemptOutcome{OutcomeSatisfied, OutcomeRejected, OutcomeError, OutcomeMiss}[i%4], DetailNone, 0)
				}
				f.advance(120 * millisecond)
			}
			for range 20 { // whatever is still out runs into its deadline
				for _, s := range f.attempts {
					if s.lookup.attempts[s.number] != nil && slices.Contains(f.router.openAttempts, s.lookup.attempts[s.number]) {
						f.endAttempt(s, OutcomeTimeout, DetailNone, second)
					}
				}
				f.advance(200 * millisecond)
			}
			if len(f.attempts) < 30 || len(f.router.queued) > 0 || len(f.router.openAttempts) > 0 {
				t.Fatalf("%d sends, %d held, %d open", len(f.attempts), len(f.router.queued), len(f.router.openAttempts))
			}
		})
	}
}

// A scope narrows what a lookup is sent to and filled from, and nothing else.
func TestScope(t *testing.T) {
	t.Run("none but the caches and parents in it", func(t *testing.T) {
		f, all := newFixture(t, nil)
		for i := range 40 {
			f.scope = &Scope{Caches: map[string]bool{"c1": true, "c2": true}, Sources: map[string]bool{"c4": true}}
			f.lookUp(0, fmt.Sprint(i))
			if s := f.lastAttempt(); len(f.attempts) != i+1 || s.Cache == all[0] || s.Source != all[4] {
				t.Fatalf("%s from %s", s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("its object's home where that is in it", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			home := f.lastAttempt().Cache
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
			f.scope = &Scope{Caches: map[string]bool{home.Name: true, "c1": true}}
			f.lookUp(0, fmt.Sprint(i))
			if f.lastAttempt().Cache != home {
				t.Fatalf("%s, not %s", f.lastAttempt().Cache.Name, home.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
	})
	t.Run("it is of one lookup only", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.scope = &Scope{Caches: map[string]bool{"c1": true}}
		f.lookUp(0, "a")
		seen := map[*Cache]bool{}
		for i := range 40 {
			f.lookUp(0, fmt.Sprint(i))
			seen[f.lastAttempt().Cache] = true
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 100*millisecond)
		}
		if len(seen) < 3 {
			t.Error(len(seen))
		}
	})
	t.Run("no budget for one more send: given up at once, a side-effecting one that may have run fails", func(t *testing.T) {
		for _, effect := range []Effect{Idempotent, SideEffecting} {
			f, _ := newFixture(t, func(its *Settings) { its.Kinds[0].Effect = effect })
			asked := 0
			f.scope = &Scope{AllowRetry: func() bool { asked++; return asked < 2 }}
			f.lookUp(0, "a")
			for range 3 {
				if len(f.calls) == 0 || f.lastCallIs("subscribe") {
					f.endAttempt(f.lastAttempt(), OutcomeRejected, DetailNone, millisecond)
					f.advance(120 * millisecond)
				}
			}
			if len(f.attempts) != 2 || asked != 2 || !f.lastCallIs("reject") {
				t.Errorf("%d sends, asked %d times, %v", len(f.attempts), asked, f.calls)
			}
		}
	})
	t.Run("an age of its own, where that is stricter", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		for _, x := range []struct {
			kind         int
			MaxAge, want Micros
		}{{0, 0, 0}, {0, second, second}, {1, second, second}, {1, 60 * second, 8 * second}} {
			f.scope = &Scope{MaxAge: x.MaxAge}
			f.lookUp(x.kind, "a")
			if got := f.lastAttempt().MaxAge; got != x.want {
				t.Errorf("%+v: %d", x, got)
			}
		}
	})
	t.Run("nobody in it: nacked at once", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.scope = &Scope{Caches: map[string]bool{}}
		f.lookUp(0, "a")
		if len(f.attempts) != 0 || !f.lastCallIs("reject") {
			t.Errorf("%v", f.calls)
		}
	})
}

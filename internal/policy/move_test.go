package policy

import (
	"fmt"
	"testing"
)

// Stories of the move to deployments of many gateways whose caches tell nothing of hits, fills or load.

// untold is a charter where answers carry no remarks.
func untold(c *Settings) { c.ReportsFirstByte, c.ReportsHits = false, false }

func TestMove(t *testing.T) {
	t.Run("the parts of one object spread over the caches of the location", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		at := map[*Cache]bool{}
		for part := range 12 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint("p", part), Object: "a", Part: part, Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
			at[f.lastAttempt().Cache] = true
		}
		if len(at) < 2 {
			t.Fatalf("12 parts went to %d cache", len(at))
		}
	})
	t.Run("a cache that turns a send away as full takes fewer open sends", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		s := f.lastAttempt()
		before := s.Cache.attemptLimit
		f.endAttempt(s, OutcomeRejected, DetailNone, millisecond)
		if s.Cache.attemptLimit > rejectedCut*before {
			t.Fatalf("limit %.1f after full, %.1f before", s.Cache.attemptLimit, before)
		}
	})
	t.Run("a cache whose sends come far slower than the others of its location is put out", func(t *testing.T) {
		f, all := newFixture(t, untold)
		slow := all[0]
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s := f.lastAttempt()
			took := 100 * millisecond
			if s.Cache == slow {
				took = second
			}
			f.endAttempt(s, OutcomeSatisfied, DetailNone, took)
			f.advance(10 * millisecond)
		}
		if !slow.ejected {
			t.Fatal("the slow cache is still in")
		}
		for _, c := range all[1:3] {
			if c.ejected {
				t.Fatalf("%s is out", c.Name)
			}
		}
	})
	t.Run("where fills are not told, a parent whose sends come four times slower than the other's is put out", func(t *testing.T) {
		f, all := newFixture(t, untold)
		slow := all[3]
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s := f.lastAttempt()
			took := 100 * millisecond
			if s.Source == slow {
				took = 400 * millisecond
			}
			f.endAttempt(s, OutcomeSatisfied, DetailNone, took)
			f.advance(10 * millisecond)
		}
		if !slow.ejected || all[4].ejected {
			t.Fatalf("slow parent out %v, the other %v", slow.ejected, all[4].ejected)
		}
	})
	t.Run("where fills are not told, sends that end overdue unanswered press fills, late answers do not", func(t *testing.T) {
		f, _ := newFixture(t, untold)
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("o", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 2*second) // a slow transfer of a hit, maybe
			f.advance(10 * millisecond)
		}
		if f.router.fills.limitedUntil > f.now {
			t.Fatal("fills are pressed by late answers")
		}
		n := len(f.attempts)
		for i := range 10 {
			f.lookUp(0, fmt.Sprint("n", i))
		}
		f.advance(2 * second)
		for _, s := range f.attempts[n:] {
			f.endAttempt(s, OutcomeTimeout, DetailNone, 2*second)
		}
		if f.router.fills.limitedUntil <= f.now {
			t.Fatal("fills are not pressed")
		}
	})
	t.Run("a deduplicated lookup that may have run is failed, not nacked, where its window ends before its deadline",
		func(t *testing.T) {
			f, all := newFixture(t, func(c *Settings) { c.Kinds[0].Effect, c.Kinds[0].DedupWindow = Deduplicated, second })
			f.lookUp(0, "a")
			for _, c := range all[:3] {
				f.updateEndpoint(c, Gone, 0)
			}
			f.endAttempt(f.lastAttempt(), OutcomeReset, DetailNone, millisecond)
			f.advance(100 * millisecond)
			if len(f.calls) != 1 || !f.lastCallIs("fail") {
				t.Fatal(f.calls)
			}
		})
	t.Run("listed sizes, rough ones too, weigh the homes of parts", func(t *testing.T) {
		f, all := newFixture(t, func(c *Settings) { c.WeightIsSize = true })
		all[0].Weight = 10
		big := 0
		for part := range 100 {
			f.router.StartLookup(f.now, Arrival{ID: fmt.Sprint("p", part), Object: "a", Part: part, Group: 3, SizeKB: 100, Deadline: f.now + 3*second})
			if f.lastAttempt().Cache == all[0] {
				big++
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailHit, 10*millisecond)
		}
		if big < 70 {
			t.Fatalf("the cache ten times larger has %d parts in 100", big)
		}
	})
	t.Run("where hits are told, slow fills do not put the cache that takes them out", func(t *testing.T) {
		f, all := newFixture(t, nil)
		for i := range 200 {
			f.lookUp(0, fmt.Sprint("o", i))
			s, took, remark := f.lastAttempt(), 100*millisecond, DetailHit
			if s.Cache == all[0] {
				took, remark = second, DetailFilled
			}
			f.endAttempt(s, OutcomeSatisfied, remark, took)
			f.advance(10 * millisecond)
		}
		if all[0].ejected {
			t.Fatal("a cache is out for the time of its fills")
		}
	})
	t.Run("a plain error of a send that named a parent moves the next send to another parent", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		first := f.lastAttempt()
		f.endAttempt(first, OutcomeError, DetailNone, 10*millisecond)
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || f.lastAttempt().Source == first.Source {
			t.Fatalf("%d sends, the last filled from %s again", len(f.attempts), f.lastAttempt().Source.Name)
		}
	})
	t.Run("where nothing is told, answers that take their own sending time cut no limit", func(t *testing.T) {
		f, all := newFixture(t, untold)
		for i := range 100 {
			lk := f.lookUpSized(0, fmt.Sprint("o", i), 2000) // 2 s to send at full pace
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, lk.work+lk.work/2)
			f.advance(100 * millisecond)
		}
		for _, c := range all[:3] {
			if c.attemptLimit < initialLimit {
				t.Fatalf("%s: limit %.1f", c.Name, c.attemptLimit)
			}
		}
	})
}

// The first seconds after a move to settings of another shape: what carries over keeps the rules, the rest is new.
func TestCarry(t *testing.T) {
	old, was := newFixture(t, nil)
	old.router.ApplyPurge(old.now, "a", 3, 0)
	old.updateEndpoint(was[0], Ready, old.now) // warming
	old.router.eject(was[1], "test")
	was[2].attemptLimit = 2
	for range 5 {
		old.lookUp(0, "b")
	}
	f, now := newFixture(t, untold) // the new shape: caches anew under the same names, nothing told
	f.now = old.now + 100*millisecond
	f.router.InheritFrom(old.router)
	f.lookUp(0, "a")
	if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > 200*millisecond {
		t.Fatalf("the first send after the move takes a copy %d us old, the purge was 100 ms ago", s.MaxAge)
	}
	if now[0].warmingSince == 0 || !now[1].ejected || now[2].attemptLimit != initialLimit || f.router.lookupCounts[mixHash(hashString("b"), 1)] < 5 {
		t.Fatalf("warming from %d, out %v, limit %.1f, count %.0f", now[0].warmingSince, now[1].ejected, now[2].attemptLimit,
			f.router.lookupCounts[mixHash(hashString("b"), 1)])
	}
	for i := range 50 { // the warming cache gets no more in the first second than it did before
		f.lookUp(0, fmt.Sprint(i))
		if f.lastAttempt().Cache != now[0] { // what it has not answered shows nothing of what it bears
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 10*millisecond)
		}
		f.advance(20 * millisecond)
	}
	to := 0
	for _, s := range f.attempts {
		if s.Cache == now[0] {
			to++
		}
	}
	if to > 3 {
		t.Fatalf("%d sends to a cache that started a second ago", to)
	}
}

// A start that only the new settings' list tells of is not starved by what the router before knew of the cache: nothing.
func TestCarryOfAStartNotKnownBefore(t *testing.T) {
	old, _ := newFixture(t, nil)
	f, now := newFixture(t, nil)
	f.updateEndpoint(now[0], Ready, f.now)
	f.router.InheritFrom(old.router)
	if now[0].warmingSince == 0 || now[0].slowStartScale != 1 {
		t.Fatalf("warming since %d, its budget at %.2f", now[0].warmingSince, now[0].slowStartScale)
	}
}

// Hard cases of the new deployments, one story each.
func TestMoveHardCases(t *testing.T) {
	keyed := func(c *Settings) { // entry-post, issue-licence: marked against repeats, dropped for 6 s everywhere
		c.Kinds[0].Effect, c.Kinds[0].DedupScope, c.Kinds[0].DedupWindow = Deduplicated, AllCaches, 6*second
	}
	t.Run("a deduplicated lookup is never out twice at once, and sent again inside its window", func(t *testing.T) {
		f, _ := newFixture(t, keyed)
		lk := f.lookUp(0, "a")
		f.advance(2 * second) // overdue, silent: no second copy while the first is out
		if len(f.attempts) != 1 {
			t.Fatalf("%d sends while the first is out", len(f.attempts))
		}
		f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond) // it may have run: once more, as the archive drops the repeat
		f.advance(100 * millisecond)
		if len(f.attempts) != 2 || lk.Ended() {
			t.Fatalf("%d sends, over %v", len(f.attempts), lk.Ended())
		}
		g, _ := newFixture(t, func(c *Settings) { keyed(c); c.Kinds[0].DedupWindow = second }) // a window of 1 s
		g.lookUp(0, "a")
		g.advance(1100 * millisecond)
		g.endAttempt(g.attempts[0], OutcomeReset, DetailNone, millisecond) // the repeat would come after its window: never sent
		g.advance(100 * millisecond)
		if len(g.attempts) != 1 || len(g.calls) != 1 || !g.lastCallIs("fail") {
			t.Fatalf("%d sends past the window, %v", len(g.attempts), g.calls)
		}
	})
	t.Run("a further send asked of again at its first byte: not past its window, nor where its circle has changed", func(t *testing.T) {
		for _, x := range []struct {
			circle DedupScope
			late   Micros
			row    Endpoint // of the second send's cache, told while it waits
			may    bool
			then   string // where it may not
		}{
			{AllCaches, 900 * millisecond, Endpoint{Zone: 7, Cell: 7}, true, ""},
			{AllCaches, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameZone, 900 * millisecond, Endpoint{Cell: 7}, true, ""},
			{SameZone, 900 * millisecond, Endpoint{Zone: 7}, false, "sent to the third"},
			{SameZone, 1000 * millisecond, Endpoint{}, false, "failed"},
			{SameCell, 900 * millisecond, Endpoint{Cell: 7}, false, "sent to the third"},
		} {
			f, all := newFixture(t, func(c *Settings) { keyed(c); c.Kinds[0].DedupWindow, c.Kinds[0].DedupScope = second, x.circle })
			for _, c := range all[:3] { // in one cell
				c.Cell = 0
			}
			first := f.now
			lk := f.lookUp(0, "a")
			if !f.router.MayStartAttempt(f.now, lk, 0) {
				t.Fatal("the first send may not begin")
			}
			f.updateEndpoint(f.attempts[0].Cache, Draining, 0)
			f.endAttempt(f.attempts[0], OutcomeReset, DetailNone, millisecond)
			if len(f.attempts) != 2 || f.attempts[1].Cache == f.attempts[0].Cache {
				t.Fatalf("%+v: %d sends", x, len(f.attempts))
			}
			x.row.Cache = f.attempts[1].Cache
			f.router.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{x.row})
			f.now = first + x.late
			if may := f.router.MayStartAttempt(f.now, lk, 1); may != x.may {
				t.Fatalf("%+v: may begin %v", x, may)
			}
			if !x.may {
				f.endAttempt(f.attempts[1], OutcomeNotSent, DetailNone, 0)
				f.advance(100 * millisecond)
				third := len(f.attempts) == 3 && f.lastAttempt().Cache != f.attempts[0].Cache && f.lastAttempt().Cache != f.attempts[1].Cache && len(f.calls) == 0
				failed := len(f.attempts) == 2 && len(f.calls) == 1 && f.lastCallIs("fail")
				if x.then == "failed" && !failed || x.then != "failed" && !third {
					t.Fatalf("%+v: %d sends, %v", x, len(f.attempts), f.calls)
				}
			}
		}
	})
	t.Run("a parent told draining is named as no fill's source", func(t *testing.T) {
		f, all := newFixture(t, nil)
		f.updateEndpoint(all[3], Draining, 0)
		for i := range 50 {
			f.lookUp(0, fmt.Sprint("o", i))
			if s := f.lastAttempt(); s.Source == all[3] || s.Cache.State != Ready {
				t.Fatalf("lookup %d sent to %s from %s", i, s.Cache.Name, s.Source.Name)
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailFilled, 10*millisecond)
		}
	})
	t.Run("a cold file box gets a router's small part where 250 routers share its location", func(t *testing.T) {
		f, all := newFixture(t, func(c *Settings) {
			c.Gateways, c.ZoneGateways, c.ReportsHits, c.ReportsFirstByte = 250, []int{250}, false, false
		})
		for i := range 200 { // warm caches carry what they are given
			f.lookUp(0, fmt.Sprint("w", i))
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		f.updateEndpoint(all[0], Ready, f.now) // it starts anew, cold
		to := 0
		for i := range 100 {
			f.lookUp(0, fmt.Sprint("c", i))
			if f.lastAttempt().Cache == all[0] {
				to++
			}
			f.endAttempt(f.lastAttempt(), OutcomeSatisfied, DetailNone, 100*millisecond)
			f.advance(10 * millisecond)
		}
		// Each warm cache bore some 33 sends of 100 ms a second from this router, as from each of the 250: in any second
		// the rule allows all together twice the cold share (0.2) of that, so this router's part is 13 sends.
		if to > 13 {
			t.Fatalf("%d of 100 sends to a cold cache in its first second", to)
		}
	})
	t.Run("a purge bounds the copies of the sends that follow it at once, at any grace", func(t *testing.T) {
		for _, grace := range []Micros{300 * millisecond, 500 * millisecond} {
			f, _ := newFixture(t, nil)
			f.router.ApplyPurge(f.now, "a", 3, grace/10)
			f.lookUp(0, "a")
			if s := f.lastAttempt(); s.MaxAge == 0 || s.MaxAge > grace/10+millisecond {
				t.Fatalf("grace %d: a copy of %d us will do", grace, s.MaxAge)
			}
		}
	})
}

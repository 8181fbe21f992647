package policy

import "testing"

func TestStanding(t *testing.T) {
	relist := func(f *fixture, all []*Cache, c *Cache, standing Confidence, started Micros) {
		var rows []Endpoint
		for _, o := range all {
			row := o.Endpoint
			row.Cache = o
			if o == c {
				row.Confidence, row.StartedAt = standing, started
			}
			rows = append(rows, row)
		}
		f.router.UpdateEndpoints(f.now, UpdateCached, rows)
	}
	home := func(f *fixture) *Cache {
		f.lookUp(0, "a")
		s := f.lastAttempt()
		f.endAttempt(s, OutcomeSatisfied, DetailHit, 10*millisecond)
		return s.Cache
	}
	t.Run("on trial: cold from the guessed start on, and warm once the guess is taken back", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := home(f)
		relist(f, all, c, OnProbation, f.now)
		if c.warmingSince == 0 {
			t.Fatal("it counts as warm")
		}
		relist(f, all, c, OnProbation, 0)
		if c.warmingSince != 0 {
			t.Error("it counts as cold")
		}
	})
	t.Run("what a bulletin tells of the start counts more than the guess", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := home(f)
		relist(f, all, c, OnProbation, f.now)
		relist(f, all, c, Confirmed, 0)
		if c.warmingSince != 0 {
			t.Error("it counts as cold")
		}
	})
	t.Run("a told start is not taken back by an older list", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := home(f)
		f.updateEndpoint(c, Ready, f.now)
		relist(f, all, c, Confirmed, 0)
		if c.warmingSince == 0 {
			t.Error("it counts as warm")
		}
	})
	t.Run("doubted: one trial at a time, until one succeeds", func(t *testing.T) {
		f, all := newFixture(t, nil)
		c := home(f)
		relist(f, all, c, Suspect, 0)
		f.lookUp(0, "a")
		trial := f.lastAttempt()
		f.lookUp(0, "a")
		if trial.Cache != c || f.lastAttempt().Cache == c {
			t.Fatalf("first to %s, then to %s, in doubt is %s", trial.Cache.Name, f.lastAttempt().Cache.Name, c.Name)
		}
		f.endAttempt(trial, OutcomeSatisfied, DetailHit, 10*millisecond)
		if c.ejected {
			t.Error("it is out after a good trial")
		}
		relist(f, all, c, Suspect, 0)
		if c.ejected {
			t.Error("the same doubt told again puts it out again")
		}
	})
}

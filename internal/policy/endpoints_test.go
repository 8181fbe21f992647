package policy

import (
	"testing"
)

// restoreEndpoints lists all caches from an earlier run, one of them with another confidence and start.
func (f *fixture) restoreEndpoints(caches []*Cache, changed *Cache, confidence Confidence, startedAt Micros) {
	var endpoints []Endpoint
	for _, c := range caches {
		endpoint := c.Endpoint
		endpoint.Cache = c
		if c == changed {
			endpoint.Confidence, endpoint.StartedAt = confidence, startedAt
		}
		endpoints = append(endpoints, endpoint)
	}
	f.router.UpdateEndpoints(f.now, UpdateCached, endpoints)
}

// homeOf looks an object up and names the cache that answered.
func (f *fixture) homeOf(object string) *Cache {
	f.lookUp(0, object)
	attempt := f.lastAttempt()
	f.endAttempt(attempt, OutcomeSatisfied, DetailHit, 10*millisecond)
	return attempt.Cache
}

// A draining cache gets nothing new (rule 3).
func TestDraining(t *testing.T) {
	t.Run("a draining cache gets no attempts and no fills from then on", func(t *testing.T) {
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
}

// Endpoints that were kept from an earlier run.
func TestConfidence(t *testing.T) {
	t.Run("on probation: warming up from the guessed start on, and warm once the guess is taken back", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, OnProbation, f.now)
		if c.warmingSince == 0 {
			t.Fatal("it counts as warm")
		}
		f.restoreEndpoints(caches, c, OnProbation, 0)
		if c.warmingSince != 0 {
			t.Error("it counts as cold")
		}
	})
	t.Run("a confirmed start replaces the guess", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, OnProbation, f.now)
		f.restoreEndpoints(caches, c, Confirmed, 0)
		if c.warmingSince != 0 {
			t.Error("it counts as cold")
		}
	})
	t.Run("an older list does not take back a confirmed start", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.updateEndpoint(c, Ready, f.now)
		f.restoreEndpoints(caches, c, Confirmed, 0)
		if c.warmingSince == 0 {
			t.Error("it counts as warm")
		}
	})
	t.Run("suspect: one probe at a time, until one succeeds", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, Suspect, 0)
		f.lookUp(0, "a")
		probe := f.lastAttempt()
		f.lookUp(0, "a")
		if probe.Cache != c || f.lastAttempt().Cache == c {
			t.Fatalf("first to %s, then to %s, suspect is %s", probe.Cache.Name, f.lastAttempt().Cache.Name, c.Name)
		}
		f.endAttempt(probe, OutcomeSatisfied, DetailHit, 10*millisecond)
		if c.ejected {
			t.Error("it is ejected after a good probe")
		}
		f.restoreEndpoints(caches, c, Suspect, 0)
		if c.ejected {
			t.Error("the same suspicion again ejects it again")
		}
	})
}

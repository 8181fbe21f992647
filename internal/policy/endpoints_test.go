package policy

import (
	"testing"
)

// restoreEndpoints applies a list restored from an earlier run, in which one cache has another confidence and start
// time.
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

// homeOf looks an object up and returns the cache that served it.
func (f *fixture) homeOf(object string) *Cache {
	f.lookUp(0, object)
	attempt := f.lastAttempt()
	f.endAttempt(attempt, OutcomeSatisfied, DetailHit, 10*millisecond)
	return attempt.Cache
}

// TestDraining checks rule 3, which forbids new attempts and fills at draining caches.
func TestDraining(t *testing.T) {
	t.Run("a draining cache receives no new attempts and no new fills", func(t *testing.T) {
		f, _ := newFixture(t, nil)
		f.lookUp(0, "a")
		before := f.lastAttempt()
		f.updateEndpoint(before.Cache, Draining, 0)
		f.updateEndpoint(before.Source, Draining, 0)
		f.lookUp(0, "a")
		if after := f.lastAttempt(); after.Cache == before.Cache || after.Source == before.Source || after.lookup == before.lookup {
			t.Fatalf("an attempt went to %s with source %s while both drain", after.Cache.Name, after.Source.Name)
		}
	})
}

// TestConfidence checks endpoints that are restored from an earlier run. Their start times are estimates and some of
// the caches may be down, so the router must neither overload a cache that may be cold nor send lookups to one that
// may be gone.
func TestConfidence(t *testing.T) {
	t.Run("a cache on probation warms up from its estimated start, and is warm if that is withdrawn", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, OnProbation, f.now)
		if c.warmingSince == 0 {
			t.Fatal("the cache counts as warm after an estimated start")
		}
		f.restoreEndpoints(caches, c, OnProbation, 0)
		if c.warmingSince != 0 {
			t.Error("the cache counts as warming after the estimate was withdrawn")
		}
	})
	t.Run("a confirmed start replaces the estimate", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, OnProbation, f.now)
		f.restoreEndpoints(caches, c, Confirmed, 0)
		if c.warmingSince != 0 {
			t.Error("the cache counts as warming after a confirmed start long ago")
		}
	})
	t.Run("an older list does not replace a confirmed start", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.updateEndpoint(c, Ready, f.now)
		f.restoreEndpoints(caches, c, Confirmed, 0)
		if c.warmingSince == 0 {
			t.Error("the cache counts as warm after an older list")
		}
	})
	t.Run("a suspect cache receives one probe at a time until a probe succeeds", func(t *testing.T) {
		f, caches := newFixture(t, nil)
		c := f.homeOf("a")
		f.restoreEndpoints(caches, c, Suspect, 0)
		f.lookUp(0, "a")
		probe := f.lastAttempt()
		f.lookUp(0, "a")
		if probe.Cache != c || f.lastAttempt().Cache == c {
			t.Fatalf("the first lookup went to %s and the second to %s; only the first should go to the suspect cache %s",
				probe.Cache.Name, f.lastAttempt().Cache.Name, c.Name)
		}
		f.endAttempt(probe, OutcomeSatisfied, DetailHit, 10*millisecond)
		if c.ejected {
			t.Error("the cache is still ejected after a successful probe")
		}
		f.restoreEndpoints(caches, c, Suspect, 0)
		if c.ejected {
			t.Error("the same suspect row ejects the cache again")
		}
	})
}

package warmstart

import (
	"bytes"
	"cmp"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
)

// recordingRouter records the endpoints that are passed to the policy's router.
type recordingRouter struct {
	dispatch.Router
	kind policy.UpdateKind
	rows map[string]policy.Endpoint // nil before the first update
}

func (r *recordingRouter) UpdateEndpoints(now policy.Micros, kind policy.UpdateKind, list []policy.Endpoint) {
	r.kind = kind
	if kind != policy.UpdateDelta || r.rows == nil {
		r.rows = map[string]policy.Endpoint{}
	}
	for _, e := range list {
		r.rows[e.Cache.Name] = e
	}
	r.Router.UpdateEndpoints(now, kind, list)
}

// fixture is a reconciler for a list that an earlier gateway stored, with the components that it uses.
type fixture struct {
	log         bytes.Buffer
	router      *recordingRouter
	caches      *cacheregistry.Registry
	purges      *purgelog.Log
	snapshotter *snapshot.Snapshotter
	reconciler  *Reconciler
}

var testSettings = []byte(`{"areas":["town"],"machine_types":["edge","parent","origin"],"classes":[{"name":"segment","aim":400000,"deadline":5000000,"effect":"idempotent"}],
"specifics":{"parent_kind":1,"source_kind":2,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1],"cleared_within":6000000}}`)

// newFixture returns a fixture for a directory to which an earlier gateway wrote the given updates.
func newFixture(t *testing.T, stored ...endpoints.Update) *fixture {
	t.Helper()
	f := &fixture{caches: &cacheregistry.Registry{}}
	system := env.NewSystem(&f.log, slog.LevelInfo)
	f.purges = &purgelog.Log{Clock: system, Retention: time.Hour}
	platform, err := settings.Parse(testSettings)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher := dispatch.New(system, 1, platform.Router, func(e policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		f.router = &recordingRouter{Router: start(e)}
		return f.router
	})
	directory := t.TempDir()
	earlier := openSnapshotter(t, system, directory)
	for _, update := range stored {
		earlier.Apply(update)
	}
	ended := env.NewLifetime(nil)
	ended.End()
	earlier.Run(ended)
	f.snapshotter = openSnapshotter(t, system, directory)
	f.reconciler = New(system, platform, dispatcher, f.caches, f.snapshotter)
	return f
}

func openSnapshotter(t *testing.T, e env.Environment, directory string) *snapshot.Snapshotter {
	t.Helper()
	s, damage, err := snapshot.Open(e, directory, snapshot.Limits{MaxBytes: 1 << 20, WritesPerSecond: 100})
	if damage != nil || err != nil {
		t.Fatal(damage, err)
	}
	return s
}

func edge(id string, phase endpoints.Phase) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, Addr: "10.0.0.1:" + fmt.Sprint(1000+len(id)+int(id[0])), Zone: "town", MachineType: "edge", Phase: phase}
}

var completeList = endpoints.Update{LastEvent: 40, Complete: true, DiscoveryAddr: "10.7.0.1:8500", Endpoints: []endpoints.Endpoint{edge("a", endpoints.Up), edge("b", endpoints.Up),
	edge("c", endpoints.Draining)}}

func TestStartFromStoredList(t *testing.T) {
	t.Run("without a stored list there are no endpoints", func(t *testing.T) {
		f := newFixture(t)
		if n := f.reconciler.Start(f.purges); n != 0 || f.router.rows != nil {
			t.Errorf("got %d endpoints and rows %+v, want none", n, f.router.rows)
		}
	})
	t.Run("a draining cache is gone, the others are on probation", func(t *testing.T) {
		f := newFixture(t, completeList)
		f.reconciler.Start(f.purges)
		if f.router.kind != policy.UpdateCached || len(f.router.rows) != 3 || f.router.rows["c"].State != policy.Gone {
			t.Fatalf("unexpected endpoints of the stored list: %+v", f.router)
		}
		delete(f.router.rows, "c")
		for _, row := range f.router.rows {
			if row.Confidence != policy.OnProbation || row.StartedAt == 0 || row.State != policy.Ready {
				t.Errorf("got %+v, want a ready endpoint on probation with a start time", row)
			}
		}
		if !strings.Contains(f.log.String(), "event=started_from_stored_list caches=3") {
			t.Error(f.log.String())
		}
	})
	t.Run("a cache that was ejected when the list was stored is suspect", func(t *testing.T) {
		f := newFixture(t, completeList, endpoints.Update{HasHealth: true, Ejected: []string{"b"}})
		f.reconciler.Start(f.purges)
		if f.router.rows["a"].Confidence != policy.OnProbation || f.router.rows["b"].Confidence != policy.Suspect {
			t.Errorf("got %+v, want a on probation and b suspect", f.router.rows)
		}
	})
	t.Run("purges within their retention are restored, older ones are not", func(t *testing.T) {
		now := time.Now()
		f := newFixture(t, completeList, endpoints.Update{Purges: []endpoints.Purge{{Object: "new", IssuedAt: now.UnixMilli()}, {Object: "old", IssuedAt: 1000}}})
		f.reconciler.Start(f.purges)
		if issuedAt, _ := f.purges.InForce("new", 0); issuedAt.UnixMilli() != now.UnixMilli() {
			t.Error(issuedAt)
		}
		if issuedAt, _ := f.purges.InForce("old", 0); !issuedAt.IsZero() {
			t.Error(issuedAt)
		}
	})
	t.Run("a purge whose grace was over before the restart is in force at once", func(t *testing.T) {
		now := time.Now()
		receivedAt := now.Add(-2 * time.Second)
		f := newFixture(t, completeList, endpoints.Update{Purges: []endpoints.Purge{
			{Object: "earlier", IssuedAt: now.Add(-3 * time.Second).UnixMilli(), ReceivedAt: receivedAt.UnixMilli()},
			{Object: "just now", IssuedAt: now.UnixMilli(), ReceivedAt: now.UnixMilli()},
			{Object: "by a clock ahead", IssuedAt: now.UnixMilli(), ReceivedAt: now.Add(time.Minute).UnixMilli()},
		}})
		f.purges.Grace = time.Second
		f.reconciler.Start(f.purges)
		if issuedAt, _ := f.purges.InForce("earlier", 0); issuedAt.IsZero() {
			t.Error("a purge that was received 2 s ago with a grace of 1 s is not in force")
		}
		for _, object := range []string{"just now", "by a clock ahead"} {
			if issuedAt, _ := f.purges.InForce(object, 0); !issuedAt.IsZero() {
				t.Errorf("the purge of %q is in force before its grace is over", object)
			}
		}
	})
	t.Run("purges that did not fit the stored list make older copies of all objects out of date", func(t *testing.T) {
		// 170 purges a second with a retention of 65 s are 11,050, more than the list holds.
		const stored, perSecond = 11050, 170
		now := time.Now()
		update := endpoints.Update{LastEvent: 41}
		for i := range stored {
			issuedAt := now.Add(-time.Duration(stored-i) * time.Second / perSecond)
			update.Purges = append(update.Purges, endpoints.Purge{Object: fmt.Sprint(i), Group: 3, IssuedAt: issuedAt.UnixMilli()})
		}
		f := newFixture(t, completeList, update)
		f.purges.Retention = 65 * time.Second
		f.reconciler.Start(f.purges)
		for i, p := range update.Purges {
			if inForce, _ := f.purges.InForce(p.Object, p.Group); inForce.UnixMilli() < p.IssuedAt {
				t.Fatalf("purge %d, told before the restart, is not in force after it (%v)", i, inForce)
			}
		}
		if !strings.Contains(f.log.String(), "event=stored_purges_incomplete stored=8192") {
			t.Error(f.log.String())
		}
	})
	t.Run("a purge from far in the future that did not fit leaves copies from after the start in date", func(t *testing.T) {
		now := time.Now()
		update := endpoints.Update{LastEvent: 41, Purges: []endpoints.Purge{{Object: "first", IssuedAt: now.Add(24 * time.Hour).UnixMilli()}}}
		for i := range endpoints.MaxPurges {
			update.Purges = append(update.Purges, endpoints.Purge{Object: fmt.Sprint(i), IssuedAt: now.UnixMilli()})
		}
		f := newFixture(t, completeList, update)
		f.reconciler.Start(f.purges)
		if issuedAt, _ := f.purges.InForce("other", 0); issuedAt.After(time.Now()) {
			t.Errorf("copies from before %v are out of date, want none from after the start", issuedAt)
		}
	})
	t.Run("purges that did not fit are of no account when their retention is over", func(t *testing.T) {
		now := time.Now()
		update := endpoints.Update{LastEvent: 41, Purges: []endpoints.Purge{{Object: "first", IssuedAt: now.Add(-2 * time.Hour).UnixMilli()}}}
		for i := range endpoints.MaxPurges {
			update.Purges = append(update.Purges, endpoints.Purge{Object: fmt.Sprint(i), IssuedAt: now.UnixMilli()})
		}
		f := newFixture(t, completeList, update)
		f.reconciler.Start(f.purges)
		if issuedAt, _ := f.purges.InForce("other", 0); !issuedAt.IsZero() {
			t.Errorf("copies from before %v are out of date, want none", issuedAt)
		}
	})
	t.Run("hits confirm an endpoint, and the policy receives it as warm", func(t *testing.T) {
		f := newFixture(t, completeList)
		f.reconciler.Start(f.purges)
		a := f.caches.Find("a").Policy
		for range 8 {
			f.reconciler.observe(a, a, policy.OutcomeSatisfied, policy.DetailHit)
		}
		f.reconciler.publishChanges()
		if f.router.kind != policy.UpdateDelta || f.router.rows["a"].StartedAt != 0 || f.router.rows["b"].StartedAt == 0 {
			t.Errorf("got %+v, want a without a start time and b with one", f.router)
		}
	})
}

// stateOfC returns the state that KeepDraining gives cache c if a discovery event reports it as ready.
func (f *fixture) stateOfC(event int64, startedAt policy.Micros) policy.EndpointState {
	list := []policy.Endpoint{{Cache: f.caches.Register("c", "10.0.0.1:9").Policy, StartedAt: startedAt}}
	f.reconciler.KeepDraining(event, false, []string{"c"}, list)
	return list[0].State
}

func TestKnownDrains(t *testing.T) {
	requireState := func(t *testing.T, got, want policy.EndpointState) {
		t.Helper()
		if got != want {
			t.Errorf("state %v, want %v", got, want)
		}
	}
	t.Run("take precedence over a discovery service that is behind the stored list", func(t *testing.T) {
		f := newFixture(t, completeList)
		requireState(t, f.stateOfC(3, 0), policy.Draining)
	})
	t.Run("end with a later event", func(t *testing.T) {
		f := newFixture(t, completeList)
		requireState(t, f.stateOfC(41, 0), policy.Ready)
	})
	t.Run("end with a later start of the cache", func(t *testing.T) {
		f := newFixture(t, completeList)
		requireState(t, f.stateOfC(3, time.Now().Add(time.Second).UnixMicro()), policy.Ready)
	})
	t.Run("hold until drainHold after the start, whatever their age", func(t *testing.T) {
		f := newFixture(t, completeList)
		f.reconciler.knownDrains["c"].tombstone.At -= 24 * time.Hour.Milliseconds()
		requireState(t, f.stateOfC(3, 0), policy.Draining)
		f.reconciler.drainsSince = f.reconciler.drainsSince.Add(-drainHold)
		requireState(t, f.stateOfC(3, 0), policy.Ready)
	})
}

// listBehind is what a discovery service that is behind the stored list reports first after a restart.
func listBehind() endpoints.Update {
	return endpoints.Update{LastEvent: 1, Complete: true, Endpoints: []endpoints.Endpoint{edge("a", endpoints.Up), edge("b", endpoints.Up), edge("c", endpoints.Up)}}
}

// TestKnownDrainsOutliveRestarts guards against a drain that is forgotten at the second restart: a discovery service that
// was behind at the first one had reported the cache as ready, and that was stored.
func TestKnownDrainsOutliveRestarts(t *testing.T) {
	stored := []endpoints.Update{completeList}
	drainedAt := int64(0)
	for restart := range 3 {
		f := newFixture(t, stored...)
		tombstone := f.snapshotter.State().Tombstones["c"]
		if drainedAt = cmp.Or(drainedAt, tombstone.At); tombstone.ID == "" || restart > 0 && tombstone.At < drainedAt {
			t.Fatalf("restart %d: the stored list has the drain %+v, want one since %d", restart, tombstone, drainedAt)
		}
		list := make([]policy.Endpoint, 3)
		if f.reconciler.KeepDraining(1, true, []string{"a", "b", "c"}, list); list[2].State != policy.Draining || list[0].State != policy.Ready {
			t.Fatalf("restart %d: states %v and %v of c and a, want draining and ready", restart, list[2].State, list[0].State)
		}
		update := listBehind()
		f.reconciler.Apply(update) // changes the update
		stored = append(stored, update)
	}
	t.Run("until a later event", func(t *testing.T) {
		f := newFixture(t, stored...)
		if state := f.stateOfC(2, 0); state != policy.Ready {
			t.Errorf("state %v, want ready", state)
		}
		f.reconciler.Apply(endpoints.Update{LastEvent: 2, Endpoints: []endpoints.Endpoint{edge("c", endpoints.Up)}})
		if tombstone := f.snapshotter.State().Tombstones["c"]; tombstone.ID != "" {
			t.Errorf("the stored list still has the drain %+v", tombstone)
		}
	})
	t.Run("until drainHold is over", func(t *testing.T) {
		f := newFixture(t, stored...)
		f.stateOfC(1, 0)
		f.reconciler.Apply(listBehind())
		f.reconciler.drainsSince = f.reconciler.drainsSince.Add(-drainHold)
		f.reconciler.releaseDrains()
		if tombstone := f.snapshotter.State().Tombstones["c"]; tombstone.ID != "" {
			t.Errorf("the stored list still has the drain %+v", tombstone)
		}
	})
}

// TestDrainsHoldAgainstRestartedNumbers guards against a drain that this process was told of and that a discovery service
// undoes whose numbers began again, as after a reload that moves to a service that is behind.
func TestDrainsHoldAgainstRestartedNumbers(t *testing.T) {
	f := newFixture(t, completeList)
	f.reconciler.Apply(endpoints.Update{LastEvent: 41, Endpoints: []endpoints.Endpoint{edge("a", endpoints.Draining)}})
	for range maxRegressions {
		f.reconciler.ObserveEventNumber(3, 41)
	}
	list := make([]policy.Endpoint, 3)
	f.reconciler.KeepDraining(1, true, []string{"a", "b", "c"}, list)
	if list[0].State != policy.Draining || list[1].State != policy.Ready {
		t.Errorf("states %v and %v of a and b, want draining and ready", list[0].State, list[1].State)
	}
}

func TestDiscoveryRecovery(t *testing.T) {
	t.Run("a complete list ends the use of the stored list, and that is logged", func(t *testing.T) {
		f := newFixture(t, completeList)
		f.reconciler.Start(f.purges)
		f.reconciler.KeepDraining(1, true, []string{"a", "d"}, make([]policy.Endpoint, 2))
		f.router.rows = nil
		a := f.caches.Find("a").Policy
		f.reconciler.observe(a, a, policy.OutcomeSatisfied, policy.DetailHit)
		if f.reconciler.publishChanges(); f.router.rows != nil {
			t.Error("endpoints of the stored list reached the dispatcher after discovery's complete list")
		}
		f.reconciler.Apply(endpoints.Update{LastEvent: 1, Complete: true, Endpoints: []endpoints.Endpoint{edge("a", endpoints.Up), edge("d", endpoints.Up)}})
		if !strings.Contains(f.log.String(), "event=stored_list_replaced") || !strings.Contains(f.log.String(), "discovered=2 stored=3 in_both=1") {
			t.Error(f.log.String())
		}
		if list := f.snapshotter.State(); list.Endpoints["d"].ID == "" || list.Endpoints["b"].ID != "" || list.Tombstones["b"].ID == "" {
			t.Errorf("%+v", list)
		}
	})
	t.Run("three consecutive event numbers below the last known one mean that discovery has restarted its event numbers", func(t *testing.T) {
		f := newFixture(t, completeList)
		for i, reported := range []int64{3, 3, 41, 3, 3, 3} {
			if hasRestarted := f.reconciler.ObserveEventNumber(reported, 41); hasRestarted != (i == 5) {
				t.Errorf("event number at index %d: got hasRestarted %v, want true only at index 5", i, hasRestarted)
			}
		}
	})
}

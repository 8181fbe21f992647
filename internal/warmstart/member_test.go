package warmstart

import (
	"bytes"
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

// recordingModule takes what the router would be told of lists.
type recordingModule struct {
	dispatch.Router
	kind policy.UpdateKind
	rows map[string]policy.Endpoint
}

func (m *recordingModule) UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint) {
	if m.kind = what; what != policy.UpdateDelta || m.rows == nil {
		m.rows = map[string]policy.Endpoint{}
	}
	for _, r := range rows {
		m.rows[r.Cache.Name] = r
	}
	m.Router.UpdateEndpoints(now, what, rows)
}

type fixture struct {
	env         env.Environment
	log         bytes.Buffer
	module      *recordingModule
	settings    *settings.Settings
	dispatcher  *dispatch.Dispatcher
	caches      *cacheregistry.Registry
	purges      *purgelog.Log
	snapshotter *snapshot.Snapshotter
	reconciler  *Reconciler
}

var testSettings = []byte(`{"areas":["town"],"machine_types":["edge","parent","origin"],"classes":[{"name":"segment","aim":400000,"deadline":5000000,"effect":"idempotent"}],
"specifics":{"parent_kind":1,"source_kind":2,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1],"cleared_within":6000000}}`)

// startFrom starts from a folder into which a gateway before wrote some changes.
func startFrom(t *testing.T, before ...endpoints.Update) *fixture {
	t.Helper()
	p := &fixture{caches: &cacheregistry.Registry{}}
	p.env = env.NewSystem(&p.log, slog.LevelInfo)
	p.purges = &purgelog.Log{Clock: p.env, Retention: time.Hour}
	var err error
	if p.settings, err = settings.Parse(testSettings); err != nil {
		t.Fatal(err)
	}
	p.dispatcher = dispatch.New(p.env, 1, p.settings.Router, func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		p.module = &recordingModule{Router: start(h)}
		return p.module
	})
	folder := t.TempDir()
	open := func() *snapshot.Snapshotter {
		k, why, err := snapshot.Open(p.env, folder, snapshot.Limits{MaxBytes: 1 << 20, WritesPerSecond: 100})
		if why != nil || err != nil {
			t.Fatal(why, err)
		}
		return k
	}
	k := open()
	for _, c := range before {
		k.Apply(c)
	}
	life := env.NewLifetime(nil)
	life.End()
	k.Run(life)
	p.snapshotter = open()
	p.reconciler = New(p.env, p.settings, p.dispatcher, p.caches, p.snapshotter)
	return p
}

func edge(id string, phase endpoints.Phase) endpoints.Endpoint {
	return endpoints.Endpoint{ID: id, Addr: "10.0.0.1:" + fmt.Sprint(1000+len(id)+int(id[0])), Zone: "town", MachineType: "edge", Phase: phase}
}

var completeList = endpoints.Update{LastEvent: 40, Complete: true, DiscoveryAddr: "10.7.0.1:8500", Endpoints: []endpoints.Endpoint{edge("a", endpoints.Up), edge("b", endpoints.Up),
	edge("c", endpoints.Draining)}}

func TestStartFromStoredList(t *testing.T) {
	t.Run("no list: nothing is listed", func(t *testing.T) {
		p := startFrom(t)
		if n := p.reconciler.Start(p.purges); n != 0 || p.module.rows != nil {
			t.Errorf("%d, %+v", n, p.module.rows)
		}
	})
	t.Run("what drained is not listed, the rest is on trial", func(t *testing.T) {
		p := startFrom(t, completeList)
		p.reconciler.Start(p.purges)
		if p.module.kind != policy.UpdateCached || len(p.module.rows) != 3 || p.module.rows["c"].State != policy.Gone {
			t.Fatalf("%+v", p.module)
		}
		delete(p.module.rows, "c")
		for _, r := range p.module.rows {
			if r.Confidence != policy.OnProbation || r.StartedAt == 0 || r.State != policy.Ready {
				t.Errorf("%+v", r)
			}
		}
		if !strings.Contains(p.log.String(), "event=from_list caches=3") {
			t.Error(p.log.String())
		}
	})
	t.Run("what was out when the list was kept gets trials", func(t *testing.T) {
		p := startFrom(t, completeList, endpoints.Update{HasHealth: true, Ejected: []string{"b"}})
		p.reconciler.Start(p.purges)
		if p.module.rows["a"].Confidence != policy.OnProbation || p.module.rows["b"].Confidence != policy.Suspect {
			t.Errorf("%+v", p.module.rows)
		}
	})
	t.Run("purges in force are heeded, old ones not", func(t *testing.T) {
		now := time.Now()
		p := startFrom(t, completeList, endpoints.Update{Purges: []endpoints.Purge{{Object: "new", IssuedAt: now.UnixMilli()}, {Object: "old", IssuedAt: 1000}}})
		p.reconciler.Start(p.purges)
		if at, _ := p.purges.InForce("new", 0); at.UnixMilli() != now.UnixMilli() {
			t.Error(at)
		}
		if at, _ := p.purges.InForce("old", 0); !at.IsZero() {
			t.Error(at)
		}
	})
	t.Run("hits make an entry trusted, and tell the module that it is warm", func(t *testing.T) {
		p := startFrom(t, completeList)
		p.reconciler.Start(p.purges)
		a := p.caches.Find("a").Policy
		for range 8 {
			p.reconciler.observe(a, a, policy.OutcomeSatisfied, policy.DetailHit)
		}
		if p.reconciler.publishChanges(); p.module.kind != policy.UpdateDelta || p.module.rows["a"].StartedAt != 0 || p.module.rows["b"].StartedAt == 0 {
			t.Errorf("%+v", p.module)
		}
	})
}

func TestDiscoveryComesBack(t *testing.T) {
	ready := func(p *fixture, no int64, started policy.Micros) policy.EndpointState {
		rows := []policy.Endpoint{{Cache: p.caches.Register("c", "10.0.0.1:9").Policy, StartedAt: started}}
		p.reconciler.KeepDraining(no, false, []string{"c"}, rows)
		return rows[0].State
	}
	t.Run("a bulletin behind the list does not undo a drain", func(t *testing.T) {
		p := startFrom(t, completeList)
		if got := ready(p, 3, 0); got != policy.Draining {
			t.Error(got)
		}
	})
	t.Run("its later word does", func(t *testing.T) {
		p := startFrom(t, completeList)
		if got := ready(p, 41, 0); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("a cache started after its drain is another life", func(t *testing.T) {
		p := startFrom(t, completeList)
		if got := ready(p, 3, time.Now().Add(time.Second).UnixMicro()); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("so does a drain of long ago, until ten minutes after the start", func(t *testing.T) {
		p := startFrom(t, completeList)
		p.reconciler.knownDrains["c"].tombstone.At -= 24 * time.Hour.Milliseconds()
		if got := ready(p, 3, 0); got != policy.Draining {
			t.Error(got)
		}
		p.reconciler.startedAt = p.reconciler.startedAt.Add(-drainHold)
		if got := ready(p, 3, 0); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("the time on the list ends with a whole list, and is told", func(t *testing.T) {
		p := startFrom(t, completeList)
		p.reconciler.Start(p.purges)
		p.reconciler.KeepDraining(1, true, []string{"a", "d"}, make([]policy.Endpoint, 2))
		p.module.rows = nil
		p.reconciler.observe(p.caches.Find("a").Policy, p.caches.Find("a").Policy, policy.OutcomeSatisfied, policy.DetailHit)
		if p.reconciler.publishChanges(); p.module.rows != nil {
			t.Error("the kept list is told after the bulletin's")
		}
		p.reconciler.Apply(endpoints.Update{LastEvent: 1, Complete: true, Endpoints: []endpoints.Endpoint{edge("a", endpoints.Up), edge("d", endpoints.Up)}})
		if !strings.Contains(p.log.String(), "event=from_bulletin") || !strings.Contains(p.log.String(), "told=2 listed=3 in_both=1") {
			t.Error(p.log.String())
		}
		if s := p.snapshotter.State(); s.Endpoints["d"].ID == "" || s.Endpoints["b"].ID != "" || s.Tombstones["b"].ID == "" {
			t.Errorf("%+v", s)
		}
	})
	t.Run("numbers told as lower three times began anew", func(t *testing.T) {
		p := startFrom(t, completeList)
		for i, no := range []int64{3, 3, 41, 3, 3, 3} {
			if anew := p.reconciler.ObserveEventNumber(no, 41); anew != (i == 5) {
				t.Errorf("%d: %v", i, anew)
			}
		}
	})
}

package warmstart

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/snapshot"
)

// module takes what the router would be told of lists.
type module struct {
	dispatch.Router
	kind policy.UpdateKind
	rows map[string]policy.Endpoint
}

func (m *module) UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint) {
	if m.kind = what; what != policy.UpdateDelta || m.rows == nil {
		m.rows = map[string]policy.Endpoint{}
	}
	for _, r := range rows {
		m.rows[r.Cache.Name] = r
	}
	m.Router.UpdateEndpoints(now, what, rows)
}

type place struct {
	g       env.Ground
	log     bytes.Buffer
	told    *module
	terms   *settings.Settings
	router  *dispatch.Dispatcher
	caches  *memory.Caches
	purges  *memory.Purges
	keep    *snapshot.Keeper
	members *Members
}

var testSettings = []byte(`{"areas":["town"],"machine_types":["edge","parent","origin"],"classes":[{"name":"segment","aim":400000,"deadline":5000000,"effect":"idempotent"}],
"specifics":{"parent_kind":1,"source_kind":2,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1],"cleared_within":6000000}}`)

// morning starts from a folder into which a gateway before wrote some changes.
func morning(t *testing.T, before ...endpoints.Change) *place {
	t.Helper()
	p := &place{caches: &memory.Caches{}}
	p.g = env.NewSystem(&p.log, slog.LevelInfo)
	p.purges = &memory.Purges{Clock: p.g, Keep: time.Hour}
	var err error
	if p.terms, err = settings.Parse(testSettings); err != nil {
		t.Fatal(err)
	}
	p.router = dispatch.New(p.g, 1, p.terms.Router, func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		p.told = &module{Router: start(h)}
		return p.told
	})
	folder := t.TempDir()
	open := func() *snapshot.Keeper {
		k, why, err := snapshot.Open(p.g, folder, snapshot.Terms{Bytes: 1 << 20, Writes: 100})
		if why != nil || err != nil {
			t.Fatal(why, err)
		}
		return k
	}
	k := open()
	for _, c := range before {
		k.Told(c)
	}
	life := env.NewLife(nil)
	life.End()
	k.Run(life)
	p.keep = open()
	p.members = New(p.g, p.terms, p.router, p.caches, p.keep)
	return p
}

func edge(id string, phase endpoints.Phase) endpoints.Cache {
	return endpoints.Cache{ID: id, Addr: "10.0.0.1:" + fmt.Sprint(1000+len(id)+int(id[0])), Zone: "town", Machine: "edge", Phase: phase}
}

var whole = endpoints.Change{Last: 40, Whole: true, Bulletin: "10.7.0.1:8500", Rows: []endpoints.Cache{edge("a", endpoints.Up), edge("b", endpoints.Up),
	edge("c", endpoints.Draining)}}

func TestStart(t *testing.T) {
	t.Run("no list: nothing is listed", func(t *testing.T) {
		p := morning(t)
		if n := p.members.Start(p.purges); n != 0 || p.told.rows != nil {
			t.Errorf("%d, %+v", n, p.told.rows)
		}
	})
	t.Run("what drained is not listed, the rest is on trial", func(t *testing.T) {
		p := morning(t, whole)
		p.members.Start(p.purges)
		if p.told.kind != policy.UpdateCached || len(p.told.rows) != 3 || p.told.rows["c"].State != policy.Gone {
			t.Fatalf("%+v", p.told)
		}
		delete(p.told.rows, "c")
		for _, r := range p.told.rows {
			if r.Confidence != policy.OnProbation || r.StartedAt == 0 || r.State != policy.Ready {
				t.Errorf("%+v", r)
			}
		}
		if !strings.Contains(p.log.String(), "event=from_list caches=3") {
			t.Error(p.log.String())
		}
	})
	t.Run("what was out when the list was kept gets trials", func(t *testing.T) {
		p := morning(t, whole, endpoints.Change{Health: true, Ill: []string{"b"}})
		p.members.Start(p.purges)
		if p.told.rows["a"].Confidence != policy.OnProbation || p.told.rows["b"].Confidence != policy.Suspect {
			t.Errorf("%+v", p.told.rows)
		}
	})
	t.Run("purges in force are heeded, old ones not", func(t *testing.T) {
		now := time.Now()
		p := morning(t, whole, endpoints.Change{Purges: []endpoints.Purge{{Object: "new", Issued: now.UnixMilli()}, {Object: "old", Issued: 1000}}})
		p.members.Start(p.purges)
		if at, _ := p.purges.Heeded("new", 0); at.UnixMilli() != now.UnixMilli() {
			t.Error(at)
		}
		if at, _ := p.purges.Heeded("old", 0); !at.IsZero() {
			t.Error(at)
		}
	})
	t.Run("hits make an entry trusted, and tell the module that it is warm", func(t *testing.T) {
		p := morning(t, whole)
		p.members.Start(p.purges)
		a := p.caches.Find("a").Its
		for range 8 {
			p.members.saw(a, a, policy.OutcomeSatisfied, policy.DetailHit)
		}
		if p.members.relist(); p.told.kind != policy.UpdateDelta || p.told.rows["a"].StartedAt != 0 || p.told.rows["b"].StartedAt == 0 {
			t.Errorf("%+v", p.told)
		}
	})
}

func TestTheBulletinComesBack(t *testing.T) {
	ready := func(p *place, no int64, started policy.Micros) policy.EndpointState {
		rows := []policy.Endpoint{{Cache: p.caches.Note("c", "10.0.0.1:9").Its, StartedAt: started}}
		p.members.Hold(no, false, []string{"c"}, rows)
		return rows[0].State
	}
	t.Run("a bulletin behind the list does not undo a drain", func(t *testing.T) {
		p := morning(t, whole)
		if got := ready(p, 3, 0); got != policy.Draining {
			t.Error(got)
		}
	})
	t.Run("its later word does", func(t *testing.T) {
		p := morning(t, whole)
		if got := ready(p, 41, 0); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("a cache started after its drain is another life", func(t *testing.T) {
		p := morning(t, whole)
		if got := ready(p, 3, time.Now().Add(time.Second).UnixMicro()); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("so does a drain of long ago, until ten minutes after the start", func(t *testing.T) {
		p := morning(t, whole)
		p.members.bars["c"].tomb.At -= 24 * time.Hour.Milliseconds()
		if got := ready(p, 3, 0); got != policy.Draining {
			t.Error(got)
		}
		p.members.began = p.members.began.Add(-barFor)
		if got := ready(p, 3, 0); got != policy.Ready {
			t.Error(got)
		}
	})
	t.Run("the time on the list ends with a whole list, and is told", func(t *testing.T) {
		p := morning(t, whole)
		p.members.Start(p.purges)
		p.members.Hold(1, true, []string{"a", "d"}, make([]policy.Endpoint, 2))
		p.told.rows = nil
		p.members.saw(p.caches.Find("a").Its, p.caches.Find("a").Its, policy.OutcomeSatisfied, policy.DetailHit)
		if p.members.relist(); p.told.rows != nil {
			t.Error("the kept list is told after the bulletin's")
		}
		p.members.Told(endpoints.Change{Last: 1, Whole: true, Rows: []endpoints.Cache{edge("a", endpoints.Up), edge("d", endpoints.Up)}})
		if !strings.Contains(p.log.String(), "event=from_bulletin") || !strings.Contains(p.log.String(), "told=2 listed=3 in_both=1") {
			t.Error(p.log.String())
		}
		if s := p.keep.State(); s.Caches["d"].ID == "" || s.Caches["b"].ID != "" || s.Tombs["b"].ID == "" {
			t.Errorf("%+v", s)
		}
	})
	t.Run("numbers told as lower three times began anew", func(t *testing.T) {
		p := morning(t, whole)
		for i, no := range []int64{3, 3, 41, 3, 3, 3} {
			if anew := p.members.Stands(no, 41); anew != (i == 5) {
				t.Errorf("%d: %v", i, anew)
			}
		}
	})
}

package dispatch

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// open starts a router with one edge and the origin.
func open() *Facade {
	f := Start(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Charter{Gateways: 1, ParentKind: -1, OriginKind: 1, SendLimit: 6, Cancelling: true,
		Kinds: []policy.ObjectKind{{Budget: 400000, GiveUp: 5000000, Utility: 1}}}, nil)
	f.Tick([]policy.Row{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
	return f
}

func take(f *Facade, id string) *Lookup {
	return f.Take(id, 0, "object", 0, 0, 10, time.Now().Add(time.Second))
}

func TestLookups(t *testing.T) {
	t.Run("sent, satisfied, forgotten", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		if take(f, "0a") != nil {
			t.Error("one id open twice")
		}
		if s := f.Pick(l); s.What != Send || s.To.Name != "edge" || s.Source.Name != "origin" || s.Patience <= 0 {
			t.Fatalf("%+v", s)
		}
		if !f.Report(l, 0, policy.Satisfied, policy.Hit, 0) {
			t.Error("the answer was not used")
		}
		if s := f.Pick(l); s.What != Satisfied || s.N != 0 || f.Open() != 0 {
			t.Errorf("%+v, %d open", s, f.Open())
		}
	})
	t.Run("a lookup that may not run any more is nacked at once", func(t *testing.T) {
		f := open()
		l := f.Take("0a", 0, "object", 0, 0, 10, time.Now().Add(-time.Second))
		if s := f.Pick(l); s.What != Nacked || f.Open() != 0 {
			t.Errorf("%+v", s)
		}
	})
	t.Run("held lookups given up amid calls about others are forgotten", func(t *testing.T) {
		f := open()
		var held []*Lookup
		for i := range 40 { // more than an edge not known yet gets at once
			if l := take(f, fmt.Sprint(i)); len(l.steps) == 0 {
				held = append(held, l)
			}
		}
		time.Sleep(420 * time.Millisecond) // past their budget
		f.Tick(nil, false, nil)
		for _, l := range held {
			if s := f.Pick(l); s.What != Nacked {
				t.Errorf("%+v", s)
			}
		}
		if f.Open() != 40-len(held) || len(held) == 0 {
			t.Errorf("%d open, %d were held of 40", f.Open(), len(held))
		}
	})
	t.Run("a client that leaves: its send is cancelled, its late answer is not used", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.Pick(l)
		f.Leave(l)
		if a, b := f.Pick(l), f.Pick(l); a.What != Departed || b.What != Cancel {
			t.Errorf("%+v, %+v", a, b)
		}
		if f.Report(l, 0, policy.Satisfied, policy.Hit, 0) || f.Open() != 0 {
			t.Error("the late answer was used, or the lookup is not forgotten")
		}
	})
	t.Run("a send that nobody has picked when its client leaves does not go out", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.Leave(l)
		if s := f.Pick(l); s.What != Departed || f.Open() != 0 {
			t.Errorf("%+v, %d open", s, f.Open())
		}
		if sends, queued := f.InFlight(); sends != 0 || queued != 0 {
			t.Errorf("%d sends, %d queued", sends, queued)
		}
	})
	t.Run("nor one whose cache is told draining meanwhile: the router says what next", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		edge := l.steps[0].To
		f.Tick([]policy.Row{{Cache: edge, State: policy.Draining}, {Cache: policy.NewCache("next")}}, false, nil)
		if s := f.Pick(l); s.What != Send || s.To.Name != "next" || s.N != 1 {
			t.Errorf("%+v", s)
		}
	})
	t.Run("nor one that names a source told gone meanwhile", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.Tick([]policy.Row{{Cache: l.steps[0].Source, Kind: 1, State: policy.Gone}}, false, nil)
		if s := f.Pick(l); s.What != Send || s.Source != s.To {
			t.Errorf("%+v", s)
		}
	})
	t.Run("nor one of a lookup that may have had its effect, past its window: the lookup fails", func(t *testing.T) {
		f := Start(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Charter{Gateways: 1, ParentKind: -1, OriginKind: 1, SendLimit: 6,
			Kinds: []policy.ObjectKind{{Budget: 2000000, GiveUp: 5000000, Utility: 1, Effect: policy.Deduplicated, Memory: 150000}}}, nil)
		f.Tick([]policy.Row{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
		l := take(f, "0a")
		f.Pick(l)
		f.Report(l, 0, policy.Reset, policy.Untold, 0)
		if len(l.steps) != 1 || l.steps[0].What != Send || !f.May(l, l.steps[0]) {
			t.Fatalf("%+v: not sent again inside its window", l.steps)
		}
		second := l.steps[0]
		time.Sleep(150 * time.Millisecond)
		if f.May(l, second) {
			t.Error("its first byte may go out past its window")
		}
		if s := f.Pick(l); s.What != Failed || f.Open() != 0 {
			t.Errorf("%+v, %d open", s, f.Open())
		}
	})
	t.Run("Stop fails what may have had its effect", func(t *testing.T) {
		f := Start(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Charter{Gateways: 1, ParentKind: -1, OriginKind: 1, SendLimit: 6,
			Kinds: []policy.ObjectKind{{Budget: 400000, GiveUp: 5000000, Utility: 1, Effect: policy.SideEffecting}}}, nil)
		f.Tick([]policy.Row{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
		l := take(f, "0a")
		f.Pick(l)
		if f.Stop(); f.Pick(l).What != Failed {
			t.Error("not failed")
		}
	})
	t.Run("a send whose ending nobody tells: failed shortly after the deadline", func(t *testing.T) {
		f := open()
		l := f.Take("0a", 0, "object", 0, 0, 10, time.Now().Add(30*time.Millisecond))
		f.Pick(l)
		if s := f.Pick(l); s.What != Failed || time.Now().Before(l.Deadline) {
			t.Errorf("%+v", s)
		}
	})
	t.Run("Stop ends what is open: nacked, as a repeat does no harm", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.Pick(l)
		if f.Stop(); f.Pick(l).What != Nacked {
			t.Error("not nacked")
		}
	})
}

// One answer, whatever meets: the cache's answer, the client's leaving, the clock, the end of the gateway.
func TestOneEnd(t *testing.T) {
	f := open()
	for i := range 300 {
		l := take(f, fmt.Sprint(i))
		var all sync.WaitGroup
		for _, call := range []func(){
			func() { f.Report(l, 0, policy.Satisfied, policy.Hit, 0) },
			func() { f.Leave(l) },
			func() { f.Tick(nil, false, nil) },
			func() {
				if i%3 == 0 {
					f.Stop()
				}
			},
		} {
			all.Go(call)
		}
		ends := 0
		all.Wait()
		for len(l.steps) > 0 {
			if s := f.Pick(l); s.What >= Satisfied {
				ends++
			} else if ends > 0 && s.What == Send {
				t.Fatal("a send after the end")
			}
		}
		if ends != 1 {
			t.Fatalf("%d ends", ends)
		}
	}
	if f.Open() != 0 {
		t.Errorf("%d still open", f.Open())
	}
}

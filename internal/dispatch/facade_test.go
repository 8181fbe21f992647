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
func open() *Dispatcher {
	f := New(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Settings{Gateways: 1, ParentKind: -1, OriginKind: 1, MaxAttempts: 6, CanCancel: true,
		Kinds: []policy.ObjectKind{{LatencyBudget: 400000, Deadline: 5000000, Utility: 1}}}, nil)
	f.Tick([]policy.Endpoint{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
	return f
}

func take(f *Dispatcher, id string) *Lookup {
	return f.Submit(Request{ID: id, Object: "object", SizeKB: 10, Deadline: time.Now().Add(time.Second)})
}

func TestLookups(t *testing.T) {
	t.Run("sent, satisfied, forgotten", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		if take(f, "0a") != nil {
			t.Error("one id open twice")
		}
		if s := f.WaitStep(l); s.Kind != StepFetch || s.Cache.Name != "edge" || s.Source.Name != "origin" || s.Timeout <= 0 {
			t.Fatalf("%+v", s)
		}
		if !f.AttemptEnded(l, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) {
			t.Error("the answer was not used")
		}
		if s := f.WaitStep(l); s.Kind != StepSatisfied || s.Attempt != 0 || f.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, f.OpenLookups())
		}
	})
	t.Run("a lookup that may not run any more is nacked at once", func(t *testing.T) {
		f := open()
		l := f.Submit(Request{ID: "0a", Object: "object", SizeKB: 10, Deadline: time.Now().Add(-time.Second)})
		if s := f.WaitStep(l); s.Kind != StepRejected || f.OpenLookups() != 0 {
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
			if s := f.WaitStep(l); s.Kind != StepRejected {
				t.Errorf("%+v", s)
			}
		}
		if f.OpenLookups() != 40-len(held) || len(held) == 0 {
			t.Errorf("%d open, %d were held of 40", f.OpenLookups(), len(held))
		}
	})
	t.Run("a client that leaves: its send is cancelled, its late answer is not used", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.WaitStep(l)
		f.ClientGone(l)
		if a, b := f.WaitStep(l), f.WaitStep(l); a.Kind != StepClientGone || b.Kind != StepCancel {
			t.Errorf("%+v, %+v", a, b)
		}
		if f.AttemptEnded(l, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) || f.OpenLookups() != 0 {
			t.Error("the late answer was used, or the lookup is not forgotten")
		}
	})
	t.Run("a send that nobody has picked when its client leaves does not go out", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.ClientGone(l)
		if s := f.WaitStep(l); s.Kind != StepClientGone || f.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, f.OpenLookups())
		}
		if sends, queued := f.InFlight(); sends != 0 || queued != 0 {
			t.Errorf("%d sends, %d queued", sends, queued)
		}
	})
	t.Run("nor one whose cache is told draining meanwhile: the router says what next", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		edge := l.steps[0].Cache
		f.Tick([]policy.Endpoint{{Cache: edge, State: policy.Draining}, {Cache: policy.NewCache("next")}}, false, nil)
		if s := f.WaitStep(l); s.Kind != StepFetch || s.Cache.Name != "next" || s.Attempt != 1 {
			t.Errorf("%+v", s)
		}
	})
	t.Run("nor one that names a source told gone meanwhile", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.Tick([]policy.Endpoint{{Cache: l.steps[0].Source, Kind: 1, State: policy.Gone}}, false, nil)
		if s := f.WaitStep(l); s.Kind != StepFetch || s.Source != s.Cache {
			t.Errorf("%+v", s)
		}
	})
	t.Run("nor one of a lookup that may have had its effect, past its window: the lookup fails", func(t *testing.T) {
		f := New(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Settings{Gateways: 1, ParentKind: -1, OriginKind: 1, MaxAttempts: 6,
			Kinds: []policy.ObjectKind{{LatencyBudget: 2000000, Deadline: 5000000, Utility: 1, Effect: policy.Deduplicated, DedupWindow: 150000}}}, nil)
		f.Tick([]policy.Endpoint{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
		l := take(f, "0a")
		f.WaitStep(l)
		f.AttemptEnded(l, 0, policy.OutcomeReset, policy.DetailNone, 0)
		if len(l.steps) != 1 || l.steps[0].Kind != StepFetch || !f.MaySend(l, l.steps[0]) {
			t.Fatalf("%+v: not sent again inside its window", l.steps)
		}
		second := l.steps[0]
		time.Sleep(150 * time.Millisecond)
		if f.MaySend(l, second) {
			t.Error("its first byte may go out past its window")
		}
		if s := f.WaitStep(l); s.Kind != StepFailed || f.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, f.OpenLookups())
		}
	})
	t.Run("Stop fails what may have had its effect", func(t *testing.T) {
		f := New(env.NewSystem(io.Discard, slog.LevelInfo), 1, &policy.Settings{Gateways: 1, ParentKind: -1, OriginKind: 1, MaxAttempts: 6,
			Kinds: []policy.ObjectKind{{LatencyBudget: 400000, Deadline: 5000000, Utility: 1, Effect: policy.SideEffecting}}}, nil)
		f.Tick([]policy.Endpoint{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
		l := take(f, "0a")
		f.WaitStep(l)
		if f.Stop(); f.WaitStep(l).Kind != StepFailed {
			t.Error("not failed")
		}
	})
	t.Run("a send whose ending nobody tells: failed shortly after the deadline", func(t *testing.T) {
		f := open()
		l := f.Submit(Request{ID: "0a", Object: "object", SizeKB: 10, Deadline: time.Now().Add(30 * time.Millisecond)})
		f.WaitStep(l)
		if s := f.WaitStep(l); s.Kind != StepFailed || time.Now().Before(l.Deadline) {
			t.Errorf("%+v", s)
		}
	})
	t.Run("Stop ends what is open: nacked, as a repeat does no harm", func(t *testing.T) {
		f := open()
		l := take(f, "0a")
		f.WaitStep(l)
		if f.Stop(); f.WaitStep(l).Kind != StepRejected {
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
			func() { f.AttemptEnded(l, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) },
			func() { f.ClientGone(l) },
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
			if s := f.WaitStep(l); s.Kind >= StepSatisfied {
				ends++
			} else if ends > 0 && s.Kind == StepFetch {
				t.Fatal("a send after the end")
			}
		}
		if ends != 1 {
			t.Fatalf("%d ends", ends)
		}
	}
	if f.OpenLookups() != 0 {
		t.Errorf("%d still open", f.OpenLookups())
	}
}

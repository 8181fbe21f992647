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

// newDispatcher starts a router with one edge cache and the origin; change, if not nil, adapts its settings.
func newDispatcher(change func(*policy.Settings)) *Dispatcher {
	settings := &policy.Settings{Gateways: 1, ParentKind: -1, OriginKind: 1, MaxAttempts: 6, CanCancel: true,
		Kinds: []policy.ObjectKind{{LatencyBudget: 400000, Deadline: 5000000, Utility: 1}}}
	if change != nil {
		change(settings)
	}
	d := New(env.NewSystem(io.Discard, slog.LevelInfo), 1, settings, nil)
	d.Tick([]policy.Endpoint{{Cache: policy.NewCache("edge")}, {Cache: policy.NewCache("origin"), Kind: 1}}, true, nil)
	return d
}

// submit submits a lookup that has a second.
func submit(d *Dispatcher, id string) *Lookup { return submitFor(d, id, time.Second) }

func submitFor(d *Dispatcher, id string, allowed time.Duration) *Lookup {
	return d.Submit(Request{ID: id, Object: "object", SizeKB: 10, Deadline: time.Now().Add(allowed)})
}

// A lookup from its submission to its end.
func TestLookups(t *testing.T) {
	t.Run("sent, satisfied, forgotten", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		if submit(d, "0a") != nil {
			t.Error("one id open twice")
		}
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Cache.Name != "edge" || s.Source.Name != "origin" || s.Timeout <= 0 {
			t.Fatalf("%+v", s)
		}
		if !d.AttemptEnded(lookup, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) {
			t.Error("the answer was not used")
		}
		if s := d.WaitStep(lookup); s.Kind != StepSatisfied || s.Attempt != 0 || d.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, d.OpenLookups())
		}
	})
	t.Run("rejected at once without time", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submitFor(d, "0a", -time.Second)
		if s := d.WaitStep(lookup); s.Kind != StepRejected || d.OpenLookups() != 0 {
			t.Errorf("%+v", s)
		}
	})
	t.Run("queued lookups given up amid calls about others are forgotten", func(t *testing.T) {
		d := newDispatcher(nil)
		var queued []*Lookup
		for i := range 40 { // more than an edge cache gets at once before anything is known of it
			if lookup := submit(d, fmt.Sprint(i)); len(lookup.steps) == 0 {
				queued = append(queued, lookup)
			}
		}
		time.Sleep(420 * time.Millisecond) // past their budget
		d.Tick(nil, false, nil)
		for _, lookup := range queued {
			if s := d.WaitStep(lookup); s.Kind != StepRejected {
				t.Errorf("%+v", s)
			}
		}
		if d.OpenLookups() != 40-len(queued) || len(queued) == 0 {
			t.Errorf("%d open, %d were queued of 40", d.OpenLookups(), len(queued))
		}
	})
	t.Run("failed shortly after its deadline where the end of an attempt is never reported", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submitFor(d, "0a", 30*time.Millisecond)
		d.WaitStep(lookup)
		if s := d.WaitStep(lookup); s.Kind != StepFailed || time.Now().Before(lookup.Deadline) {
			t.Errorf("%+v", s)
		}
	})
}

// A client that goes.
func TestClientGone(t *testing.T) {
	t.Run("its attempt is cancelled, its late answer is not used", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.WaitStep(lookup)
		d.ClientGone(lookup)
		if a, b := d.WaitStep(lookup), d.WaitStep(lookup); a.Kind != StepClientGone || b.Kind != StepCancel {
			t.Errorf("%+v, %+v", a, b)
		}
		if d.AttemptEnded(lookup, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) || d.OpenLookups() != 0 {
			t.Error("the late answer was used, or the lookup is not forgotten")
		}
	})
	t.Run("an attempt whose step was not taken does not start", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.ClientGone(lookup)
		if s := d.WaitStep(lookup); s.Kind != StepClientGone || d.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, d.OpenLookups())
		}
		if attempts, queued := d.InFlight(); attempts != 0 || queued != 0 {
			t.Errorf("%d attempts, %d queued", attempts, queued)
		}
	})
}

// Attempts that are withdrawn between their decision and their start.
func TestWithdrawnAttempts(t *testing.T) {
	t.Run("its cache drains: the router decides anew", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		edge := lookup.steps[0].Cache
		d.Tick([]policy.Endpoint{{Cache: edge, State: policy.Draining}, {Cache: policy.NewCache("next")}}, false, nil)
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Cache.Name != "next" || s.Attempt != 1 {
			t.Errorf("%+v", s)
		}
	})
	t.Run("its source is gone", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.Tick([]policy.Endpoint{{Cache: lookup.steps[0].Source, Kind: 1, State: policy.Gone}}, false, nil)
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Source != s.Cache {
			t.Errorf("%+v", s)
		}
	})
	t.Run("the deduplication window of a lookup that may have run has passed: it fails", func(t *testing.T) {
		d := newDispatcher(func(s *policy.Settings) {
			s.CanCancel = false
			s.Kinds[0] = policy.ObjectKind{LatencyBudget: 2000000, Deadline: 5000000, Utility: 1, Effect: policy.Deduplicated, DedupWindow: 150000}
		})
		lookup := submit(d, "0a")
		d.WaitStep(lookup)
		d.AttemptEnded(lookup, 0, policy.OutcomeReset, policy.DetailNone, 0)
		if len(lookup.steps) != 1 || lookup.steps[0].Kind != StepFetch || !d.MaySend(lookup, lookup.steps[0]) {
			t.Fatalf("%+v: not retried inside its window", lookup.steps)
		}
		retry := lookup.steps[0]
		time.Sleep(150 * time.Millisecond)
		if d.MaySend(lookup, retry) {
			t.Error("its first byte may go out past its window")
		}
		if s := d.WaitStep(lookup); s.Kind != StepFailed || d.OpenLookups() != 0 {
			t.Errorf("%+v, %d open", s, d.OpenLookups())
		}
	})
}

// Stop gives every open lookup up.
func TestStop(t *testing.T) {
	for name, test := range map[string]struct {
		effect policy.Effect
		want   StepKind
	}{
		"rejected, as a repeat does no harm": {policy.Idempotent, StepRejected},
		"failed, as it may have run":         {policy.SideEffecting, StepFailed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(func(s *policy.Settings) { s.Kinds[0].Effect = test.effect })
			lookup := submit(d, "0a")
			d.WaitStep(lookup)
			d.Stop()
			if s := d.WaitStep(lookup); s.Kind != test.want {
				t.Errorf("%+v", s)
			}
		})
	}
}

// A lookup ends once, whatever meets: the cache's answer, the client's end, the clock, the end of the gateway.
func TestLookupEndsOnce(t *testing.T) {
	d := newDispatcher(nil)
	for i := range 300 {
		lookup := submit(d, fmt.Sprint(i))
		var calls sync.WaitGroup
		for _, call := range []func(){
			func() { d.AttemptEnded(lookup, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) },
			func() { d.ClientGone(lookup) },
			func() { d.Tick(nil, false, nil) },
			func() {
				if i%3 == 0 {
					d.Stop()
				}
			},
		} {
			calls.Go(call)
		}
		ends := 0
		calls.Wait()
		for len(lookup.steps) > 0 {
			if s := d.WaitStep(lookup); s.Kind >= StepSatisfied {
				ends++
			} else if ends > 0 && s.Kind == StepFetch {
				t.Fatal("an attempt starts after the end")
			}
		}
		if ends != 1 {
			t.Fatalf("%d ends", ends)
		}
	}
	if d.OpenLookups() != 0 {
		t.Errorf("%d still open", d.OpenLookups())
	}
}

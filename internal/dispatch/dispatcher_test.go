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

// newDispatcher returns a Dispatcher whose router knows one edge cache and the origin. change,
// if not nil, adapts the router's settings.
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

// submit submits a lookup with a deadline in one second.
func submit(d *Dispatcher, id string) *Lookup { return submitFor(d, id, time.Second) }

func submitFor(d *Dispatcher, id string, allowed time.Duration) *Lookup {
	return d.Submit(Request{ID: id, Object: "object", SizeKB: 10, Deadline: time.Now().Add(allowed)})
}

// TestLookups checks the steps of a lookup from its submission to its result.
func TestLookups(t *testing.T) {
	t.Run("a satisfied lookup is removed", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		if submit(d, "0a") != nil {
			t.Error("a second open lookup with the same id was accepted")
		}
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Cache.Name != "edge" || s.Source.Name != "origin" || s.Timeout <= 0 {
			t.Fatalf("step %+v, expected a fetch from edge with source origin and a timeout above 0", s)
		}
		if !d.AttemptEnded(lookup, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) {
			t.Error("AttemptEnded returned false for the first answer")
		}
		if s := d.WaitStep(lookup); s.Kind != StepSatisfied || s.Attempt != 0 || d.OpenLookups() != 0 {
			t.Errorf("step %+v with %d open lookups, expected attempt 0 as the answer and no open lookup", s, d.OpenLookups())
		}
	})
	t.Run("a lookup past its deadline is rejected at once", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submitFor(d, "0a", -time.Second)
		if s := d.WaitStep(lookup); s.Kind != StepRejected || d.OpenLookups() != 0 {
			t.Errorf("step %+v, expected a rejection and no open lookup", s)
		}
	})
	t.Run("queued lookups that end during calls for other lookups are removed", func(t *testing.T) {
		d := newDispatcher(nil)
		var queued []*Lookup
		for i := range 40 { // more than the initial concurrency limit of an edge cache
			if lookup := submit(d, fmt.Sprint(i)); len(lookup.steps) == 0 {
				queued = append(queued, lookup)
			}
		}
		time.Sleep(420 * time.Millisecond) // longer than the latency budget of 400 ms
		d.Tick(nil, false, nil)
		for _, lookup := range queued {
			if s := d.WaitStep(lookup); s.Kind != StepRejected {
				t.Errorf("step of a queued lookup %+v, expected a rejection", s)
			}
		}
		if d.OpenLookups() != 40-len(queued) || len(queued) == 0 {
			t.Errorf("%d open lookups after %d of 40 were queued and rejected", d.OpenLookups(), len(queued))
		}
	})
	t.Run("a lookup whose attempt end is never reported fails after its deadline", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submitFor(d, "0a", 30*time.Millisecond)
		d.WaitStep(lookup)
		if s := d.WaitStep(lookup); s.Kind != StepFailed || time.Now().Before(lookup.Deadline) {
			t.Errorf("step %+v, expected a failure after the deadline", s)
		}
	})
}

// TestClientGone checks the end of a lookup whose client is gone.
func TestClientGone(t *testing.T) {
	t.Run("the attempt is cancelled and its late answer is not used", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.WaitStep(lookup)
		d.ClientGone(lookup)
		if a, b := d.WaitStep(lookup), d.WaitStep(lookup); a.Kind != StepClientGone || b.Kind != StepCancel {
			t.Errorf("steps %+v and %+v, expected the end of the lookup and a cancellation", a, b)
		}
		if d.AttemptEnded(lookup, 0, policy.OutcomeSatisfied, policy.DetailHit, 0) || d.OpenLookups() != 0 {
			t.Error("the late answer was used, or the lookup was not removed")
		}
	})
	t.Run("an attempt whose step was not taken does not start", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.ClientGone(lookup)
		if s := d.WaitStep(lookup); s.Kind != StepClientGone || d.OpenLookups() != 0 {
			t.Errorf("step %+v with %d open lookups, expected the end of the lookup and no open lookup", s, d.OpenLookups())
		}
		if attempts, queued := d.InFlight(); attempts != 0 || queued != 0 {
			t.Errorf("%d attempts in flight and %d queued, expected 0 of both", attempts, queued)
		}
	})
}

// TestWithdrawnAttempts checks attempts that may no longer start when their step is taken.
func TestWithdrawnAttempts(t *testing.T) {
	t.Run("the cache is draining: the router chooses another cache", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		edge := lookup.steps[0].Cache
		d.Tick([]policy.Endpoint{{Cache: edge, State: policy.Draining}, {Cache: policy.NewCache("next")}}, false, nil)
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Cache.Name != "next" || s.Attempt != 1 {
			t.Errorf("step %+v, expected attempt 1 to the cache next", s)
		}
	})
	t.Run("the source is gone: the next attempt has no source", func(t *testing.T) {
		d := newDispatcher(nil)
		lookup := submit(d, "0a")
		d.Tick([]policy.Endpoint{{Cache: lookup.steps[0].Source, Kind: 1, State: policy.Gone}}, false, nil)
		if s := d.WaitStep(lookup); s.Kind != StepFetch || s.Source != s.Cache {
			t.Errorf("step %+v, expected a fetch without a source", s)
		}
	})
	t.Run("the deduplication window of a sent lookup has passed: the lookup fails", func(t *testing.T) {
		d := newDispatcher(func(s *policy.Settings) {
			s.CanCancel = false
			s.Kinds[0] = policy.ObjectKind{LatencyBudget: 2000000, Deadline: 5000000, Utility: 1, Effect: policy.Deduplicated, DedupWindow: 150000}
		})
		lookup := submit(d, "0a")
		d.WaitStep(lookup)
		d.AttemptEnded(lookup, 0, policy.OutcomeReset, policy.DetailNone, 0)
		if len(lookup.steps) != 1 || lookup.steps[0].Kind != StepFetch || !d.MaySend(lookup, lookup.steps[0]) {
			t.Fatalf("steps %+v, expected a retry within the deduplication window", lookup.steps)
		}
		retry := lookup.steps[0]
		time.Sleep(150 * time.Millisecond)
		if d.MaySend(lookup, retry) {
			t.Error("the retry may start after the deduplication window")
		}
		if s := d.WaitStep(lookup); s.Kind != StepFailed || d.OpenLookups() != 0 {
			t.Errorf("step %+v with %d open lookups, expected a failure and no open lookup", s, d.OpenLookups())
		}
	})
}

// TestStop checks that Stop ends every open lookup: it rejects those that are safe to repeat and fails the others.
func TestStop(t *testing.T) {
	for name, test := range map[string]struct {
		effect policy.Effect
		want   StepKind
	}{
		"an idempotent lookup is rejected":       {policy.Idempotent, StepRejected},
		"a sent lookup with a side effect fails": {policy.SideEffecting, StepFailed},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDispatcher(func(s *policy.Settings) { s.Kinds[0].Effect = test.effect })
			lookup := submit(d, "0a")
			d.WaitStep(lookup)
			d.Stop()
			if s := d.WaitStep(lookup); s.Kind != test.want {
				t.Errorf("step %+v ends the lookup in an unexpected way", s)
			}
		})
	}
}

// TestLookupEndsOnce guards against a lookup with two results or none. A lookup can end in several goroutines at once:
// its cache answers, its client is gone, a timer fires, or the gateway stops.
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
				t.Fatal("an attempt starts after the lookup has ended")
			}
		}
		if ends != 1 {
			t.Fatalf("the lookup has %d results, expected 1", ends)
		}
	}
	if d.OpenLookups() != 0 {
		t.Errorf("%d lookups are still open, expected none", d.OpenLookups())
	}
}

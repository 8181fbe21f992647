package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

var (
	noon  = time.Unix(1764576000, 0)
	terms = Limits{MaxLookups: 4, MaxPerCaller: 3, ReturnTimeout: 200 * time.Millisecond, Retention: 2 * time.Second}
)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func said(do Commands) string {
	text := ""
	for _, x := range do.Reports {
		text += fmt.Sprintf("tell %d %d;", x.Attempt, x.Outcome)
	}
	for range do.Gone {
		text += "leave;"
	}
	for _, x := range do.Answers {
		text += x.Kind.String() + ";"
	}
	return text
}

func want(t *testing.T, do Commands, text string) {
	t.Helper()
	if got := said(do); got != text {
		t.Fatalf("%q, expected %q", got, text)
	}
}

func send(n int) dispatch.Step { return dispatch.Step{Kind: dispatch.StepFetch, Attempt: n} }

// asked opens a lookup whose first send is at its caller.
func asked(t *testing.T) (*Coordinator, *Stream, *Lookup) {
	t.Helper()
	d, on := New(terms), &Stream{Caller: "edge"}
	lk, do := d.Request(at(0), on, "a", at(1000))
	want(t, do, "")
	want(t, d.ApplyStep(at(1), lk, send(0)), "go;")
	return d, on, lk
}

func TestDesk(t *testing.T) {
	t.Run("a send, its report, the answer", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.ReportOutcome(at(10), on, policy.OutcomeSatisfied, policy.DetailHit, 0), fmt.Sprintf("tell 0 %d;", policy.OutcomeSatisfied))
		want(t, d.ApplyStep(at(10), lk, dispatch.Step{Kind: dispatch.StepSatisfied}), "accepted;")
		if d.OpenLookups() != 0 {
			t.Error(d.OpenLookups())
		}
	})
	t.Run("an ask read just before its stream's end and taken just after it: nothing begins", func(t *testing.T) {
		d, on := New(terms), &Stream{Caller: "edge"}
		want(t, d.StreamEnded(at(1), on), "")
		lk, do := d.Request(at(1), on, "a", at(1000))
		if want(t, do, ""); lk != nil || d.OpenLookups() != 0 {
			t.Error("it is open, and its client has gone")
		}
	})
	t.Run("a send that missed: the next one is told to the next ask, on another stream", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.ReportOutcome(at(10), on, policy.OutcomeMiss, policy.DetailNone, 0), fmt.Sprintf("tell 0 %d;", policy.OutcomeMiss))
		want(t, d.ApplyStep(at(10), lk, send(1)), "again;")
		next := &Stream{Caller: "edge"}
		_, do := d.Request(at(20), next, "a", at(1000))
		want(t, do, "go;")
		want(t, d.StreamEnded(at(21), on), "")
	})
	t.Run("a send that failed and an end: told to the stream that waits", func(t *testing.T) {
		d, on, lk := asked(t)
		d.ReportOutcome(at(10), on, policy.OutcomeError, policy.DetailNone, 0)
		want(t, d.ApplyStep(at(11), lk, dispatch.Step{Kind: dispatch.StepRejected, RetryAfter: 5000}), "nack;")
		_, do := d.Request(at(20), on, "a", at(1000)) // the same stream may go on, and hears the same end
		want(t, do, "nack;")
		if do.Answers[0].RetryAfter != 5*time.Millisecond {
			t.Error(do.Answers[0].RetryAfter)
		}
	})
	t.Run("the caller gives up halfway: its send may have run", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.StreamEnded(at(10), on), fmt.Sprintf("tell 0 %d;", policy.OutcomeCancelled))
		want(t, d.ApplyStep(at(11), lk, send(1)), "")
		do, next := d.Tick(at(100))
		want(t, do, "")
		if next != at(211) {
			t.Error(next.Sub(noon))
		}
		do, _ = d.Tick(at(211))
		want(t, do, fmt.Sprintf("tell 1 %d;leave;", policy.OutcomeNotSent))
		if d.OpenLookups() != 0 || d.Anomalies["stream_ended_with_send"] != 1 || d.Anomalies["never_asked_again"] != 1 {
			t.Error(d.OpenLookups(), d.Anomalies)
		}
	})
	t.Run("it gives up before a word was said: the client has gone", func(t *testing.T) {
		d, on := New(terms), &Stream{Caller: "edge"}
		lk, _ := d.Request(at(0), on, "a", at(1000))
		want(t, d.StreamEnded(at(1), on), "leave;")
		want(t, d.ApplyStep(at(2), lk, send(0)), fmt.Sprintf("tell 0 %d;", policy.OutcomeNotSent)) // decided before that
		want(t, d.ApplyStep(at(2), lk, dispatch.Step{Kind: dispatch.StepClientGone}), "")
	})
	t.Run("the same lookup twice", func(t *testing.T) {
		d, on, lk := asked(t)
		_, do := d.Request(at(2), on, "a", at(1000))
		want(t, do, "disorder;")
		_, do = d.Request(at(2), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, do, "twice;")
		other, do := d.Request(at(2), &Stream{Caller: "kiosk"}, "a", at(1000))
		if want(t, do, ""); other == nil || other == lk {
			t.Error("another caller's lookup is another lookup")
		}
		d.Discard(other) // the router has that id open
		d.ReportOutcome(at(3), on, policy.OutcomeSatisfied, policy.DetailHit, 0)
		d.ApplyStep(at(3), lk, dispatch.Step{Kind: dispatch.StepSatisfied})
		_, do = d.Request(at(4), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, do, "known;")
		d.Tick(at(2004))
		if again, _ := d.Request(at(2005), &Stream{Caller: "edge"}, "a", at(3000)); again == nil {
			t.Error("what ended long ago is not forgotten")
		}
	})
	t.Run("an answer and a cancel crossing", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.ApplyStep(at(5), lk, dispatch.Step{Kind: dispatch.StepCancel, Attempt: 0}), "") // it is at the caller
		want(t, d.ReportOutcome(at(6), on, policy.OutcomeSatisfied, policy.DetailHit, 0), fmt.Sprintf("tell 0 %d;", policy.OutcomeSatisfied))
		want(t, d.ApplyStep(at(6), lk, dispatch.Step{Kind: dispatch.StepSatisfied}), "accepted;")
	})
	t.Run("a cancel of a send that nobody has asked for takes it back", func(t *testing.T) {
		d, on, lk := asked(t)
		d.ReportOutcome(at(5), on, policy.OutcomeMiss, policy.DetailNone, 0)
		d.ApplyStep(at(5), lk, send(1))
		want(t, d.ApplyStep(at(6), lk, dispatch.Step{Kind: dispatch.StepCancel, Attempt: 1}), fmt.Sprintf("tell 1 %d;", policy.OutcomeNotSent))
		_, do := d.Request(at(7), on, "a", at(1000))
		want(t, do, "")
		want(t, d.ApplyStep(at(8), lk, send(2)), "go;")
	})
	t.Run("a caller that never reports: timed out with the lookup's time", func(t *testing.T) {
		d, _, lk := asked(t)
		do, _ := d.Tick(at(999))
		want(t, do, "")
		do, _ = d.Tick(at(1000))
		want(t, do, fmt.Sprintf("tell 0 %d;", policy.OutcomeTimeout))
		want(t, d.ApplyStep(at(1001), lk, dispatch.Step{Kind: dispatch.StepFailed}), "fail;")
	})
	t.Run("the gateway stops while a send is out, or decided and not asked for: its end is told, and the end of the lookup", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.ApplyStep(at(5), lk, dispatch.Step{Kind: dispatch.StepFailed}), fmt.Sprintf("tell 0 %d;fail;", policy.OutcomeCancelled))
		want(t, d.ReportOutcome(at(6), on, policy.OutcomeSatisfied, policy.DetailHit, 0), "disorder;")
		d, on, lk = asked(t)
		d.ReportOutcome(at(5), on, policy.OutcomeMiss, policy.DetailNone, 0)
		d.ApplyStep(at(5), lk, send(1))
		want(t, d.ApplyStep(at(6), lk, dispatch.Step{Kind: dispatch.StepFailed}), fmt.Sprintf("tell 1 %d;", policy.OutcomeNotSent))
	})
	t.Run("reports of nothing, twice, or of no known kind", func(t *testing.T) {
		d, on, _ := asked(t)
		want(t, d.ReportOutcome(at(1), &Stream{Caller: "edge"}, policy.OutcomeSatisfied, policy.DetailHit, 0), "disorder;")
		want(t, d.ReportOutcome(at(2), on, 99, 77, -5), fmt.Sprintf("tell 0 %d;", policy.OutcomeError))
		want(t, d.ReportOutcome(at(3), on, policy.OutcomeSatisfied, policy.DetailHit, 0), "disorder;")
	})
	t.Run("no more than so many open, of one caller and of all", func(t *testing.T) {
		d := New(terms)
		for i := range 3 {
			d.Request(at(0), &Stream{Caller: "edge"}, fmt.Sprint(i), at(1000))
		}
		_, do := d.Request(at(0), &Stream{Caller: "edge"}, "x", at(1000))
		want(t, do, "full;")
		if lk, _ := d.Request(at(0), &Stream{Caller: "kiosk"}, "x", at(1000)); lk == nil {
			t.Error("one caller takes another's place")
		}
		_, do = d.Request(at(0), &Stream{Caller: "third"}, "y", at(1000))
		want(t, do, "full;")
	})
}

// Whatever callers and router do in whatever order: a lookup's sends are told one at a time, each ends once and by its
// number, nothing is told to send after the end, the end is told once to one stream, and all is freed.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(terms)
		now := 0
		var streams []*Stream
		type seen struct {
			next int // number of the router's next send
			owed map[int]bool
			out  *Stream
			over bool // the router has ended it
			told bool
		}
		of, live := map[*Lookup]*seen{}, []*Lookup{}
		by := map[*Stream]*Lookup{}
		var apply func(do Commands)
		apply = func(do Commands) {
			for _, x := range do.Reports {
				s := of[x.Lookup]
				if !s.owed[x.Attempt] {
					t.Fatalf("send %d ends twice or was never sent", x.Attempt)
				}
				delete(s.owed, x.Attempt)
				s.out = nil
				if x.Outcome == policy.OutcomeSatisfied && !s.over {
					s.over = true
					apply(d.ApplyStep(at(now), x.Lookup, dispatch.Step{Kind: dispatch.StepSatisfied, Attempt: x.Attempt}))
				}
			}
			for _, lk := range do.Gone {
				of[lk].over = true
			}
			for _, x := range do.Answers {
				lk := by[x.Stream]
				switch s := of[lk]; x.Kind {
				case AnswerAttempt:
					if s.told || s.out != nil || !s.owed[x.Step.Attempt] {
						t.Fatalf("told to send %d: told %v, out %v", x.Step.Attempt, s.told, s.out != nil)
					}
					s.out = x.Stream
				case AnswerAccepted, AnswerReject, AnswerFail:
					if s != nil {
						s.told = true
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				var on *Stream
				if len(streams) > 0 && rapid.Bool().Draw(t, "old") {
					on = rapid.SampledFrom(streams).Draw(t, "stream")
				} else {
					on = &Stream{Caller: rapid.SampledFrom([]string{"edge", "kiosk"}).Draw(t, "caller")}
					streams = append(streams, on)
				}
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
				if on.lookup == nil {
					if known := d.lookups[on.Caller+" "+id]; known != nil {
						by[on] = known
					}
				}
				lk, do := d.Request(at(now), on, id, at(now+500))
				if lk != nil {
					of[lk], by[on] = &seen{owed: map[int]bool{}}, lk
					live = append(live, lk)
				}
				apply(do)
			},
			"step": func(t *rapid.T) {
				if len(live) == 0 {
					t.Skip()
				}
				lk := rapid.SampledFrom(live).Draw(t, "lookup")
				s := of[lk]
				if s.over {
					t.Skip()
				}
				if len(s.owed) > 0 || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					s.over = true
					apply(d.ApplyStep(at(now), lk, dispatch.Step{Kind: dispatch.StepRejected}))
					return
				}
				s.owed[s.next] = true
				s.next++
				apply(d.ApplyStep(at(now), lk, send(s.next-1)))
			},
			"report": func(t *rapid.T) {
				if len(streams) == 0 {
					t.Skip()
				}
				on := rapid.SampledFrom(streams).Draw(t, "stream")
				apply(d.ReportOutcome(at(now), on, rapid.SampledFrom([]policy.AttemptOutcome{policy.OutcomeSatisfied, policy.OutcomeMiss, policy.OutcomeError, 99}).Draw(t, "how"), policy.DetailNone, 0))
			},
			"end": func(t *rapid.T) {
				if len(streams) == 0 {
					t.Skip()
				}
				apply(d.StreamEnded(at(now), rapid.SampledFrom(streams).Draw(t, "stream")))
			},
			"time": func(t *rapid.T) {
				now += rapid.IntRange(1, 400).Draw(t, "ms")
				do, _ := d.Tick(at(now))
				apply(do)
			},
			"": func(t *rapid.T) {
				n := 0
				for _, lk := range d.lookups {
					if lk.phase != phaseEnded {
						n++
					}
				}
				if n != d.openCount || len(d.lookups) > 2*terms.MaxLookups || d.ended.Len() > terms.MaxLookups {
					t.Fatalf("%d open, counted %d, %d known", n, d.openCount, len(d.lookups))
				}
			},
		})
		for _, on := range streams {
			apply(d.StreamEnded(at(now), on))
		}
		for range 4 {
			now += 5000
			do, _ := d.Tick(at(now))
			apply(do)
			for _, lk := range live {
				if s := of[lk]; !s.over && len(s.owed) == 0 {
					s.over = true
					apply(d.ApplyStep(at(now), lk, dispatch.Step{Kind: dispatch.StepFailed}))
				}
			}
		}
		if d.openCount != 0 || len(d.lookups) != 0 || len(d.openByCaller) != 0 {
			t.Fatalf("%d open, %d known, %v", d.openCount, len(d.lookups), d.openByCaller)
		}
	})
}

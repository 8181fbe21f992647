package retry

import (
	"fmt"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

var (
	testStart  = time.Unix(1764576000, 0)
	testLimits = Limits{MaxLookups: 4, MaxPerCaller: 3, ReturnTimeout: 200 * time.Millisecond, Retention: 2 * time.Second}
)

// at is so many milliseconds after the start.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// describe lists commands, in their order.
func describe(commands Commands) string {
	text := ""
	for _, x := range commands.Reports {
		text += fmt.Sprintf("report %d %d;", x.Attempt, x.Outcome)
	}
	for range commands.Gone {
		text += "gone;"
	}
	for _, x := range commands.Answers {
		text += x.Kind.String() + ";"
	}
	return text
}

func want(t *testing.T, commands Commands, text string) {
	t.Helper()
	if got := describe(commands); got != text {
		t.Fatalf("%q, expected %q", got, text)
	}
}

// fetch is the step that starts an attempt.
func fetch(n int) dispatch.Step { return dispatch.Step{Kind: dispatch.StepFetch, Attempt: n} }

// startAttempt opens a lookup whose first attempt is at its caller.
func startAttempt(t *testing.T) (*Coordinator, *Stream, *Lookup) {
	t.Helper()
	c, stream := New(testLimits), &Stream{Caller: "edge"}
	lookup, commands := c.Request(at(0), stream, "a", at(1000))
	want(t, commands, "")
	want(t, c.ApplyStep(at(1), lookup, fetch(0)), "attempt;")
	return c, stream, lookup
}

// An attempt, and what follows its report.
func TestAttempts(t *testing.T) {
	t.Run("its report, the answer", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		want(t, c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0), fmt.Sprintf("report 0 %d;", policy.OutcomeSatisfied))
		want(t, c.ApplyStep(at(10), lookup, dispatch.Step{Kind: dispatch.StepSatisfied}), "accepted;")
		if c.OpenLookups() != 0 {
			t.Error(c.OpenLookups())
		}
	})
	t.Run("one that missed: the next attempt goes to the next request, on another stream", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		want(t, c.ReportOutcome(stream, policy.OutcomeMiss, policy.DetailNone, 0), fmt.Sprintf("report 0 %d;", policy.OutcomeMiss))
		want(t, c.ApplyStep(at(10), lookup, fetch(1)), "ask again;")
		next := &Stream{Caller: "edge"}
		_, commands := c.Request(at(20), next, "a", at(1000))
		want(t, commands, "attempt;")
		want(t, c.StreamEnded(at(21), stream), "")
	})
	t.Run("one that failed, and the lookup's end: answered to the stream that waits", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		c.ReportOutcome(stream, policy.OutcomeError, policy.DetailNone, 0)
		want(t, c.ApplyStep(at(11), lookup, dispatch.Step{Kind: dispatch.StepRejected, RetryAfter: 5000}), "reject;")
		_, commands := c.Request(at(20), stream, "a", at(1000)) // the same stream may go on, and has the same answer
		want(t, commands, "reject;")
		if commands.Answers[0].RetryAfter != 5*time.Millisecond {
			t.Error(commands.Answers[0].RetryAfter)
		}
	})
}

// Requests for lookups, new ones and others.
func TestRequests(t *testing.T) {
	t.Run("one read just before its stream's end and taken just after it opens nothing", func(t *testing.T) {
		c, stream := New(testLimits), &Stream{Caller: "edge"}
		want(t, c.StreamEnded(at(1), stream), "")
		lookup, commands := c.Request(at(1), stream, "a", at(1000))
		if want(t, commands, ""); lookup != nil || c.OpenLookups() != 0 {
			t.Error("it is open, and its client is gone")
		}
	})
	t.Run("the same lookup twice", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		_, commands := c.Request(at(2), stream, "a", at(1000))
		want(t, commands, "out of order;")
		_, commands = c.Request(at(2), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, commands, "open elsewhere;")
		other, commands := c.Request(at(2), &Stream{Caller: "kiosk"}, "a", at(1000))
		if want(t, commands, ""); other == nil || other == lookup {
			t.Error("another caller's lookup is another lookup")
		}
		c.Discard(other) // the router has that id open
		c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0)
		c.ApplyStep(at(3), lookup, dispatch.Step{Kind: dispatch.StepSatisfied})
		_, commands = c.Request(at(4), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, commands, "already given;")
		c.Tick(at(2004))
		if again, _ := c.Request(at(2005), &Stream{Caller: "edge"}, "a", at(3000)); again == nil {
			t.Error("what ended long ago is not forgotten")
		}
	})
	t.Run("no more than so many are open, of one caller and of all", func(t *testing.T) {
		c := New(testLimits)
		for i := range 3 {
			c.Request(at(0), &Stream{Caller: "edge"}, fmt.Sprint(i), at(1000))
		}
		_, commands := c.Request(at(0), &Stream{Caller: "edge"}, "x", at(1000))
		want(t, commands, "full;")
		if lookup, _ := c.Request(at(0), &Stream{Caller: "kiosk"}, "x", at(1000)); lookup == nil {
			t.Error("one caller takes what is another's")
		}
		_, commands = c.Request(at(0), &Stream{Caller: "third"}, "y", at(1000))
		want(t, commands, "full;")
	})
}

// A caller that ends its stream, or says nothing more.
func TestCallerGone(t *testing.T) {
	t.Run("amid an attempt: it may have run", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		want(t, c.StreamEnded(at(10), stream), fmt.Sprintf("report 0 %d;", policy.OutcomeCancelled))
		want(t, c.ApplyStep(at(11), lookup, fetch(1)), "")
		commands, next := c.Tick(at(100))
		want(t, commands, "")
		if next != at(211) {
			t.Error(next.Sub(testStart))
		}
		commands, _ = c.Tick(at(211))
		want(t, commands, fmt.Sprintf("report 1 %d;gone;", policy.OutcomeNotSent))
		if c.OpenLookups() != 0 || c.Anomalies()[anomalyEndedAmidAttempt] != 1 || c.Anomalies()[anomalyNeverReturned] != 1 {
			t.Error(c.OpenLookups(), c.Anomalies())
		}
	})
	t.Run("before the first answer: the client is gone", func(t *testing.T) {
		c, stream := New(testLimits), &Stream{Caller: "edge"}
		lookup, _ := c.Request(at(0), stream, "a", at(1000))
		want(t, c.StreamEnded(at(1), stream), "gone;")
		want(t, c.ApplyStep(at(2), lookup, fetch(0)), fmt.Sprintf("report 0 %d;", policy.OutcomeNotSent)) // decided before that
		want(t, c.ApplyStep(at(2), lookup, dispatch.Step{Kind: dispatch.StepClientGone}), "")
	})
	t.Run("it never reports: timed out at the lookup's deadline", func(t *testing.T) {
		c, _, lookup := startAttempt(t)
		commands, _ := c.Tick(at(999))
		want(t, commands, "")
		commands, _ = c.Tick(at(1000))
		want(t, commands, fmt.Sprintf("report 0 %d;", policy.OutcomeTimeout))
		want(t, c.ApplyStep(at(1001), lookup, dispatch.Step{Kind: dispatch.StepFailed}), "fail;")
	})
}

// A cancelled attempt.
func TestCancels(t *testing.T) {
	t.Run("at its caller: it ends with its report", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		want(t, c.ApplyStep(at(5), lookup, dispatch.Step{Kind: dispatch.StepCancel, Attempt: 0}), "") // it is at the caller
		want(t, c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0), fmt.Sprintf("report 0 %d;", policy.OutcomeSatisfied))
		want(t, c.ApplyStep(at(6), lookup, dispatch.Step{Kind: dispatch.StepSatisfied}), "accepted;")
	})
	t.Run("not requested yet: withdrawn", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		c.ReportOutcome(stream, policy.OutcomeMiss, policy.DetailNone, 0)
		c.ApplyStep(at(5), lookup, fetch(1))
		want(t, c.ApplyStep(at(6), lookup, dispatch.Step{Kind: dispatch.StepCancel, Attempt: 1}), fmt.Sprintf("report 1 %d;", policy.OutcomeNotSent))
		_, commands := c.Request(at(7), stream, "a", at(1000))
		want(t, commands, "")
		want(t, c.ApplyStep(at(8), lookup, fetch(2)), "attempt;")
	})
}

// A lookup that ends amid an attempt, as when the gateway stops.
func TestEndAmidAttempt(t *testing.T) {
	t.Run("the attempt's end is reported, and the lookup's end answered", func(t *testing.T) {
		c, stream, lookup := startAttempt(t)
		want(t, c.ApplyStep(at(5), lookup, dispatch.Step{Kind: dispatch.StepFailed}), fmt.Sprintf("report 0 %d;fail;", policy.OutcomeCancelled))
		want(t, c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0), "out of order;")
		c, stream, lookup = startAttempt(t)
		c.ReportOutcome(stream, policy.OutcomeMiss, policy.DetailNone, 0)
		c.ApplyStep(at(5), lookup, fetch(1))
		want(t, c.ApplyStep(at(6), lookup, dispatch.Step{Kind: dispatch.StepFailed}), fmt.Sprintf("report 1 %d;", policy.OutcomeNotSent))
	})
}

// Reports against the contract.
func TestInvalidReports(t *testing.T) {
	t.Run("of nothing, twice, or of no known kind", func(t *testing.T) {
		c, stream, _ := startAttempt(t)
		want(t, c.ReportOutcome(&Stream{Caller: "edge"}, policy.OutcomeSatisfied, policy.DetailHit, 0), "out of order;")
		want(t, c.ReportOutcome(stream, 99, 77, -5), fmt.Sprintf("report 0 %d;", policy.OutcomeError))
		want(t, c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0), "out of order;")
	})
}

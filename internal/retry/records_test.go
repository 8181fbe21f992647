package retry

import (
	"fmt"
	"math"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/lab/cost"
	"foldslip/internal/policy"
)

// finishLookup opens a lookup and ends it after a satisfied attempt. It returns false if the lookup was not opened.
func finishLookup(c *Coordinator, now time.Time, caller, id string) (ok bool, commands Commands) {
	stream := &Stream{Caller: caller}
	lookup, commands := c.Request(now, stream, id, now.Add(time.Second))
	if lookup == nil {
		return false, commands
	}
	c.ApplyStep(now, lookup, fetch(0))
	c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0)
	return true, c.ApplyStep(now, lookup, dispatch.Step{Kind: dispatch.StepSatisfied})
}

// TestRecordsOutliveOpenBound guards against a second run of a repeated lookup: more ended lookups than may be open at
// once are remembered, each until its retention is over and not longer.
func TestRecordsOutliveOpenBound(t *testing.T) {
	c, ended := New(testLimits), 100*testLimits.MaxLookups
	for i := range ended {
		if ok, _ := finishLookup(c, at(i), "edge", fmt.Sprint(i)); !ok {
			t.Fatalf("lookup %d was not opened", i)
		}
	}
	for i := range ended {
		_, commands := c.Request(at(ended), &Stream{Caller: "edge"}, fmt.Sprint(i), at(ended+1000))
		want(t, commands, "already given;")
	}
	retention := int(testLimits.Retention.Milliseconds())
	c.Tick(at(retention + ended/2 - 1))
	if left := c.RememberedLookups(); left != ended/2 {
		t.Errorf("%d of %d lookups are remembered when the retention of half of them is over, want %d", left, ended, ended/2)
	}
	c.Tick(at(retention + ended))
	if left := c.RememberedLookups(); left != 0 || len(c.records.callers) != 0 {
		t.Errorf("%d lookups are remembered after the retention of all, want 0", left)
	}
}

// TestCallerPastItsShare guards against a flood of one caller that makes lookups of another one be forgotten or refused:
// past its share a caller is refused and counted, and is accepted again when its records are dropped.
func TestCallerPastItsShare(t *testing.T) {
	limits := testLimits
	limits.MaxRecords = 90
	c := New(limits)
	finishLookup(c, at(0), "edge", "first")
	flooded := 0
	for i := range 1000 {
		ok, commands := finishLookup(c, at(1), "flood", fmt.Sprint(i))
		if ok {
			flooded++
		} else {
			want(t, commands, "no record;")
		}
	}
	if got := c.Anomalies()[anomalyNoRecord]; flooded != 45 || got != 1000-flooded {
		t.Errorf("a flood opened %d lookups, %d refusals were counted; want 45 of 90 records and 955", flooded, got)
	}
	_, commands := c.Request(at(2), &Stream{Caller: "edge"}, "first", at(1000))
	want(t, commands, "already given;")
	for i := range 20 {
		if ok, _ := finishLookup(c, at(3), "edge", fmt.Sprint(i)); !ok {
			t.Fatalf("lookup %d beside the flood was not opened", i)
		}
	}
	if ok, _ := finishLookup(c, at(1999), "flood", "late"); ok {
		t.Error("a caller that holds its share opened a lookup")
	}
	c.Tick(at(2001))
	if ok, _ := finishLookup(c, at(2001), "flood", "late"); !ok {
		t.Error("a caller whose records were dropped could not open a lookup")
	}
}

// TestSharesOfManyFloods checks the share that floods of several callers leave to one that starts later.
func TestSharesOfManyFloods(t *testing.T) {
	limits := testLimits
	limits.MaxRecords = 1200
	for _, floods := range []int{1, 2, 5, 11} {
		c := New(limits)
		for i := range 2 * limits.MaxRecords {
			for flood := range floods {
				finishLookup(c, at(0), fmt.Sprint("flood", flood), fmt.Sprint(i))
			}
		}
		opened := 0
		for i := range limits.MaxRecords {
			if ok, _ := finishLookup(c, at(0), "edge", fmt.Sprint(i)); ok {
				opened++
			}
		}
		if least := limits.MaxRecords / (floods + 1) / 2; opened < least {
			t.Errorf("beside %d floods a caller opened %d lookups, want at least %d", floods, opened, least)
		}
	}
}

// TestDiscardedLookupHoldsNoRecord checks that a lookup that the owner could not submit gives back its record.
func TestDiscardedLookupHoldsNoRecord(t *testing.T) {
	limits := testLimits
	limits.MaxRecords = 1
	c := New(limits)
	for range 3 {
		lookup, commands := c.Request(at(0), &Stream{Caller: "edge"}, "a", at(1000))
		if want(t, commands, ""); lookup == nil {
			t.Fatal("a lookup was not opened after the one before was discarded")
		}
		c.Discard(lookup)
	}
	if len(c.records.callers) != 0 {
		t.Errorf("%d callers are known, want 0", len(c.records.callers))
	}
}

// TestRepeatedResult checks that a repeated request is answered with the result of its lookup.
func TestRepeatedResult(t *testing.T) {
	for _, test := range []struct {
		step       dispatch.Step
		want       string
		retryAfter time.Duration
	}{
		{dispatch.Step{Kind: dispatch.StepRejected, RetryAfter: 1_999_999}, "reject;", 1_999_999 * time.Microsecond},
		{dispatch.Step{Kind: dispatch.StepRejected, RetryAfter: math.MaxInt64 / 2000}, "reject;", math.MaxUint32 * time.Microsecond},
		{dispatch.Step{Kind: dispatch.StepFailed}, "fail;", 0},
		{dispatch.Step{Kind: dispatch.StepSatisfied}, "already given;", 0},
	} {
		c := New(testLimits)
		lookup, _ := c.Request(at(0), &Stream{Caller: "edge"}, "a", at(1000))
		c.ApplyStep(at(1), lookup, test.step)
		for range 2 {
			_, commands := c.Request(at(2), &Stream{Caller: "edge"}, "a", at(1000))
			if want(t, commands, test.want); commands.Answers[0].RetryAfter != test.retryAfter {
				t.Errorf("%s retry after %v, want %v", test.want, commands.Answers[0].RetryAfter, test.retryAfter)
			}
		}
	}
}

// TestRecordMemory checks RecordBytes, by which the memory of records is bounded.
func TestRecordMemory(t *testing.T) {
	for _, n := range []int{10_000, 60_000, 100_000, 250_000} {
		bytes := cost.HeapBytes(func() any {
			c := New(Limits{MaxLookups: 4, MaxPerCaller: 4, ReturnTimeout: time.Second, Retention: time.Hour, MaxRecords: 2 * n})
			for i := range n {
				finishLookup(c, at(0), "edge", fmt.Sprint(i))
			}
			return c
		})
		each := float64(bytes) / float64(n)
		t.Logf("%d records: %.1f bytes each", n, each)
		if each > RecordBytes {
			t.Errorf("%d records take %.1f bytes each, want at most %d", n, each, RecordBytes)
		}
	}
}

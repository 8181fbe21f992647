package retry

import (
	"strconv"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// BenchmarkLookup measures one lookup from its request to its end, at 1,000 lookups a second with the default retention.
func BenchmarkLookup(b *testing.B) {
	c := New(Limits{MaxLookups: 256, MaxPerCaller: 128, ReturnTimeout: 300 * time.Millisecond, Retention: 5 * time.Second, MaxRecords: 1 << 20})
	now := testStart
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		c.Tick(now)
		stream := &Stream{Caller: "edge"}
		lookup, _ := c.Request(now, stream, "9b1f03aa5c7e"+strconv.Itoa(n), now.Add(time.Second))
		c.ApplyStep(now, lookup, fetch(0))
		c.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0)
		c.ApplyStep(now, lookup, dispatch.Step{Kind: dispatch.StepSatisfied})
	}
}

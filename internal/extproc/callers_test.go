package extproc

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/retry"
)

// adjustableClock is an environment whose time the test sets.
type adjustableClock struct {
	env.Environment
	now time.Time
}

func (c *adjustableClock) Now() time.Time { return c.now }

// TestCallersPastTheirBound checks that a further caller is refused and counted while all known callers have streams or
// were active within the last minute, and that the ended lookups of a caller that is forgotten are still remembered.
func TestCallersPastTheirBound(t *testing.T) {
	clock := &adjustableClock{Environment: env.NewSystem(io.Discard, slog.LevelInfo), now: time.Unix(1764576000, 0)}
	limits := Limits{Lookups: retry.Limits{MaxLookups: 8, MaxPerCaller: 8, ReturnTimeout: time.Second, Retention: time.Hour, MaxRecords: 100}}
	server := New(Dependencies{Environment: clock}, nil, limits)
	stream := &retry.Stream{Caller: "caller 0"}
	lookup, _ := server.coordinator.Request(clock.now, stream, "a", clock.now.Add(time.Second))
	server.coordinator.ApplyStep(clock.now, lookup, dispatch.Step{Kind: dispatch.StepFailed})
	first := server.acquireCaller("caller 0")
	for i := range maxCallers - 1 {
		if server.acquireCaller(fmt.Sprint("caller ", i+1)) == nil {
			t.Fatalf("caller %d was refused, want %d callers", i+1, maxCallers)
		}
	}
	server.releaseCaller(first)
	if server.acquireCaller("further") != nil || server.Anomalies()[anomalyCallersFull] != 1 {
		t.Errorf("counts %v; want a refusal of the further caller while another one was active just now", server.Anomalies())
	}
	clock.now = clock.now.Add(callerRetention + time.Millisecond)
	if server.acquireCaller("further") == nil || server.callers["caller 0"] != nil {
		t.Error("the further caller did not take the place of the one without streams")
	}
	if !server.coordinator.Knows(stream, "a") {
		t.Error("the ended lookup of a caller without streams was forgotten")
	}
}

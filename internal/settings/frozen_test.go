package settings

import (
	"fmt"
	"strings"
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestFrozenSettings parses settings texts in the form that the platform sends. testdata/NAME.txt holds
// the values that an earlier build parsed.
func TestFrozenSettings(t *testing.T) {
	for _, name := range []string{"full", "bare", "words", "silent"} {
		t.Run(name, func(t *testing.T) {
			got, err := Parse(frozen.Read(t, name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			frozen.Equal(t, name+".txt", []byte(describe(got)))
		})
	}
}

// TestFrozenRefusals compares the errors for invalid settings, one text per line of testdata/refused.txt. The error
// texts must not change, because they reach the platform.
func TestFrozenRefusals(t *testing.T) {
	texts := frozen.Read(t, "refused.txt")
	var got strings.Builder
	for text := range strings.Lines(string(texts)) {
		_, err := Parse([]byte(text))
		reason, _, _ := strings.Cut(fmt.Sprint(err), " json: ") // the library's text contains names of Go types
		fmt.Fprintln(&got, reason)
	}
	frozen.Equal(t, "refused.errors.txt", []byte(got.String()))
}

// describe lists every parsed value. Its labels are independent of the field names, so that a
// renamed field does not change the list.
func describe(got *Settings) string {
	var b strings.Builder
	line := func(label string, value any) { fmt.Fprintf(&b, "%s: %v\n", label, value) }
	line("class names", got.Kinds)
	line("areas", got.Zones)
	line("machine types", got.MachineTypes)
	line("connect timeout", got.ConnectTimeout)
	line("idle timeout", got.IdleTimeout)
	line("streams", got.MaxStreams)
	line("obey after", got.PurgeGrace)
	line("stop sending within", got.DrainGrace)
	r := got.Router
	line("balancers", r.Gateways)
	line("az", r.Zone)
	line("seats by zone", r.ZoneGateways)
	line("parent kind", r.ParentKind)
	line("source kind", r.OriginKind)
	line("merges fills", r.CoalescesFills)
	line("first byte told", r.ReportsFirstByte)
	line("hits told", r.ReportsHits)
	line("weights are links", r.WeightIsCapacity)
	line("weights are sizes", r.WeightIsSize)
	line("flow kb", r.TransferKBPerSecond)
	line("send limit", r.MaxAttempts)
	line("cancelling", r.CanCancel)
	line("max retry after", r.MaxRetryAfter)
	line("asks for list", r.SubscribesToEndpoints)
	line("cold from, cold", fmt.Sprint(r.SlowStartShare, r.SlowStartTime))
	line("fall multiple, fall", fmt.Sprint(r.BreakMultiple, r.BreakWindow))
	line("parent starts at, ramp, breaks at", fmt.Sprint(r.ParentSlowStartShare, r.ParentSlowStartTime, r.ParentBreakMultiple))
	line("cleared within", r.PurgeSettleTime)
	for i, k := range r.Kinds {
		line(fmt.Sprint("class ", i), "")
		line("  aim, stretch, deadline", fmt.Sprint(k.LatencyBudget, k.BudgetStretch, k.Deadline))
		line("  points, late worth", fmt.Sprint(k.Utility, k.LateUtilityShare))
		line("  effect, group, window", fmt.Sprint(int(k.Effect), int(k.DedupScope), k.DedupWindow))
		line("  max age, grace, worth when old", fmt.Sprint(k.MaxAge, k.StaleGrace, k.StaleUtility))
		line("  pass on", k.PassThrough)
		line("  budget of 0 and 1000 kb", fmt.Sprint(got.LatencyBudget(i, 0), got.LatencyBudget(i, 1000)))
	}
	return b.String()
}

package extprocgrpc

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/credentials/insecure"

	"foldslip/client"
	"foldslip/internal/config"
	"foldslip/internal/config/configfile"
	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
)

const (
	longestRememberMS = 600_000 // the upper bound of remember_ms
	floodPerSecond    = 4000
	mb                = 1 << 20
)

// defaultConfiguration returns the configuration with the default of each setting, but for remember_ms if that is set.
func defaultConfiguration(rememberMS int) (*config.ExternalProcessor, error) {
	text := fmt.Sprintf(`{external_processor: {listen: '127.0.0.1:0', remember_ms: %d,
		table: [{path: '/call/{kind}/{object}', kind: 'path:kind', object: 'path:object', id: 'header:x-job-id'}]}}`, rememberMS)
	read, err := configfile.Read("defaults.jsonnet", func(string) ([]byte, error) { return []byte(text), nil })
	if err != nil {
		return nil, err
	}
	return read.ExternalProcessor, nil
}

// repeatingCaller makes lookups at a steady rate on virtual time. It requests each of them a second time, just before the
// coordinator may forget it.
type repeatingCaller struct {
	name            string
	coordinator     *retry.Coordinator
	repeatAfter     int // lookups between the first and the second request of a lookup
	requested       int
	hasRun          []bool // by number of the lookup
	refused, reruns int
}

func (c *repeatingCaller) request(now time.Time) {
	n := c.requested
	c.requested++
	c.hasRun = append(c.hasRun, c.run(now, n))
	if !c.hasRun[n] {
		c.refused++
	}
	if repeated := n - c.repeatAfter; repeated >= 0 && c.hasRun[repeated] && c.run(now, repeated) {
		c.reruns++
	}
}

// run requests a lookup, whose attempt is satisfied at once. It returns false if the coordinator did not open the lookup.
func (c *repeatingCaller) run(now time.Time, n int) bool {
	stream := &retry.Stream{Caller: c.name}
	lookup, _ := c.coordinator.Request(now, stream, fmt.Sprint(n), now.Add(time.Second))
	if lookup == nil {
		return false
	}
	c.coordinator.ApplyStep(now, lookup, dispatch.Step{Kind: dispatch.StepFetch})
	c.coordinator.ReportOutcome(stream, policy.OutcomeSatisfied, policy.DetailHit, 0)
	c.coordinator.ApplyStep(now, lookup, dispatch.Step{Kind: dispatch.StepSatisfied})
	return true
}

// TestNoSecondRunWithinRememberMS guards against a second run of a side-effecting lookup whose request is repeated: at
// 150 lookups a second the 256 ended ones that were remembered by default covered 1.7 s of the 5 s of remember_ms.
func TestNoSecondRunWithinRememberMS(t *testing.T) {
	for _, test := range []struct {
		perSecond    int
		rememberMS   int // 0: the default
		memoryLimit  int64
		isFlooded    bool
		mayBeRefused bool
	}{
		{perSecond: 170},
		{perSecond: 1000},
		{perSecond: 170, memoryLimit: 32 * mb},
		{perSecond: 170, isFlooded: true},
		{perSecond: 1000, isFlooded: true},
		{perSecond: 1000, isFlooded: true, memoryLimit: 32 * mb},
		{perSecond: 170, rememberMS: longestRememberMS, memoryLimit: 128 * mb},
		{perSecond: 170, rememberMS: longestRememberMS, memoryLimit: 128 * mb, isFlooded: true},
		{perSecond: 1000, rememberMS: longestRememberMS, isFlooded: true},
		{perSecond: 1000, rememberMS: longestRememberMS, memoryLimit: 128 * mb, isFlooded: true, mayBeRefused: true},
		{perSecond: 170, rememberMS: longestRememberMS, memoryLimit: 32 * mb, isFlooded: true, mayBeRefused: true},
	} {
		name := fmt.Sprintf("%d a second, remember_ms %d, %d MB, flood %v", test.perSecond, test.rememberMS, test.memoryLimit/mb, test.isFlooded)
		t.Run(name, func(t *testing.T) {
			configuration, err := defaultConfiguration(test.rememberMS)
			if err != nil {
				t.Fatal(err)
			}
			limits := limitsFrom(configuration, test.memoryLimit).Lookups
			coordinator := retry.New(limits)
			usual := &repeatingCaller{name: "usual", coordinator: coordinator,
				repeatAfter: int(limits.Retention*time.Duration(test.perSecond)/time.Second) - 1}
			flood := &repeatingCaller{name: "flood", coordinator: coordinator, repeatAfter: 100}
			now := time.Unix(1764576000, 0)
			interval := time.Second / time.Duration(test.perSecond)
			for end := now.Add(limits.Retention * 5 / 4); now.Before(end); now = now.Add(interval) {
				coordinator.Tick(now)
				usual.request(now)
				for test.isFlooded && flood.requested*test.perSecond < usual.requested*floodPerSecond {
					flood.request(now)
				}
			}
			t.Logf("%d lookups, %d refused; flood: %d, %d refused; %d remembered of %d", usual.requested, usual.refused,
				flood.requested, flood.refused, coordinator.RememberedLookups(), limits.MaxRecords)
			if reruns := usual.reruns + flood.reruns; reruns > 0 {
				t.Errorf("%d lookups ran a second time within %v after their end", reruns, limits.Retention)
			}
			if usual.refused > 0 && !test.mayBeRefused {
				t.Errorf("%d of %d lookups were refused", usual.refused, usual.requested)
			}
		})
	}
}

// TestRepeatsOverListener guards against a second run of a repeated lookup at a Listener as it is configured: more ended
// lookups are remembered than may be open at once.
func TestRepeatsOverListener(t *testing.T) {
	configuration := &config.ExternalProcessor{Listen: "unix:" + filepath.Join(t.TempDir(), "listener"), RememberMS: longestRememberMS}
	startListener(t, configuration)
	lookups := int(configuration.Lookups) + 20
	for i := range lookups {
		if result, err := lookUp(t, configuration.Listen, insecure.NewCredentials(), fmt.Sprint(i), "hit"); err != nil || result.Kind != client.Satisfied {
			t.Fatalf("lookup %d: %+v, %v; want it satisfied", i, result, err)
		}
	}
	reruns := 0
	for i := range lookups {
		result, err := lookUp(t, configuration.Listen, insecure.NewCredentials(), fmt.Sprint(i), "hit")
		if err != nil {
			t.Fatal(err)
		}
		if result.Status != http.StatusConflict || len(result.Attempts) > 0 {
			reruns++
		}
	}
	if reruns > 0 {
		t.Errorf("%d of %d lookups ran again when they were requested again within remember_ms", reruns, lookups)
	}
}

// TestRefusedWithoutRecord checks that a lookup that could not be remembered is refused over gRPC with a time to come
// back and counted, that no earlier lookup is forgotten for it, and that it is accepted after that time.
func TestRefusedWithoutRecord(t *testing.T) {
	limits := testLimits
	limits.MaxRecords = 6
	f := newFixtureWith(t, true, limits)
	satisfy := func(id string) testReply {
		stream := f.openStream()
		reply := stream.request(id, "order", "o1")
		if reply.status == 0 && reply.err == nil {
			stream.report("x-foldslip-end", "hit", "x-foldslip-note", "hit")
		}
		return reply
	}
	for i := range 3 { // the share of a caller that is alone
		if reply := satisfy(fmt.Sprint("a", i)); reply.status != 0 || reply.err != nil {
			t.Fatalf("lookup %d: status %d, error %v; want a decision", i, reply.status, reply.err)
		}
	}
	reply := satisfy("b")
	if reply.status != 503 || reply.headers["x-wait-ms"] != "2000" {
		t.Errorf("a lookup without a record: status %d, x-wait-ms %q; want 503 and 2000", reply.status, reply.headers["x-wait-ms"])
	}
	for i := range 3 {
		if reply := satisfy(fmt.Sprint("a", i)); reply.status != 409 {
			t.Errorf("repeat of lookup %d: status %d, want 409", i, reply.status)
		}
	}
	if summary := f.service.AnomalySummary(); !strings.Contains(summary, "memory_full:1") {
		t.Errorf("counts %q, want memory_full:1 among them", summary)
	}
	time.Sleep(2 * time.Second) // x-wait-ms
	if reply := satisfy("b"); reply.status != 0 || reply.err != nil {
		t.Errorf("the refused lookup after x-wait-ms: status %d, error %v; want a decision", reply.status, reply.err)
	}
}

package discovery

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

// manyZones returns the names of 25 zones for the settings of tests with long lists.
func manyZones() string {
	var zones []string
	for i := range 25 {
		zones = append(zones, fmt.Sprintf(`"zone-%02d"`, i))
	}
	return strings.Join(zones, ",")
}

// parseSettings parses a settings text and fails the test if it is invalid.
func parseSettings(t testing.TB, text string) *settings.Settings {
	t.Helper()
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// newWatchWith returns a watch with a new dispatcher and a new registry.
func newWatchWith(environment env.Environment, parsed *settings.Settings, purges *purgelog.Log) *Watch {
	return NewWatch(Config{Environment: environment, Settings: parsed, Dispatcher: dispatch.New(environment, 1, parsed.Router, nil),
		Registry: &cacheregistry.Registry{}, Purges: purges})
}

// newTestWatch returns a watch whose last applied event is number 40 and whose registry is empty.
func newTestWatch(t testing.TB) *Watch {
	t.Helper()
	system := env.NewSystem(io.Discard, 0)
	parsed := parseSettings(t, `{"areas":["east"],"machine_types":["std"],"classes":[{"name":"a","aim":4,"deadline":9,"effect":"idempotent"}],`+
		`"specifics":{"cleared_within":6000000}}`)
	w := newWatchWith(system, parsed, &purgelog.Log{Retention: time.Minute, Clock: system})
	w.LastEvent = 40
	return w
}

// newTestSession returns a session that begins now after the last event.
func newTestSession(w *Watch) *session {
	return &session{lifetime: env.NewLifetime(nil), startedAt: w.env.Now(), after: w.LastEvent, position: w.LastEvent}
}

// endpointsEvent returns the line of an event with the given JSON endpoints.
func endpointsEvent(number int64, isComplete bool, endpoints ...string) []byte {
	return fmt.Appendf(nil, `{"no":%d,"roster":{"revision":%d,"complete":%v,"members":[%s]}}`, number, number, isComplete, strings.Join(endpoints, ","))
}

// endpointJSON returns the i-th endpoint of a long list in the wire format.
func endpointJSON(i, zone int, machineType, phase string) string {
	return fmt.Sprintf(`{"id":"s-%08x","host_port":"10.%d.%d.%d:10080","locality":"zone-%02d","flavor":"%s","cell":%d,"phase":"%s","size":4,"up_since_ms":0}`,
		uint32(i)*2654435761, 1+i/65536, i/256%256, i%256, zone, machineType, i%300, phase)
}

// alternatingPhase returns the phase draining for even i and the phase up for odd i.
func alternatingPhase(i int) string { return [...]string{phaseDraining, phaseUp}[i%2] }

package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestInvalidScenariosAreRefusedWithTheirPath guards against invalid scenarios that are run, and
// against errors that do not say which setting is wrong. Each error must contain the path of the
// setting or the text that is listed with the scenario.
func TestInvalidScenariosAreRefusedWithTheirPath(t *testing.T) {
	for text, want := range map[string]string{
		`{ gateways: 3, steps: [{ at_ms: 1, do: 'explode' }] }`:                                              "steps[0].do",
		`{ gateways: 3, steps: [{ at_ms: 1, do: 'kill', who: ['n4'] }] }`:                                    `"n4" is nobody`,
		`{ gateways: 3, steps: [{ at_ms: 1, do: 'start', who: ['@x'] }] }`:                                   `"@x" is nobody`,
		`{ gateways: 1025, steps: [] }`:                                                                      "gateways",
		`{ gateways: 3, stps: [] }`:                                                                          "stps: no such setting",
		`{ gateways: 3, steps: [{ at_ms: 5, do: 'heal' }, { at_ms: 1, do: 'heal' }] }`:                       "before the step before it",
		`{ gateways: 3, load: { per_second: 5 }, steps: [] }`:                                                "load.per_second",
		`{ gateways: 3, steps: [], end_ms: 99999999 }`:                                                       "a run takes at most",
		`{ gateways: 3, purges: { per_second: 5, for_ms: 1000 }, steps: [] }`:                                "purges",
		`{ gateways: 3, fleet: { broadcast: true }, purges: { per_second: 500, for_ms: 60000 }, steps: [] }`: "at most 3000",
		`{ gateways: 3, places: [{ who: ['n1'], region: 'r', zone: 'z' }], steps: [] }`:                      "places[0]",
		`{ gateways: 3, places: [{ who: ['n4'], region: 'r', zone: 'z', site: 's' }], steps: [] }`:           "places[0].who",
	} {
		path := filepath.Join(t.TempDir(), "s.jsonnet")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadScenario(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("scenario %s: unexpected result of ReadScenario: %v", text, err)
		}
	}
}

// TestHardCasesAreValid reads and checks each scenario that comes with the rig.
func TestHardCasesAreValid(t *testing.T) {
	for _, name := range HardCases() {
		if _, err := ReadScenario(name); err != nil {
			t.Error(err)
		}
	}
}

package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program/programtest"
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/lab/scenario"
)

// The files under testdata/frozen were written by the build at 58d6067. The JSON that commands print, and the names,
// arguments and flags of commands, must stay the same to the byte when Go identifiers are renamed.

// TestFrozenJSON checks the JSON of each type that commands print or send.
func TestFrozenJSON(t *testing.T) {
	for name, value := range map[string]any{
		"faults-run.json":      new(runSummary),
		"faults-replay.json":   new(scenario.Result),
		"faults-plan.json":     new(scenario.Plan),
		"faults-mornings.json": new([]scenario.ColdStartCell),
		"faults-twins.json":    new(differentialSummary),
		"faults-guards.json":   new([]*guardSummary),
		"list.json":            new(listView),
		"fleet-view.json":      new(membership.Report),
		"fleet-limits.json":    new([]limits.Report),
		"fleet-broadcast.json": new(driver.Report),
		"config-show.json":     new(config.Config),
		"config-fault.json":    new(config.Error),
		"config-step.json":     new(change.Step),
		"config-answer.json":   new(admin.Response),
		"call.json":            new(admin.Request),
	} {
		t.Run(name, func(t *testing.T) { programtest.JSON(t, name, value) })
	}
}

// TestFrozenJSONOfCommands runs commands and checks their exit statuses and the text they print. This
// covers JSON that is encoded from maps.
func TestFrozenJSONOfCommands(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "list")
	export := writeFile(t, dir, "export.json", `{"last":0,"caches":[{"id":"a","host_port":"10.0.0.1:80","locality":"town","flavor":"edge","cell":0,"size":1,"up_since_ms":0,"phase":"up"}],"left":[],"purges":0}`)
	good := writeFile(t, dir, "good.jsonnet", `{ list: { folder: '/var/lib/foldslip' } }`)
	bad := writeFile(t, dir, "bad.jsonnet", `{ list: { folder: '/var/lib/foldslip', bites: 1 } }`)
	var printed bytes.Buffer
	for _, args := range [][]string{
		{"list", "import", folder, export},
		{"list", "check", folder, "--json"},
		{"list", "check", folder},
		{"list", "export", folder},
		{"list", "show", folder, "--json"},
		{"list", "forget", folder},
		{"config", "check", good, "--json"},
		{"config", "check", good},
		{"config", "show", good},
		{"config", "check", bad, "--json"},
		{"config", "check", bad},
		{"config", "show", bad, "--json"},
		{"faults", "kinds", "--json"},
		{"list", "show", filepath.Join(dir, "none")},
		{"fleet", "view", "--socket", filepath.Join(dir, "none"), "--wait", "1s"},
		{"config", "history", "--socket", filepath.Join(dir, "none"), "--wait", "1s"},
	} {
		status, out, messages := runCLI(args...)
		if args[1] == "kinds" {
			out = namesOf(t, out)
		}
		fmt.Fprintf(&printed, "== %s: status %d\n%s%s", strings.Join(args, " "), status, out, messages)
	}
	programtest.Equal(t, "commands", bytes.ReplaceAll(printed.Bytes(), []byte(dir), []byte("DIR")))
}

// namesOf returns the names in a JSON object of objects, one line for each object. It leaves out the help texts.
func namesOf(t *testing.T, text string) string {
	t.Helper()
	var sections map[string]map[string]string
	if err := json.Unmarshal([]byte(text), &sections); err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		fmt.Fprintln(&names, name, slices.Sorted(maps.Keys(sections[name])))
	}
	return names.String()
}

// TestFrozenCommandLine checks the arguments and flags of each command.
func TestFrozenCommandLine(t *testing.T) {
	programtest.Equal(t, "command-line", programtest.CommandLine(t, "foldslip", &commands{}))
}

package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"foldslip/internal/admin"
	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/lab/scenario"
)

// The files under testdata/frozen were written by the build at 58d6067. What commands print as JSON, and their names, arguments and
// flags, stay to the byte whatever the code behind them is called.

// frozen compares what is written now with the file of that name.
func frozen(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "frozen", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: other bytes than before:\n%s\nexpected:\n%s", name, got, want)
	}
}

// frozenJSON reads the file of that name, which has every field set, into a value and compares what the value is written as.
func frozenJSON(t *testing.T, name string, value any) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "frozen", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	got, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	frozen(t, name, append(got, '\n'))
}

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
		t.Run(name, func(t *testing.T) { frozenJSON(t, name, value) })
	}
}

// What is printed of maps and not of types.
func TestFrozenJSONOfCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	list := filepath.Join(dir, "list")
	export := file("export.json", `{"last":0,"caches":[{"id":"a","host_port":"10.0.0.1:80","locality":"town","flavor":"edge","cell":0,"size":1,"up_since_ms":0,"phase":"up"}],"left":[],"purges":0}`)
	good := file("good.jsonnet", `{ list: { folder: '/var/lib/foldslip' } }`)
	bad := file("bad.jsonnet", `{ list: { folder: '/var/lib/foldslip', bites: 1 } }`)
	var all bytes.Buffer
	for _, args := range [][]string{
		{"list", "import", list, export},
		{"list", "check", list, "--json"},
		{"list", "check", list},
		{"list", "export", list},
		{"list", "show", list, "--json"},
		{"list", "forget", list},
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
		status, out, errs := run(args...)
		if args[1] == "kinds" {
			out = namesOf(t, out)
		}
		fmt.Fprintf(&all, "== %s: status %d\n%s%s", strings.Join(args, " "), status, out, errs)
	}
	frozen(t, "commands", bytes.ReplaceAll(all.Bytes(), []byte(dir), []byte("DIR")))
}

// namesOf are the names in an object of objects, without what stands by them for people.
func namesOf(t *testing.T, text string) string {
	t.Helper()
	var of map[string]map[string]string
	if err := json.Unmarshal([]byte(text), &of); err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(of)) {
		fmt.Fprintln(&b, name, slices.Sorted(maps.Keys(of[name])))
	}
	return b.String()
}

// Each command with its arguments and flags, their defaults and variables of the environment; not the help's text.
func TestFrozenCommandLine(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("foldslip"))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	writeNode(&b, parser.Model.Node)
	frozen(t, "command-line", b.Bytes())
}

func writeNode(b *bytes.Buffer, n *kong.Node) {
	fmt.Fprintf(b, "%s hidden=%v passthrough=%v\n", n.FullPath(), n.Hidden, n.Passthrough)
	for _, p := range n.Positional {
		fmt.Fprintf(b, "  %s %s required=%v default=%q\n", p.Summary(), p.Target.Type(), p.Required, p.Default)
	}
	for _, f := range n.Flags {
		fmt.Fprintf(b, "  --%s short=%q %s required=%v default=%q enum=%q env=%v hidden=%v\n", f.Name, f.Short, f.Target.Type(), f.Required, f.Default, f.Enum,
			f.Envs, f.Hidden)
	}
	for _, child := range n.Children {
		writeNode(b, child)
	}
}

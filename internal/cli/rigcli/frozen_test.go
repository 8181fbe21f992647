package rigcli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"

	"foldslip/internal/lab/fleet"
	"foldslip/internal/lab/scale"
)

// The files under testdata/frozen were written by the build at 58d6067. Lines of JSON that runs are kept as, scenario files, and the
// names, arguments and flags of the commands stay to the byte whatever the code behind them is called.

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
		"played.json":       new(fleet.Scenario),
		"run.json":          new(fleet.Report),
		"scale-watch.json":  new(scale.WatchReport),
		"scale-spread.json": new(scale.BroadcastReport),
		"scale-fit.json":    new(scale.Fit),
	} {
		t.Run(name, func(t *testing.T) { frozenJSON(t, name, value) })
	}
}

// Each command with its arguments and flags, their defaults and variables of the environment; not the help's text.
func TestFrozenCommandLine(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name("foldslip-rig"))
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

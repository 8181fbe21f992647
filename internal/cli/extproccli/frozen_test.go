package extproccli

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// The files under testdata/frozen were written by the build at 58d6067: exit statuses and messages of what cannot be done, and the
// names, arguments and flags of the commands.

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

func TestFrozenCommands(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "")
	t.Setenv("FOLDSLIP_SETTINGS", "")
	var all bytes.Buffer
	for _, args := range []string{
		"frobnicate",
		"--sides 1",
		"serve --settings x",
		"serve --settings x --log-level loud",
		"ask",
		"ask /call/segment/7f3a --header x",
		"ask /call/segment/7f3a --ca /nowhere/ca.pem",
		"ask /call/segment/7f3a --door 127.0.0.1:1 --timeout 1s",
		"ask /call/segment/7f3a --door unix:/nowhere/door --timeout 1s --json",
	} {
		var out, errs bytes.Buffer
		status := Main(strings.Fields(args), &out, &errs)
		said, _, _ := strings.Cut(errs.String(), "rpc error") // what the RPC library says is its own
		if strings.HasPrefix(said, "Usage:") {
			said = said[strings.LastIndex(said, "\n"+programName+":")+1:]
		}
		fmt.Fprintf(&all, "== %s: status %d\n%s%s\n", args, status, out.String(), said)
	}
	frozen(t, "commands", bytes.ReplaceAll(all.Bytes(), []byte(programName), []byte("PROGRAM")))
}

// Each command with its arguments and flags, their defaults and variables of the environment; not the help's text.
func TestFrozenCommandLine(t *testing.T) {
	parser, err := kong.New(&commands{}, kong.Name(programName))
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	writeNode(&b, parser.Model.Node)
	frozen(t, "command-line", bytes.ReplaceAll(b.Bytes(), []byte(programName), []byte("PROGRAM")))
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

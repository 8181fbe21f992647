// Package programtest helps tests of command lines compare names, flags and printed forms with files under
// testdata/frozen that an earlier build wrote. Only tests import it. It keeps no state.
package programtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/alecthomas/kong"

	"foldslip/internal/lab/frozen"
)

// folder is the directory of the frozen files, relative to testdata.
const folder = "frozen/"

// Equal fails the test if got differs from the content of a frozen file.
func Equal(t *testing.T, name string, got []byte) {
	t.Helper()
	frozen.Equal(t, folder+name, got)
}

// JSON decodes a frozen file, which has every field set, into the value that into points to. It checks that the value
// encodes to the same bytes again.
func JSON(t *testing.T, name string, into any) {
	t.Helper()
	if err := json.Unmarshal(frozen.Read(t, folder+name), into); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	got, err := json.MarshalIndent(into, "", " ")
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	Equal(t, name, append(got, '\n'))
}

// CommandLine returns a list of the commands of a program with their arguments and flags, and with the defaults and
// environment variables of these. The list has no help texts.
func CommandLine(t *testing.T, name string, commands any) []byte {
	t.Helper()
	parser, err := kong.New(commands, kong.Name(name))
	if err != nil {
		t.Fatal(err)
	}
	var list bytes.Buffer
	writeNode(&list, parser.Model.Node)
	return list.Bytes()
}

func writeNode(list *bytes.Buffer, node *kong.Node) {
	fmt.Fprintf(list, "%s hidden=%v passthrough=%v\n", node.FullPath(), node.Hidden, node.Passthrough)
	for _, argument := range node.Positional {
		fmt.Fprintf(list, "  %s %s required=%v default=%q\n", argument.Summary(), argument.Target.Type(), argument.Required, argument.Default)
	}
	for _, flag := range node.Flags {
		fmt.Fprintf(list, "  --%s short=%q %s required=%v default=%q enum=%q env=%v hidden=%v\n", flag.Name, flag.Short, flag.Target.Type(), flag.Required,
			flag.Default, flag.Enum, flag.Envs, flag.Hidden)
	}
	for _, child := range node.Children {
		writeNode(list, child)
	}
}

package extproccli

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"foldslip/internal/cli/program/programtest"
)

// The files under testdata/frozen were written by the build at 58d6067. PROGRAM stands for the program's name in them,
// since the program also has an old name, foldslip-door.

// TestFrozenCommands checks the exit statuses and messages of commands that fail.
func TestFrozenCommands(t *testing.T) {
	t.Setenv("ROUTER_CONFIG", "")
	t.Setenv("FOLDSLIP_SETTINGS", "")
	var printed bytes.Buffer
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
		message, _, _ := strings.Cut(errs.String(), "rpc error") // the text of the gRPC library changes with its version
		if strings.HasPrefix(message, "Usage:") {
			message = message[strings.LastIndex(message, "\n"+programName+":")+1:]
		}
		fmt.Fprintf(&printed, "== %s: status %d\n%s%s\n", args, status, out.String(), message)
	}
	programtest.Equal(t, "commands", bytes.ReplaceAll(printed.Bytes(), []byte(programName), []byte("PROGRAM")))
}

// TestFrozenCommandLine checks the arguments and flags of each command.
func TestFrozenCommandLine(t *testing.T) {
	list := programtest.CommandLine(t, programName, &commands{})
	programtest.Equal(t, "command-line", bytes.ReplaceAll(list, []byte(programName), []byte("PROGRAM")))
}

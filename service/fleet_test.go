package service

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Operators ask a gateway of a fleet at its socket; one that knows no fleet says so.
func TestOperatorsAskAboutTheFleet(t *testing.T) {
	dir := t.TempDir()
	socket, settings := filepath.Join(dir, "s"), filepath.Join(dir, "own.jsonnet")
	at := strings.Replace(freeAddr(), ":10080", ":7946", 1)
	text := fmt.Sprintf("{ fleet: { listen: %q, socket: %q, expect: 3, folder: %q } }", at, socket, filepath.Join(dir, "kept"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FOLDSLIP_SETTINGS", settings)
	t.Setenv("ROUTER_NAME", "n7")
	s := begin(t, nil)
	ask := func(args ...string) string {
		out, _ := exec.Command(program, append([]string{"fleet"}, args...)...).CombinedOutput()
		return string(out)
	}
	for _, c := range []struct{ args, want string }{
		{"view", "n7 at " + at + ": alone, sees 1 of 3 (a MINORITY)"},
		{"view --json", `"minority":true`},
		{"members", "n7"},
		{"explain n7", "alive"},
		{"explain n8", `no gateway "n8" is known here`},
	} {
		if got := ask(append(strings.Fields(c.args), "--socket", socket)...); !strings.Contains(got, c.want) {
			t.Errorf("fleet %s: %s", c.args, got)
		}
	}
	if !strings.Contains(s.out.String(), "event=fleet_started name=n7") {
		t.Error("its start is not in the log")
	}
	if got := ask("view", "--socket", filepath.Join(dir, "none")); !strings.Contains(got, "see whether the gateway runs") {
		t.Error(got)
	}
}

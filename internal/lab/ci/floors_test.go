package ci

import (
	"go/token"
	"path"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "foldslip/"

// floors are the packages of the program from the top down, as docs/architecture.md draws them. A package stands with all below its path
// that are not named themselves. It imports from its own floor and those below.
var layers = [][]string{
	{"cmd", "internal/cli", "internal/gateway", "internal/simadapter", "client", "example"},
	{"internal/frontend", "internal/extproc", "internal/admin"},
	{"internal/upstream", "internal/discovery"},
	{"internal/fleet"},
	{"internal/route", "internal/limit", "internal/config", "internal/retry", "internal/telemetry"},
	{"internal/admission", "internal/purgelog", "internal/cacheregistry", "internal/linebuffer", "internal/store", "internal/warmstart",
		"internal/freshness"},
	{"internal/dispatch", "internal/policy", "internal/settings"},
	{"internal/env"},
}

// labFolder holds what only tests and the command lines use; it may import everything.
const labFolder = "internal/lab"

// layerOf is the floor of a package's folder, 0 the highest, or -1 if it has none.
func layerOf(folder string) int {
	for at := folder; at != "."; at = path.Dir(at) {
		for layer, names := range layers {
			for _, name := range names {
				if name == at {
					return layer
				}
			}
		}
	}
	return -1
}

func isLab(folder string) bool { return strings.HasPrefix(folder+"/", labFolder+"/") }

func isCommandLine(folder string) bool { return strings.HasPrefix(folder+"/", "internal/cli/") }

// checkImport tells what is wrong with an import of a package by another, or nothing.
func checkImport(from, to string) string {
	switch {
	case isLab(to) && !isLab(from) && !isCommandLine(from):
		return "imports the lab"
	case isLab(from) || isLab(to):
		return ""
	case layerOf(from) < 0:
		return "stands on no floor"
	case layerOf(to) < layerOf(from):
		return "imports from a floor above"
	}
	return ""
}

// TestImportsPointDown holds the packages to the floors of the architecture page.
func TestImportsPointDown(t *testing.T) {
	for _, file := range parseModule(t, token.NewFileSet()) {
		folder := path.Dir(file.path)
		for _, spec := range file.syntax.Imports {
			imported, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				t.Fatal(err)
			}
			to, isOwn := strings.CutPrefix(imported, modulePrefix)
			if !isOwn {
				continue
			}
			if fault := checkImport(folder, to); fault != "" {
				t.Errorf("%s: %s %s: %s", file.path, folder, fault, to)
			}
		}
	}
}

// TestImportsThatPointUpAreFound gives the check imports of each kind.
func TestImportsThatPointUpAreFound(t *testing.T) {
	for _, c := range []struct {
		from, to string
		allowed  bool
	}{
		{"internal/gateway", "internal/policy", true},
		{"internal/fleet/gossip", "internal/fleet/limits", true},
		{"internal/policy", "internal/dispatch", true},
		{"internal/env", "internal/policy", false},
		{"internal/extproc/extprocgrpc", "internal/gateway", false},
		{"internal/policy", "internal/lab/cost", false},
		{"internal/cli/rigcli", "internal/lab/fleet", true},
		{"internal/lab/fleet", "internal/gateway", true},
		{"internal/unknown", "internal/env", false},
	} {
		if fault := checkImport(c.from, c.to); (fault == "") != c.allowed {
			t.Errorf("%s imports %s: %q", c.from, c.to, fault)
		}
	}
}

package ci

import (
	"go/token"
	"path"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "foldslip/"

// layers lists the packages of the program from the highest layer to the lowest, as in
// docs/architecture.md. An entry includes the packages below its path, except those with an
// entry of their own. A package may import packages of its own layer and of lower layers.
var layers = [][]string{
	{"cmd", "internal/cli", "internal/gateway", "internal/simadapter", "client", "example"},
	{"internal/frontend", "internal/extproc", "internal/admin"},
	{"internal/upstream", "internal/discovery"},
	{"internal/fleet"},
	{"internal/route", "internal/limit", "internal/config", "internal/retry", "internal/telemetry"},
	{"internal/admission", "internal/purgelog", "internal/cacheregistry", "internal/linebuffer", "internal/fairshare", "internal/store", "internal/warmstart",
		"internal/freshness"},
	{"internal/dispatch", "internal/policy", "internal/settings"},
	{"internal/env"},
}

// labFolder contains packages that only tests and the command lines use. They may import any package.
const labFolder = "internal/lab"

// layerOf returns the layer of a package's folder. The highest layer is 0. It returns -1 for a folder without a layer.
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

// isLab reports whether a folder is in the lab.
func isLab(folder string) bool { return strings.HasPrefix(folder+"/", labFolder+"/") }

// isCommandLine reports whether a folder is in internal/cli.
func isCommandLine(folder string) bool { return strings.HasPrefix(folder+"/", "internal/cli/") }

// checkImport returns the problem with an import of the package to by the package from, or "" if there is none.
func checkImport(from, to string) string {
	switch {
	case isLab(to) && !isLab(from) && !isCommandLine(from):
		return "imports from the lab"
	case isLab(from) || isLab(to):
		return ""
	case layerOf(from) < 0:
		return "has no layer, yet imports"
	case layerOf(to) < layerOf(from):
		return "imports from a higher layer"
	}
	return ""
}

// TestImportsPointDown checks that no package imports a package of a higher layer.
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

// TestImportsThatPointUpAreFound checks checkImport with allowed and forbidden imports of each kind.
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
			t.Errorf("import by %s of %s: got problem %q", c.from, c.to, fault)
		}
	}
}

// Package ci tests the scripts that check every commit.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Each made-up test leaves a mark in its package's folder, so that what ran can be told from what was passed over.
const made = `package PACKAGE

import (
	"os"
	"testing"
)

func mark(t *testing.T) {
	if err := os.WriteFile("ran-"+t.Name(), nil, 0o644); err != nil {
		t.Fatal(err)
	}
}
`

const red = `
func TestRed(t *testing.T) { mark(t); t.Error("red") }
`

const green = `
func TestRed(t *testing.T) { mark(t) }
`

const besides = `
func TestRedder(t *testing.T) { mark(t) }

func TestOuter(t *testing.T) { t.Run("TestRed", func(t *testing.T) { os.WriteFile("ran-inner", nil, 0o644) }) }
`

const alsoRed = `
func TestAlsoRed(t *testing.T) { mark(t); t.Error("red too") }
`

const line = "made/one.TestRed | go test ./one -run TestRed, seed 4 | its answer comes late | issue 7\n"

// module is a small module that has the script, and packages by name with the source of their tests.
func module(t *testing.T, packages map[string]string) string {
	t.Helper()
	root := t.TempDir()
	script, err := os.ReadFile("../../../.ci/known-red")
	if err != nil {
		t.Fatal(err)
	}
	write(t, filepath.Join(root, ".ci", "known-red"), string(script))
	write(t, filepath.Join(root, "go.mod"), "module made\n\ngo 1.26\n")
	for name, tests := range packages {
		source := strings.Replace(made, "PACKAGE", name, 1) + tests
		write(t, filepath.Join(root, name, name+"_test.go"), source)
	}
	return root
}

func write(t *testing.T, path, content string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o755); err != nil {
		t.Fatal(err)
	}
}

// check runs the script with what KNOWN-RED.txt holds: whether it passed, what it printed, and the marks of the tests that ran.
func check(t *testing.T, root, known string) (passed bool, printed string, ran []string) {
	t.Helper()
	write(t, filepath.Join(root, "KNOWN-RED.txt"), known)
	return run(t, root)
}

func run(t *testing.T, root string) (passed bool, printed string, ran []string) {
	t.Helper()
	command := exec.Command("bash", filepath.Join(root, ".ci", "known-red"))
	command.Env = append(os.Environ(), "GOPROXY=off", "GOFLAGS=-count=1", "GOWORK=off", "GOTOOLCHAIN=local")
	out, err := command.CombinedOutput()
	if _, exit := err.(*exec.ExitError); err != nil && !exit {
		t.Fatal(err)
	}
	marks, _ := filepath.Glob(filepath.Join(root, "*", "ran-*"))
	for _, mark := range marks {
		name, _ := filepath.Rel(root, mark)
		ran = append(ran, strings.Replace(filepath.ToSlash(name), "/ran-", ".", 1))
		if err := os.Remove(mark); err != nil {
			t.Fatal(err)
		}
	}
	slices.Sort(ran)
	return err == nil, string(out), ran
}

func TestNothingKnownRed(t *testing.T) {
	root := module(t, map[string]string{"one": green + besides, "two": green})
	all := []string{"one.TestRed", "one.TestRedder", "one.inner", "two.TestRed"}
	passed, printed, ran := run(t, root)
	if !passed || strings.Contains(printed, "known red") || !slices.Equal(ran, all) {
		t.Errorf("no file: passed %v, ran %v, printed\n%s", passed, ran, printed)
	}
	for _, known := range []string{"", "\n \n"} {
		passed, printed, ran := check(t, root, known)
		if !passed || strings.Contains(printed, "known red") || !slices.Equal(ran, all) {
			t.Errorf("%q: passed %v, ran %v, printed\n%s", known, passed, ran, printed)
		}
	}
	root = module(t, map[string]string{"one": red})
	if passed, printed, _ := run(t, root); passed {
		t.Errorf("a red test with no file passed:\n%s", printed)
	}
	if passed, printed, _ := check(t, root, ""); passed {
		t.Errorf("a red test with an empty file passed:\n%s", printed)
	}
}

func TestOneKnownRed(t *testing.T) {
	root := module(t, map[string]string{"one": red + besides, "two": green})
	for range 2 {
		passed, printed, ran := check(t, root, line)
		if !passed || !strings.Contains(printed, "known red, passed over: "+line) {
			t.Errorf("passed %v, printed\n%s", passed, printed)
		}
		if want := []string{"one.TestRedder", "one.inner", "two.TestRed"}; !slices.Equal(ran, want) {
			t.Errorf("ran %v, want %v", ran, want)
		}
	}
	if passed, printed, _ := check(t, root, strings.TrimSpace(line)); !passed {
		t.Errorf("with no newline at the end:\n%s", printed)
	}
}

func TestAnotherRedStillFails(t *testing.T) {
	for where, packages := range map[string]map[string]string{
		"same package":               {"one": red + alsoRed, "two": green},
		"another package":            {"one": red, "two": alsoRed},
		"same name, another package": {"one": red, "two": red},
	} {
		passed, printed, ran := check(t, module(t, packages), line)
		if passed || !strings.Contains(printed, "--- FAIL: ") {
			t.Errorf("%s: passed %v, printed\n%s", where, passed, printed)
		}
		if slices.Contains(ran, "one.TestRed") || len(ran) == 0 {
			t.Errorf("%s: ran %v", where, ran)
		}
	}
}

func TestThreeKnownRed(t *testing.T) {
	root := module(t, map[string]string{"one": red + alsoRed + besides, "two": red})
	known := line + "made/one.TestAlsoRed | go test ./one, no seed | not found yet | issue 7\n" +
		"made/two.TestRed | bin/foldslip faults run --seeds 3-4 | one more | issue 12\n"
	passed, printed, ran := check(t, root, known)
	if !passed || strings.Count(printed, "known red, passed over: ") != 3 {
		t.Errorf("passed %v, printed\n%s", passed, printed)
	}
	if want := []string{"one.TestRedder", "one.inner"}; !slices.Equal(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
}

func TestTheFileIsWrong(t *testing.T) {
	root := module(t, map[string]string{"one": red + alsoRed + besides, "two": red + alsoRed})
	const command = "go test ./one, seed 1"
	entry := func(fields ...string) string { return strings.Join(fields, " | ") + "\n" }
	four := line + entry("made/one.TestAlsoRed", command, "a", "issue 1") + entry("made/two.TestRed", command, "b", "issue 2") +
		entry("made/two.TestAlsoRed", command, "c", "issue 3")
	const malformed = "not 'PACKAGE.TestName | command and seed | what was seen | issue N'"
	for _, wrong := range []struct{ known, says string }{
		{four, "4 lines, three at most"},
		{"made/one.TestRed |  | its answer comes late | issue 7\n", "no command"},
		{entry("made/one.TestRed", "run it, seed 4", "its answer comes late", "issue 7"), "no command"},
		{entry("made/one.TestRed", "go test", "its answer comes late", "issue 7"), "no command"},
		{entry("made/one.TestRed", "go test ./one", "its answer comes late", "issue 7"), "does not say its seed"},
		{"made/one.TestRed | " + command + " |  | issue 7\n", "nothing that was seen"},
		{entry("made/one.TestRed", "issue 7"), malformed},
		{entry("made/one.TestRed", "its answer comes late", "issue 7"), malformed},
		{entry("made/one.TestRed", command, "its answer comes late", "and later", "issue 7"), malformed},
		{entry("made/one.TestRed", command, "its answer comes late"), malformed},
		{"made/one.TestRed | " + command + " | its answer comes late |\n", "no issue"},
		{entry("made/one.TestRed", command, "its answer comes late", "issue"), "no issue"},
		{entry("made/one.TestRed", command, "its answer comes late", "issue 7 and more"), "no issue"},
		{"made/one.TestRed\n", malformed},
		{line + line, "named twice"},
		{line + entry("made/one.TestRed", command, "another cause", "issue 8"), "named twice"},
		{entry("TestRed", command, "its answer comes late", "issue 7"), "no full name"},
		{entry("made/one.TestR.*", command, "a pattern", "issue 7"), "no full name"},
		{entry("made/one.TestOuter/TestRed", command, "a subtest", "issue 7"), "no full name"},
		{entry("made/one.TestRe", command, "the start of a name", "issue 7"), "matches 0 tests"},
		{entry("made/one.TestGone", command, "its answer comes late", "issue 7"), "matches 0 tests"},
		{entry("made/three.TestRed", command, "its answer comes late", "issue 7"), "no such package"},
		{entry("made/... .TestRed", command, "all packages", "issue 7"), "no full name"},
		{entry("made/....TestRed", command, "all packages", "issue 7"), "no such package"},
		{line + entry("made/two.TestGone", command, "one good line before it", "issue 7"), "matches 0 tests"},
	} {
		passed, printed, ran := check(t, root, wrong.known)
		if passed || !strings.Contains(printed, wrong.says) || len(ran) > 0 {
			t.Errorf("%q: passed %v, ran %v, printed\n%s", wrong.known, passed, ran, printed)
		}
	}
}

// A package and its outside tests may each have a test of one name: the line would pass over both.
func TestANameOfTwoTests(t *testing.T) {
	root := module(t, map[string]string{"one": red})
	write(t, filepath.Join(root, "one", "outside_test.go"), "package one_test\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) {}\n")
	if passed, printed, ran := check(t, root, line); passed || !strings.Contains(printed, "matches 2 tests") || len(ran) > 0 {
		t.Errorf("passed %v, ran %v, printed\n%s", passed, ran, printed)
	}
}

func TestCIRunsTheScript(t *testing.T) {
	script, err := os.ReadFile("../../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(script), "\n")
	if !slices.Contains(lines, ".ci/known-red") {
		t.Error(".ci/run does not run .ci/known-red")
	}
	for _, line := range lines {
		if strings.HasPrefix(strings.TrimSpace(line), "go test") {
			t.Errorf(".ci/run runs tests past the script: %s", line)
		}
	}
}

package simadapter

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestFrozenSession plays recorded lines of the simulator, every event among them: testdata/session.out holds what an earlier build wrote.
func TestFrozenSession(t *testing.T) {
	in, err := os.ReadFile("testdata/session.in")
	if err != nil {
		t.Fatal(err)
	}
	got, err := serve(string(in))
	if err != nil {
		t.Fatal(err)
	}
	compareWithFile(t, "testdata/session.out", got)
}

// TestFrozenActions compares the line of each action that the adapter writes.
func TestFrozenActions(t *testing.T) {
	var got strings.Builder
	out := bufio.NewWriter(&got)
	g := &gateway{name: "gateway/3", out: out}
	g.SubscribeEndpoints(true)
	g.SubscribeEndpoints(false)
	g.SetTimer(10000, 1)
	g.Log("two  words\nand a\tline ")
	g.Log("")
	g.recoverFault(func() { panic("a fault\nof the module") })
	out.Flush()
	compareWithFile(t, "testdata/actions.out", got.String())
}

// TestFrozenRefusals compares the errors for lines that can't be read; | stands for a line's end.
func TestFrozenRefusals(t *testing.T) {
	texts, err := os.ReadFile("testdata/refused.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for text := range strings.Lines(string(texts)) {
		out, err := serve(strings.ReplaceAll(text, "|", "\n"))
		reason, _, _ := strings.Cut(fmt.Sprint(err), " json: ") // the library's part names Go types
		fmt.Fprintf(&got, "%q %s\n", out, reason)
	}
	compareWithFile(t, "testdata/refused.errors.txt", got.String())
}

func compareWithFile(t *testing.T, path, got string) {
	t.Helper()
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs; got:\n%s\nwant:\n%s", path, got, want)
	}
}

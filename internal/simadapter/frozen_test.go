package simadapter

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"foldslip/internal/lab/frozen"
)

// TestFrozenSession guards against changes of the protocol. It replays recorded input of the simulator, which
// contains every kind of event, and compares the output with testdata/session.out, which an earlier build wrote.
func TestFrozenSession(t *testing.T) {
	in := frozen.Read(t, "session.in")
	got, err := serve(string(in))
	if err != nil {
		t.Fatal(err)
	}
	frozen.Equal(t, "session.out", []byte(got))
}

// TestFrozenActions compares the lines of the actions that name no lookup with testdata/actions.out.
func TestFrozenActions(t *testing.T) {
	var got strings.Builder
	out := bufio.NewWriter(&got)
	g := &gateway{name: "gateway/3", out: out}
	g.SubscribeEndpoints(true)
	g.SubscribeEndpoints(false)
	g.SetTimer(10000, 1)
	g.Log("two  words\nand a\tline ")
	g.Log("")
	g.run(func() { panic("a fault\nof the module") })
	out.Flush()
	frozen.Equal(t, "actions.out", []byte(got.String()))
}

// TestFrozenRefusals compares the errors for invalid input with
// testdata/refused.errors.txt. In testdata/refused.txt, | stands for a line end.
func TestFrozenRefusals(t *testing.T) {
	texts := frozen.Read(t, "refused.txt")
	var got strings.Builder
	for text := range strings.Lines(string(texts)) {
		out, err := serve(strings.ReplaceAll(text, "|", "\n"))
		reason, _, _ := strings.Cut(fmt.Sprint(err), " json: ") // the text of the JSON library names Go types
		fmt.Fprintf(&got, "%q %s\n", out, reason)
	}
	frozen.Equal(t, "refused.errors.txt", []byte(got.String()))
}

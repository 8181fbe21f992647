package extproc

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

// TestFrozenReplies compares the fields, statuses and texts that callers get with those that an earlier build sent.
func TestFrozenReplies(t *testing.T) {
	g, caches := env.NewSystem(io.Discard, slog.LevelInfo), &memory.Caches{}
	edge, origin := caches.Note("c0", "10.1.0.1:1000").Its, caches.Note("c1", "10.1.0.1:1001").Its
	its, err := settings.Read([]byte(`{"classes":[{"aim":1,"deadline":2,"effect":"idempotent"}],"ceilings":{"retry_after":true,"max_retry_after":2500000}}`))
	if err != nil {
		t.Fatal(err)
	}
	d := New(g, its, nil, caches, nil, nil, nil, Terms{})
	full := dispatch.Step{What: dispatch.Send, N: 2, To: edge, Source: origin, Rank: 3, How: policy.Join | policy.HeldOnly | policy.SourceSkip | policy.Renew,
		Patience: 1234567, Hush: 99, Oldest: 2500}
	bare := dispatch.Step{What: dispatch.Send, To: policy.NewCache("unknown"), Oldest: 1, How: policy.Renew}
	bare.Source = bare.To
	routed := &rollout.Pass{Version: 7}
	routed.Decided.Route = "films"
	var got strings.Builder
	reply := func(name string, r Reply) {
		fmt.Fprintf(&got, "%s: status %d %q wait %v ends %d %q\n", name, r.Status, r.Text, r.Wait, r.Ends, r.Ends.Error())
		for _, f := range r.Fields {
			fmt.Fprintf(&got, "  field %s=%q\n", f.Name, f.Value)
		}
		for _, f := range r.Send {
			fmt.Fprintf(&got, "  send %s=%q\n", f.Name, f.Value)
		}
	}
	reply("go", d.reply(retry.Say{What: retry.Go, Send: full, Of: &retry.Lookup{Pass: routed}}))
	reply("go without routes", d.reply(retry.Say{What: retry.Go, Send: bare, Of: &retry.Lookup{}}))
	for _, what := range []retry.What{retry.Accepted, retry.Again, retry.Nack, retry.Fail, retry.Twice, retry.Known, retry.Full, retry.Disorder} {
		reply(what.String(), d.reply(retry.Say{What: what, Wait: 1500 * time.Millisecond}))
	}
	for end := GoesOn; end <= Closing; end++ {
		fmt.Fprintf(&got, "end %d %s\n", end, end.Error())
	}
	fmt.Fprintln(&got, ErrFull, ErrTooLarge)
	compareWithFile(t, "testdata/replies.txt", got.String())
}

// TestFrozenReports reads reports of callers, one a line of testdata/reports.txt, as an earlier build read them.
func TestFrozenReports(t *testing.T) {
	texts, err := os.ReadFile("testdata/reports.txt")
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for text := range strings.Lines(string(texts)) {
		var get route.Get = func(name string) (value string, n int) {
			for _, f := range strings.Fields(text) {
				if v, ok := strings.CutPrefix(f, name+"="); ok {
					value = v
					n++
				}
			}
			return value, n
		}
		r := readReport(get)
		born := int64(0)
		if !r.born.IsZero() {
			born = r.born.UnixMilli()
		}
		fmt.Fprintf(&got, "outcome %d remark %d waited %d born %d tag %q same %v\n", r.how, r.remark, r.waited, born, r.tag, r.same)
	}
	compareWithFile(t, "testdata/reports.read.txt", got.String())
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

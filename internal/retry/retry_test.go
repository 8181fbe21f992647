package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

var (
	noon  = time.Unix(1764576000, 0)
	terms = Terms{Lookups: 4, Each: 3, AgainIn: 200 * time.Millisecond, Remember: 2 * time.Second}
)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func said(do Do) string {
	text := ""
	for _, x := range do.Tell {
		text += fmt.Sprintf("tell %d %d;", x.N, x.How)
	}
	for range do.Leave {
		text += "leave;"
	}
	for _, x := range do.Say {
		text += x.What.String() + ";"
	}
	return text
}

func want(t *testing.T, do Do, text string) {
	t.Helper()
	if got := said(do); got != text {
		t.Fatalf("%q, expected %q", got, text)
	}
}

func send(n int) dispatch.Step { return dispatch.Step{What: dispatch.Send, N: n} }

// asked opens a lookup whose first send is at its caller.
func asked(t *testing.T) (*Desk, *Stream, *Lookup) {
	t.Helper()
	d, on := New(terms), &Stream{Caller: "edge"}
	lk, do := d.Ask(at(0), on, "a", at(1000))
	want(t, do, "")
	want(t, d.Step(at(1), lk, send(0)), "go;")
	return d, on, lk
}

func TestDesk(t *testing.T) {
	t.Run("a send, its report, the answer", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.Report(at(10), on, policy.Satisfied, policy.Hit, 0), fmt.Sprintf("tell 0 %d;", policy.Satisfied))
		want(t, d.Step(at(10), lk, dispatch.Step{What: dispatch.Satisfied}), "accepted;")
		if d.Open() != 0 {
			t.Error(d.Open())
		}
	})
	t.Run("an ask read just before its stream's end and taken just after it: nothing begins", func(t *testing.T) {
		d, on := New(terms), &Stream{Caller: "edge"}
		want(t, d.End(at(1), on), "")
		lk, do := d.Ask(at(1), on, "a", at(1000))
		if want(t, do, ""); lk != nil || d.Open() != 0 {
			t.Error("it is open, and its client has gone")
		}
	})
	t.Run("a send that missed: the next one is told to the next ask, on another stream", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.Report(at(10), on, policy.Missed, policy.Untold, 0), fmt.Sprintf("tell 0 %d;", policy.Missed))
		want(t, d.Step(at(10), lk, send(1)), "again;")
		next := &Stream{Caller: "edge"}
		_, do := d.Ask(at(20), next, "a", at(1000))
		want(t, do, "go;")
		want(t, d.End(at(21), on), "")
	})
	t.Run("a send that failed and an end: told to the stream that waits", func(t *testing.T) {
		d, on, lk := asked(t)
		d.Report(at(10), on, policy.Errored, policy.Untold, 0)
		want(t, d.Step(at(11), lk, dispatch.Step{What: dispatch.Nacked, RetryIn: 5000}), "nack;")
		_, do := d.Ask(at(20), on, "a", at(1000)) // the same stream may go on, and hears the same end
		want(t, do, "nack;")
		if do.Say[0].Wait != 5*time.Millisecond {
			t.Error(do.Say[0].Wait)
		}
	})
	t.Run("the caller gives up halfway: its send may have run", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.End(at(10), on), fmt.Sprintf("tell 0 %d;", policy.Cancelled))
		want(t, d.Step(at(11), lk, send(1)), "")
		do, next := d.Tick(at(100))
		want(t, do, "")
		if next != at(211) {
			t.Error(next.Sub(noon))
		}
		do, _ = d.Tick(at(211))
		want(t, do, fmt.Sprintf("tell 1 %d;leave;", policy.NeverSent))
		if d.Open() != 0 || d.Odd["stream_ended_with_send"] != 1 || d.Odd["never_asked_again"] != 1 {
			t.Error(d.Open(), d.Odd)
		}
	})
	t.Run("it gives up before a word was said: the client has gone", func(t *testing.T) {
		d, on := New(terms), &Stream{Caller: "edge"}
		lk, _ := d.Ask(at(0), on, "a", at(1000))
		want(t, d.End(at(1), on), "leave;")
		want(t, d.Step(at(2), lk, send(0)), fmt.Sprintf("tell 0 %d;", policy.NeverSent)) // decided before that
		want(t, d.Step(at(2), lk, dispatch.Step{What: dispatch.Departed}), "")
	})
	t.Run("the same lookup twice", func(t *testing.T) {
		d, on, lk := asked(t)
		_, do := d.Ask(at(2), on, "a", at(1000))
		want(t, do, "disorder;")
		_, do = d.Ask(at(2), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, do, "twice;")
		other, do := d.Ask(at(2), &Stream{Caller: "kiosk"}, "a", at(1000))
		if want(t, do, ""); other == nil || other == lk {
			t.Error("another caller's lookup is another lookup")
		}
		d.Refused(other) // the router has that id open
		d.Report(at(3), on, policy.Satisfied, policy.Hit, 0)
		d.Step(at(3), lk, dispatch.Step{What: dispatch.Satisfied})
		_, do = d.Ask(at(4), &Stream{Caller: "edge"}, "a", at(1000))
		want(t, do, "known;")
		d.Tick(at(2004))
		if again, _ := d.Ask(at(2005), &Stream{Caller: "edge"}, "a", at(3000)); again == nil {
			t.Error("what ended long ago is not forgotten")
		}
	})
	t.Run("an answer and a cancel crossing", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.Step(at(5), lk, dispatch.Step{What: dispatch.Cancel, N: 0}), "") // it is at the caller
		want(t, d.Report(at(6), on, policy.Satisfied, policy.Hit, 0), fmt.Sprintf("tell 0 %d;", policy.Satisfied))
		want(t, d.Step(at(6), lk, dispatch.Step{What: dispatch.Satisfied}), "accepted;")
	})
	t.Run("a cancel of a send that nobody has asked for takes it back", func(t *testing.T) {
		d, on, lk := asked(t)
		d.Report(at(5), on, policy.Missed, policy.Untold, 0)
		d.Step(at(5), lk, send(1))
		want(t, d.Step(at(6), lk, dispatch.Step{What: dispatch.Cancel, N: 1}), fmt.Sprintf("tell 1 %d;", policy.NeverSent))
		_, do := d.Ask(at(7), on, "a", at(1000))
		want(t, do, "")
		want(t, d.Step(at(8), lk, send(2)), "go;")
	})
	t.Run("a caller that never reports: timed out with the lookup's time", func(t *testing.T) {
		d, _, lk := asked(t)
		do, _ := d.Tick(at(999))
		want(t, do, "")
		do, _ = d.Tick(at(1000))
		want(t, do, fmt.Sprintf("tell 0 %d;", policy.TimedOut))
		want(t, d.Step(at(1001), lk, dispatch.Step{What: dispatch.Failed}), "fail;")
	})
	t.Run("the gateway stops while a send is out, or decided and not asked for: its end is told, and the end of the lookup", func(t *testing.T) {
		d, on, lk := asked(t)
		want(t, d.Step(at(5), lk, dispatch.Step{What: dispatch.Failed}), fmt.Sprintf("tell 0 %d;fail;", policy.Cancelled))
		want(t, d.Report(at(6), on, policy.Satisfied, policy.Hit, 0), "disorder;")
		d, on, lk = asked(t)
		d.Report(at(5), on, policy.Missed, policy.Untold, 0)
		d.Step(at(5), lk, send(1))
		want(t, d.Step(at(6), lk, dispatch.Step{What: dispatch.Failed}), fmt.Sprintf("tell 1 %d;", policy.NeverSent))
	})
	t.Run("reports of nothing, twice, or of no known kind", func(t *testing.T) {
		d, on, _ := asked(t)
		want(t, d.Report(at(1), &Stream{Caller: "edge"}, policy.Satisfied, policy.Hit, 0), "disorder;")
		want(t, d.Report(at(2), on, 99, 77, -5), fmt.Sprintf("tell 0 %d;", policy.Errored))
		want(t, d.Report(at(3), on, policy.Satisfied, policy.Hit, 0), "disorder;")
	})
	t.Run("no more than so many open, of one caller and of all", func(t *testing.T) {
		d := New(terms)
		for i := range 3 {
			d.Ask(at(0), &Stream{Caller: "edge"}, fmt.Sprint(i), at(1000))
		}
		_, do := d.Ask(at(0), &Stream{Caller: "edge"}, "x", at(1000))
		want(t, do, "full;")
		if lk, _ := d.Ask(at(0), &Stream{Caller: "kiosk"}, "x", at(1000)); lk == nil {
			t.Error("one caller takes another's place")
		}
		_, do = d.Ask(at(0), &Stream{Caller: "third"}, "y", at(1000))
		want(t, do, "full;")
	})
}

// Whatever callers and router do in whatever order: a lookup's sends are told one at a time, each ends once and by its
// number, nothing is told to send after the end, the end is told once to one stream, and all is freed.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(terms)
		now := 0
		var streams []*Stream
		type seen struct {
			next int // number of the router's next send
			owed map[int]bool
			out  *Stream
			over bool // the router has ended it
			told bool
		}
		of, live := map[*Lookup]*seen{}, []*Lookup{}
		by := map[*Stream]*Lookup{}
		var apply func(do Do)
		apply = func(do Do) {
			for _, x := range do.Tell {
				s := of[x.Of]
				if !s.owed[x.N] {
					t.Fatalf("send %d ends twice or was never sent", x.N)
				}
				delete(s.owed, x.N)
				s.out = nil
				if x.How == policy.Satisfied && !s.over {
					s.over = true
					apply(d.Step(at(now), x.Of, dispatch.Step{What: dispatch.Satisfied, N: x.N}))
				}
			}
			for _, lk := range do.Leave {
				of[lk].over = true
			}
			for _, x := range do.Say {
				lk := by[x.To]
				switch s := of[lk]; x.What {
				case Go:
					if s.told || s.out != nil || !s.owed[x.Send.N] {
						t.Fatalf("told to send %d: told %v, out %v", x.Send.N, s.told, s.out != nil)
					}
					s.out = x.To
				case Accepted, Nack, Fail:
					if s != nil {
						s.told = true
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				var on *Stream
				if len(streams) > 0 && rapid.Bool().Draw(t, "old") {
					on = rapid.SampledFrom(streams).Draw(t, "stream")
				} else {
					on = &Stream{Caller: rapid.SampledFrom([]string{"edge", "kiosk"}).Draw(t, "caller")}
					streams = append(streams, on)
				}
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
				if on.its == nil {
					if known := d.by[on.Caller+" "+id]; known != nil {
						by[on] = known
					}
				}
				lk, do := d.Ask(at(now), on, id, at(now+500))
				if lk != nil {
					of[lk], by[on] = &seen{owed: map[int]bool{}}, lk
					live = append(live, lk)
				}
				apply(do)
			},
			"step": func(t *rapid.T) {
				if len(live) == 0 {
					t.Skip()
				}
				lk := rapid.SampledFrom(live).Draw(t, "lookup")
				s := of[lk]
				if s.over {
					t.Skip()
				}
				if len(s.owed) > 0 || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
					s.over = true
					apply(d.Step(at(now), lk, dispatch.Step{What: dispatch.Nacked}))
					return
				}
				s.owed[s.next] = true
				s.next++
				apply(d.Step(at(now), lk, send(s.next-1)))
			},
			"report": func(t *rapid.T) {
				if len(streams) == 0 {
					t.Skip()
				}
				on := rapid.SampledFrom(streams).Draw(t, "stream")
				apply(d.Report(at(now), on, rapid.SampledFrom([]policy.Ending{policy.Satisfied, policy.Missed, policy.Errored, 99}).Draw(t, "how"), policy.Untold, 0))
			},
			"end": func(t *rapid.T) {
				if len(streams) == 0 {
					t.Skip()
				}
				apply(d.End(at(now), rapid.SampledFrom(streams).Draw(t, "stream")))
			},
			"time": func(t *rapid.T) {
				now += rapid.IntRange(1, 400).Draw(t, "ms")
				do, _ := d.Tick(at(now))
				apply(do)
			},
			"": func(t *rapid.T) {
				n := 0
				for _, lk := range d.by {
					if lk.at != over {
						n++
					}
				}
				if n != d.open || len(d.by) > 2*terms.Lookups || d.ended.Len() > terms.Lookups {
					t.Fatalf("%d open, counted %d, %d known", n, d.open, len(d.by))
				}
			},
		})
		for _, on := range streams {
			apply(d.End(at(now), on))
		}
		for range 4 {
			now += 5000
			do, _ := d.Tick(at(now))
			apply(do)
			for _, lk := range live {
				if s := of[lk]; !s.over && len(s.owed) == 0 {
					s.over = true
					apply(d.Step(at(now), lk, dispatch.Step{What: dispatch.Failed}))
				}
			}
		}
		if d.open != 0 || len(d.by) != 0 || len(d.each) != 0 {
			t.Fatalf("%d open, %d known, %v", d.open, len(d.by), d.each)
		}
	})
}

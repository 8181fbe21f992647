package extproc

import (
	"strconv"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// Phase is what a message of a stream is about, in the order in which phases come.
type Phase int

const (
	RequestHeaders Phase = 1 + iota
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

// Message is a caller's message. Get reads its headers, and what else its wire tells, by the names of the table.
type Message struct {
	Phase        Phase
	Method, Path string
	Get          route.Get
	Size         int  // bytes on the wire
	Watch        bool // the caller tells and waits for no reply
}

// Ends are why a stream ends without a reply.
type Ends int

const (
	GoesOn Ends = iota
	Disorder
	TooMuch
	Silence
	Closing
)

var endsWords = [...]string{"", "a phase out of order: one request's headers, then its response's", "more than this caller may send",
	"a message was due and none came", "this door closes"}

func (e Ends) Error() string { return endsWords[e] }

// Reply is the answer to a message.
type Reply struct {
	Phase  Phase // that it answers
	Status int   // of a final answer to the caller's client; 0: go on
	Text   string
	Wait   time.Duration // when to come back; 0: not told
	Fields []Field       // more to set with a final answer
	Send   []Field       // a decision's, by All's order; an empty value is to be removed
	Ends   Ends          // the stream ends without a reply
}

// Field is a header by its full name.
type Field struct{ Name, Value string }

func final(status int, text string) Reply { return Reply{Status: status, Text: text} }

// All are the fields of a decision: what is not told is removed, so that no client sets it.
// Where routes are on, version and route are told too.
var All = []string{"cache", "addr", "send", "source", "rank", "oldest-ms", "mode", "wait-ms"}

var modes = []struct {
	bit  policy.How
	word string
}{{policy.Join, "j"}, {policy.HeldOnly, "h"}, {policy.SourceSkip, "n"}, {policy.Renew, "r"}}

// decision is a send in words.
func decision(s dispatch.Step, addr string) []Field {
	out := make([]Field, len(All))
	for i, name := range All {
		out[i].Name = Prefix + name
	}
	out[0].Value, out[1].Value, out[2].Value = s.To.Name, addr, strconv.Itoa(s.N)
	if s.Source != s.To {
		out[3].Value = s.Source.Name
	}
	out[4].Value = strconv.Itoa(s.Rank)
	if s.Oldest > 0 {
		out[5].Value = strconv.FormatInt(max(1, s.Oldest/1000), 10)
	}
	for _, m := range modes {
		if s.How&m.bit != 0 {
			if out[6].Value != "" {
				out[6].Value += "+"
			}
			out[6].Value += m.word
		}
	}
	out[7].Value = strconv.FormatFloat(float64(max(1, s.Patience))/1000, 'f', -1, 64)
	return out
}

// report is how a send ended, by its caller's word.
type report struct {
	how    policy.Ending
	remark policy.Remark
	waited policy.Micros
	born   time.Time // of the copy; zero: not told
	tag    string
	same   bool // the client's own copy holds
}

var words = map[string]policy.Ending{"hit": policy.Satisfied, "ok": policy.Satisfied, "valid": policy.Satisfied, "none": policy.Missed,
	"shed": policy.TurnedAway, "fault": policy.Errored, "late": policy.NeverSent, "timeout": policy.TimedOut,
	"unconnected": policy.Unconnected, "reset": policy.Reset}

var notes = map[string]policy.Remark{"hit": policy.Hit, "filled": policy.Filled, "via_origin": policy.FilledFromOrigin, "joined": policy.Joined,
	"stale": policy.Aged, "src_refused": policy.SourceRefused, "src_broke": policy.SourceLost, "src_lacks": policy.SourceLacks,
	"no_slot": policy.NoFillPlace, "origin_failed": policy.OriginFailed}

// readReport reads how a send ended: the cache's own word, else what the status says. A word that is not known may have run.
func readReport(get route.Get) (r report) {
	word, n := get(Prefix + "end")
	code, _ := get(":status")
	how, known := words[word]
	switch {
	case n > 0 && !known:
		r.how = policy.Errored
	case n > 0:
		r.how = how
	case code == "200" || code == "304":
		r.how = policy.Satisfied
	case code == "504":
		r.how = policy.TimedOut
	default:
		r.how = policy.Errored
	}
	r.same = word == "valid" || code == "304"
	note, _ := get(Prefix + "note")
	r.remark = notes[note]
	waited, _ := get(Prefix + "waited-ms")
	if ms, err := strconv.ParseFloat(waited, 64); err == nil && ms >= 0 && ms < 1e7 {
		r.waited = policy.Micros(ms * 1000)
	}
	born, _ := get(Prefix + "born")
	if ms, err := strconv.ParseInt(born, 10, 64); err == nil && ms > 0 {
		r.born = time.UnixMilli(ms)
	}
	r.tag, _ = get(Prefix + "ver")
	return r
}

// Tracer hears of each lookup's steps; it must not wait. Began is called under the door's lock.
type Tracer interface {
	Began(lk *retry.Lookup, get route.Get)
	Decided(lk *retry.Lookup, s dispatch.Step)
	Ended(lk *retry.Lookup, t retry.Tell)
}

type noTracer struct{}

func (noTracer) Began(*retry.Lookup, route.Get)       {}
func (noTracer) Decided(*retry.Lookup, dispatch.Step) {}
func (noTracer) Ended(*retry.Lookup, retry.Tell)      {}

// Trace has a tracer hear of the lookups to come; before Run.
func (d *Door) Trace(t Tracer) { d.trace = t }

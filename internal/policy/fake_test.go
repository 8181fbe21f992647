package policy

import (
	"fmt"
	"testing"
)

// fake is a host that notes what the router asks for.
type fake struct {
	t     *testing.T
	r     *Router
	now   Micros
	sends []sent
	said  []string
	wakes int
}

type sent struct {
	lk         *Lookup
	n          int
	to, source *Cache
	rank       int
	how        FetchMode
	oldest     Micros
}

func (f *fake) Fetch(lk *Lookup, to, source *Cache, rank int, how FetchMode, _, _, oldest Micros) {
	if lk.ended {
		f.t.Fatalf("sent for %s after its final answer", lk.ID)
	}
	f.sends = append(f.sends, sent{lk, len(lk.attempts) - 1, to, source, rank, how, oldest})
}
func (f *fake) say(v ...any)                    { f.said = append(f.said, fmt.Sprint(v...)) }
func (f *fake) CancelAttempt(lk *Lookup, n int) { f.say("cancel ", lk.ID, n) }
func (f *fake) Reject(lk *Lookup, _ Micros) {
	f.say("nack ", lk.ID)
}
func (f *fake) Fail(lk *Lookup)         { f.say("fail ", lk.ID) }
func (f *fake) SetTimer(Micros, int64)  { f.wakes++ }
func (f *fake) SubscribeEndpoints(bool) { f.say("subscribe") }
func (f *fake) Log(string)              {}

// play starts a router with three caches, two parents and an origin; charter changes are made by the story.
func play(t *testing.T, change func(*Settings)) (*fake, []*Cache) {
	its := &Settings{Gateways: 2, ZoneGateways: []int{2}, ParentKind: 1, OriginKind: 2, CoalescesFills: true, ReportsFirstByte: true, ReportsHits: true,
		TransferKBPerSecond: 1000, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: second, SlowStartShare: 0.2,
		SlowStartTime: 10 * second, BreakMultiple: 2, BreakWindow: second, ParentSlowStartShare: 0.1, ParentSlowStartTime: 20 * second,
		ParentBreakMultiple: 2, PurgeSettleTime: 6 * second, Kinds: []ObjectKind{
			{LatencyBudget: 400 * millisecond, BudgetStretch: 1.5, Deadline: 5 * second, Utility: 2, DedupWindow: 5 * second},
			{LatencyBudget: 300 * millisecond, BudgetStretch: 2, Deadline: 3 * second, Utility: 1, MaxAge: 8 * second, DedupWindow: 5 * second}}}
	if change != nil {
		change(its)
	}
	f := &fake{t: t, now: 100 * second}
	f.r = NewRouter(f.now, 7, its, f)
	var all []*Cache
	var rows []Endpoint
	for i, kind := range []int{0, 0, 0, 1, 1, 2} {
		c := NewCache(fmt.Sprint("c", i))
		all = append(all, c)
		rows = append(rows, Endpoint{Cache: c, Kind: kind, Cell: i, Zone: min(kind, 1), Weight: 1})
	}
	f.r.UpdateEndpoints(f.now, UpdateCached, rows)
	return f, all
}

// ask brings a lookup of 100 ms of sending time.
func (f *fake) ask(kind int, object string) *Lookup {
	return f.askSized(kind, object, 100)
}

func (f *fake) askSized(kind int, object string, kb float64) *Lookup {
	name := fmt.Sprint("lk", len(f.sends), "-", object, "-", f.now)
	return f.r.StartLookup(f.now, name, kind, object, 0, 3, kb, f.now+3*second, false, false)
}

func (f *fake) last() sent { return f.sends[len(f.sends)-1] }

func (f *fake) end(s sent, e AttemptOutcome, remark OutcomeDetail, took Micros) {
	f.r.AttemptEnded(f.now, s.lk, s.n, e, remark, took, took, e == OutcomeSatisfied)
}

// pass lets time go by in sweeps.
func (f *fake) pass(span Micros) {
	for till := f.now + span; f.now < till; {
		f.now += sweepInterval
		f.r.TimerFired(f.now, timerSweep)
	}
}

func (f *fake) relist(c *Cache, state EndpointState, started Micros) {
	row := c.Endpoint
	row.Cache, row.State, row.StartedAt = c, state, started
	f.r.UpdateEndpoints(f.now, UpdateDelta, []Endpoint{row})
}

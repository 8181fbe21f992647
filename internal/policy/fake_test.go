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
	how        How
	oldest     Micros
}

func (f *fake) Fetch(lk *Lookup, to, source *Cache, rank int, how How, _, _, oldest Micros) {
	if lk.over {
		f.t.Fatalf("sent for %s after its final answer", lk.Door)
	}
	f.sends = append(f.sends, sent{lk, len(lk.sends) - 1, to, source, rank, how, oldest})
}
func (f *fake) say(v ...any)             { f.said = append(f.said, fmt.Sprint(v...)) }
func (f *fake) Cancel(lk *Lookup, n int) { f.say("cancel ", lk.Door, n) }
func (f *fake) Nack(lk *Lookup, _ Micros) {
	f.say("nack ", lk.Door)
}
func (f *fake) Fail(lk *Lookup)    { f.say("fail ", lk.Door) }
func (f *fake) Wake(Micros, int64) { f.wakes++ }
func (f *fake) Subscribe(bool)     { f.say("subscribe") }
func (f *fake) Log(string)         {}

// play starts a router with three caches, two parents and an origin; charter changes are made by the story.
func play(t *testing.T, change func(*Charter)) (*fake, []*Cache) {
	its := &Charter{Gateways: 2, Seats: []int{2}, ParentKind: 1, OriginKind: 2, Joins: true, FirstByteTold: true, HitsTold: true,
		FlowKB: 1000, SendLimit: 6, Cancelling: true, MaxRetryIn: second, ColdShare: 0.2,
		ColdFor: 10 * second, FallMultiple: 2, FallFor: second, ParentColdShare: 0.1, ParentColdFor: 20 * second,
		ParentFall: 2, PurgeDone: 6 * second, Kinds: []ObjectKind{
			{Budget: 400 * ms, Stretch: 1.5, GiveUp: 5 * second, Utility: 2, Memory: 5 * second},
			{Budget: 300 * ms, Stretch: 2, GiveUp: 3 * second, Utility: 1, Fresh: 8 * second, Memory: 5 * second}}}
	if change != nil {
		change(its)
	}
	f := &fake{t: t, now: 100 * second}
	f.r = Start(f.now, 7, its, f)
	var all []*Cache
	var rows []Row
	for i, kind := range []int{0, 0, 0, 1, 1, 2} {
		c := NewCache(fmt.Sprint("c", i))
		all = append(all, c)
		rows = append(rows, Row{Cache: c, Kind: kind, Cell: i, Zone: min(kind, 1), Weight: 1})
	}
	f.r.Listed(f.now, CachedList, rows)
	return f, all
}

// ask brings a lookup of 100 ms of sending time.
func (f *fake) ask(kind int, object string) *Lookup {
	return f.askSized(kind, object, 100)
}

func (f *fake) askSized(kind int, object string, kb float64) *Lookup {
	name := fmt.Sprint("lk", len(f.sends), "-", object, "-", f.now)
	return f.r.Arrive(f.now, name, kind, object, 0, 3, kb, f.now+3*second, false, false)
}

func (f *fake) last() sent { return f.sends[len(f.sends)-1] }

func (f *fake) end(s sent, e Ending, remark Remark, took Micros) {
	f.r.Ended(f.now, s.lk, s.n, e, remark, took, took, e == Satisfied)
}

// pass lets time go by in sweeps.
func (f *fake) pass(span Micros) {
	for till := f.now + span; f.now < till; {
		f.now += sweepEvery
		f.r.Woken(f.now, sweep)
	}
}

func (f *fake) relist(c *Cache, state State, started Micros) {
	row := c.Row
	row.Cache, row.State, row.Started = c, state, started
	f.r.Listed(f.now, Changes, []Row{row})
}

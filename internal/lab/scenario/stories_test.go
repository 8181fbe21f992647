package scenario

import (
	"fmt"
	"testing"
	"time"
)

// tell plays a story for some seeds; happened tells whether what it is about did happen.
func tellStory(t *testing.T, faults []Fault, look func(seed uint64) (Look, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	met := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := Draw(seed, "calm")
		p.Seconds, p.Faults, p.Rate = 12, faults, 12
		l, happened := look(seed)
		r, err := Play(p, l)
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 {
			t.Errorf("seed %d: %s", seed, r.Broken[0])
			for _, line := range r.Story {
				t.Log(line)
			}
		}
		if happened(r) {
			met++
		}
	}
	if met == 0 {
		t.Error("what the story is about never happened")
	}
}

func faultsOnly(happened func(r Result) bool) func(uint64) (Look, func(Result) bool) {
	return func(uint64) (Look, func(Result) bool) { return Look{}, happened }
}

// once drains the cache of a send at one place of the send's way, in the very instant.
func once(place func(l *Look, drain func(d *Day, cache string))) func(uint64) (Look, func(Result) bool) {
	return func(uint64) (Look, func(Result) bool) {
		var l Look
		drained := ""
		place(&l, func(d *Day, id string) {
			if c := d.byID[id]; drained == "" && d.w.Now() > 4*time.Second && c != nil && c.flavor == "edge" && c.free() {
				drained = id
				c.phase = "draining"
				d.drained(c, "draining", 0)
				d.after(6*time.Second, func() { c.say("removed", 0); d.after(100*time.Millisecond, func() { c.fall(false) }) })
			}
		})
		return l, func(Result) bool { return drained != "" }
	}
}

func TestStories(t *testing.T) {
	t.Run("a drain told between a send's decision and its first byte", func(t *testing.T) {
		tellStory(t, nil, once(func(l *Look, drain func(*Day, string)) {
			l.decided = func(d *Day, _ *life, to string) { drain(d, to) }
		}))
	})
	t.Run("a drain told while the send is on the wire", func(t *testing.T) {
		tellStory(t, nil, once(func(l *Look, drain func(*Day, string)) {
			l.sent = func(d *Day, k *cacheConn, _ *do) { drain(d, k.c.id) }
		}))
	})
	t.Run("a drain told while the answer is written", func(t *testing.T) {
		tellStory(t, nil, once(func(l *Look, drain func(*Day, string)) {
			l.answering = func(d *Day, q *do) { drain(d, q.k.c.id) }
		}))
	})
	t.Run("nearly half of the gateways die in the instant of a purge, with a slow origin", func(t *testing.T) {
		tellStory(t, []Fault{{At: 3000, Kind: "origin_slow", For: 9000, More: 40}, {At: 5000, Kind: "gateway_half", For: 800},
			{At: 5000, Kind: "purge_group"}, {At: 5000, Kind: "purge_object"}},
			faultsOnly(func(r Result) bool { return r.Ends["gateway gone"] > 0 }))
	})
	t.Run("a purge told between an answer's first and last byte", func(t *testing.T) {
		tellStory(t, nil, func(uint64) (Look, func(Result) bool) {
			n := 0
			return Look{answering: func(d *Day, q *do) {
				if sizeOf(q.object, q.part) > 10000 && n < 20 {
					n++
					d.after(300*time.Microsecond, func() { d.purge(q.object, 0) })
				}
			}}, func(Result) bool { return n > 0 }
		})
	})
	t.Run("a cache resets after the last byte of a send and before its answer", func(t *testing.T) {
		tellStory(t, nil, func(uint64) (Look, func(Result) bool) {
			n := 0
			return Look{sent: func(d *Day, k *cacheConn, q *do) {
				if n++; n%15 == 0 {
					d.after(time.Millisecond, func() { k.e.Reset(); k.over(false) })
				}
			}}, func(r Result) bool { return r.Reasons["cache_closed reset"] > 5 }
		})
	})
	t.Run("a client resets after the last byte of its lookup and before the answer", func(t *testing.T) {
		tellStory(t, nil, func(uint64) (Look, func(Result) bool) {
			n := 0
			return Look{taken: func(d *Day, a *ask) {
				if n++; n%9 == 0 {
					d.after(0, func() { a.c.shut("client left") })
				}
			}}, func(r Result) bool { return r.Ends["client left"] > 5 }
		})
	})
	t.Run("SIGTERM amid a burst", func(t *testing.T) {
		tellStory(t, []Fault{{At: 4000, Kind: "burst", For: 3000}, {At: 5000, Kind: "gateway_restart"}},
			faultsOnly(func(r Result) bool { return r.Reasons["stopping"] > 3 && r.Reasons["client_closed stopping"] > 0 }))
	})
	t.Run("SIGHUP in a bulletin break", func(t *testing.T) {
		tellStory(t, []Fault{{At: 4000, Kind: "bulletin_break"}, {At: 4000, Kind: "reload_good"}, {At: 4000, Kind: "purge_object"},
			{At: 6000, Kind: "bulletin_gone", For: 2000}, {At: 6000, Kind: "reload_good"}, {At: 6100, Kind: "cache_drain", For: 1000}},
			faultsOnly(func(r Result) bool { return r.Reasons["reread"] > 3 }))
	})
	t.Run("time moves on while a write is blocked", func(t *testing.T) {
		tellStory(t, []Fault{{At: 3000, Kind: "cache_deaf", For: 4000}, {At: 4000, Kind: "cache_deaf", Who: 1, For: 4000},
			{At: 3000, Kind: "clients_mute", For: 8000}, {At: 5000, Kind: "burst", For: 2000}},
			faultsOnly(func(r Result) bool { return r.Reasons["cache_closed write_failed"] > 0 }))
	})
	two := []Fault{{At: 5000, Kind: "cache_kill", Who: 2, For: 700}, {At: 5000, Kind: "purge_object", More: 1},
		{At: 5000, Kind: "gateway_kill", Who: 1, For: 900}, {At: 5000, Kind: "bulletin_gone", For: 1500}}
	for i, a := range two {
		for _, b := range two[i+1:] {
			for n, order := range [][]Fault{{a, b}, {b, a}} {
				t.Run(fmt.Sprintf("two faults in one instant: %s and %s, %d", a.Kind, b.Kind, n), func(t *testing.T) {
					tellStory(t, order, faultsOnly(func(r Result) bool { return r.Lookups > 100 }))
				})
			}
		}
	}
}

// tellMorning plays a morning for some seeds; more tells what must be so beside the rules.
func tellMorning(t *testing.T, m Morning, faults []Fault, more func(r Result) string) {
	t.Helper()
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		p := Draw(seed, "calm")
		m := m
		if m.From == "" {
			m.From = "list"
		}
		p.Seconds, p.Morning, p.Faults = 30, &m, faults
		r, err := Play(p, Look{})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Broken) > 0 {
			t.Errorf("seed %d: %s", seed, r.Broken[0])
			continue
		}
		if text := more(r); text != "" {
			t.Errorf("seed %d: %s, %v, %+v", seed, text, r.Ends, r.Early)
		}
	}
}

func TestMornings(t *testing.T) {
	least := func(share float64) func(r Result) string {
		return func(r Result) string {
			if float64(r.Early.Satisfied) < share*float64(r.Early.Asked) {
				return fmt.Sprintf("under %.2f of the first lookups satisfied", share)
			}
			if r.Reasons["from_list"] == 0 {
				return "not started from the list"
			}
			return ""
		}
	}
	for _, story := range []struct {
		name string
		m    Morning
		more func(r Result) string
	}{
		{"a list a minute old, and all as it says", Morning{Age: 60}, least(0.97)},
		{"an hour old", Morning{Age: 3600}, least(0.97)},
		{"a month old", Morning{Age: 30 * 86400}, least(0.9)},
		{"half of it is wrong: gone, silent, strangers, other caches at old addresses", Morning{Age: 3600, Wrong: 0.5}, least(0.6)},
		{"all that it calls warm has just started", Morning{Age: 60, Wrong: 1, Cold: true}, least(0.5)},
		{"the clock that wrote it was two hours ahead", Morning{Age: 60, Skew: 7200}, least(0.9)},
		{"or two hours behind", Morning{Age: 60, Skew: -7200}, least(0.97)},
		{"the bulletin comes back with its numbers from 1", Morning{Age: 60, Away: 9000, Spans: true}, least(0.97)},
		{"the bulletin comes back, behind the list by a drain", Morning{Age: 60, Away: 3000, Behind: true}, least(0.97)},
		{"the last bytes of the list are torn", Morning{Age: 60, Torn: true, Away: 3000}, func(r Result) string {
			if r.Reasons["list_torn"]+r.Reasons["from_list"] == 0 {
				return "nothing was read"
			}
			return ""
		}},
		{"no list and no bulletin: all is nacked at once, until it speaks", Morning{From: "wait", Away: 9000}, func(r Result) string {
			if r.Reasons["no_list"] == 0 || r.Ends["503"] == 0 || r.Early.Satisfied == 0 {
				return "expected nacks first, then answers"
			}
			return ""
		}},
	} {
		t.Run(story.name, func(t *testing.T) { tellMorning(t, story.m, nil, story.more) })
	}
	t.Run("a drain told, then all gateways killed with or without their machines", func(t *testing.T) {
		tellMorning(t, Morning{Age: 60, Away: 1}, []Fault{{At: 5000, Kind: "cache_drain", Who: 1, For: 20000},
			{At: 9000, Kind: "gateway_kill", Who: 0, For: 1000}, {At: 9000, Kind: "gateway_kill", Who: 1, For: 1000}, {At: 9000, Kind: "gateway_kill", Who: 2, For: 1000},
			{At: 9100, Kind: "bulletin_gone", Who: 0, For: 12000}, {At: 9100, Kind: "bulletin_gone", Who: 1, For: 12000}}, func(r Result) string {
			if r.Reasons["from_list"] < 4 {
				return "nobody started from the list once more"
			}
			return ""
		})
	})
	t.Run("all gateways restart from their lists while all caches are cold", func(t *testing.T) {
		tellMorning(t, Morning{Age: 3600, Wrong: 1, Cold: true}, []Fault{{At: 1500, Kind: "gateway_kill", Who: 0, For: 500}, {At: 1500, Kind: "gateway_kill", Who: 1, For: 700},
			{At: 1500, Kind: "gateway_kill", Who: 2, For: 900}}, least(0.3))
	})
}

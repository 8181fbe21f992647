package scenario

import (
	"testing"
	"time"
)

// tellDoor plays a story at the door for some seeds; happened tells whether what it is about did happen.
func tellDoor(t *testing.T, faults []Fault, look func() (Look, func(r Result) bool)) {
	t.Helper()
	t.Parallel()
	met := 0
	for seed := uint64(1); seed <= 3; seed++ {
		p := Draw(seed, "door")
		p.Seconds, p.Gateways, p.Caches, p.Faults, p.Rate = 12, 3, 8, faults, 12
		l, happened := look()
		r, err := Play(p, l)
		if err != nil || len(r.Broken) > 0 {
			t.Errorf("seed %d: %v %v", seed, r.Broken, err)
		}
		if happened(r) {
			met++
		}
	}
	if met == 0 {
		t.Error("what the story is about never happened")
	}
}

func ends(word string, least int) func() (Look, func(r Result) bool) {
	return func() (Look, func(r Result) bool) {
		return Look{}, func(r Result) bool { return r.Ends[word] >= least }
	}
}

func TestDoorStories(t *testing.T) {
	all := func(kind string) []Fault { return []Fault{{At: 2000, Kind: kind, For: 9000}} }
	t.Run("the caller gives up halfway through a request", func(t *testing.T) { tellDoor(t, all("caller_leaves"), ends("client left", 5)) })
	t.Run("a caller that never reports", func(t *testing.T) { tellDoor(t, all("caller_mute"), ends("caller says nothing", 5)) })
	t.Run("a caller that lies about how sends ended", func(t *testing.T) { tellDoor(t, all("caller_lies"), ends("odd", 5)) })
	t.Run("a caller that does not read", func(t *testing.T) { tellDoor(t, all("caller_deaf"), ends("200", 100)) })
	t.Run("the same request on two streams, while a send is out and after it", func(t *testing.T) { tellDoor(t, all("caller_twice"), ends("200", 100)) })
	t.Run("one caller dies and comes back, the other goes on", func(t *testing.T) {
		tellDoor(t, []Fault{{At: 3000, Kind: "caller_dies"}, {At: 5000, Kind: "caller_dies", Who: 1}, {At: 5000, Kind: "burst", For: 2000}}, ends("caller gone", 1))
	})
	t.Run("a flood of another caller beside usual ones", func(t *testing.T) {
		tellDoor(t, []Fault{{At: 3000, Kind: "caller_flood", For: 4000}}, ends("200", 500))
	})
	t.Run("gateways' clocks step by seconds between the lives of gateways", func(t *testing.T) {
		tellDoor(t, []Fault{{At: 2000, Kind: "clock_step", For: 5000}, {At: 3000, Kind: "gateway_kill", For: 500}, {At: 5000, Kind: "purge_object"}}, ends("200", 100))
	})
	t.Run("SIGTERM amid a burst, with sends at their callers", func(t *testing.T) {
		tellDoor(t, []Fault{{At: 4000, Kind: "burst", For: 3000}, {At: 5000, Kind: "gateway_restart"}}, func() (Look, func(r Result) bool) {
			return Look{}, func(r Result) bool { return r.Reasons["stopping"] > 3 }
		})
	})
	// What is told between a decision and its caller's send: the send goes out as decided, within the grace.
	between := func(do func(d *Day, to string)) func() (Look, func(r Result) bool) {
		return func() (Look, func(r Result) bool) {
			n := 0
			return Look{begin: func(d *Day) {
					for _, p := range d.proxies { // each by itself: the order does not matter
						p.late = 1
					}
				}, decided: func(d *Day, _ *life, to string) {
					if d.w.Now() > 4*time.Second && n == 0 && d.byID[to].free() {
						n++
						do(d, to)
					}
				}},
				func(Result) bool { return n > 0 }
		}
	}
	t.Run("a drain between the decision and the caller's send", func(t *testing.T) {
		tellDoor(t, nil, between(func(d *Day, to string) {
			c := d.byID[to]
			c.phase = "draining"
			d.drained(c, "draining", 0)
		}))
	})
	t.Run("a purge between the decision and the caller's send", func(t *testing.T) {
		tellDoor(t, nil, between(func(d *Day, _ string) {
			for _, o := range []string{"s0", "s1", "p0", "p1"} {
				d.purge(o, 0)
			}
		}))
	})
}

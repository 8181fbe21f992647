package driver

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
)

// town is a fleet of carriers in one process; datagrams take a millisecond, unless their way is cut.
type town struct {
	mu   sync.Mutex
	ids  []view.ID
	all  map[string]*Carrier
	cut  map[string]bool // names that hear nobody and that nobody hears
	loss float64         // of datagrams
	luck *rand.Rand
	had  map[string]map[broadcast.Purge]int
	log  bytes.Buffer
	at   uint64
	stop chan struct{}
}

type house struct {
	*town
	name string
}

func (h house) Send(to string, b []byte) error {
	h.mu.Lock()
	c := h.all[to]
	off := h.cut[to] || h.cut[h.name] || h.loss > 0 && h.luck.Float64() < h.loss
	h.mu.Unlock()
	if c == nil {
		return errors.New("nobody there")
	}
	if !off {
		b = slices.Clone(b)
		time.AfterFunc(time.Millisecond, func() { c.Take(b) })
	}
	return nil
}

func (h house) LiveIDs() ([]view.ID, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ids), h.at
}

func (h house) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.at
}

// settle makes a town of so many gateways in three sites; its carriers run once it is told to.
func settle(n int) *town {
	t := &town{luck: rand.New(rand.NewPCG(1, 2)), all: map[string]*Carrier{}, cut: map[string]bool{}, had: map[string]map[broadcast.Purge]int{}, at: 1, stop: make(chan struct{})}
	log := slog.New(slog.NewTextHandler(&locked{t: t}, nil))
	for i := range n {
		id := view.ID{Name: fmt.Sprint("n", i), Stamp: uint64(i + 1), Place: view.Place{Region: "r", Zone: "z", Site: fmt.Sprint("s", i%3)}}
		t.ids = append(t.ids, id)
		t.all[id.Name] = t.open(id, log, uint64(i)+7)
	}
	return t
}

// open makes a carrier, with nothing had before.
func (t *town) open(id view.ID, log *slog.Logger, stamp uint64) *Carrier {
	had := map[broadcast.Purge]int{}
	t.had[id.Name] = had
	c := New(id.Name, id.Place, func(some []broadcast.Purge) {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, p := range some {
			had[p]++
		}
	}, log.With("on", id.Name), stamp, time.Now)
	c.Over(house{t, id.Name})
	return c
}

// lines are those of the log on one gateway, their modes alone.
func (t *town) lines(on string) (modes []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for line := range strings.Lines(t.log.String()) {
		if strings.Contains(line, "on="+on+" ") {
			_, mode, _ := strings.Cut(line, "mode=")
			mode, _, _ = strings.Cut(mode, " ")
			modes = append(modes, mode)
		}
	}
	return modes
}

// spread is what became of some purges: pairs of one and a gateway, those that counted there later than 4.5 s, and those that never did.
type spread struct{ pairs, late, missing int }

// latest takes what all carriers list as counted since the numbers in after, and keeps when each purge first did.
func (t *town) latest(began time.Time, seen map[string]map[broadcast.Purge]time.Duration, after map[string]uint64) {
	for name, c := range t.all {
		if seen[name] == nil {
			seen[name] = map[broadcast.Purge]time.Duration{}
		}
		r := c.Report(after[name])
		for _, h := range r.Latest {
			p := broadcast.Purge{Object: h.Object, Group: h.Group, Issued: h.Issued}
			at := time.Duration(h.AtMS)*time.Millisecond + c.began.Sub(began)
			if was, ok := seen[name][p]; !ok || at < was {
				seen[name][p] = at
			}
		}
		after[name] = r.Heeded
	}
}

// tell has purges told at a rate for some seconds, to watches by the function, then waits; all are looked for at all gateways.
func (t *town) tell(aSecond, seconds int, to func(p broadcast.Purge), wait time.Duration) (out spread) {
	began := time.Now()
	seen, after := map[string]map[broadcast.Purge]time.Duration{}, map[string]uint64{}
	var all []broadcast.Purge
	for i := range aSecond * seconds {
		p := purge(i)
		all = append(all, p)
		to(p)
		time.Sleep(time.Second / time.Duration(aSecond))
		if i%aSecond == 0 {
			t.latest(began, seen, after)
		}
	}
	for range wait / time.Second {
		time.Sleep(time.Second)
		t.latest(began, seen, after)
	}
	for name := range t.all {
		for _, p := range all {
			at, ok := seen[name][p]
			out.pairs++
			if !ok {
				out.missing++
			} else if at-time.UnixMilli(p.Issued).Sub(began) > 4500*time.Millisecond {
				out.late++
			}
		}
	}
	return out
}

type locked struct{ t *town }

func (l *locked) Write(b []byte) (int, error) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.t.log.Write(b)
}

func (t *town) run() (end func()) {
	var all sync.WaitGroup
	for _, c := range t.all {
		all.Go(func() { c.Run(t.stop) })
	}
	return func() {
		close(t.stop)
		all.Wait()
	}
}

func (t *town) heard(p broadcast.Purge) (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, had := range t.had {
		if had[p] > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// purge is one that is issued now: older ones go by reconciliation only, and such as are hours ahead of the clock are not kept.
func purge(i int) broadcast.Purge {
	return broadcast.Purge{Object: fmt.Sprintf("%016x", i+1), Issued: time.Now().UnixMilli()}
}

func TestCarrier(t *testing.T) {
	t.Run("a purge that one own watch told is heeded once by each other, within 4.5 s", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(12)
			defer town.run()()
			time.Sleep(time.Second)
			one := purge(1)
			town.all["n5"].Told([]broadcast.Purge{one})
			time.Sleep(4500 * time.Millisecond)
			if got := town.heard(one); len(got) != 11 || slices.Contains(got, "n5") {
				t.Errorf("heeded by %v", got)
			}
			for name, had := range town.had {
				if had[one] > 1 {
					t.Errorf("%s heeds it %d times", name, had[one])
				}
			}
		})
	})
	t.Run("a gateway that was cut off says in the log that it is behind, and that it is whole, and has lost nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(12)
			defer town.run()()
			time.Sleep(time.Second)
			town.mu.Lock()
			town.cut["n3"] = true
			town.mu.Unlock()
			var all []broadcast.Purge
			for i := range 3000 {
				all = append(all, purge(i))
				town.all["n5"].Told(all[i:])
				time.Sleep(20 * time.Millisecond)
			}
			town.mu.Lock()
			town.cut["n3"] = false
			town.mu.Unlock()
			time.Sleep(2 * time.Minute)
			for i, p := range all {
				if got := town.heard(p); len(got) != 11 {
					t.Fatalf("purge %d is lost: heeded by %v", i, got)
				}
			}
			if got := fmt.Sprint(town.lines("n3")); got != "[behind whole]" {
				t.Errorf("it says %s", got)
			}
			if got := town.log.String(); strings.Count(got, "\n") != 2 {
				t.Errorf("others say something: %s", got)
			}
		})
	})
	t.Run("datagrams of nobody known, and such that cannot be read, are counted and not logged", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(2)
			defer town.run()()
			time.Sleep(time.Second)
			c := town.all["n0"]
			key := func(name string) []byte {
				k := view.Key(name)
				b := []byte{broadcast.Kind}
				for range 8 {
					b, k = append(b, byte(k)), k>>8
				}
				return b
			}
			was := c.Report(0).Counts
			c.Take([]byte{broadcast.Kind})
			c.Take(append(key("n9"), 1, 2, 3))
			c.Take(append(key("n1"), broadcast.Kind, 255, 255, 255))
			time.Sleep(time.Second)
			now := c.Report(0).Counts
			if now.Unknown != was.Unknown+1 || now.Unreadable != was.Unreadable+2 {
				t.Errorf("%+v, before %+v", now, was)
			}
			if town.log.Len() > 0 {
				t.Error(town.log.String())
			}
		})
	})
	t.Run("what finds no room is dropped and counted: datagrams, and purges of the own watch", func(t *testing.T) {
		town := settle(2) // that does not run: all waits
		c := town.all["n0"]
		for range mostQueued + 3 {
			c.Take([]byte{broadcast.Kind})
		}
		c.Take(make([]byte, mostFrame+1))
		var told []broadcast.Purge
		for i := range mostTold + 5 {
			told = append(told, purge(i))
		}
		c.Told(told)
		c.Told(told[:2])
		if got := c.Report(0).Counts; got.Full != 4 || got.OwnDropped != 7 || len(c.in) != mostQueued || len(c.told) != mostTold {
			t.Errorf("%+v, %d and %d wait", got, len(c.in), len(c.told))
		}
	})
	t.Run("a peer that is live no more is sent nothing: counted, and the view's next version ends it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(4)
			gone := town.all["n2"]
			delete(town.all, "n2")
			defer town.run()()
			time.Sleep(time.Second)
			one := purge(1)
			town.all["n0"].Told([]broadcast.Purge{one})
			time.Sleep(5 * time.Second)
			total := func() (not uint64) {
				for _, c := range town.all {
					not += c.Report(0).Counts.NotSent
				}
				return not
			}
			if total() == 0 {
				t.Error("nothing was counted for who is not there")
			}
			town.mu.Lock()
			town.ids = slices.DeleteFunc(town.ids, func(id view.ID) bool { return id.Name == gone.self })
			town.at++
			town.mu.Unlock()
			time.Sleep(time.Second)
			was := total()
			time.Sleep(10 * time.Second)
			if now := total(); now != was {
				t.Errorf("%d more are sent to who is gone", now-was)
			}
			if got := town.heard(one); !strings.Contains(fmt.Sprint(got), "n1") || len(got) != 2 {
				t.Errorf("heeded by %v", got)
			}
		})
	})
	t.Run("a hundred a second that one own watch tells all hear within 4.5 s, each once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(36)
			defer town.run()()
			time.Sleep(time.Second)
			got := town.tell(100, 6, func(p broadcast.Purge) { town.all["n7"].Told([]broadcast.Purge{p}) }, 6*time.Second)
			if got != (spread{pairs: 36 * 600}) {
				t.Errorf("%+v", got)
			}
			for name, had := range town.had {
				for p, times := range had {
					if times > 1 {
						t.Fatalf("%s heeds %v %d times", name, p, times)
					}
				}
				if c := town.all[name].Report(0).Counts; c.Full+c.OwnDropped+c.NotSent+c.Unknown+c.Unreadable > 0 {
					t.Errorf("%s: %+v", name, c)
				}
			}
			if town.log.Len() > 0 {
				t.Error(town.log.String())
			}
		})
	})
	t.Run("where all own watches tell the same, few are said, and in one place", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(36)
			defer town.run()()
			time.Sleep(time.Second)
			got := town.tell(100, 6, func(p broadcast.Purge) {
				for _, c := range town.all {
					late := time.Duration(town.luck.Int64N(int64(300 * time.Millisecond)))
					time.AfterFunc(late, func() { c.Told([]broadcast.Purge{p}) })
				}
			}, 6*time.Second)
			if got != (spread{pairs: 36 * 600}) {
				t.Errorf("%+v", got)
			}
			var said, most uint64
			for _, c := range town.all {
				r := c.Report(0)
				said, most = said+r.Node.Said, max(most, r.Node.BytesIn+r.Node.BytesOut)
			}
			if said < 600 || said > 700 {
				t.Errorf("%d are said of 600", said)
			}
			if a := most / 13; a > uint64(broadcast.Usual.Rate) {
				t.Errorf("%d bytes a second at the busiest", a)
			}
		})
	})
	t.Run("a gateway that starts anew under a new stamp is heard at once, and learns what was told before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(12)
			end := town.run()
			time.Sleep(time.Second)
			old := purge(1)
			town.all["n0"].Told([]broadcast.Purge{old})
			time.Sleep(5 * time.Second)
			end()
			town.stop = make(chan struct{}) // all stand still for no time but n0, which is another process now
			town.mu.Lock()
			town.ids[0].Stamp, town.at = 100, town.at+1
			town.all["n0"] = town.open(town.ids[0], slog.New(slog.NewTextHandler(&locked{t: town}, nil)), 1000)
			town.mu.Unlock()
			defer town.run()()
			one := purge(2)
			town.all["n0"].Told([]broadcast.Purge{one})
			time.Sleep(4500 * time.Millisecond)
			if got := town.heard(one); len(got) != 11 {
				t.Errorf("heeded by %v", got)
			}
			time.Sleep(10 * time.Second)
			if !slices.Contains(town.heard(old), "n0") {
				t.Error("what was told before is lost at the new process")
			}
		})
	})
	t.Run("with one datagram in twenty lost all come, in time but a few, and it is no mode", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(36)
			town.loss = 0.05
			defer town.run()()
			time.Sleep(time.Second)
			got := town.tell(100, 6, func(p broadcast.Purge) { town.all["n7"].Told([]broadcast.Purge{p}) }, 20*time.Second)
			if got.missing > 0 || got.late > got.pairs/1000 {
				t.Errorf("%+v", got)
			}
			if got := town.log.String(); got != "" {
				t.Error(got)
			}
		})
	})
	t.Run("who asks for the latest gets those after a number, of the last ones that are kept", func(t *testing.T) {
		town := settle(1)
		c := town.all["n0"]
		for i := range mostLatest + 7 {
			c.Told([]broadcast.Purge{{Object: fmt.Sprint(i), Issued: 1}})
		}
		r := c.Report(0)
		if len(r.Latest) != mostLatest || r.Heeded != mostLatest+7 {
			t.Fatalf("%d of %d", len(r.Latest), r.Heeded)
		}
		for i, h := range r.Latest {
			if h.No != uint64(i+8) || h.Object != fmt.Sprint(i+7) || h.Peer {
				t.Fatalf("%d: %+v", i, h)
			}
		}
		if r := c.Report(mostLatest + 5); len(r.Latest) != 2 || r.Latest[0].No != mostLatest+6 {
			t.Errorf("%+v", r.Latest)
		}
		if r := c.Report(1 << 60); len(r.Latest) > 0 {
			t.Errorf("%+v", r.Latest)
		}
	})
	t.Run("while it is switched on gateway by gateway, those that have it on hear all, if later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(12)
			for _, name := range []string{"n0", "n1", "n2", "n4", "n8", "n11"} { // live, and without a carrier: nothing answers
				delete(town.all, name)
			}
			defer town.run()()
			time.Sleep(time.Second)
			got := town.tell(20, 6, func(p broadcast.Purge) { town.all["n7"].Told([]broadcast.Purge{p}) }, 30*time.Second)
			if got.missing > 0 {
				t.Errorf("%+v", got)
			}
			t.Logf("%+v", got)
		})
	})
}

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

// testFleet is a fleet of carriers in one process; datagrams take a millisecond, unless their way is cut.
type testFleet struct {
	mu       sync.Mutex
	ids      []view.ID
	drivers  map[string]*Driver
	isolated map[string]bool // names that hear nobody and that nobody hears
	loss     float64         // of datagrams
	rng      *rand.Rand
	received map[string]map[broadcast.Purge]int
	log      bytes.Buffer
	version  uint64
	stop     chan struct{}
}

type testEndpoint struct {
	*testFleet
	name string
}

func (h testEndpoint) Send(to string, b []byte) error {
	h.mu.Lock()
	c := h.drivers[to]
	off := h.isolated[to] || h.isolated[h.name] || h.loss > 0 && h.rng.Float64() < h.loss
	h.mu.Unlock()
	if c == nil {
		return errors.New("nobody there")
	}
	if !off {
		b = slices.Clone(b)
		time.AfterFunc(time.Millisecond, func() { c.HandleMessage(b) })
	}
	return nil
}

func (h testEndpoint) LiveIDs() ([]view.ID, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.ids), h.version
}

func (h testEndpoint) Version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

// newTestFleet makes a town of so many gateways in three sites; its carriers run once it is told to.
func newTestFleet(n int) *testFleet {
	t := &testFleet{rng: rand.New(rand.NewPCG(1, 2)), drivers: map[string]*Driver{}, isolated: map[string]bool{}, received: map[string]map[broadcast.Purge]int{}, version: 1, stop: make(chan struct{})}
	log := slog.New(slog.NewTextHandler(&lockedLog{t: t}, nil))
	for i := range n {
		id := view.ID{Name: fmt.Sprint("n", i), Incarnation: uint64(i + 1), Locality: view.Locality{Region: "r", Zone: "z", Site: fmt.Sprint("s", i%3)}}
		t.ids = append(t.ids, id)
		t.drivers[id.Name] = t.newDriver(id, log, uint64(i)+7)
	}
	return t
}

// newDriver makes a carrier, with nothing had before.
func (t *testFleet) newDriver(id view.ID, log *slog.Logger, stamp uint64) *Driver {
	had := map[broadcast.Purge]int{}
	t.received[id.Name] = had
	c := New(id.Name, id.Locality, func(some []broadcast.Purge) {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, p := range some {
			had[p]++
		}
	}, log.With("on", id.Name), stamp, time.Now)
	c.SetFleet(testEndpoint{t, id.Name})
	return c
}

// loggedModes are those of the log on one gateway, their modes alone.
func (t *testFleet) loggedModes(on string) (modes []string) {
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

// spreadResult is what became of some purges: pairs of one and a gateway, those that counted there later than 4.5 s, and those that never did.
type spreadResult struct{ pairs, late, missing int }

// collectApplied takes what all carriers list as counted since the numbers in after, and keeps when each purge first did.
func (t *testFleet) collectApplied(began time.Time, seen map[string]map[broadcast.Purge]time.Duration, after map[string]uint64) {
	for name, c := range t.drivers {
		if seen[name] == nil {
			seen[name] = map[broadcast.Purge]time.Duration{}
		}
		r := c.Report(after[name])
		for _, h := range r.Latest {
			p := broadcast.Purge{Object: h.Object, Group: h.Group, Issued: h.Issued}
			at := time.Duration(h.AtUptimeMS)*time.Millisecond + c.startedAt.Sub(began)
			if was, ok := seen[name][p]; !ok || at < was {
				seen[name][p] = at
			}
		}
		after[name] = r.Applied
	}
}

// spreadPurges has purges told at a rate for some seconds, to watches by the function, then waits; all are looked for at all gateways.
func (t *testFleet) spreadPurges(aSecond, seconds int, to func(p broadcast.Purge), wait time.Duration) (out spreadResult) {
	began := time.Now()
	seen, after := map[string]map[broadcast.Purge]time.Duration{}, map[string]uint64{}
	var all []broadcast.Purge
	for i := range aSecond * seconds {
		p := newPurge(i)
		all = append(all, p)
		to(p)
		time.Sleep(time.Second / time.Duration(aSecond))
		if i%aSecond == 0 {
			t.collectApplied(began, seen, after)
		}
	}
	for range wait / time.Second {
		time.Sleep(time.Second)
		t.collectApplied(began, seen, after)
	}
	for name := range t.drivers {
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

type lockedLog struct{ t *testFleet }

func (l *lockedLog) Write(b []byte) (int, error) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.t.log.Write(b)
}

func (t *testFleet) run() (end func()) {
	var all sync.WaitGroup
	for _, c := range t.drivers {
		all.Go(func() { c.Run(t.stop) })
	}
	return func() {
		close(t.stop)
		all.Wait()
	}
}

func (t *testFleet) receivers(p broadcast.Purge) (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, had := range t.received {
		if had[p] > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// newPurge is one that is issued now: older ones go by reconciliation only, and such as are hours ahead of the clock are not kept.
func newPurge(i int) broadcast.Purge {
	return broadcast.Purge{Object: fmt.Sprintf("%016x", i+1), Issued: time.Now().UnixMilli()}
}

func TestDriver(t *testing.T) {
	t.Run("a purge that one own watch told is heeded once by each other, within 4.5 s", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(12)
			defer town.run()()
			time.Sleep(time.Second)
			one := newPurge(1)
			town.drivers["n5"].RecordPurges([]broadcast.Purge{one})
			time.Sleep(4500 * time.Millisecond)
			if got := town.receivers(one); len(got) != 11 || slices.Contains(got, "n5") {
				t.Errorf("heeded by %v", got)
			}
			for name, had := range town.received {
				if had[one] > 1 {
					t.Errorf("%s heeds it %d times", name, had[one])
				}
			}
		})
	})
	t.Run("a gateway that was cut off says in the log that it is behind, and that it is whole, and has lost nothing", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(12)
			defer town.run()()
			time.Sleep(time.Second)
			town.mu.Lock()
			town.isolated["n3"] = true
			town.mu.Unlock()
			var all []broadcast.Purge
			for i := range 3000 {
				all = append(all, newPurge(i))
				town.drivers["n5"].RecordPurges(all[i:])
				time.Sleep(20 * time.Millisecond)
			}
			town.mu.Lock()
			town.isolated["n3"] = false
			town.mu.Unlock()
			time.Sleep(2 * time.Minute)
			for i, p := range all {
				if got := town.receivers(p); len(got) != 11 {
					t.Fatalf("purge %d is lost: heeded by %v", i, got)
				}
			}
			if got := fmt.Sprint(town.loggedModes("n3")); got != "[behind whole]" {
				t.Errorf("it says %s", got)
			}
			if got := town.log.String(); strings.Count(got, "\n") != 2 {
				t.Errorf("others say something: %s", got)
			}
		})
	})
	t.Run("datagrams of nobody known, and such that cannot be read, are counted and not logged", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(2)
			defer town.run()()
			time.Sleep(time.Second)
			c := town.drivers["n0"]
			key := func(name string) []byte {
				k := view.NameKey(name)
				b := []byte{broadcast.Kind}
				for range 8 {
					b, k = append(b, byte(k)), k>>8
				}
				return b
			}
			was := c.Report(0).Counts
			c.HandleMessage([]byte{broadcast.Kind})
			c.HandleMessage(append(key("n9"), 1, 2, 3))
			c.HandleMessage(append(key("n1"), broadcast.Kind, 255, 255, 255))
			time.Sleep(time.Second)
			now := c.Report(0).Counts
			if now.UnknownSenders != was.UnknownSenders+1 || now.Unreadable != was.Unreadable+2 {
				t.Errorf("%+v, before %+v", now, was)
			}
			if town.log.Len() > 0 {
				t.Error(town.log.String())
			}
		})
	})
	t.Run("what finds no room is dropped and counted: datagrams, and purges of the own watch", func(t *testing.T) {
		town := newTestFleet(2) // that does not run: all waits
		c := town.drivers["n0"]
		for range maxQueuedFrames + 3 {
			c.HandleMessage([]byte{broadcast.Kind})
		}
		c.HandleMessage(make([]byte, maxDatagramBytes+1))
		var told []broadcast.Purge
		for i := range maxQueuedPurges + 5 {
			told = append(told, newPurge(i))
		}
		c.RecordPurges(told)
		c.RecordPurges(told[:2])
		if got := c.Report(0).Counts; got.Dropped != 4 || got.OwnPurgesDropped != 7 || len(c.queue) != maxQueuedFrames || len(c.ownPurges) != maxQueuedPurges {
			t.Errorf("%+v, %d and %d wait", got, len(c.queue), len(c.ownPurges))
		}
	})
	t.Run("a peer that is live no more is sent nothing: counted, and the view's next version ends it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(4)
			gone := town.drivers["n2"]
			delete(town.drivers, "n2")
			defer town.run()()
			time.Sleep(time.Second)
			one := newPurge(1)
			town.drivers["n0"].RecordPurges([]broadcast.Purge{one})
			time.Sleep(5 * time.Second)
			total := func() (not uint64) {
				for _, c := range town.drivers {
					not += c.Report(0).Counts.SendFailures
				}
				return not
			}
			if total() == 0 {
				t.Error("nothing was counted for who is not there")
			}
			town.mu.Lock()
			town.ids = slices.DeleteFunc(town.ids, func(id view.ID) bool { return id.Name == gone.self })
			town.version++
			town.mu.Unlock()
			time.Sleep(time.Second)
			was := total()
			time.Sleep(10 * time.Second)
			if now := total(); now != was {
				t.Errorf("%d more are sent to who is gone", now-was)
			}
			if got := town.receivers(one); !strings.Contains(fmt.Sprint(got), "n1") || len(got) != 2 {
				t.Errorf("heeded by %v", got)
			}
		})
	})
	t.Run("a hundred a second that one own watch tells all hear within 4.5 s, each once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(36)
			defer town.run()()
			time.Sleep(time.Second)
			got := town.spreadPurges(100, 6, func(p broadcast.Purge) { town.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 6*time.Second)
			if got != (spreadResult{pairs: 36 * 600}) {
				t.Errorf("%+v", got)
			}
			for name, had := range town.received {
				for p, times := range had {
					if times > 1 {
						t.Fatalf("%s heeds %v %d times", name, p, times)
					}
				}
				if c := town.drivers[name].Report(0).Counts; c.Dropped+c.OwnPurgesDropped+c.SendFailures+c.UnknownSenders+c.Unreadable > 0 {
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
			town := newTestFleet(36)
			defer town.run()()
			time.Sleep(time.Second)
			got := town.spreadPurges(100, 6, func(p broadcast.Purge) {
				for _, c := range town.drivers {
					late := time.Duration(town.rng.Int64N(int64(300 * time.Millisecond)))
					time.AfterFunc(late, func() { c.RecordPurges([]broadcast.Purge{p}) })
				}
			}, 6*time.Second)
			if got != (spreadResult{pairs: 36 * 600}) {
				t.Errorf("%+v", got)
			}
			var said, most uint64
			for _, c := range town.drivers {
				r := c.Report(0)
				said, most = said+r.Node.PurgesSent, max(most, r.Node.BytesIn+r.Node.BytesOut)
			}
			if said < 600 || said > 700 {
				t.Errorf("%d are said of 600", said)
			}
			if a := most / 13; a > uint64(broadcast.DefaultSettings.RateLimit) {
				t.Errorf("%d bytes a second at the busiest", a)
			}
		})
	})
	t.Run("a gateway that starts anew under a new stamp is heard at once, and learns what was told before", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(12)
			end := town.run()
			time.Sleep(time.Second)
			old := newPurge(1)
			town.drivers["n0"].RecordPurges([]broadcast.Purge{old})
			time.Sleep(5 * time.Second)
			end()
			town.stop = make(chan struct{}) // all stand still for no time but n0, which is another process now
			town.mu.Lock()
			town.ids[0].Incarnation, town.version = 100, town.version+1
			town.drivers["n0"] = town.newDriver(town.ids[0], slog.New(slog.NewTextHandler(&lockedLog{t: town}, nil)), 1000)
			town.mu.Unlock()
			defer town.run()()
			one := newPurge(2)
			town.drivers["n0"].RecordPurges([]broadcast.Purge{one})
			time.Sleep(4500 * time.Millisecond)
			if got := town.receivers(one); len(got) != 11 {
				t.Errorf("heeded by %v", got)
			}
			time.Sleep(10 * time.Second)
			if !slices.Contains(town.receivers(old), "n0") {
				t.Error("what was told before is lost at the new process")
			}
		})
	})
	t.Run("with one datagram in twenty lost all come, in time but a few, and it is no mode", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(36)
			town.loss = 0.05
			defer town.run()()
			time.Sleep(time.Second)
			got := town.spreadPurges(100, 6, func(p broadcast.Purge) { town.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 20*time.Second)
			if got.missing > 0 || got.late > got.pairs/1000 {
				t.Errorf("%+v", got)
			}
			if got := town.log.String(); got != "" {
				t.Error(got)
			}
		})
	})
	t.Run("who asks for the latest gets those after a number, of the last ones that are kept", func(t *testing.T) {
		town := newTestFleet(1)
		c := town.drivers["n0"]
		for i := range maxLatest + 7 {
			c.RecordPurges([]broadcast.Purge{{Object: fmt.Sprint(i), Issued: 1}})
		}
		r := c.Report(0)
		if len(r.Latest) != maxLatest || r.Applied != maxLatest+7 {
			t.Fatalf("%d of %d", len(r.Latest), r.Applied)
		}
		for i, h := range r.Latest {
			if h.Number != uint64(i+8) || h.Object != fmt.Sprint(i+7) || h.FromPeer {
				t.Fatalf("%d: %+v", i, h)
			}
		}
		if r := c.Report(maxLatest + 5); len(r.Latest) != 2 || r.Latest[0].Number != maxLatest+6 {
			t.Errorf("%+v", r.Latest)
		}
		if r := c.Report(1 << 60); len(r.Latest) > 0 {
			t.Errorf("%+v", r.Latest)
		}
	})
	t.Run("while it is switched on gateway by gateway, those that have it on hear all, if later", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := newTestFleet(12)
			for _, name := range []string{"n0", "n1", "n2", "n4", "n8", "n11"} { // live, and without a carrier: nothing answers
				delete(town.drivers, name)
			}
			defer town.run()()
			time.Sleep(time.Second)
			got := town.spreadPurges(20, 6, func(p broadcast.Purge) { town.drivers["n7"].RecordPurges([]broadcast.Purge{p}) }, 30*time.Second)
			if got.missing > 0 {
				t.Errorf("%+v", got)
			}
			t.Logf("%+v", got)
		})
	})
}

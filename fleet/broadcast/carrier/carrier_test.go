package carrier

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/fleet/broadcast"
	"foldslip/fleet/view"
)

// town is a fleet of carriers in one process; datagrams take a millisecond, unless their way is cut.
type town struct {
	mu   sync.Mutex
	ids  []view.ID
	all  map[string]*Carrier
	cut  map[string]bool // names that hear nobody and that nobody hears
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
	off := h.cut[to] || h.cut[h.name]
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
	t := &town{all: map[string]*Carrier{}, cut: map[string]bool{}, had: map[string]map[broadcast.Purge]int{}, at: 1, stop: make(chan struct{})}
	log := slog.New(slog.NewTextHandler(&locked{t: t}, nil))
	for i := range n {
		id := view.ID{Name: fmt.Sprint("n", i), Stamp: uint64(i + 1), Place: view.Place{Region: "r", Zone: "z", Site: fmt.Sprint("s", i%3)}}
		t.ids = append(t.ids, id)
		had := map[broadcast.Purge]int{}
		t.had[id.Name] = had
		c := New(id.Name, id.Place, func(some []broadcast.Purge) {
			t.mu.Lock()
			defer t.mu.Unlock()
			for _, p := range some {
				had[p]++
			}
		}, log, uint64(i)+7, time.Now)
		c.Over(house{t, id.Name})
		t.all[id.Name] = c
	}
	return t
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

func purge(i int) broadcast.Purge {
	return broadcast.Purge{Object: fmt.Sprintf("%016x", i+1), Issued: 1764576000000 + int64(i)}
}

func TestCarrier(t *testing.T) {
	t.Run("a purge that one own watch told is heeded once by each other, within 4.5 s", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			town := settle(12)
			defer town.run()()
			time.Sleep(time.Second)
			town.all["n5"].Told([]broadcast.Purge{purge(1)})
			time.Sleep(4500 * time.Millisecond)
			if got := town.heard(purge(1)); len(got) != 11 || slices.Contains(got, "n5") {
				t.Errorf("heeded by %v", got)
			}
			for name, had := range town.had {
				if had[purge(1)] > 1 {
					t.Errorf("%s heeds it %d times", name, had[purge(1)])
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
			for i := range 300 {
				town.all["n5"].Told([]broadcast.Purge{purge(i)})
				time.Sleep(100 * time.Millisecond)
			}
			town.mu.Lock()
			town.cut["n3"] = false
			town.mu.Unlock()
			time.Sleep(2 * time.Minute)
			for i := range 300 {
				if !slices.Contains(town.heard(purge(i)), "n3") {
					t.Fatalf("purge %d is lost at n3", i)
				}
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
			was := c.Report().Counts
			c.Take([]byte{broadcast.Kind})
			c.Take(append(key("n9"), 1, 2, 3))
			c.Take(append(key("n1"), broadcast.Kind, 255, 255, 255))
			time.Sleep(time.Second)
			now := c.Report().Counts
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
		if got := c.Report().Counts; got.Full != 4 || got.OwnDropped != 7 || len(c.in) != mostQueued || len(c.told) != mostTold {
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
			town.all["n0"].Told([]broadcast.Purge{purge(1)})
			time.Sleep(5 * time.Second)
			total := func() (not uint64) {
				for _, c := range town.all {
					not += c.Report().Counts.NotSent
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
			if got := town.heard(purge(1)); !strings.Contains(fmt.Sprint(got), "n1") || len(got) != 2 {
				t.Errorf("heeded by %v", got)
			}
		})
	})
}

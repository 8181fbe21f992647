package gossip

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/purgesync"
	"foldslip/internal/limit"
)

// wire stands in for the fleet: all hear each other, but who is cut off.
type wire struct {
	mu  sync.Mutex
	all map[string]*Post
	cut map[string]bool
}

type end struct {
	w    *wire
	name string
}

func (e end) Send(to string, b []byte) error {
	e.w.mu.Lock()
	p, cut := e.w.all[to], e.w.cut[e.name] != e.w.cut[to]
	e.w.mu.Unlock()
	if p != nil && !cut {
		p.Take(b)
	}
	return nil
}

func (e end) State() membership.State {
	live := len(e.Live())
	return membership.State{Live: live, Seen: live, Fleet: len(e.w.all), Settled: true}
}

func (e end) Live() (names []string) {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	for name := range e.w.all {
		if e.w.cut[name] == e.w.cut[e.name] {
			names = append(names, name)
		}
	}
	return names
}

// door is where lookups are let in: a set of limits under a lock, as route/steer has it.
type door struct {
	mu  sync.Mutex
	set *limit.Set
}

func (d *door) Shared(f func(string, limit.Terms, limit.Use)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set.Fleet(func(name string, l *limit.Limit) { f(name, l.Terms(), l.Use()) })
}

func (d *door) Lease(leases map[string]limit.Lease) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, l := range leases {
		if its := d.set.Of(name); its != nil {
			its.Lease(time.Now(), l)
		}
	}
}

// ask asks so often a second, so long, and tells how many were let in.
func (d *door) ask(rate int, long time.Duration) (in int) {
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(time.Second / time.Duration(rate)) {
		d.mu.Lock()
		if _, why, _ := d.set.Of("tenant x").Enter(time.Now(), "x", 1, 0); why == limit.Allowed {
			in++
		}
		d.mu.Unlock()
	}
	return in
}

func on(t *testing.T, n int, terms limit.Terms, story func(t *testing.T, w *wire, doors []*door)) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{all: map[string]*Post{}, cut: map[string]bool{}}
		stop := make(chan struct{})
		var doors []*door
		var wait sync.WaitGroup
		for i := range n {
			name := fmt.Sprintf("n%d", i)
			d := &door{set: limit.NewSet(time.Now(), map[string]limit.Terms{"tenant x": terms})}
			p := New(name, d, nil, slog.New(slog.DiscardHandler), uint64(i))
			p.Over(end{w, name})
			doors, w.all[name] = append(doors, d), p
		}
		for _, p := range w.all {
			wait.Add(1)
			go func() { defer wait.Done(); p.Run(stop) }()
		}
		time.Sleep(6 * time.Second)
		story(t, w, doors)
		close(stop)
		wait.Wait()
	})
}

func TestAFloodThroughOneGatewayBorrowsFromTheOthers(t *testing.T) {
	on(t, 4, limit.Terms{Lookups: 100, Fleet: true}, func(t *testing.T, w *wire, doors []*door) {
		doors[0].ask(500, 5*time.Second)
		if in := doors[0].ask(500, 10*time.Second); in < 750 || in > 1000 {
			t.Errorf("%d in 10 s: its own quarter and four fifths of the rest are 850", in)
		}
		row := w.all["n0"].Rows()[0]
		if row.Taken < 50 || row.Over != 0 || row.State != "whole" || row.Name != "tenant x/lookups" || row.Sum < 75 || row.Sum > 101 {
			t.Errorf("%+v", row)
		}
	})
}

func TestCutOffItFallsBackToItsOwnPart(t *testing.T) {
	on(t, 4, limit.Terms{Lookups: 100, Fleet: true}, func(t *testing.T, w *wire, doors []*door) {
		doors[0].ask(500, 5*time.Second)
		w.mu.Lock()
		w.cut["n0"] = true
		w.mu.Unlock()
		doors[0].ask(500, time.Duration(Usual.Loan)*time.Microsecond) // what it has borrowed runs out
		if in := doors[0].ask(500, 10*time.Second); in < 230 || in > 265 {
			t.Errorf("%d in 10 s of a part of 250", in)
		}
	})
}

func TestAFloodOnAllIsLetInAsTheLimitSays(t *testing.T) {
	on(t, 4, limit.Terms{Lookups: 100, Fleet: true}, func(t *testing.T, w *wire, doors []*door) {
		var mu sync.Mutex
		var wait sync.WaitGroup
		sum := 0
		for _, d := range doors {
			wait.Add(1)
			go func() {
				defer wait.Done()
				n := d.ask(200, 20*time.Second)
				mu.Lock()
				sum += n
				mu.Unlock()
			}()
		}
		wait.Wait()
		if sum < 1900 || sum > 2060 {
			t.Errorf("%d in 20 s at 100 a second", sum)
		}
	})
}

func TestFramesOfStrangersAreNothing(t *testing.T) {
	on(t, 2, limit.Terms{Lookups: 100, Fleet: true}, func(t *testing.T, w *wire, doors []*door) {
		p := w.all["n0"]
		name := limits.Key("tenant x/lookups")
		p.Take(limits.Frame{From: limits.Key("stranger"), Entries: []limits.Entry{{Limit: name, ID: 1, Amount: 50}}}.Append(nil))
		p.Take(limits.Frame{From: limits.Key("n1"), Grants: true, Entries: []limits.Entry{{Limit: name, ID: 99, Amount: 1e9}}}.Append(nil))
		p.Take([]byte{limits.Kind})
		time.Sleep(time.Second)
		if row := p.Rows()[0]; row.Lent != 0 || row.Taken != 0 || row.Lease != 50 {
			t.Errorf("%+v", row)
		}
		for range 3 * mostQueued {
			p.Take([]byte{limits.Kind})
		}
		p.mu.Lock()
		if len(p.in) > mostQueued {
			t.Error("the queue grows")
		}
		p.mu.Unlock()
	})
}

func TestAPurgeOfOneBulletinIsHeededByAllOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &wire{all: map[string]*Post{}, cut: map[string]bool{}}
		stop := make(chan struct{})
		var mu sync.Mutex
		heeded := map[string]int{}
		var wait sync.WaitGroup
		for i := range 8 {
			name := fmt.Sprintf("n%d", i)
			p := New(name, nil, func(some []purgesync.Purge) {
				mu.Lock()
				defer mu.Unlock()
				heeded[name] += len(some)
			}, slog.New(slog.DiscardHandler), uint64(i))
			p.Over(end{w, name})
			p.Told(4, nil)
			w.all[name] = p
		}
		for _, p := range w.all {
			wait.Add(1)
			go func() { defer wait.Done(); p.Run(stop) }()
		}
		time.Sleep(time.Second)
		w.all["n3"].Told(5, []purgesync.Purge{{No: 5, Object: "x", Issued: 1e12}})
		time.Sleep(5 * time.Second)
		for _, p := range w.all { // the bulletins catch up
			p.Told(5, []purgesync.Purge{{No: 5, Object: "x", Issued: 1e12}})
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		if len(heeded) != 7 || heeded["n3"] != 0 || heeded["n0"] != 1 {
			t.Error(heeded)
		}
		mu.Unlock()
		close(stop)
		wait.Wait()
	})
}

package fairshare_test

import (
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/fairshare"
	"foldslip/internal/lab/simenv"
)

const (
	testPeers    = 100
	testDuration = 200 * time.Millisecond
	itemTime     = 20 * time.Microsecond // processor time of an item
	readTime     = 5 * time.Microsecond  // between two items of a peer
)

// load is the use of a Limiter by peers that always have a further item.
type load struct {
	holders  int // goroutines that handle an item now
	items    [testPeers]int
	busyTime time.Duration // sum of the items' times
	overlaps int           // items that began while another was handled
}

// handleItems handles one item after the other until a time.
func (l *load) handleItems(e env.Environment, limiter *fairshare.Limiter, peer int, until time.Time) {
	work := e.NewNotifier()
	for e.Now().Before(until) {
		limiter.Acquire()
		if l.holders > 0 {
			l.overlaps++
		}
		l.holders++
		work.Wait(itemTime)
		l.holders--
		l.items[peer]++
		l.busyTime += itemTime
		limiter.Release()
		work.Wait(readTime)
	}
}

// simulate runs a number of peers that share a Limiter for testDuration.
func simulate(t *testing.T, peers int) *load {
	t.Helper()
	simulation := simenv.New(1)
	t.Cleanup(simulation.Close)
	simulation.OnCrash = func(_ *simenv.Process, text string) { t.Error(text) }
	l := &load{}
	process := &simenv.Process{Name: "gateway"}
	simulation.Start(simulation.Host("10.0.0.1", "near"), process, func(e env.Environment) error {
		limiter := fairshare.NewLimiter(e)
		until := e.Now().Add(testDuration)
		group := e.NewGroup()
		for peer := range peers {
			group.Go("peer", func() error { l.handleItems(e, limiter, peer, until); return nil })
		}
		return group.Wait()
	})
	simulation.Run(2 * testDuration)
	return l
}

// Peers that never pause take turns, one item at a time, and leave half of the time to other work. Guards against
// peers that hold the processor for as long as they find input.
func TestPeersThatNeverPauseShareHalfOfTheTime(t *testing.T) {
	for _, peers := range []int{1, 2, testPeers} {
		l := simulate(t, peers)
		if l.overlaps > 0 {
			t.Errorf("%d peers: %d items began while another was handled", peers, l.overlaps)
		}
		if share := float64(l.busyTime) / float64(testDuration); share < 0.3 || share > 0.55 {
			t.Errorf("%d peers: items took %.2f of the time, expected about half", peers, share)
		}
		fewest, most := l.items[0], l.items[0]
		for _, n := range l.items[:peers] {
			fewest, most = min(fewest, n), max(most, n)
		}
		if most-fewest > 1 {
			t.Errorf("%d peers: between %d and %d items a peer, expected equal numbers", peers, fewest, most)
		}
	}
}

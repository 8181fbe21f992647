package policy

import (
	"container/heap"
	"math"
)

// sharedLink is a simulated link that divides its capacity evenly among its transfers.
type sharedLink struct {
	run         *coldFleetRun
	capacity    func() float64 // number of transfers at full pace
	virtualTime float64        // work done by updatedAt for a transfer active since the start, in microseconds
	updatedAt   Micros
	active      sharedTransfers
	version     int // version of the scheduled completion; an event with an older version is ignored
}

// sharedTransfer is one transfer on a sharedLink.
type sharedTransfer struct {
	virtualFinish float64 // virtual time at which the transfer is complete
	ended         func()
}

type sharedTransfers []sharedTransfer

func (s sharedTransfers) Len() int           { return len(s) }
func (s sharedTransfers) Less(i, j int) bool { return s[i].virtualFinish < s[j].virtualFinish }
func (s sharedTransfers) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sharedTransfers) Push(x any)        { *s = append(*s, x.(sharedTransfer)) }
func (s *sharedTransfers) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// pace returns the share of full pace at which each transfer progresses.
func (l *sharedLink) pace() float64 { return min(1, l.capacity()/float64(max(len(l.active), 1))) }

// advance updates the virtual time at the current pace. Call it before a change of the active transfers.
func (l *sharedLink) advance() {
	l.virtualTime += float64(l.run.now-l.updatedAt) * l.pace()
	l.updatedAt = l.run.now
}

// start adds a transfer and calls ended when it is complete.
func (l *sharedLink) start(work Micros, ended func()) {
	l.advance()
	heap.Push(&l.active, sharedTransfer{l.virtualTime + float64(max(work, 1)), ended})
	l.awaitCompletion()
}

// awaitCompletion schedules an update of the link at the next completion, but
// after 50 ms at the latest, because the capacity of a cold cache grows.
func (l *sharedLink) awaitCompletion() {
	l.version++
	version := l.version
	if len(l.active) == 0 {
		return
	}
	delay := Micros(math.Ceil((l.active[0].virtualFinish - l.virtualTime) / l.pace()))
	l.run.after(min(max(delay, 1), 50*millisecond), func() {
		if l.version != version {
			return
		}
		l.advance()
		var complete []func()
		for len(l.active) > 0 && l.active[0].virtualFinish <= l.virtualTime+0.5 {
			complete = append(complete, heap.Pop(&l.active).(sharedTransfer).ended)
		}
		l.awaitCompletion()
		for _, ended := range complete {
			ended()
		}
	})
}

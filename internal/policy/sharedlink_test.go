package policy

import (
	"container/heap"
	"math"
)

// sharedLink divides its capacity, in transfers at full pace, evenly among the transfers on it.
type sharedLink struct {
	run         *coldFleetRun
	capacity    func() float64
	virtualTime float64 // work that a transfer on it from the first on would have got by now, in microseconds
	updatedAt   Micros
	active      sharedTransfers
	version     int // of the awaited completion
}

// sharedTransfer is one transfer on a sharedLink.
type sharedTransfer struct {
	virtualFinish float64 // it is complete once doneEach is this much
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

// pace is the share of full pace that each transfer gets.
func (l *sharedLink) pace() float64 { return min(1, l.capacity()/float64(max(len(l.active), 1))) }

// advance brings doneEach up to now, at the pace that held since.
func (l *sharedLink) advance() {
	l.virtualTime += float64(l.run.now-l.updatedAt) * l.pace()
	l.updatedAt = l.run.now
}

// start adds a transfer; ended is called at its end.
func (l *sharedLink) start(work Micros, ended func()) {
	l.advance()
	heap.Push(&l.active, sharedTransfer{l.virtualTime + float64(max(work, 1)), ended})
	l.awaitCompletion()
}

// awaitCompletion looks again at the next completion, or in 50 ms, as the capacity of a cold cache grows.
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

// Package fairshare keeps a peer that sends without a pause from holding up the work for all other peers.
//
// The Go scheduler runs ready goroutines in turn and looks for network input when none is ready. A goroutine that always
// finds further input is ready all the time and runs for up to 10 ms a turn. With a hundred of them, each step of a
// lookup that has to wait for its turn waits for a second.
//
// A Limiter bounds this for input that leads to no work elsewhere, such as requests that are refused or responses that
// nobody waits for. One goroutine at a time handles such input, in the order of asking, and all of them together take
// about half of one processor. The others wait without being ready to run.
//
// A Limiter is owned by the server that shares it among its connections. It holds one waiter for each goroutine
// that waits, so it is bounded by the number of connections. It has no goroutine of its own.
package fairshare

import (
	"sync"
	"time"

	"foldslip/internal/env"
)

const (
	// maxBurst is the time after which a burst is interrupted for as long as it lasted, but at most for maxPause. The
	// kernel does not time shorter waits for network input.
	maxBurst = time.Millisecond
	maxPause = 10 * time.Millisecond
	// burstGap is the time between two items after which they belong to different bursts. It is longer than it takes to
	// write a small response and to read the next request.
	burstGap = 250 * time.Microsecond
)

// Limiter lets one goroutine at a time handle an item of input, and interrupts a burst of items so that other work of
// the process gets as much time as the burst. It is safe for concurrent use.
type Limiter struct {
	env   env.Environment
	pause env.Notifier // never notified; waiting on it ends with the timeout

	mu      sync.Mutex
	isHeld  bool
	waiting []env.Notifier // of the goroutines that wait in Acquire, in their order

	// The goroutine between Acquire and Release owns the fields below.
	burstStartedAt time.Time
	releasedAt     time.Time // when the last item ended
}

// NewLimiter returns a Limiter that no goroutine holds.
func NewLimiter(environment env.Environment) *Limiter {
	return &Limiter{env: environment, pause: environment.NewNotifier()}
}

// Acquire waits until the caller may handle an item. The caller must call Release after it, and must not wait for a peer
// in between.
func (l *Limiter) Acquire() {
	l.waitTurn()
	now := l.env.Now()
	burst := now.Sub(l.burstStartedAt)
	switch {
	case now.Sub(l.releasedAt) > burstGap:
		l.burstStartedAt = now
	case burst >= maxBurst:
		l.pause.Wait(min(burst, maxPause))
		l.burstStartedAt = l.env.Now()
	}
}

// Release lets the goroutine that has waited longest handle its item.
func (l *Limiter) Release() {
	l.releasedAt = l.env.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.isHeld = false
		return
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	next.Notify()
}

// waitTurn makes the caller the holder. If there is one, it waits behind the goroutines that asked before.
func (l *Limiter) waitTurn() {
	l.mu.Lock()
	if !l.isHeld {
		l.isHeld = true
		l.mu.Unlock()
		return
	}
	turn := l.env.NewNotifier()
	l.waiting = append(l.waiting, turn)
	l.mu.Unlock()
	turn.Wait(-1)
}

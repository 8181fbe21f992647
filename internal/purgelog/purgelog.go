// Package purgelog records the purges that the gateway has received, for as long as older copies may lie in caches.
package purgelog

import (
	"sync"
	"time"

	"foldslip/internal/env"
)

// maxPending bounds the purges of one object or group that are held apart. Past it the last two become one that is as strict as either.
const maxPending = 16

// Log holds purges of objects and of groups. A purge takes effect once Grace has passed since it was received: caches have that long to
// drop their copies. An object's purges are forgotten once Retention has passed since the last of them; those of groups stay, being as few
// as groups. It is bounded by the rate of purges times Retention, and safe for concurrent use. Set the exported fields before the first use.
type Log struct {
	Retention time.Duration
	Grace     time.Duration
	Clock     env.Environment

	mu      sync.Mutex
	objects map[string][]entry
	groups  map[int][]entry
	queue   []queuedObject // objects in the order in which their purges were received, from head on
	head    int
}

// entry is one purge: copies from before issuedAt are out of date.
type entry struct{ issuedAt, receivedAt time.Time }

type queuedObject struct {
	object     string
	receivedAt time.Time
}

// Record adds a purge of an object, or of a group where the object is "".
func (l *Log) Record(object string, group int, issuedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.objects == nil {
		l.objects = map[string][]entry{}
		l.groups = map[int][]entry{}
	}
	now := l.Clock.Now()
	l.expire(now)
	if object == "" {
		l.groups[group] = l.merge(l.groups[group], issuedAt, now)
		return
	}
	before := l.objects[object]
	merged := l.merge(before, issuedAt, now)
	l.objects[object] = merged
	if len(before) == 0 || !last(merged).receivedAt.Equal(last(before).receivedAt) {
		l.queue = append(l.queue, queuedObject{object, now})
	}
}

func last(entries []entry) entry { return entries[len(entries)-1] }

// expire forgets the objects whose last purge was received longer than Retention ago. The queue makes its cost independent of the number
// of purges held: it has an element for each of them, in the order in which they were received.
func (l *Log) expire(now time.Time) {
	for l.head < len(l.queue) && now.Sub(l.queue[l.head].receivedAt) > l.Retention {
		queued := l.queue[l.head]
		l.queue[l.head] = queuedObject{}
		l.head++
		if entries := l.objects[queued.object]; len(entries) > 0 && last(entries).receivedAt.Equal(queued.receivedAt) {
			delete(l.objects, queued.object)
		}
	}
	if l.head > len(l.queue)/2 {
		l.queue = append([]queuedObject(nil), l.queue[l.head:]...)
		l.head = 0
	}
}

// merge adds a purge to those of the same object or group, which are in the order of both their times. Each takes effect after its own
// grace, so that a later one does not delay an earlier one.
func (l *Log) merge(entries []entry, issuedAt, now time.Time) []entry {
	for len(entries) > 1 && now.Sub(entries[1].receivedAt) > l.Grace { // the second is in effect and stricter than the first
		entries = entries[1:]
	}
	n := len(entries)
	switch {
	case n > 0 && !issuedAt.After(entries[n-1].issuedAt):
		return entries
	case n >= maxPending:
		entries[n-1].issuedAt = issuedAt
		return entries
	}
	return append(entries, entry{issuedAt, now})
}

// InForce returns when the latest purge in effect for an object of a group was issued and when it was received. Both are zero if there is
// none.
func (l *Log) InForce(object string, group int) (issuedAt, receivedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, entries := range [][]entry{l.objects[object], l.groups[group]} {
		for _, e := range entries {
			if now.Sub(e.receivedAt) > l.Grace && e.issuedAt.After(issuedAt) {
				issuedAt = e.issuedAt
				receivedAt = e.receivedAt
			}
		}
	}
	return issuedAt, receivedAt
}

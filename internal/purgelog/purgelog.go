// Package purgelog records the purges that the gateway has received. It retains them for as long as caches may hold
// copies from before the purge.
package purgelog

import (
	"sync"
	"time"

	"foldslip/internal/env"
)

// maxPending is the maximum number of purges of one object or group that are held separately. Above it, a new purge is
// merged with the last one into a purge that is as strict as each of them.
const maxPending = 16

// Log holds purges of objects and of groups. A purge takes effect when Grace has passed since it was received, because
// caches have that long to drop their copies. The purges of an object are dropped when Retention has passed since the
// last of them was received. The purges of groups are never dropped, because the number of groups is small.
//
// The size of a Log is bounded by the rate of purges times Retention. It is safe for concurrent use. The exported fields
// must be set before the first use.
type Log struct {
	Retention time.Duration
	Grace     time.Duration
	Clock     env.Environment

	mu      sync.Mutex
	objects map[string][]entry
	groups  map[int][]entry
	queue   []queuedObject // objects in the order in which their purges were received; the first one is at head
	head    int
}

// entry is one purge. Copies from before issuedAt are out of date.
type entry struct{ issuedAt, receivedAt time.Time }

type queuedObject struct {
	object     string
	receivedAt time.Time
}

// Record adds a purge of an object, or of a group if object is empty, that is received now.
func (l *Log) Record(object string, group int, issuedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	l.add(object, group, entry{issuedAt, now}, now)
}

// Restore adds a purge that an earlier process received, so its grace and its retention began then. Restore is called
// before Record, for the purges in the order in which they were received. A time of receipt in the future counts as now.
func (l *Log) Restore(object string, group int, issuedAt, receivedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if receivedAt.After(now) {
		receivedAt = now
	}
	l.add(object, group, entry{issuedAt, receivedAt}, now)
}

// add implements Record and Restore. The caller holds the lock.
func (l *Log) add(object string, group int, purge entry, now time.Time) {
	if l.objects == nil {
		l.objects = map[string][]entry{}
		l.groups = map[int][]entry{}
	}
	l.expire(now)
	if object == "" {
		l.groups[group] = l.merge(l.groups[group], purge, now)
		return
	}
	before := l.objects[object]
	merged := l.merge(before, purge, now)
	l.objects[object] = merged
	if len(before) == 0 || !last(merged).receivedAt.Equal(last(before).receivedAt) {
		l.queue = append(l.queue, queuedObject{object, last(merged).receivedAt})
	}
}

func last(entries []entry) entry { return entries[len(entries)-1] }

// expire drops the objects whose last purge was received more than Retention ago. The queue has an element for each
// purge held, in the order in which they were received. So the cost of expire does not depend on the number of purges
// held.
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

// merge adds a purge to the entries of the same object or group and returns them. The entries are in ascending order of
// issuedAt and of receivedAt. Each entry takes effect after its own grace period, so a later purge does not delay an
// earlier one.
func (l *Log) merge(entries []entry, purge entry, now time.Time) []entry {
	// The first entry is dropped if the second one is in effect, because the second one is stricter.
	for len(entries) > 1 && now.Sub(entries[1].receivedAt) > l.Grace {
		entries = entries[1:]
	}
	n := len(entries)
	switch {
	case n > 0 && !purge.issuedAt.After(entries[n-1].issuedAt):
		return entries
	case n >= maxPending:
		entries[n-1].issuedAt = purge.issuedAt
		return entries
	}
	return append(entries, purge)
}

// InForce returns the times at which the latest purge in effect for an object of a group was issued and received. Both
// are zero if no purge is in effect.
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

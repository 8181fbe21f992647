// Package snapshot writes the list of caches to disk while a gateway works, and reads it at the start. What it is told is
// taken into a State in memory at once, under a lock of its own that is never held over a write, and written by one
// goroutine: changes that came together go out in one synced append, so many writes a second at most. The router's lock
// and a lookup's way never meet it.
//
// A disk that is full, read-only or failing costs the list and nothing else: it is told once when that changes, and
// tried again with a growing pause, with the whole state. Bounds: Terms.Bytes on disk a generation (two are kept),
// mostPending bytes of changes that wait; past that the next write is a snapshot.
package snapshot

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// Name is the record's name in its folder.
const LogName = "list"

const (
	maxPendingBytes     = 256 << 10
	minCompactionSize   = 64 << 10 // a record smaller than this is not compacted
	markCurrentInterval = 15 * time.Second
	minRetryDelay       = time.Second // after a failed write; doubled up to againMost
	maxRetryDelay       = time.Minute
	maxWriteBurst       = 4 // writes that may follow each other at once
)

// Limits are what the operator sets.
type Limits struct {
	MaxBytes        int64   // of a generation on disk; a snapshot past it is not written
	WritesPerSecond float64 // appends and snapshots a second, each with its sync
}

// Snapshotter is an open list.
type Snapshotter struct {
	env    env.Environment
	limits Limits
	log    *wal.Log
	wakeup env.Notifier

	mu           sync.Mutex
	state        *endpoints.State
	pending      [][]byte
	pendingBytes int             // of pending
	snapshotDue  bool            // the next write is a snapshot
	ejected      map[string]bool // as last told
	durableEvent int64           // number of the last event on disk
}

// Open reads the list in a folder and begins a generation of its own. A folder that another process has is an error; a
// list that cannot be read is told in why and begun anew, and the generation before stays on disk.
func Open(g env.Environment, path string, terms Limits) (k *Snapshotter, why error, err error) {
	disk, err := g.OpenDirectory(path)
	if err != nil {
		return nil, nil, err
	}
	rec, kept, err := wal.Open(disk, LogName)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	k = &Snapshotter{env: g, limits: terms, log: rec, wakeup: g.NewNotifier(), state: endpoints.New(), snapshotDue: true}
	if kept.Generation > 0 {
		s, fault := endpoints.Restore(kept.Snapshot, kept.Changes)
		k.state = s
		why = fault
	}
	for _, s := range kept.Skipped {
		why = errors.New(s)
	}
	k.wakeup.Notify() // a generation of its own
	return k, why, nil
}

// State is a copy of what is kept.
func (k *Snapshotter) State() *endpoints.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Clone()
}

// Apply takes a change. It waits for no disk.
func (k *Snapshotter) Apply(c endpoints.Update) {
	if k == nil {
		return
	}
	c.At = k.env.Now().UnixMilli()
	text, err := c.Encode()
	k.mu.Lock()
	k.state.Apply(c)
	switch {
	case err != nil || k.pendingBytes+len(text) > maxPendingBytes:
		k.snapshotDue = true
	case !k.snapshotDue:
		k.pending = append(k.pending, text)
		k.pendingBytes += len(text)
	}
	if k.snapshotDue {
		k.pending, k.pendingBytes = nil, 0
	}
	k.mu.Unlock()
	k.wakeup.Notify()
}

// UpdateHealth takes which caches are out now and which gave good answers since; it is kept when the former changed.
func (k *Snapshotter) UpdateHealth(heard, ill []string) {
	if k == nil {
		return
	}
	now := map[string]bool{}
	for _, id := range ill {
		now[id] = true
	}
	k.mu.Lock()
	same := len(now) == len(k.ejected)
	for id := range now {
		same = same && k.ejected[id]
	}
	k.ejected = now
	k.mu.Unlock()
	if !same {
		k.Apply(endpoints.Update{HasHealth: true, Responded: heard, Ejected: ill})
	}
}

// MarkCurrent tells that the bulletin was heard and had nothing new.
func (k *Snapshotter) MarkCurrent() {
	if k == nil {
		return
	}
	k.mu.Lock()
	due := k.env.Now().Sub(time.UnixMilli(k.state.CurrentAsOf)) >= markCurrentInterval && k.state.CurrentAsOf > 0
	k.mu.Unlock()
	if due {
		k.Apply(endpoints.Update{StillCurrent: true})
	}
}

// Run writes until life ends, and once more then.
func (k *Snapshotter) Run(life *env.Lifetime) error {
	defer life.OnEnd(k.wakeup.Notify)()
	defer k.log.Close()
	pace := &tokenBucket{rate: k.limits.WritesPerSecond, tokens: maxWriteBurst, updatedAt: k.env.Now()}
	failing, pause := "", minRetryDelay
	for {
		if !life.Ended() {
			k.wakeup.Wait(-1)
		}
		if wait := pace.reserve(k.env.Now()); wait > 0 && !life.Ended() {
			k.pause(life, wait)
		}
		last := life.Ended()
		err := k.flush()
		switch {
		case err == nil && failing != "":
			k.env.Log().Info("list_kept", "after", failing)
			failing, pause = "", minRetryDelay
		case err != nil && failing != err.Error():
			failing = err.Error()
			k.env.Log().Warn("list_not_kept", "text", failing, "again_ms", pause.Milliseconds())
		}
		if last {
			return nil
		}
		if err != nil {
			k.pause(life, pause)
			pause = min(2*pause, maxRetryDelay)
			k.wakeup.Notify()
		}
	}
}

// pause waits for a time, or until life ends.
func (k *Snapshotter) pause(life *env.Lifetime, span time.Duration) {
	over := k.env.NewNotifier()
	defer life.OnEnd(over.Notify)()
	over.Wait(span)
}

// flush brings to disk what has been told. After an error the whole state goes next.
func (k *Snapshotter) flush() error {
	k.mu.Lock()
	out, whole := k.pending, k.snapshotDue
	if !whole && k.log.Size()+int64(k.pendingBytes) > max(minCompactionSize, k.limits.MaxBytes/2) {
		whole = true
	}
	if !whole && len(out) == 0 {
		k.mu.Unlock()
		return nil
	}
	var snap []byte
	var state *endpoints.State
	if whole {
		state = k.state.Clone()
	}
	upTo := k.state.LastEvent
	k.pending, k.pendingBytes, k.snapshotDue = nil, 0, false
	k.mu.Unlock()
	var err error
	if whole {
		if snap, err = state.Snapshot(); err == nil && int64(len(snap)) > k.limits.MaxBytes {
			err = fmt.Errorf("the list takes %d bytes, list.bytes allows %d", len(snap), k.limits.MaxBytes)
		}
		if err == nil {
			err = k.log.WriteSnapshot(snap)
		}
	} else {
		err = k.log.Append(out...)
	}
	if err != nil {
		k.mu.Lock()
		k.snapshotDue, k.pending, k.pendingBytes = true, nil, 0
		k.mu.Unlock()
		return err
	}
	k.mu.Lock()
	k.durableEvent = upTo
	k.mu.Unlock()
	return nil
}

// DurableEvent is the number of the last event that a loss of power cannot take any more.
func (k *Snapshotter) DurableEvent() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.durableEvent
}

// tokenBucket allows so many writes a second.
type tokenBucket struct {
	rate, tokens float64
	updatedAt    time.Time
}

// reserve takes one and tells how long to wait before it.
func (b *tokenBucket) reserve(now time.Time) time.Duration {
	b.tokens = min(maxWriteBurst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens--
	if b.tokens >= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

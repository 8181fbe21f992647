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
const Name = "list"

const (
	mostPending = 256 << 10
	leastFile   = 64 << 10 // a record smaller than this is not compacted
	standsEvery = 15 * time.Second
	againAfter  = time.Second // after a failed write; doubled up to againMost
	againMost   = time.Minute
	burst       = 4 // writes that may follow each other at once
)

// Terms are what the operator sets.
type Terms struct {
	Bytes  int64   // of a generation on disk; a snapshot past it is not written
	Writes float64 // appends and snapshots a second, each with its sync
}

// Keeper is an open list.
type Keeper struct {
	g     env.Ground
	terms Terms
	rec   *wal.Record
	turn  env.Bell

	mu      sync.Mutex
	state   *endpoints.State
	pending [][]byte
	bytes   int             // of pending
	whole   bool            // the next write is a snapshot
	ill     map[string]bool // as last told
	kept    int64           // number of the last event on disk
}

// Open reads the list in a folder and begins a generation of its own. A folder that another process has is an error; a
// list that cannot be read is told in why and begun anew, and the generation before stays on disk.
func Open(g env.Ground, path string, terms Terms) (k *Keeper, why error, err error) {
	disk, err := g.Folder(path)
	if err != nil {
		return nil, nil, err
	}
	rec, kept, err := wal.Open(disk, Name)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	k = &Keeper{g: g, terms: terms, rec: rec, turn: g.Bell(), state: endpoints.New(), whole: true}
	if kept.Generation > 0 {
		s, fault := endpoints.Restore(kept.Snapshot, kept.Changes)
		k.state = s
		why = fault
	}
	for _, s := range kept.Skipped {
		why = errors.New(s)
	}
	k.turn.Ring() // a generation of its own
	return k, why, nil
}

// State is a copy of what is kept.
func (k *Keeper) State() *endpoints.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Clone()
}

// Told takes a change. It waits for no disk.
func (k *Keeper) Told(c endpoints.Change) {
	if k == nil {
		return
	}
	c.At = k.g.Now().UnixMilli()
	text, err := c.Encode()
	k.mu.Lock()
	k.state.Apply(c)
	switch {
	case err != nil || k.bytes+len(text) > mostPending:
		k.whole = true
	case !k.whole:
		k.pending = append(k.pending, text)
		k.bytes += len(text)
	}
	if k.whole {
		k.pending, k.bytes = nil, 0
	}
	k.mu.Unlock()
	k.turn.Ring()
}

// Learnt takes which caches are out now and which gave good answers since; it is kept when the former changed.
func (k *Keeper) Learnt(heard, ill []string) {
	if k == nil {
		return
	}
	now := map[string]bool{}
	for _, id := range ill {
		now[id] = true
	}
	k.mu.Lock()
	same := len(now) == len(k.ill)
	for id := range now {
		same = same && k.ill[id]
	}
	k.ill = now
	k.mu.Unlock()
	if !same {
		k.Told(endpoints.Change{Health: true, Heard: heard, Ill: ill})
	}
}

// Stands tells that the bulletin was heard and had nothing new.
func (k *Keeper) Stands() {
	if k == nil {
		return
	}
	k.mu.Lock()
	due := k.g.Now().Sub(time.UnixMilli(k.state.Stood)) >= standsEvery && k.state.Stood > 0
	k.mu.Unlock()
	if due {
		k.Told(endpoints.Change{Standing: true})
	}
}

// Run writes until life ends, and once more then.
func (k *Keeper) Run(life *env.Life) error {
	defer life.OnEnd(k.turn.Ring)()
	defer k.rec.Close()
	pace := &bucket{rate: k.terms.Writes, left: burst, at: k.g.Now()}
	failing, pause := "", againAfter
	for {
		if !life.Over() {
			k.turn.Wait(-1)
		}
		if wait := pace.take(k.g.Now()); wait > 0 && !life.Over() {
			k.hold(life, wait)
		}
		last := life.Over()
		err := k.write()
		switch {
		case err == nil && failing != "":
			k.g.Log().Info("list_kept", "after", failing)
			failing, pause = "", againAfter
		case err != nil && failing != err.Error():
			failing = err.Error()
			k.g.Log().Warn("list_not_kept", "text", failing, "again_ms", pause.Milliseconds())
		}
		if last {
			return nil
		}
		if err != nil {
			k.hold(life, pause)
			pause = min(2*pause, againMost)
			k.turn.Ring()
		}
	}
}

// hold waits for a time, or until life ends.
func (k *Keeper) hold(life *env.Life, span time.Duration) {
	over := k.g.Bell()
	defer life.OnEnd(over.Ring)()
	over.Wait(span)
}

// write brings to disk what has been told. After an error the whole state goes next.
func (k *Keeper) write() error {
	k.mu.Lock()
	out, whole := k.pending, k.whole
	if !whole && k.rec.Size()+int64(k.bytes) > max(leastFile, k.terms.Bytes/2) {
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
	upTo := k.state.Last
	k.pending, k.bytes, k.whole = nil, 0, false
	k.mu.Unlock()
	var err error
	if whole {
		if snap, err = state.Snapshot(); err == nil && int64(len(snap)) > k.terms.Bytes {
			err = fmt.Errorf("the list takes %d bytes, list.bytes allows %d", len(snap), k.terms.Bytes)
		}
		if err == nil {
			err = k.rec.Begin(snap)
		}
	} else {
		err = k.rec.Append(out...)
	}
	if err != nil {
		k.mu.Lock()
		k.whole, k.pending, k.bytes = true, nil, 0
		k.mu.Unlock()
		return err
	}
	k.mu.Lock()
	k.kept = upTo
	k.mu.Unlock()
	return nil
}

// Kept is the number of the last event that a loss of power cannot take any more.
func (k *Keeper) Kept() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kept
}

// bucket allows so many writes a second.
type bucket struct {
	rate, left float64
	at         time.Time
}

// take takes one and tells how long to wait before it.
func (b *bucket) take(now time.Time) time.Duration {
	b.left = min(burst, b.left+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	b.left--
	if b.left >= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(-b.left / b.rate * float64(time.Second))
}

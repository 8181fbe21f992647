// Package snapshot writes the endpoint list to disk while a gateway works and reads it at the start. An update is taken into a state in
// memory at once, under a lock that is never held over a write, and written by one goroutine: updates that came together go out in one
// synced append, at most so many a second. Lookups and the dispatcher's lock never wait for it.
//
// A disk that is full, read-only or failing costs the list on disk and nothing else: it is logged once when that changes, and tried again
// with backoff, with the complete state. Bounds: Limits.MaxBytes on disk for each of the two generations retained, and maxPendingBytes of
// updates that wait; past that the next write is a snapshot.
package snapshot

import (
	"fmt"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/store/wal"
)

// LogName is the name of the list's log in its directory.
const LogName = "list"

const (
	maxPendingBytes     = 256 << 10
	minCompactionSize   = 64 << 10 // bytes; a smaller generation is not compacted
	markCurrentInterval = 15 * time.Second
	minRetryDelay       = time.Second // after a failed write; doubled up to maxRetryDelay
	maxRetryDelay       = time.Minute
	maxWriteBurst       = 4 // writes that may follow each other at once
)

// Limits are set by the operator.
type Limits struct {
	MaxBytes        int64   // of a generation on disk; a larger snapshot is not written
	WritesPerSecond float64 // appends and snapshots, each with its sync
}

// DamagedFileError names a file that was not used because it is damaged. The list is that of the generation before.
type DamagedFileError struct{ Reason string }

// Error returns the file's name and the reason.
func (e *DamagedFileError) Error() string { return e.Reason }

// TooLargeError reports a list that is larger on disk than the operator allows. Raise list.bytes.
type TooLargeError struct{ Size, MaxSize int64 } // bytes

// Error names both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the list takes %d bytes, list.bytes allows %d", e.Size, e.MaxSize)
}

// Snapshotter is an open list on disk. All methods but Run are safe for concurrent use, and those that take news do nothing on a nil one, as
// where no list is configured.
type Snapshotter struct {
	env    env.Environment
	limits Limits
	log    *wal.Log     // owned by the goroutine of Run
	wakeup env.Notifier // of that goroutine

	mu           sync.Mutex // of what follows
	state        *endpoints.State
	pending      [][]byte // encoded updates that are not written
	pendingBytes int
	snapshotDue  bool            // the next write is a snapshot, and pending stays empty
	ejected      map[string]bool // ids as last reported
	durableEvent int64
}

// Open reads the list in a directory and locks it. A directory that another process has open is an error. If the list can't be read in full,
// damage says why: the snapshotter has what could be read, and the generation with the damage stays on disk as long as it is one of the two
// newest. Run must follow, since it closes the list.
func Open(e env.Environment, path string, limits Limits) (s *Snapshotter, damage error, err error) {
	directory, err := e.OpenDirectory(path)
	if err != nil {
		return nil, nil, err
	}
	log, contents, err := wal.Open(directory, LogName)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	s = &Snapshotter{env: e, limits: limits, log: log, wakeup: e.NewNotifier(), state: endpoints.New(), snapshotDue: true}
	if contents.Generation > 0 {
		s.state, damage = endpoints.Restore(contents.Snapshot, contents.Changes)
	}
	for _, reason := range contents.Skipped {
		damage = &DamagedFileError{reason}
	}
	s.wakeup.Notify() // to begin a generation of its own
	return s, damage, nil
}

// State returns a copy of the list.
func (s *Snapshotter) State() *endpoints.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Clone()
}

// Apply takes an update, with the present time. It does not wait for the disk.
func (s *Snapshotter) Apply(update endpoints.Update) {
	if s == nil {
		return
	}
	update.At = s.env.Now().UnixMilli()
	encoded, err := update.Encode()
	s.mu.Lock()
	s.state.Apply(update)
	switch {
	case err != nil || s.pendingBytes+len(encoded) > maxPendingBytes:
		s.requireSnapshot()
	case !s.snapshotDue:
		s.pending = append(s.pending, encoded)
		s.pendingBytes += len(encoded)
	}
	s.mu.Unlock()
	s.wakeup.Notify()
}

// requireSnapshot makes the next write a snapshot. The lock is held.
func (s *Snapshotter) requireSnapshot() {
	s.snapshotDue = true
	s.pending = nil
	s.pendingBytes = 0
}

// UpdateHealth takes which caches are ejected now and which responded successfully since the last call. The list is updated if the former
// changed.
func (s *Snapshotter) UpdateHealth(responded, ejected []string) {
	if s == nil {
		return
	}
	now := map[string]bool{}
	for _, id := range ejected {
		now[id] = true
	}
	s.mu.Lock()
	isEqual := len(now) == len(s.ejected)
	for id := range now {
		isEqual = isEqual && s.ejected[id]
	}
	s.ejected = now
	s.mu.Unlock()
	if !isEqual {
		s.Apply(endpoints.Update{HasHealth: true, Responded: responded, Ejected: ejected})
	}
}

// MarkCurrent takes that discovery responded and had no changes. The list is updated at most once in markCurrentInterval.
func (s *Snapshotter) MarkCurrent() {
	if s == nil {
		return
	}
	s.mu.Lock()
	isDue := s.env.Now().Sub(time.UnixMilli(s.state.CurrentAsOf)) >= markCurrentInterval && s.state.CurrentAsOf > 0
	s.mu.Unlock()
	if isDue {
		s.Apply(endpoints.Update{StillCurrent: true})
	}
}

// DurableEvent returns the number of the last discovery event that is safe on disk.
func (s *Snapshotter) DurableEvent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durableEvent
}

// Package snapshot writes the endpoint list to disk while the gateway runs and reads it at the start. Each update is
// applied at once to a state in memory, under a lock that is never held during a write. One goroutine writes to disk. It
// combines the pending updates into one synced append, and the rate of its writes is limited. Lookups and the
// dispatcher's lock never wait for a write.
//
// If the disk is full, read-only or failing, only the list on disk is affected. A write error is logged if it differs
// from the previous one, and the recovery is logged once. Writes are retried with backoff, and each retry writes the
// complete state.
//
// Limits.MaxBytes bounds the size of each of the two generations retained on disk. maxPendingBytes bounds the updates
// that wait for a write. Above it the next write is a snapshot, which replaces these updates. A Snapshotter lives as
// long as the gateway.
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
	minCompactionSize   = 64 << 10 // bytes; smaller generations are not compacted
	markCurrentInterval = 15 * time.Second
	minRetryDelay       = time.Second // after the first failed write; doubles up to maxRetryDelay
	maxRetryDelay       = time.Minute
	maxWriteBurst       = 4 // writes allowed in succession without a delay
)

// Limits are the limits that the operator sets.
type Limits struct {
	MaxBytes        int64   // size limit of a generation on disk; a larger snapshot is not written
	WritesPerSecond float64 // limit for appends and snapshots, each of which is synced
}

// DamagedFileError reports a generation's file that was skipped because it is damaged. The list was read from an older
// generation.
type DamagedFileError struct{ Reason string }

// Error returns the file's name and the reason.
func (e *DamagedFileError) Error() string { return e.Reason }

// TooLargeError reports a list whose snapshot is larger than the operator allows. The remedy is to raise list.bytes.
type TooLargeError struct{ Size, MaxSize int64 } // bytes

// Error returns both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the list's snapshot has %d bytes, list.bytes allows %d", e.Size, e.MaxSize)
}

// Snapshotter is an open list on disk. All methods except Run are safe for concurrent use. Apply, UpdateHealth and
// MarkCurrent do nothing on a nil Snapshotter, which a gateway without a configured list uses.
type Snapshotter struct {
	env    env.Environment
	limits Limits
	log    *wal.Log     // used only by the goroutine of Run
	wakeup env.Notifier // wakes the goroutine of Run

	mu           sync.Mutex // guards the fields below
	state        *endpoints.State
	pending      [][]byte // encoded updates that wait for a write
	pendingBytes int
	snapshotDue  bool            // the next write is a snapshot; until then pending stays empty
	ejected      map[string]bool // ids of the ejected caches in the last call of UpdateHealth
	durableEvent int64
}

// Open locks a directory and reads the list in it. It fails if another process has the directory open. If part of the
// list cannot be read, damage is the reason, and the snapshotter holds the part that could be read. The damaged
// generation stays on disk as long as it is one of the two newest. The caller must call Run, which closes the list.
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
	s.wakeup.Notify() // Run then begins a new generation
	return s, damage, nil
}

// State returns a copy of the list.
func (s *Snapshotter) State() *endpoints.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Clone()
}

// Apply applies an update with the current time and queues it for the next write. It does not wait for the disk.
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

// requireSnapshot makes the next write a snapshot and drops the pending updates, which the snapshot contains. The caller
// holds s.mu.
func (s *Snapshotter) requireSnapshot() {
	s.snapshotDue = true
	s.pending = nil
	s.pendingBytes = 0
}

// UpdateHealth receives the ids of the caches that responded successfully since the last call and of those that are
// ejected now. It updates the list only if the set of ejected caches has changed.
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

// MarkCurrent records that discovery responded and reported no changes. It updates the list at most once per
// markCurrentInterval.
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

// DurableEvent returns the number of the last discovery event that is synced to disk.
func (s *Snapshotter) DurableEvent() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.durableEvent
}

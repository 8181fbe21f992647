// Package wal stores a state on disk as a write-ahead log, which is a snapshot followed by the changes since. Each entry
// has a checksum. After a truncation, a flipped byte or a kill at any point, the newest complete state is read back, and
// never a mix of two states.
//
// A log is a set of files NAME-GENERATION.rec in a directory. A new generation is written under a temporary name, synced
// and renamed, and the directory is synced. Only then does the generation take effect. The previous generation is
// retained. Open reads the newest generation whose snapshot is complete, and its changes up to the first incomplete or
// damaged one. Later changes may depend on a damaged one, so they are lost with it. After Open the log must begin a new
// generation, so that nothing is ever appended after a torn entry.
//
// The package does not interpret the snapshots and changes that it stores.
package wal

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"foldslip/internal/env"
)

// Directory holds the files of a log. File is one of them.
type (
	Directory = env.Directory
	File      = env.File
)

// ErrLocked reports that another process has the directory open. The remedy is to stop that process or to use another
// directory.
var ErrLocked = env.ErrLocked

// ErrSnapshotNeeded reports an Append to a log that has not begun a generation yet or whose last write has failed.
var ErrSnapshotNeeded = errors.New("the log needs a snapshot before it accepts changes")

// TooLargeError reports an entry that is larger than MaxEntrySize. Nothing was written.
type TooLargeError struct {
	Kind string // kind of the entry: snapshot or change
	Size int    // bytes
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s has %d bytes, the limit is %d", e.Kind, e.Size, MaxEntrySize)
}

// ShortWriteError reports a write that wrote fewer bytes than it was given and returned no error. The disk may be full.
type ShortWriteError struct{ Written, Size int }

// Error returns both sizes.
func (e *ShortWriteError) Error() string {
	return fmt.Sprintf("short write: wrote %d of %d bytes", e.Written, e.Size)
}

// Contents is the content of a log at the time of reading.
type Contents struct {
	Generation uint64   // 0 if no generation could be read
	Snapshot   []byte   // nil if no generation could be read
	Changes    [][]byte // changes since the snapshot, oldest first
	LostBytes  int      // number of bytes after the last complete entry of the generation
	Skipped    []string // newer files that could not be used, each with the reason
}

// Log is an open log. It is owned by the caller of Open. A lock on the directory ensures that only one process at a time
// has the log open. A Log is not safe for concurrent use.
type Log struct {
	directory  Directory
	name       string
	unlock     func()
	generation uint64
	file       File   // file of the current generation; nil before the first snapshot
	entryCount uint64 // number of entries in file
	size       int64  // size of file in bytes
	writeErr   error  // error of the last write; if set, the next write must be a snapshot
}

// Read reads a log without changing or locking it.
func Read(directory Directory, name string) (Contents, error) {
	var contents Contents
	names, err := directory.Names()
	if err != nil {
		return contents, err
	}
	for _, generation := range slices.Backward(generations(names, name)) {
		file := fileName(name, generation)
		content, err := directory.Read(file)
		if err != nil {
			return contents, err
		}
		entries, lostBytes, err := parseGeneration(content, generation)
		if errors.Is(err, ErrNewerFormat) {
			return contents, fmt.Errorf("%s: %w", file, err)
		}
		if err != nil {
			contents.Skipped = append(contents.Skipped, fmt.Sprintf("%s: %v", file, err))
			continue
		}
		contents.Generation = generation
		contents.Snapshot = entries[0]
		contents.Changes = entries[1:]
		contents.LostBytes = lostBytes
		return contents, nil
	}
	return contents, nil
}

// Open locks the directory and reads the log. The caller must call WriteSnapshot before the first Append, and Close at
// the end.
func Open(directory Directory, name string) (*Log, Contents, error) {
	unlock, err := directory.Lock()
	if err != nil {
		return nil, Contents{}, err
	}
	contents, err := Read(directory, name)
	if err != nil {
		unlock()
		return nil, contents, err
	}
	newest := contents.Generation
	// The numbers of newer generations that cannot be used are skipped as well, so that their files are not overwritten.
	if names, err := directory.Names(); err == nil {
		if all := generations(names, name); len(all) > 0 {
			newest = max(newest, all[len(all)-1])
		}
	}
	return &Log{directory: directory, name: name, unlock: unlock, generation: newest}, contents, nil
}

// WriteSnapshot begins a new generation with a snapshot. The previous generation remains in effect until WriteSnapshot
// has returned without an error.
func (l *Log) WriteSnapshot(snapshot []byte) error {
	if len(snapshot) > MaxEntrySize {
		return &TooLargeError{"snapshot", len(snapshot)}
	}
	generation := l.generation + 1
	content := appendEntry(appendHeader(nil, generation), generation, 0, snapshot)
	file, err := l.createGeneration(generation, content)
	if err != nil {
		return l.recordFailure(err)
	}
	if l.file != nil {
		l.file.Close()
	}
	before := l.generation
	l.file = file
	l.generation = generation
	l.entryCount = 1
	l.size = int64(len(content))
	l.writeErr = nil
	l.removeOlderThan(before)
	return nil
}

// createGeneration writes the file of a new generation. It returns the open file after the content and the final name
// have been synced to disk.
func (l *Log) createGeneration(generation uint64, content []byte) (File, error) {
	temporary := l.name + ".new"
	file, err := l.directory.Create(temporary)
	if err != nil {
		return nil, err
	}
	if err := l.publish(file, temporary, fileName(l.name, generation), content); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

func (l *Log) publish(file File, temporary, final string, content []byte) error {
	if err := writeAll(file, content); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := l.directory.Rename(temporary, final); err != nil {
		return err
	}
	return l.directory.Sync()
}

// removeOlderThan removes the files of the generations below the given one. It ignores errors, because a file that
// cannot be removed now is removed with a later generation.
func (l *Log) removeOlderThan(generation uint64) {
	names, err := l.directory.Names()
	if err != nil {
		return
	}
	for _, g := range generations(names, l.name) {
		if g < generation {
			l.directory.Remove(fileName(l.name, g))
		}
	}
}

// Append appends changes to the current generation with a single sync. After an error the changes may be lost, and the
// caller must call WriteSnapshot before the next Append.
func (l *Log) Append(changes ...[]byte) error {
	if l.writeErr != nil {
		return fmt.Errorf("%w: %w", ErrSnapshotNeeded, l.writeErr)
	}
	if l.file == nil {
		return ErrSnapshotNeeded
	}
	var content []byte
	for i, change := range changes {
		if len(change) > MaxEntrySize {
			return &TooLargeError{"change", len(change)}
		}
		content = appendEntry(content, l.generation, l.entryCount+uint64(i), change)
	}
	if err := writeAll(l.file, content); err != nil {
		return l.recordFailure(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.recordFailure(err)
	}
	l.entryCount += uint64(len(changes))
	l.size += int64(len(content))
	return nil
}

func (l *Log) recordFailure(err error) error {
	l.writeErr = err
	return err
}

// Size returns the size of the current generation in bytes.
func (l *Log) Size() int64 { return l.size }

// Generation returns the number of the current generation.
func (l *Log) Generation() uint64 { return l.generation }

// Close closes the file and unlocks the directory.
func (l *Log) Close() error {
	var err error
	if l.file != nil {
		err = l.file.Close()
	}
	l.unlock()
	return err
}

// RemoveAll removes all generations of a log and returns the number of files removed.
func RemoveAll(directory Directory, name string) (removed int, err error) {
	unlock, err := directory.Lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	names, err := directory.Names()
	if err != nil {
		return 0, err
	}
	for _, generation := range generations(names, name) {
		if err := directory.Remove(fileName(name, generation)); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, directory.Sync()
}

func fileName(name string, generation uint64) string {
	return fmt.Sprintf("%s-%d.rec", name, generation)
}

// generations returns the generation numbers of a log's files in ascending order.
func generations(files []string, name string) (numbers []uint64) {
	for _, file := range files {
		digits, hasPrefix := strings.CutPrefix(file, name+"-")
		digits, hasSuffix := strings.CutSuffix(digits, ".rec")
		if !hasPrefix || !hasSuffix {
			continue
		}
		if number, err := strconv.ParseUint(digits, 10, 63); err == nil && number > 0 && fileName(name, number) == file {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func writeAll(file File, content []byte) error {
	written, err := file.Write(content)
	if err == nil && written < len(content) {
		err = &ShortWriteError{written, len(content)}
	}
	return err
}

// Package wal keeps a state on disk as a write-ahead log: a snapshot, then the changes since, each with a checksum. What can be read back
// after any cut, flipped byte or kill is the newest complete state, never a mix of two.
//
// A log is a set of files NAME-GENERATION.rec in a directory. A generation is written under another name, synced, renamed and the directory
// synced before it counts; the generation before it is retained. Opening reads the newest generation whose snapshot is complete, with the
// changes behind it up to the first that is not. The log then has to begin a generation of its own: nothing is ever appended behind a torn
// end. What follows a damaged change is lost with it, since later changes may build on it.
//
// The package knows nothing of what it stores.
package wal

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"foldslip/internal/env"
)

// Directory is where the files of a log are, and File is one of them.
type (
	Directory = env.Directory
	File      = env.File
)

// ErrLocked reports that another process has the directory open. Stop it, or name another directory.
var ErrLocked = env.ErrLocked

// ErrSnapshotNeeded reports an Append to a log whose generation cannot take it: there is none, or a write to it has failed.
var ErrSnapshotNeeded = errors.New("a snapshot must be written first")

// TooLargeError reports an entry that is larger than MaxEntrySize. Nothing was written.
type TooLargeError struct {
	Kind string // of entry: snapshot or change
	Size int    // bytes
}

// Error names the size and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a %s of %d bytes, at most %d can be kept", e.Kind, e.Size, MaxEntrySize)
}

// ShortWriteError reports a write that took fewer bytes than it was given and no other error. The disk may be full.
type ShortWriteError struct{ Written, Size int }

// Error names both sizes.
func (e *ShortWriteError) Error() string {
	return fmt.Sprintf("only %d of %d bytes were written", e.Written, e.Size)
}

// Contents is what a log held when it was read.
type Contents struct {
	Generation uint64   // 0: there was none
	Snapshot   []byte   // nil: there was none
	Changes    [][]byte // since the snapshot, oldest first
	LostBytes  int      // behind the last complete entry of the generation
	Skipped    []string // newer files that are not complete, with the reason
}

// Log is an open log. Its owner is the caller of Open, one process at a time by a lock on the directory. It is not safe for concurrent use.
type Log struct {
	directory  Directory
	name       string
	unlock     func()
	generation uint64
	file       File   // of the generation; nil before the first snapshot
	entryCount uint64 // in file
	size       int64  // of file
	writeErr   error  // the last write failed: the next must be a snapshot
}

// Read reads a log and changes nothing. It takes no lock.
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

// Open locks the directory and reads the log. WriteSnapshot must follow before Append, and Close at the end.
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
	if names, err := directory.Names(); err == nil { // a newer one that is not complete is never overwritten
		if all := generations(names, name); len(all) > 0 {
			newest = max(newest, all[len(all)-1])
		}
	}
	return &Log{directory: directory, name: name, unlock: unlock, generation: newest}, contents, nil
}

// WriteSnapshot begins a new generation with a snapshot. Until it has returned without an error, the generation before counts.
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

// createGeneration writes the file of a new generation and returns it, open, once it is safe on disk under its name.
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

// removeOlderThan removes the files of older generations. A file that cannot be removed now goes with a later one.
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

// Append adds changes and syncs them together. After an error they may be lost, and WriteSnapshot must follow.
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

// RemoveAll removes all generations of a log and returns how many files it removed.
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

// generations returns the numbers of a log's files in rising order.
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

// Package wal keeps a state on disk as an append-only record: a snapshot, then the changes since, each with a checksum.
// The newest whole state is what can be read back after any cut, flipped byte or kill; never a mix of two.
//
// A record is a folder with files NAME-GENERATION.rec. A generation is written aside, synced, renamed and the folder
// synced before it counts; the generation before is kept. Opening takes the newest generation whose snapshot is whole, with
// the changes behind it up to the first that is not, and begins a generation of its own: nothing is ever appended behind a
// torn end. What follows a byte that was flipped is given up with it, since later changes may build on the lost one.
//
// The package knows nothing of what it keeps. Its owner is whoever opened it; one process at a time, by a lock on the
// folder. Not for several goroutines at once.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foldslip/internal/env"
)

const (
	magic = "foldslip"
	// Form is the form of files: an older one is read, a newer one refused.
	FormatVersion   = 1
	headerSize      = len(magic) + 4 + 8 + 8 // magic, form, generation, checksum
	entryHeaderSize = 4 + 8                  // length, checksum
	// MostEntry is how many bytes one snapshot or change may have.
	MaxEntrySize = 16 << 20
)

// Directory is the folder of a record, and File a file in it.
type (
	Directory = env.Directory
	File      = env.File
)

// ErrLocked tells that another process has the folder.
var ErrLocked = env.ErrLocked

// ErrNewer tells that the files are of a newer form than this program reads.
var ErrNewerFormat = errors.New("the files are of a newer form than this program reads")

// Contents is what a record held when it was read.
type Contents struct {
	Generation uint64   // 0: there was none
	Snapshot   []byte   // nil: none
	Changes    [][]byte // since, oldest first
	LostBytes  int      // bytes behind the last whole entry of that generation
	Skipped    []string // files that were newer and not whole, with the reason
}

// Log is an open record.
type Log struct {
	directory  Directory
	name       string
	unlock     func()
	generation uint64
	file       File
	entryCount uint64 // entries in the file
	size       int64
	writeErr   error // the last write did not come through: the next must be a snapshot
}

// Read reads a record and changes nothing.
func Read(disk Directory, name string) (Contents, error) {
	var kept Contents
	names, err := disk.Names()
	if err != nil {
		return kept, err
	}
	gens := generations(names, name)
	for i := len(gens) - 1; i >= 0; i-- {
		file := fileName(name, gens[i])
		text, err := disk.Read(file)
		if err != nil {
			return kept, err
		}
		entries, lost, err := parseGeneration(text, gens[i])
		if errors.Is(err, ErrNewerFormat) {
			return kept, fmt.Errorf("%s: %w", file, err)
		}
		if err != nil {
			kept.Skipped = append(kept.Skipped, fmt.Sprintf("%s: %v", file, err))
			continue
		}
		kept.Generation, kept.Snapshot, kept.Changes, kept.LostBytes = gens[i], entries[0], entries[1:], lost
		return kept, nil
	}
	return kept, nil
}

// Open takes the folder and reads what it holds. Begin must follow before Append.
func Open(disk Directory, name string) (*Log, Contents, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, Contents{}, err
	}
	kept, err := Read(disk, name)
	if err != nil {
		unlock()
		return nil, kept, err
	}
	gen := kept.Generation
	if names, err := disk.Names(); err == nil { // a newer one that is not whole is never written over
		if all := generations(names, name); len(all) > 0 {
			gen = max(gen, all[len(all)-1])
		}
	}
	return &Log{directory: disk, name: name, unlock: unlock, generation: gen}, kept, nil
}

// WriteSnapshot writes a snapshot as a new generation. Until it has returned well the generation before counts.
func (r *Log) WriteSnapshot(snapshot []byte) error {
	if len(snapshot) > MaxEntrySize {
		return fmt.Errorf("a snapshot of %d bytes, at most %d can be kept", len(snapshot), MaxEntrySize)
	}
	gen := r.generation + 1
	aside := r.name + ".new"
	file, err := r.directory.Create(aside)
	if err != nil {
		return r.recordFailure(err)
	}
	text := appendEntry(appendHeader(nil, gen), gen, 0, snapshot)
	for _, step := range []func() error{
		func() error { return writeAll(file, text) },
		file.Sync,
		func() error { return r.directory.Rename(aside, fileName(r.name, gen)) },
		r.directory.Sync,
	} {
		if err := step(); err != nil {
			file.Close()
			return r.recordFailure(err)
		}
	}
	if r.file != nil {
		r.file.Close()
	}
	before := r.generation
	r.file, r.generation, r.entryCount, r.size, r.writeErr = file, gen, 1, int64(len(text)), nil
	names, err := r.directory.Names()
	if err != nil {
		return nil // what is too old goes another time
	}
	for _, g := range generations(names, r.name) {
		if g < before {
			r.directory.Remove(fileName(r.name, g))
		}
	}
	return nil
}

// Append adds changes and syncs them together. After an error they may be lost, and a Begin must follow.
func (r *Log) Append(changes ...[]byte) error {
	if r.file == nil || r.writeErr != nil {
		return fmt.Errorf("a snapshot must be written first: %w", r.writeErr)
	}
	var text []byte
	for i, c := range changes {
		if len(c) > MaxEntrySize {
			return fmt.Errorf("a change of %d bytes, at most %d can be kept", len(c), MaxEntrySize)
		}
		text = appendEntry(text, r.generation, r.entryCount+uint64(i), c)
	}
	if err := writeAll(r.file, text); err != nil {
		return r.recordFailure(err)
	}
	if err := r.file.Sync(); err != nil {
		return r.recordFailure(err)
	}
	r.entryCount += uint64(len(changes))
	r.size += int64(len(text))
	return nil
}

func (r *Log) recordFailure(err error) error {
	r.writeErr = err
	return err
}

// Size is how many bytes the generation under way has.
func (r *Log) Size() int64 { return r.size }

// Generation is the number of the generation under way.
func (r *Log) Generation() uint64 { return r.generation }

// Close gives the folder back.
func (r *Log) Close() error {
	var err error
	if r.file != nil {
		err = r.file.Close()
	}
	r.unlock()
	return err
}

// RemoveAll removes all generations.
func RemoveAll(disk Directory, name string) (files int, err error) {
	unlock, err := disk.Lock()
	if err != nil {
		return 0, err
	}
	defer unlock()
	names, err := disk.Names()
	if err != nil {
		return 0, err
	}
	for _, g := range generations(names, name) {
		if err := disk.Remove(fileName(name, g)); err != nil {
			return files, err
		}
		files++
	}
	return files, disk.Sync()
}

func fileName(name string, gen uint64) string { return fmt.Sprintf("%s-%d.rec", name, gen) }

// generations are the numbers of a record's files, rising.
func generations(names []string, name string) (gens []uint64) {
	for _, n := range names {
		digits, ok := strings.CutPrefix(n, name+"-")
		digits, ok2 := strings.CutSuffix(digits, ".rec")
		if !ok || !ok2 {
			continue
		}
		if g, err := strconv.ParseUint(digits, 10, 63); err == nil && g > 0 && fileName(name, g) == n {
			gens = append(gens, g)
		}
	}
	slices.Sort(gens)
	return gens
}

func writeAll(f File, b []byte) error {
	n, err := f.Write(b)
	if err == nil && n < len(b) {
		err = fmt.Errorf("only %d of %d bytes were written", n, len(b))
	}
	return err
}

func appendHeader(b []byte, gen uint64) []byte { return append(b, Header(FormatVersion, gen)...) }

// Header is the head of a generation's file.
func Header(form uint32, gen uint64) (b []byte) {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, form)
	b = binary.LittleEndian.AppendUint64(b, gen)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// entryChecksum is over the entry and its place, so that bytes of an older file at the same place do not pass for it.
func entryChecksum(gen, no uint64, entry []byte) uint64 {
	var place [20]byte
	binary.LittleEndian.PutUint64(place[:], gen)
	binary.LittleEndian.PutUint64(place[8:], no)
	binary.LittleEndian.PutUint32(place[16:], uint32(len(entry)))
	h := xxhash.New()
	h.Write(place[:])
	h.Write(entry)
	return h.Sum64()
}

func appendEntry(b []byte, gen, no uint64, entry []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(entry)))
	b = binary.LittleEndian.AppendUint64(b, entryChecksum(gen, no, entry))
	return append(b, entry...)
}

// parseGeneration gives the entries of a file up to the first that is not whole; the first must be.
func parseGeneration(text []byte, gen uint64) (entries [][]byte, lost int, err error) {
	if len(text) < headerSize || string(text[:len(magic)]) != magic {
		return nil, 0, errors.New("no head of a record")
	}
	head := text[:headerSize]
	form := binary.LittleEndian.Uint32(head[len(magic):])
	if xxhash.Sum64(head[:headerSize-8]) != binary.LittleEndian.Uint64(head[headerSize-8:]) {
		return nil, 0, errors.New("the head's checksum does not hold")
	}
	if form > FormatVersion {
		return nil, 0, ErrNewerFormat
	}
	if got := binary.LittleEndian.Uint64(head[len(magic)+4:]); got != gen {
		return nil, 0, fmt.Errorf("the head is of generation %d", got)
	}
	rest := text[headerSize:]
	for len(rest) >= entryHeaderSize {
		n := int(binary.LittleEndian.Uint32(rest))
		if n > MaxEntrySize || len(rest) < entryHeaderSize+n {
			break
		}
		entry := rest[entryHeaderSize : entryHeaderSize+n]
		if entryChecksum(gen, uint64(len(entries)), entry) != binary.LittleEndian.Uint64(rest[4:]) {
			break
		}
		entries = append(entries, slices.Clip(entry))
		rest = rest[entryHeaderSize+n:]
	}
	if len(entries) == 0 {
		return nil, 0, errors.New("the snapshot is not whole")
	}
	return entries, len(rest), nil
}

// IsNotExist tells whether an error says that a file or folder is not there.
func IsNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

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
	Form     = 1
	headSize = len(magic) + 4 + 8 + 8 // magic, form, generation, checksum
	lineSize = 4 + 8                  // length, checksum
	// MostEntry is how many bytes one snapshot or change may have.
	MostEntry = 16 << 20
)

// Disk is the folder of a record, and File a file in it.
type (
	Disk = env.Disk
	File = env.File
)

// ErrLocked tells that another process has the folder.
var ErrLocked = env.ErrLocked

// ErrNewer tells that the files are of a newer form than this program reads.
var ErrNewer = errors.New("the files are of a newer form than this program reads")

// Kept is what a record held when it was read.
type Kept struct {
	Generation uint64   // 0: there was none
	Snapshot   []byte   // nil: none
	Changes    [][]byte // since, oldest first
	Lost       int      // bytes behind the last whole entry of that generation
	Skipped    []string // files that were newer and not whole, with the reason
}

// Record is an open record.
type Record struct {
	disk   Disk
	name   string
	unlock func()
	gen    uint64
	file   File
	count  uint64 // entries in the file
	size   int64
	failed error // the last write did not come through: the next must be a snapshot
}

// Read reads a record and changes nothing.
func Read(disk Disk, name string) (Kept, error) {
	var kept Kept
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
		entries, lost, err := parse(text, gens[i])
		if errors.Is(err, ErrNewer) {
			return kept, fmt.Errorf("%s: %w", file, err)
		}
		if err != nil {
			kept.Skipped = append(kept.Skipped, fmt.Sprintf("%s: %v", file, err))
			continue
		}
		kept.Generation, kept.Snapshot, kept.Changes, kept.Lost = gens[i], entries[0], entries[1:], lost
		return kept, nil
	}
	return kept, nil
}

// Open takes the folder and reads what it holds. Begin must follow before Append.
func Open(disk Disk, name string) (*Record, Kept, error) {
	unlock, err := disk.Lock()
	if err != nil {
		return nil, Kept{}, err
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
	return &Record{disk: disk, name: name, unlock: unlock, gen: gen}, kept, nil
}

// Begin writes a snapshot as a new generation. Until it has returned well the generation before counts.
func (r *Record) Begin(snapshot []byte) error {
	if len(snapshot) > MostEntry {
		return fmt.Errorf("a snapshot of %d bytes, at most %d can be kept", len(snapshot), MostEntry)
	}
	gen := r.gen + 1
	aside := r.name + ".new"
	file, err := r.disk.Create(aside)
	if err != nil {
		return r.fail(err)
	}
	text := appendEntry(appendHead(nil, gen), gen, 0, snapshot)
	for _, step := range []func() error{
		func() error { return writeAll(file, text) },
		file.Sync,
		func() error { return r.disk.Rename(aside, fileName(r.name, gen)) },
		r.disk.Sync,
	} {
		if err := step(); err != nil {
			file.Close()
			return r.fail(err)
		}
	}
	if r.file != nil {
		r.file.Close()
	}
	before := r.gen
	r.file, r.gen, r.count, r.size, r.failed = file, gen, 1, int64(len(text)), nil
	names, err := r.disk.Names()
	if err != nil {
		return nil // what is too old goes another time
	}
	for _, g := range generations(names, r.name) {
		if g < before {
			r.disk.Remove(fileName(r.name, g))
		}
	}
	return nil
}

// Append adds changes and syncs them together. After an error they may be lost, and a Begin must follow.
func (r *Record) Append(changes ...[]byte) error {
	if r.file == nil || r.failed != nil {
		return fmt.Errorf("a snapshot must be written first: %w", r.failed)
	}
	var text []byte
	for i, c := range changes {
		if len(c) > MostEntry {
			return fmt.Errorf("a change of %d bytes, at most %d can be kept", len(c), MostEntry)
		}
		text = appendEntry(text, r.gen, r.count+uint64(i), c)
	}
	if err := writeAll(r.file, text); err != nil {
		return r.fail(err)
	}
	if err := r.file.Sync(); err != nil {
		return r.fail(err)
	}
	r.count += uint64(len(changes))
	r.size += int64(len(text))
	return nil
}

func (r *Record) fail(err error) error {
	r.failed = err
	return err
}

// Size is how many bytes the generation under way has.
func (r *Record) Size() int64 { return r.size }

// Generation is the number of the generation under way.
func (r *Record) Generation() uint64 { return r.gen }

// Close gives the folder back.
func (r *Record) Close() error {
	var err error
	if r.file != nil {
		err = r.file.Close()
	}
	r.unlock()
	return err
}

// Forget removes all generations.
func Forget(disk Disk, name string) (files int, err error) {
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

func appendHead(b []byte, gen uint64) []byte { return append(b, Head(Form, gen)...) }

// Head is the head of a generation's file.
func Head(form uint32, gen uint64) (b []byte) {
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, form)
	b = binary.LittleEndian.AppendUint64(b, gen)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// sum is over the entry and its place, so that bytes of an older file at the same place do not pass for it.
func sum(gen, no uint64, entry []byte) uint64 {
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
	b = binary.LittleEndian.AppendUint64(b, sum(gen, no, entry))
	return append(b, entry...)
}

// parse gives the entries of a file up to the first that is not whole; the first must be.
func parse(text []byte, gen uint64) (entries [][]byte, lost int, err error) {
	if len(text) < headSize || string(text[:len(magic)]) != magic {
		return nil, 0, errors.New("no head of a record")
	}
	head := text[:headSize]
	form := binary.LittleEndian.Uint32(head[len(magic):])
	if xxhash.Sum64(head[:headSize-8]) != binary.LittleEndian.Uint64(head[headSize-8:]) {
		return nil, 0, errors.New("the head's checksum does not hold")
	}
	if form > Form {
		return nil, 0, ErrNewer
	}
	if got := binary.LittleEndian.Uint64(head[len(magic)+4:]); got != gen {
		return nil, 0, fmt.Errorf("the head is of generation %d", got)
	}
	rest := text[headSize:]
	for len(rest) >= lineSize {
		n := int(binary.LittleEndian.Uint32(rest))
		if n > MostEntry || len(rest) < lineSize+n {
			break
		}
		entry := rest[lineSize : lineSize+n]
		if sum(gen, uint64(len(entries)), entry) != binary.LittleEndian.Uint64(rest[4:]) {
			break
		}
		entries = append(entries, slices.Clip(entry))
		rest = rest[lineSize+n:]
	}
	if len(entries) == 0 {
		return nil, 0, errors.New("the snapshot is not whole")
	}
	return entries, len(rest), nil
}

// IsMissing tells whether an error says that a file or folder is not there.
func IsMissing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

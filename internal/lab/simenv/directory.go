package simenv

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"foldslip/internal/store/wal"
)

// Directory is a directory whose machine may lose power: what was not synced is then there in part or not at all. It implements
// env.Directory, and outlives its processes.
type Directory struct {
	// OpsLeft is how many more operations succeed; below 0 all do. At 0 every operation fails with ErrPower.
	OpsLeft int
	// Ops counts operations.
	Ops    int
	files  map[string]*inode // as the running system has the directory
	synced map[string]*inode // as it is after a loss of power
	locked bool
}

// inode is the content of a file.
type inode struct {
	data        []byte
	syncedBytes int
}

// ErrPower is the error of a directory without power.
var ErrPowerLoss = errors.New("the disk has no power")

// NewDirectory makes an empty directory.
func NewDirectory() *Directory {
	return &Directory{OpsLeft: -1, files: map[string]*inode{}, synced: map[string]*inode{}}
}

func (d *Directory) countOp() error {
	if d.OpsLeft == 0 {
		return ErrPowerLoss
	}
	d.OpsLeft = max(-1, d.OpsLeft-1)
	d.Ops++
	return nil
}

// Crash is a loss of power: of what was not synced a random part survives. Afterwards the directory works again.
func (d *Directory) Crash(rng *rand.Rand) {
	d.OpsLeft = -1
	d.locked = false
	if rng.IntN(2) == 0 { // renames and removals that were not synced may have reached the disk
		d.synced = d.files
	}
	d.files = map[string]*inode{}
	for _, name := range slices.Sorted(maps.Keys(d.synced)) {
		d.files[name] = d.synced[name].afterCrash(rng)
	}
	d.synced = maps.Clone(d.files)
}

// afterCrash is what is left of a file.
func (i *inode) afterCrash(rng *rand.Rand) *inode {
	left := slices.Clone(i.data[:i.syncedBytes+rng.IntN(len(i.data)-i.syncedBytes+1)])
	if len(left) > i.syncedBytes && rng.IntN(4) == 0 { // a block that was being written may hold anything
		left[i.syncedBytes+rng.IntN(len(left)-i.syncedBytes)] ^= byte(1 + rng.IntN(255))
	}
	return &inode{left, len(left)}
}

// Corrupt changes a byte of a file, or truncates the file there.
func (d *Directory) Corrupt(name string, at int, truncate bool) {
	i := d.files[name]
	if truncate {
		i.data = i.data[:at]
	} else {
		i.data[at] ^= 0x40
	}
	i.syncedBytes = len(i.data)
}

// Size is the length of a file, -1 where there is none.
func (d *Directory) Size(name string) int {
	if i := d.files[name]; i != nil {
		return len(i.data)
	}
	return -1
}

// Copy returns a directory with the same files, all synced.
func (d *Directory) Copy() *Directory {
	c := NewDirectory()
	for name, i := range d.files {
		c.files[name] = &inode{slices.Clone(i.data), len(i.data)}
		c.synced[name] = c.files[name]
	}
	return c
}

// Names returns the names of the files, sorted.
func (d *Directory) Names() ([]string, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	return slices.Sorted(maps.Keys(d.files)), nil
}

// Read returns the content of a file.
func (d *Directory) Read(name string) ([]byte, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	i := d.files[name]
	if i == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return slices.Clone(i.data), nil
}

// Create makes an empty file.
func (d *Directory) Create(name string) (wal.File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.files[name] = i
	return &file{d, i}, nil
}

// Rename renames a file.
func (d *Directory) Rename(from, to string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	i := d.files[from]
	if i == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.files, from)
	d.files[to] = i
	return nil
}

// Remove removes a file.
func (d *Directory) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// Sync makes renames and removals survive a loss of power.
func (d *Directory) Sync() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	return nil
}

// Lock locks the directory for one process.
func (d *Directory) Lock() (unlock func(), err error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return func() { d.locked = false }, nil
}

// file is an open file. It implements env.File.
type file struct {
	directory *Directory
	inode     *inode
}

// Write appends b, or half of it when the power goes.
func (f *file) Write(b []byte) (int, error) {
	if err := f.directory.countOp(); err != nil {
		half := len(b) / 2
		f.inode.data = append(f.inode.data, b[:half]...)
		return half, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

// Sync makes what was written survive a loss of power.
func (f *file) Sync() error {
	if err := f.directory.countOp(); err != nil {
		return err
	}
	f.inode.syncedBytes = len(f.inode.data)
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }

package simenv

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"foldslip/internal/store/wal"
)

// Directory is a simulated directory of a machine that may lose power. After a power loss, data that was not
// synced exists in part or not at all. It implements env.Directory and outlives the processes that use it.
type Directory struct {
	// OpsLeft is the number of operations that still succeed. A negative
	// value means no limit. At 0 every operation fails with ErrPowerLoss.
	OpsLeft int
	// Ops counts the operations that did not fail with ErrPowerLoss.
	Ops    int
	files  map[string]*inode // entries as the running system sees them
	synced map[string]*inode // entries after a power loss
	locked bool
}

// inode is the content of a file. Its first syncedBytes bytes survive a power loss.
type inode struct {
	data        []byte
	syncedBytes int
}

// ErrPowerLoss is returned by every operation on a directory that has lost power.
var ErrPowerLoss = errors.New("disk operation failed: the machine has lost power")

// NewDirectory returns an empty directory without a limit on operations.
func NewDirectory() *Directory {
	return &Directory{OpsLeft: -1, files: map[string]*inode{}, synced: map[string]*inode{}}
}

// countOp counts one operation. It returns ErrPowerLoss if no operations are left.
func (d *Directory) countOp() error {
	if d.OpsLeft == 0 {
		return ErrPowerLoss
	}
	d.OpsLeft = max(-1, d.OpsLeft-1)
	d.Ops++
	return nil
}

// Crash simulates a power loss. A random part of the data that was not synced
// survives. Afterwards the directory is unlocked and has no limit on operations.
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

// afterCrash returns the file as it is after a power loss.
func (i *inode) afterCrash(rng *rand.Rand) *inode {
	left := slices.Clone(i.data[:i.syncedBytes+rng.IntN(len(i.data)-i.syncedBytes+1)])
	if len(left) > i.syncedBytes && rng.IntN(4) == 0 { // a block that was being written may contain arbitrary bytes
		left[i.syncedBytes+rng.IntN(len(left)-i.syncedBytes)] ^= byte(1 + rng.IntN(255))
	}
	return &inode{left, len(left)}
}

// Corrupt flips a bit of the byte at an offset, or truncates the file there. The resulting content counts as synced.
func (d *Directory) Corrupt(name string, at int, truncate bool) {
	i := d.files[name]
	if truncate {
		i.data = i.data[:at]
	} else {
		i.data[at] ^= 0x40
	}
	i.syncedBytes = len(i.data)
}

// Size returns the length of a file, or -1 if the file does not exist.
func (d *Directory) Size(name string) int {
	if i := d.files[name]; i != nil {
		return len(i.data)
	}
	return -1
}

// Copy returns a directory with a copy of each file. All copies are synced.
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

// Create creates an empty file. It replaces a file with the same name.
func (d *Directory) Create(name string) (wal.File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.files[name] = i
	return &file{d, i}, nil
}

// Rename renames a file. It replaces a file with the new name.
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

// Sync makes the creation, renaming and removal of files survive a power loss.
func (d *Directory) Sync() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	return nil
}

// Lock locks the directory for one process. It returns wal.ErrLocked if the directory is already locked.
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

// Write appends b. If the machine has lost power, it appends the first half of b and returns ErrPowerLoss.
func (f *file) Write(b []byte) (int, error) {
	if err := f.directory.countOp(); err != nil {
		half := len(b) / 2
		f.inode.data = append(f.inode.data, b[:half]...)
		return half, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

// Sync makes the bytes written so far survive a power loss.
func (f *file) Sync() error {
	if err := f.directory.countOp(); err != nil {
		return err
	}
	f.inode.syncedBytes = len(f.inode.data)
	return nil
}

// Close does nothing and returns nil.
func (f *file) Close() error { return nil }

package simenv

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"foldslip/internal/store/wal"
)

// Directory is a folder whose machine may lose power: what was not synced is then there in part or not at all. It is a
// record.Disk. It lives through the lives of its processes.
type Directory struct {
	// Left is how many more operations go through; below 0 there is no end. At 0 every operation fails with ErrPower.
	OpsLeft int
	// Ops counts operations so far.
	Ops    int
	files  map[string]*inode // as the running system sees the folder
	synced map[string]*inode // as it is after a loss of power
	locked bool
}

type inode struct {
	data        []byte
	syncedBytes int
}

// ErrPower is the error of a disk without power.
var ErrPower = errors.New("the disk has no power")

// NewDirectory makes an empty folder.
func NewDirectory() *Directory {
	return &Directory{OpsLeft: -1, files: map[string]*inode{}, synced: map[string]*inode{}}
}

func (d *Directory) countOp() error {
	if d.OpsLeft == 0 {
		return ErrPower
	}
	d.OpsLeft = max(-1, d.OpsLeft-1)
	d.Ops++
	return nil
}

// Crash is a loss of power: of what was not synced some is there, by chance. Afterwards the disk works again.
func (d *Directory) Crash(chance *rand.Rand) {
	d.OpsLeft, d.locked = -1, false
	if chance.IntN(2) == 0 { // the folder's changes may have reached it
		d.synced = d.files
	}
	d.files = map[string]*inode{}
	names := make([]string, 0, len(d.synced))
	for n := range d.synced {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		was := d.synced[n]
		kept := slices.Clone(was.data[:was.syncedBytes+chance.IntN(len(was.data)-was.syncedBytes+1)])
		if len(kept) > was.syncedBytes && chance.IntN(4) == 0 { // a block that was on its way may hold anything
			kept[was.syncedBytes+chance.IntN(len(kept)-was.syncedBytes)] ^= byte(1 + chance.IntN(255))
		}
		d.files[n] = &inode{kept, len(kept)}
	}
	d.synced = map[string]*inode{}
	for n, i := range d.files {
		d.synced[n] = i
	}
}

// Corrupt changes one byte of a file, or cuts it there.
func (d *Directory) Corrupt(name string, at int, cut bool) {
	i := d.files[name]
	if cut {
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

// Copy is the same folder once more.
func (d *Directory) Copy() *Directory {
	c := NewDirectory()
	for n, i := range d.files {
		c.files[n] = &inode{slices.Clone(i.data), len(i.data)}
		c.synced[n] = c.files[n]
	}
	return c
}

func (d *Directory) Names() ([]string, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	var names []string
	for n := range d.files {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

func (d *Directory) Read(name string) ([]byte, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	if i := d.files[name]; i != nil {
		return slices.Clone(i.data), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

func (d *Directory) Create(name string) (wal.File, error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.files[name] = i
	return &file{d, i}, nil
}

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

func (d *Directory) Remove(name string) error {
	if err := d.countOp(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *Directory) Sync() error {
	if err := d.countOp(); err != nil {
		return err
	}
	d.synced = map[string]*inode{}
	for n, i := range d.files {
		d.synced[n] = i
	}
	return nil
}

func (d *Directory) Lock() (func(), error) {
	if err := d.countOp(); err != nil {
		return nil, err
	}
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return func() { d.locked = false }, nil
}

type file struct {
	directory *Directory
	inode     *inode
}

func (f *file) Write(b []byte) (int, error) {
	if err := f.directory.countOp(); err != nil {
		f.inode.data = append(f.inode.data, b[:len(b)/2]...) // the power went in the middle of it
		return len(b) / 2, err
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	if err := f.directory.countOp(); err != nil {
		return err
	}
	f.inode.syncedBytes = len(f.inode.data)
	return nil
}

func (f *file) Close() error { return nil }

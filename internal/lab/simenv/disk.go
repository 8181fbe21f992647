package simenv

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"foldslip/internal/store/wal"
)

// Disk is a folder whose machine may lose power: what was not synced is then there in part or not at all. It is a
// record.Disk. It lives through the lives of its processes.
type Disk struct {
	// Left is how many more operations go through; below 0 there is no end. At 0 every operation fails with ErrPower.
	Left int
	// Ops counts operations so far.
	Ops     int
	names   map[string]*inode // as the running system sees the folder
	lasting map[string]*inode // as it is after a loss of power
	locked  bool
}

type inode struct {
	data   []byte
	synced int
}

// ErrPower is the error of a disk without power.
var ErrPower = errors.New("the disk has no power")

// NewDisk makes an empty folder.
func NewDisk() *Disk {
	return &Disk{Left: -1, names: map[string]*inode{}, lasting: map[string]*inode{}}
}

func (d *Disk) op() error {
	if d.Left == 0 {
		return ErrPower
	}
	d.Left = max(-1, d.Left-1)
	d.Ops++
	return nil
}

// Crash is a loss of power: of what was not synced some is there, by chance. Afterwards the disk works again.
func (d *Disk) Crash(chance *rand.Rand) {
	d.Left, d.locked = -1, false
	if chance.IntN(2) == 0 { // the folder's changes may have reached it
		d.lasting = d.names
	}
	d.names = map[string]*inode{}
	names := make([]string, 0, len(d.lasting))
	for n := range d.lasting {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		was := d.lasting[n]
		kept := slices.Clone(was.data[:was.synced+chance.IntN(len(was.data)-was.synced+1)])
		if len(kept) > was.synced && chance.IntN(4) == 0 { // a block that was on its way may hold anything
			kept[was.synced+chance.IntN(len(kept)-was.synced)] ^= byte(1 + chance.IntN(255))
		}
		d.names[n] = &inode{kept, len(kept)}
	}
	d.lasting = map[string]*inode{}
	for n, i := range d.names {
		d.lasting[n] = i
	}
}

// Spoil changes one byte of a file, or cuts it there.
func (d *Disk) Spoil(name string, at int, cut bool) {
	i := d.names[name]
	if cut {
		i.data = i.data[:at]
	} else {
		i.data[at] ^= 0x40
	}
	i.synced = len(i.data)
}

// Size is the length of a file, -1 where there is none.
func (d *Disk) Size(name string) int {
	if i := d.names[name]; i != nil {
		return len(i.data)
	}
	return -1
}

// Copy is the same folder once more.
func (d *Disk) Copy() *Disk {
	c := NewDisk()
	for n, i := range d.names {
		c.names[n] = &inode{slices.Clone(i.data), len(i.data)}
		c.lasting[n] = c.names[n]
	}
	return c
}

func (d *Disk) Names() ([]string, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	var names []string
	for n := range d.names {
		names = append(names, n)
	}
	slices.Sort(names)
	return names, nil
}

func (d *Disk) Read(name string) ([]byte, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	if i := d.names[name]; i != nil {
		return slices.Clone(i.data), nil
	}
	return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
}

func (d *Disk) Create(name string) (wal.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	i := &inode{}
	d.names[name] = i
	return &file{d, i}, nil
}

func (d *Disk) Rename(from, to string) error {
	if err := d.op(); err != nil {
		return err
	}
	i := d.names[from]
	if i == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(d.names, from)
	d.names[to] = i
	return nil
}

func (d *Disk) Remove(name string) error {
	if err := d.op(); err != nil {
		return err
	}
	delete(d.names, name)
	return nil
}

func (d *Disk) Sync() error {
	if err := d.op(); err != nil {
		return err
	}
	d.lasting = map[string]*inode{}
	for n, i := range d.names {
		d.lasting[n] = i
	}
	return nil
}

func (d *Disk) Lock() (func(), error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	if d.locked {
		return nil, wal.ErrLocked
	}
	d.locked = true
	return func() { d.locked = false }, nil
}

type file struct {
	d *Disk
	i *inode
}

func (f *file) Write(b []byte) (int, error) {
	if err := f.d.op(); err != nil {
		f.i.data = append(f.i.data, b[:len(b)/2]...) // the power went in the middle of it
		return len(b) / 2, err
	}
	f.i.data = append(f.i.data, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	if err := f.d.op(); err != nil {
		return err
	}
	f.i.synced = len(f.i.data)
	return nil
}

func (f *file) Close() error { return nil }

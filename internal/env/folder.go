package env

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// Folder is a Disk on the file system.
type Folder struct{ Path string }

// OpenFolder makes the folder if it is not there.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return Folder{}, err
	}
	return Folder{path}, nil
}

func (f Folder) at(name string) string { return filepath.Join(f.Path, name) }

// Names are the files in the folder.
func (f Folder) Names() ([]string, error) {
	list, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(list))
	for _, e := range list {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read reads a file.
func (f Folder) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

// Create makes a file, or empties it.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file.
func (f Folder) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.at(name)) }

// Sync makes renames and removals last.
func (f Folder) Sync() error {
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes the folder for this process, as long as the process lives.
func (f Folder) Lock() (func(), error) {
	file, err := os.OpenFile(f.at("lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", f.Path, ErrLocked)
		}
		return nil, err
	}
	return func() { file.Close() }, nil
}

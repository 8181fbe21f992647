package env

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// OSDirectory is a Disk on the file system.
type OSDirectory struct{ Path string }

// OpenOSDirectory makes the folder if it is not there.
func OpenOSDirectory(path string) (OSDirectory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return OSDirectory{}, err
	}
	return OSDirectory{path}, nil
}

func (f OSDirectory) filePath(name string) string { return filepath.Join(f.Path, name) }

// Names are the files in the folder.
func (f OSDirectory) Names() ([]string, error) {
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
func (f OSDirectory) Read(name string) ([]byte, error) { return os.ReadFile(f.filePath(name)) }

// Create makes a file, or empties it.
func (f OSDirectory) Create(name string) (File, error) {
	return os.OpenFile(f.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file.
func (f OSDirectory) Rename(from, to string) error {
	return os.Rename(f.filePath(from), f.filePath(to))
}

// Remove removes a file.
func (f OSDirectory) Remove(name string) error { return os.Remove(f.filePath(name)) }

// Sync makes renames and removals last.
func (f OSDirectory) Sync() error {
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock takes the folder for this process, as long as the process lives.
func (f OSDirectory) Lock() (func(), error) {
	file, err := os.OpenFile(f.filePath("lock"), os.O_CREATE|os.O_RDWR, 0o600)
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

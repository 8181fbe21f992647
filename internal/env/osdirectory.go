package env

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	directoryMode = 0o700 // accessible only to the owner
	fileMode      = 0o600
	lockName      = "lock"
)

// OSDirectory is a Directory in the operating system's file system.
type OSDirectory struct{ Path string }

// OpenOSDirectory returns the directory at path. It creates the directory and its parents if they do not exist.
func OpenOSDirectory(path string) (OSDirectory, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return OSDirectory{}, err
	}
	return OSDirectory{path}, nil
}

func (d OSDirectory) filePath(name string) string { return filepath.Join(d.Path, name) }

// Names returns the names of the files.
func (d OSDirectory) Names() ([]string, error) {
	entries, err := os.ReadDir(d.Path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Read reads a whole file.
func (d OSDirectory) Read(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

// Create creates a file or truncates an existing one.
func (d OSDirectory) Create(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename renames a file.
func (d OSDirectory) Rename(from, to string) error {
	return os.Rename(d.filePath(from), d.filePath(to))
}

// Remove removes a file.
func (d OSDirectory) Remove(name string) error { return os.Remove(d.filePath(name)) }

// Sync makes renames and removals durable.
func (d OSDirectory) Sync() error {
	file, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer file.Close()
	return file.Sync()
}

// Lock acquires an exclusive lock on the directory. The lock is held until unlock is called or the process exits. The
// error wraps ErrLocked if another process holds the lock.
func (d OSDirectory) Lock() (unlock func(), err error) {
	file, err := os.OpenFile(d.filePath(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.Path, ErrLocked)
		}
		return nil, err
	}
	return func() { file.Close() }, nil
}

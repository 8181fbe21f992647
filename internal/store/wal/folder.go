package wal

import "foldslip/internal/env"

// Folder is a Disk on the file system.
type Folder = env.Folder

// OpenFolder makes the folder if it is not there.
func OpenFolder(path string) (Folder, error) { return env.OpenFolder(path) }

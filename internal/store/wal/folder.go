package wal

import "foldslip/internal/env"

// OSDirectory is a Disk on the file system.
type OSDirectory = env.OSDirectory

// OpenOSDirectory makes the folder if it is not there.
func OpenOSDirectory(path string) (OSDirectory, error) { return env.OpenOSDirectory(path) }

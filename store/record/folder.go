package record

import "foldslip/clock"

// Folder is a Disk on the file system.
type Folder = clock.Folder

// OpenFolder makes the folder if it is not there.
func OpenFolder(path string) (Folder, error) { return clock.OpenFolder(path) }

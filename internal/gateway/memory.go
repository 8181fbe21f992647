package gateway

import (
	"foldslip/internal/retry"
	"foldslip/internal/upstream"
)

const (
	// runtimeMemoryShare is the largest fraction of the memory limit that the Go runtime may use.
	runtimeMemoryShare = 0.7
	// minRuntimeShare is the smallest fraction of it: with less, the garbage collector would run all the time.
	minRuntimeShare = 0.45
	// bodyMemoryShare is the largest fraction of the memory limit that request bodies and objects may use.
	bodyMemoryShare = 0.4
	// processReserve is memory beside the Go runtime and the program's file: the C library, thread stacks, static data.
	processReserve = 2 << 20
	// minUsableShare is the smallest fraction of the memory limit that is divided, however large the program's file is.
	minUsableShare = 0.2
	// usableBodyShare and usableInputShare are fractions of the memory that the program's file leaves.
	usableBodyShare  = 0.45
	usableInputShare = 0.125
	usableIDShare    = 1.0 / 32
	// Without a memory limit:
	defaultInputBytes = 64 << 20
	defaultIDBytes    = 8 << 20
)

// memoryBudget divides the memory limit of the process. The platform counts the resident memory, so the parts of the
// program's file that are in use count as well. All sizes are in bytes.
type memoryBudget struct {
	Usable  int64 // what the program's file leaves; 0: there is no limit
	Runtime int64 // soft limit of the Go runtime; 0: none
	Bodies  int64 // request bodies and objects that are held at once
	Input   int64 // read buffers of client connections beyond their first part

	EndedIDs int // ids of ended lookups of direct clients that are remembered at once
}

// newMemoryBudget returns the budget of a process with a memory limit, or 0 if it has none, whose program's file is mapped
// with programBytes.
func newMemoryBudget(limit, programBytes int64) memoryBudget {
	if limit <= 0 {
		return memoryBudget{Bodies: maxLookups * upstream.MaxObjectBytes, Input: defaultInputBytes, EndedIDs: defaultIDBytes / retry.RecordBytes}
	}
	share := func(of int64, fraction float64) int64 { return int64(float64(of) * fraction) }
	usable := max(share(limit, minUsableShare), limit-programBytes-processReserve)
	return memoryBudget{
		Usable:  usable,
		Runtime: min(share(limit, runtimeMemoryShare), max(share(limit, minRuntimeShare), usable)),
		Bodies:  min(share(limit, bodyMemoryShare), share(usable, usableBodyShare)),
		Input:   share(usable, usableInputShare),

		EndedIDs: int(share(usable, usableIDShare)) / retry.RecordBytes,
	}
}

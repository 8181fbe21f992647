package scale

import (
	"encoding/json"
)

// Hollow gateways run in separate processes, so that all resources that such a process uses are theirs. A process
// reads commands from its standard input, one line of JSON each. It replies to each with a line of JSON on its
// standard output, until the input ends.

// command is a line sent to a process of hollow gateways.
type command struct {
	Action   string          `json:"do"` // start, halt, restart, usage, arrivals, profile, stop
	First    int             `json:"first,omitempty"`
	Count    int             `json:"count,omitempty"`
	Watch    []string        `json:"watch,omitempty"`
	Base     int64           `json:"base,omitempty"`
	Known    json.RawMessage `json:"known,omitempty"`
	Gateways int             `json:"gateways,omitempty"`
	Zones    int             `json:"zones,omitempty"`
	Lookups  float64         `json:"lookups,omitempty"`
	Since    int64           `json:"since,omitempty"` // Unix microseconds at which the slow clock showed the machine's time
	Stretch  float64         `json:"stretch,omitempty"`
	GC       bool            `json:"gc,omitempty"`
	From     int64           `json:"from,omitempty"`
	To       int64           `json:"to,omitempty"`
	File     string          `json:"file,omitempty"`
}

// reply is the line with which a process of hollow gateways answers a command.
type reply struct {
	Error    string    `json:"error,omitempty"`
	Usage    *Usage    `json:"usage,omitempty"`
	Arrivals []Arrival `json:"arrivals,omitempty"`
}

// Usage is the heap in use by a process of hollow gateways, and what the process has used since its gateways were
// started. Heap, Mallocs and AllocBytes are HeapAlloc, Mallocs and TotalAlloc of runtime.MemStats.
type Usage struct {
	Heap        uint64           `json:"Heap"`
	Mallocs     uint64           `json:"Mallocs"`
	AllocBytes  uint64           `json:"AllocBytes"`
	In          int64            `json:"In"`
	Out         int64            `json:"Out"`
	Reads       int64            `json:"Reads"`
	Writes      int64            `json:"Writes"`
	Dials       int64            `json:"Dials"`
	LogLines    int64            `json:"Log"`
	EventCounts map[string]int64 `json:"Closed"` // log lines by event and reason
}

const maxCommandBytes = 4 << 20 // bytes of a command's line, which may hold a whole list of some 300 KB

package scale

import (
	"encoding/json"
)

// Hollow gateways run in processes of their own, so that what a process spends is theirs alone. Each reads commands, a line of JSON
// each, from its standard input and replies to each with a line on its standard output, until the input ends.

// command is a line to a process of hollow gateways.
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
	Since    int64           `json:"since,omitempty"` // Unix microseconds at which the slow clock was right
	Stretch  float64         `json:"stretch,omitempty"`
	GC       bool            `json:"gc,omitempty"`
	From     int64           `json:"from,omitempty"`
	To       int64           `json:"to,omitempty"`
	File     string          `json:"file,omitempty"`
}

// reply is a line from a process of hollow gateways.
type reply struct {
	Error    string    `json:"error,omitempty"`
	Usage    *Usage    `json:"usage,omitempty"`
	Arrivals []Arrival `json:"arrivals,omitempty"`
}

// Usage is what a process of hollow gateways has used since it began; see runtime.MemStats.
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

const maxCommandBytes = 4 << 20 // bytes of a line: a whole list is some 300 KB

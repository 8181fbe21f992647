// Package endpoints is the list of caches as a gateway retains it past its own end: what discovery reported of caches, drains and purges, and
// what the gateway learnt of the caches itself. A State changes by Updates only, so that a snapshot and the updates since then give the same
// State again. The package does no I/O and knows no clock: every update brings its time.
//
// A State's owner is the snapshotter that also owns the files on disk; it is not safe for concurrent use. It is bounded by MaxEndpoints,
// MaxTombstones and MaxPurges. Past them the oldest goes, but an endpoint that discovery reported never goes for an imported one.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// Bounds of a State.
const (
	MaxEndpoints  = 16384
	MaxTombstones = 8192
	MaxPurges     = 8192

	tombstoneSlack = 1024 // tombstones past their bound before the oldest are dropped
)

// Phase is how far a cache's life has come.
type Phase uint8

// Phases are stored by their numbers.
const (
	Up       Phase = iota // serves
	Draining              // ends the work it has and gets no more
	Removed               // no longer listed
)

// Source is where an endpoint is from.
type Source uint8

// Sources are stored by their numbers.
const (
	Discovered Source = iota // by the discovery watch
	Imported                 // by an operator's file
)

// Endpoint is what is known of one cache. Times are Unix milliseconds; 0 is never.
type Endpoint struct {
	ID             string  `cbor:"1,keyasint"`
	Addr           string  `cbor:"2,keyasint"`
	Zone           string  `cbor:"3,keyasint"`
	MachineType    string  `cbor:"4,keyasint"` // such as edge
	Cell           int     `cbor:"5,keyasint,omitempty"`
	Size           float64 `cbor:"6,keyasint,omitempty"`
	StartedAt      int64   `cbor:"7,keyasint,omitempty"` // of a late start, as discovery reported it
	Phase          Phase   `cbor:"8,keyasint,omitempty"`
	Source         Source  `cbor:"9,keyasint,omitempty"`
	ListedAt       int64   `cbor:"10,keyasint,omitempty"`
	LastResponseAt int64   `cbor:"12,keyasint,omitempty"` // last successful response
	EjectedAt      int64   `cbor:"13,keyasint,omitempty"` // 0: it is not ejected
}

// Tombstone says that a cache drains or was removed. It outlives the cache, so that no older list brings it back. At is in Unix
// milliseconds.
type Tombstone struct {
	ID      string `cbor:"1,keyasint"`
	At      int64  `cbor:"2,keyasint"`
	Removed bool   `cbor:"3,keyasint,omitempty"` // false: it drains
}

// Purge says that copies of an object, or of a group where Object is "", from before IssuedAt are out of date. Times are Unix
// milliseconds.
type Purge struct {
	Object     string `cbor:"1,keyasint,omitempty"`
	Group      int    `cbor:"2,keyasint,omitempty"`
	IssuedAt   int64  `cbor:"3,keyasint"`
	ReceivedAt int64  `cbor:"4,keyasint"`
}

// State is everything that is retained. Times are Unix milliseconds; 0 is never.
type State struct {
	DiscoveryAddr string  `cbor:"1,keyasint,omitempty"` // of the service that the list is from
	LastEvent     int64   `cbor:"2,keyasint,omitempty"` // number of its last event
	ChangedAt     int64   `cbor:"3,keyasint,omitempty"` // by this machine's clock
	CacheHours    float64 `cbor:"4,keyasint,omitempty"` // that the list was watched
	Departures    int     `cbor:"5,keyasint,omitempty"` // caches that left the list in these hours
	CurrentAsOf   int64   `cbor:"6,keyasint,omitempty"` // discovery confirmed the list up to then

	Endpoints  map[string]Endpoint  `cbor:"-"` // by id
	Tombstones map[string]Tombstone `cbor:"-"` // by id
	Purges     []Purge              `cbor:"-"` // oldest first

	drainingByAddr map[string]string // ids of draining caches
}

// Update is one step of a State. A zero field changes nothing. Times are Unix milliseconds.
type Update struct {
	At            int64      `cbor:"1,keyasint"`
	DiscoveryAddr string     `cbor:"2,keyasint,omitempty"`
	LastEvent     int64      `cbor:"3,keyasint,omitempty"`
	Complete      bool       `cbor:"4,keyasint,omitempty"` // Endpoints are the complete list
	Endpoints     []Endpoint `cbor:"5,keyasint,omitempty"`
	Purges        []Purge    `cbor:"6,keyasint,omitempty"`
	Responded     []string   `cbor:"7,keyasint,omitempty"`  // ids with successful responses since the last update
	Ejected       []string   `cbor:"8,keyasint,omitempty"`  // ids that are ejected now
	HasHealth     bool       `cbor:"9,keyasint,omitempty"`  // Responded and Ejected are set, empty ones too
	StillCurrent  bool       `cbor:"10,keyasint,omitempty"` // discovery responded up to At and had no changes
}

// New returns an empty state.
func New() *State {
	return &State{Endpoints: map[string]Endpoint{}, Tombstones: map[string]Tombstone{}, drainingByAddr: map[string]string{}}
}

// Sorted returns the endpoints by id.
func (s *State) Sorted() []Endpoint {
	return slices.SortedFunc(maps.Values(s.Endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// SortedTombstones returns the tombstones by id.
func (s *State) SortedTombstones() []Tombstone {
	return slices.SortedFunc(maps.Values(s.Tombstones), func(a, b Tombstone) int { return cmp.Compare(a.ID, b.ID) })
}

// Clone returns a copy that shares nothing with the state.
func (s *State) Clone() *State {
	clone := *s
	clone.Endpoints = maps.Clone(s.Endpoints)
	clone.Tombstones = maps.Clone(s.Tombstones)
	clone.Purges = slices.Clone(s.Purges)
	clone.drainingByAddr = maps.Clone(s.drainingByAddr)
	return &clone
}

// Package endpoints holds the endpoint list that a gateway stores on disk for its next start. The list contains the
// caches, drains and purges that discovery reported, and the ejections and responses that the gateway observed itself.
// A State changes only through updates, so a snapshot and the updates after it restore the same State. The package does
// no I/O and reads no clock. Every update carries its time.
//
// A State is owned by the snapshotter, which also owns the files on disk. It is not safe for concurrent use.
// MaxEndpoints, MaxTombstones and MaxPurges bound its size. Above a bound the oldest entries are dropped. An endpoint
// that discovery reported is never dropped in favor of an imported one. State.DroppedPurgesAt stands for the dropped
// purges.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// Size limits of a State.
const (
	MaxEndpoints  = 16384
	MaxTombstones = 8192
	MaxPurges     = 8192

	tombstoneSlack = 1024 // tombstones allowed above MaxTombstones before the oldest are dropped
)

// Phase is the lifecycle phase of a cache.
type Phase uint8

// The phases are stored on disk as numbers.
const (
	Up       Phase = iota // serves lookups
	Draining              // completes the attempts in flight and gets no new ones
	Removed               // no longer in discovery's list
)

// Source is the way by which an endpoint entered the list.
type Source uint8

// The sources are stored on disk as numbers.
const (
	Discovered Source = iota // reported by the discovery watch
	Imported                 // read from an operator's file
)

// Endpoint is the stored record of one cache. Times are in Unix milliseconds. 0 means never.
type Endpoint struct {
	ID             string  `cbor:"1,keyasint"`
	Addr           string  `cbor:"2,keyasint"`
	Zone           string  `cbor:"3,keyasint"`
	MachineType    string  `cbor:"4,keyasint"` // for example "edge"
	Cell           int     `cbor:"5,keyasint,omitempty"`
	Size           float64 `cbor:"6,keyasint,omitempty"`
	StartedAt      int64   `cbor:"7,keyasint,omitempty"` // start that discovery reported; 0 means long ago
	Phase          Phase   `cbor:"8,keyasint,omitempty"`
	Source         Source  `cbor:"9,keyasint,omitempty"`
	ListedAt       int64   `cbor:"10,keyasint,omitempty"`
	LastResponseAt int64   `cbor:"12,keyasint,omitempty"` // time of the last successful response
	EjectedAt      int64   `cbor:"13,keyasint,omitempty"` // start of the current ejection; 0 means not ejected
}

// Tombstone records that a cache is draining or was removed. It is retained after the cache has left the list, so that
// an older list cannot bring the cache back. At is in Unix milliseconds.
type Tombstone struct {
	ID      string `cbor:"1,keyasint"`
	At      int64  `cbor:"2,keyasint"`
	Removed bool   `cbor:"3,keyasint,omitempty"` // false means that the cache is draining
}

// Purge records that copies of an object from before IssuedAt are out of date. If Object is empty, the purge applies to
// all objects of the group. Times are in Unix milliseconds.
type Purge struct {
	Object     string `cbor:"1,keyasint,omitempty"`
	Group      int    `cbor:"2,keyasint,omitempty"`
	IssuedAt   int64  `cbor:"3,keyasint"`
	ReceivedAt int64  `cbor:"4,keyasint"`
}

// State is the complete stored list. Times are in Unix milliseconds. 0 means never.
type State struct {
	DiscoveryAddr string  `cbor:"1,keyasint,omitempty"` // address of the discovery service that sent the list
	LastEvent     int64   `cbor:"2,keyasint,omitempty"` // number of the last discovery event
	ChangedAt     int64   `cbor:"3,keyasint,omitempty"` // time of the latest update, by this machine's clock
	CacheHours    float64 `cbor:"4,keyasint,omitempty"` // sum over the caches of the hours for which the list was watched
	Departures    int     `cbor:"5,keyasint,omitempty"` // caches that left the list during CacheHours
	CurrentAsOf   int64   `cbor:"6,keyasint,omitempty"` // time up to which discovery confirmed the list
	// DroppedPurgesAt is the latest IssuedAt of the purges that were dropped from Purges. Copies of any object from
	// before it may be out of date.
	DroppedPurgesAt int64 `cbor:"7,keyasint,omitempty"`

	Endpoints  map[string]Endpoint  `cbor:"-"` // by id
	Tombstones map[string]Tombstone `cbor:"-"` // by id
	Purges     []Purge              `cbor:"-"` // oldest first

	drainingByAddr map[string]string // ids of the draining caches
}

// Update is one change of a State. A field with its zero value changes nothing. Times are in Unix milliseconds.
type Update struct {
	At            int64      `cbor:"1,keyasint"`
	DiscoveryAddr string     `cbor:"2,keyasint,omitempty"`
	LastEvent     int64      `cbor:"3,keyasint,omitempty"`
	Complete      bool       `cbor:"4,keyasint,omitempty"` // Endpoints is the complete list
	Endpoints     []Endpoint `cbor:"5,keyasint,omitempty"`
	Purges        []Purge    `cbor:"6,keyasint,omitempty"`
	Responded     []string   `cbor:"7,keyasint,omitempty"`  // ids with successful responses since the last update
	Ejected       []string   `cbor:"8,keyasint,omitempty"`  // ids of the caches that are ejected now
	HasHealth     bool       `cbor:"9,keyasint,omitempty"`  // Responded and Ejected apply, even if they are empty
	StillCurrent  bool       `cbor:"10,keyasint,omitempty"` // discovery responded at At and reported no changes
}

// New returns an empty state.
func New() *State {
	return &State{Endpoints: map[string]Endpoint{}, Tombstones: map[string]Tombstone{}, drainingByAddr: map[string]string{}}
}

// Sorted returns the endpoints sorted by id.
func (s *State) Sorted() []Endpoint {
	return slices.SortedFunc(maps.Values(s.Endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// SortedTombstones returns the tombstones sorted by id.
func (s *State) SortedTombstones() []Tombstone {
	return slices.SortedFunc(maps.Values(s.Tombstones), func(a, b Tombstone) int { return cmp.Compare(a.ID, b.ID) })
}

// Clone returns a deep copy of the state.
func (s *State) Clone() *State {
	clone := *s
	clone.Endpoints = maps.Clone(s.Endpoints)
	clone.Tombstones = maps.Clone(s.Tombstones)
	clone.Purges = slices.Clone(s.Purges)
	clone.drainingByAddr = maps.Clone(s.drainingByAddr)
	return &clone
}

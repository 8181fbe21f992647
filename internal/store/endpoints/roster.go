// Package endpoints is the list of caches as a gateway keeps it over its own end: what it was told of caches, drains and
// purges, and what it learnt of them. A State is changed by Changes only, so that a snapshot and the changes since give
// the same State again. It does no I/O and knows no clock: every change brings its time.
//
// Its owner is the keeper that also owns the record on disk. Bounds: MostCaches, MostTombs, MostPurges; past them the
// oldest goes, but a cache that is told as up never goes for another.
package endpoints

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Version of the codec's forms stands in front of each; an older one is read, a newer one refused.
	FormatVersion  = 1
	MaxEndpoints   = 16384
	MaxTombstones  = 8192
	MaxPurges      = 8192
	tombstoneSlack = 1024 // tombs over their bound before the oldest go
)

// Phase is what was told of a cache.
type Phase uint8

const (
	Up Phase = iota
	Draining
	Removed
)

// Source is where an entry is from.
type Source uint8

const (
	Discovered Source = iota // by a bulletin
	Imported                 // by an operator's file
)

// Endpoint is what is kept of one cache. Times are Unix milliseconds, 0: never.
type Endpoint struct {
	ID             string  `cbor:"1,keyasint"`
	Addr           string  `cbor:"2,keyasint"`
	Zone           string  `cbor:"3,keyasint"`
	MachineType    string  `cbor:"4,keyasint"` // type, such as edge
	Cell           int     `cbor:"5,keyasint,omitempty"`
	Size           float64 `cbor:"6,keyasint,omitempty"`
	StartedAt      int64   `cbor:"7,keyasint,omitempty"` // its late start as told
	Phase          Phase   `cbor:"8,keyasint,omitempty"`
	Source         Source  `cbor:"9,keyasint,omitempty"`
	ListedAt       int64   `cbor:"10,keyasint,omitempty"` // in the list since
	LastResponseAt int64   `cbor:"12,keyasint,omitempty"` // last good answer
	EjectedAt      int64   `cbor:"13,keyasint,omitempty"` // out since; 0: in
}

// Tombstone is word that a cache drains or is gone. It outlives the cache: no older list undoes it.
type Tombstone struct {
	ID      string `cbor:"1,keyasint"`
	At      int64  `cbor:"2,keyasint"`
	Removed bool   `cbor:"3,keyasint,omitempty"`
}

// Purge is word that copies from before Issued are out of date.
type Purge struct {
	Object     string `cbor:"1,keyasint,omitempty"`
	Group      int    `cbor:"2,keyasint,omitempty"`
	IssuedAt   int64  `cbor:"3,keyasint"`
	ReceivedAt int64  `cbor:"4,keyasint"`
}

// State is all that is kept.
type State struct {
	DiscoveryAddr string  `cbor:"1,keyasint,omitempty"` // address that told it
	LastEvent     int64   `cbor:"2,keyasint,omitempty"` // number of its last event
	ChangedAt     int64   `cbor:"3,keyasint,omitempty"` // last change, by this machine's clock
	CacheHours    float64 `cbor:"4,keyasint,omitempty"` // cache-hours that the list was watched
	Departures    int     `cbor:"5,keyasint,omitempty"` // caches that left it meanwhile

	CurrentAsOf int64 `cbor:"6,keyasint,omitempty"` // the list as told stood up to then

	Endpoints  map[string]Endpoint  `cbor:"-"`
	Tombstones map[string]Tombstone `cbor:"-"`
	Purges     []Purge              `cbor:"-"` // oldest first

	drainingByAddr map[string]string // ids of draining caches by address
}

// Update is one step of a State. What is zero says nothing.
type Update struct {
	At            int64      `cbor:"1,keyasint"`
	DiscoveryAddr string     `cbor:"2,keyasint,omitempty"`
	LastEvent     int64      `cbor:"3,keyasint,omitempty"`
	Complete      bool       `cbor:"4,keyasint,omitempty"` // Rows are the whole list
	Endpoints     []Endpoint `cbor:"5,keyasint,omitempty"`
	Purges        []Purge    `cbor:"6,keyasint,omitempty"`
	Responded     []string   `cbor:"7,keyasint,omitempty"`  // ids with good answers since the last change
	Ejected       []string   `cbor:"8,keyasint,omitempty"`  // ids that are out now; nil with Health: none
	HasHealth     bool       `cbor:"9,keyasint,omitempty"`  // Heard and Ill are told
	StillCurrent  bool       `cbor:"10,keyasint,omitempty"` // the list stands as it is: its bulletin was heard up to At
}

// New makes an empty state.
func New() *State {
	return &State{Endpoints: map[string]Endpoint{}, Tombstones: map[string]Tombstone{}, drainingByAddr: map[string]string{}}
}

// Apply takes a change. Time that runs backwards in changes is taken as standing still.
func (s *State) Apply(c Update) {
	if c.DiscoveryAddr != "" {
		s.DiscoveryAddr = c.DiscoveryAddr
	}
	if c.LastEvent != 0 {
		s.LastEvent = c.LastEvent
	}
	told := c.StillCurrent || c.Complete || len(c.Endpoints) > 0
	if told && s.ChangedAt > 0 && c.At > s.ChangedAt {
		s.CacheHours += float64(min(c.At-s.ChangedAt, 3_600_000)) / 3_600_000 * float64(len(s.Endpoints)) // a longer gap was not watched
	}
	s.ChangedAt = max(s.ChangedAt, c.At)
	if c.Complete {
		named := map[string]bool{}
		for _, r := range c.Endpoints {
			named[r.ID] = true
		}
		for id := range s.Endpoints {
			if !named[id] {
				s.remove(id, c.At, true)
			}
		}
	}
	for _, r := range c.Endpoints {
		s.applyEndpoint(r, c.At)
	}
	if told {
		s.CurrentAsOf = max(s.CurrentAsOf, c.At)
	}
	if c.HasHealth {
		ill := map[string]bool{}
		for _, id := range c.Ejected {
			ill[id] = true
		}
		for id, k := range s.Endpoints {
			if was := k.EjectedAt; !ill[id] {
				k.EjectedAt = 0
			} else if was == 0 {
				k.EjectedAt = c.At
			}
			s.Endpoints[id] = k
		}
		for _, id := range c.Responded {
			if k, ok := s.Endpoints[id]; ok {
				k.LastResponseAt = max(k.LastResponseAt, c.At)
				s.Endpoints[id] = k
			}
		}
	}
	s.Purges = append(s.Purges, c.Purges...)
	if n := len(s.Purges); n > MaxPurges {
		s.Purges = slices.Clone(s.Purges[n-MaxPurges:])
	}
	s.enforceLimits()
}

// applyEndpoint takes one line of a list. A drain is never undone by a line told by an older list: only a bulletin's own word does.
func (s *State) applyEndpoint(r Endpoint, at int64) {
	was, known := s.Endpoints[r.ID]
	switch {
	case r.Phase == Removed:
		s.remove(r.ID, at, true)
		return
	case r.Source == Imported && s.Tombstones[r.ID].ID != "":
		return
	case r.Source == Imported && known && was.Source == Discovered:
		return // what was told counts more than a file
	}
	if s.Tombstones[r.ID].Removed && r.Source == Discovered { // it had not departed: the list was read from its beginning
		s.Departures = max(0, s.Departures-1)
	}
	if r.Phase == Draining {
		s.Tombstones[r.ID] = Tombstone{r.ID, at, false}
	} else {
		delete(s.Tombstones, r.ID)
	}
	if id := s.drainingByAddr[r.Addr]; id != "" && id != r.ID { // an address belongs to the one told last
		delete(s.Endpoints, id)
	}
	if delete(s.drainingByAddr, was.Addr); r.Phase == Draining {
		s.drainingByAddr[r.Addr] = r.ID
	} else {
		delete(s.drainingByAddr, r.Addr)
	}
	r.ListedAt, r.LastResponseAt, r.EjectedAt = at, 0, 0
	if known && was.Addr == r.Addr && was.StartedAt == r.StartedAt { // the same life of the same machine
		r.ListedAt, r.LastResponseAt, r.EjectedAt = was.ListedAt, was.LastResponseAt, was.EjectedAt
	}
	s.Endpoints[r.ID] = r
}

func (s *State) remove(id string, at int64, gone bool) {
	if was, known := s.Endpoints[id]; known {
		delete(s.Endpoints, id)
		delete(s.drainingByAddr, was.Addr)
		s.Departures++
	}
	s.Tombstones[id] = Tombstone{id, at, gone}
}

// enforceLimits drops what is past the bounds: tombs and caches told longest ago.
func (s *State) enforceLimits() {
	if n := len(s.Tombstones) - MaxTombstones; n > tombstoneSlack { // in one sort for many, since a change must cost little
		all := slices.SortedFunc(maps.Values(s.Tombstones), func(a, b Tombstone) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
		})
		for _, t := range all[:n] {
			delete(s.Tombstones, t.ID)
		}
	}
	if n := len(s.Endpoints) - MaxEndpoints; n > 0 {
		all := slices.SortedFunc(maps.Values(s.Endpoints), func(a, b Endpoint) int {
			return cmp.Or(cmp.Compare(b.Source, a.Source), cmp.Compare(a.ListedAt, b.ListedAt), cmp.Compare(a.ID, b.ID))
		})
		for _, k := range all[:n] {
			delete(s.Endpoints, k.ID)
		}
	}
}

// Sorted are the caches by id.
func (s *State) Sorted() []Endpoint {
	return slices.SortedFunc(maps.Values(s.Endpoints), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// SortedTombstones are the tombs by id.
func (s *State) SortedTombstones() []Tombstone {
	return slices.SortedFunc(maps.Values(s.Tombstones), func(a, b Tombstone) int { return cmp.Compare(a.ID, b.ID) })
}

// Import takes an operator's rows: they say nothing of how long the list stood as told.
func (s *State) Import(c Update) {
	for _, r := range c.Endpoints {
		r.Source = Imported
		s.applyEndpoint(r, c.At)
	}
	s.enforceLimits()
}

// Clone is the same state once more.
func (s *State) Clone() *State {
	c := *s
	c.Endpoints, c.Tombstones, c.Purges = maps.Clone(s.Endpoints), maps.Clone(s.Tombstones), slices.Clone(s.Purges)
	c.drainingByAddr = maps.Clone(s.drainingByAddr)
	return &c
}

// ErrNewer tells that a form is of a newer version.
var ErrNewerVersion = errors.New("written by a newer version of this program")

type encodedState struct {
	State      State       `cbor:"1,keyasint"`
	Endpoints  []Endpoint  `cbor:"2,keyasint"`
	Tombstones []Tombstone `cbor:"3,keyasint"`
	Purges     []Purge     `cbor:"4,keyasint"`
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * MaxEndpoints, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return m
}()

// Snapshot is the whole state as bytes, the same for the same state.
func (s *State) Snapshot() ([]byte, error) {
	return encode(encodedState{State: *s, Endpoints: s.Sorted(), Purges: s.Purges,
		Tombstones: s.SortedTombstones()})
}

// Encode is a change as bytes.
func (c Update) Encode() ([]byte, error) { return encode(c) }

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return append([]byte{FormatVersion}, b...), err
}

func decode(b []byte, v any) error {
	switch {
	case len(b) == 0:
		return errors.New("nothing written")
	case b[0] > FormatVersion:
		return fmt.Errorf("version %d: %w", b[0], ErrNewerVersion)
	}
	return decoder.Unmarshal(b[1:], v)
}

// Restore makes a state of a snapshot and the changes since. A change that cannot be read ends it there, and is told.
func Restore(snap []byte, changes [][]byte) (*State, error) {
	s := New()
	if snap != nil {
		var in encodedState
		if err := decode(snap, &in); err != nil {
			return s, fmt.Errorf("snapshot: %w", err)
		}
		*s = in.State
		s.Endpoints, s.Tombstones, s.Purges, s.drainingByAddr = map[string]Endpoint{}, map[string]Tombstone{}, in.Purges, map[string]string{}
		for _, k := range in.Endpoints {
			if s.Endpoints[k.ID] = k; k.Phase == Draining {
				s.drainingByAddr[k.Addr] = k.ID
			}
		}
		for _, t := range in.Tombstones {
			s.Tombstones[t.ID] = t
		}
		s.enforceLimits()
	}
	for i, b := range changes {
		var c Update
		if err := decode(b, &c); err != nil {
			return s, fmt.Errorf("change %d: %w", i+1, err)
		}
		s.Apply(c)
	}
	return s, nil
}

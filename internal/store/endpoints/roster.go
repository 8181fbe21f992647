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
	Version    = 1
	MostCaches = 16384
	MostTombs  = 8192
	MostPurges = 8192
	slack      = 1024 // tombs over their bound before the oldest go
)

// Phase is what was told of a cache.
type Phase uint8

const (
	Up Phase = iota
	Draining
	Gone
)

// Source is where an entry is from.
type Source uint8

const (
	Told     Source = iota // by a bulletin
	Imported               // by an operator's file
)

// Cache is what is kept of one cache. Times are Unix milliseconds, 0: never.
type Cache struct {
	ID      string  `cbor:"1,keyasint"`
	Addr    string  `cbor:"2,keyasint"`
	Zone    string  `cbor:"3,keyasint"`
	Machine string  `cbor:"4,keyasint"` // type, such as edge
	Cell    int     `cbor:"5,keyasint,omitempty"`
	Size    float64 `cbor:"6,keyasint,omitempty"`
	UpSince int64   `cbor:"7,keyasint,omitempty"` // its late start as told
	Phase   Phase   `cbor:"8,keyasint,omitempty"`
	Source  Source  `cbor:"9,keyasint,omitempty"`
	Since   int64   `cbor:"10,keyasint,omitempty"` // in the list since
	Heard   int64   `cbor:"12,keyasint,omitempty"` // last good answer
	Ill     int64   `cbor:"13,keyasint,omitempty"` // out since; 0: in
}

// Tomb is word that a cache drains or is gone. It outlives the cache: no older list undoes it.
type Tomb struct {
	ID   string `cbor:"1,keyasint"`
	At   int64  `cbor:"2,keyasint"`
	Gone bool   `cbor:"3,keyasint,omitempty"`
}

// Purge is word that copies from before Issued are out of date.
type Purge struct {
	Object string `cbor:"1,keyasint,omitempty"`
	Group  int    `cbor:"2,keyasint,omitempty"`
	Issued int64  `cbor:"3,keyasint"`
	Told   int64  `cbor:"4,keyasint"`
}

// State is all that is kept.
type State struct {
	Bulletin string  `cbor:"1,keyasint,omitempty"` // address that told it
	Last     int64   `cbor:"2,keyasint,omitempty"` // number of its last event
	At       int64   `cbor:"3,keyasint,omitempty"` // last change, by this machine's clock
	Hours    float64 `cbor:"4,keyasint,omitempty"` // cache-hours that the list was watched
	Departed int     `cbor:"5,keyasint,omitempty"` // caches that left it meanwhile

	Stood int64 `cbor:"6,keyasint,omitempty"` // the list as told stood up to then

	Caches map[string]Cache `cbor:"-"`
	Tombs  map[string]Tomb  `cbor:"-"`
	Purges []Purge          `cbor:"-"` // oldest first

	leaving map[string]string // ids of draining caches by address
}

// Change is one step of a State. What is zero says nothing.
type Change struct {
	At       int64    `cbor:"1,keyasint"`
	Bulletin string   `cbor:"2,keyasint,omitempty"`
	Last     int64    `cbor:"3,keyasint,omitempty"`
	Whole    bool     `cbor:"4,keyasint,omitempty"` // Rows are the whole list
	Rows     []Cache  `cbor:"5,keyasint,omitempty"`
	Purges   []Purge  `cbor:"6,keyasint,omitempty"`
	Heard    []string `cbor:"7,keyasint,omitempty"`  // ids with good answers since the last change
	Ill      []string `cbor:"8,keyasint,omitempty"`  // ids that are out now; nil with Health: none
	Health   bool     `cbor:"9,keyasint,omitempty"`  // Heard and Ill are told
	Standing bool     `cbor:"10,keyasint,omitempty"` // the list stands as it is: its bulletin was heard up to At
}

// New makes an empty state.
func New() *State {
	return &State{Caches: map[string]Cache{}, Tombs: map[string]Tomb{}, leaving: map[string]string{}}
}

// Apply takes a change. Time that runs backwards in changes is taken as standing still.
func (s *State) Apply(c Change) {
	if c.Bulletin != "" {
		s.Bulletin = c.Bulletin
	}
	if c.Last != 0 {
		s.Last = c.Last
	}
	told := c.Standing || c.Whole || len(c.Rows) > 0
	if told && s.At > 0 && c.At > s.At {
		s.Hours += float64(min(c.At-s.At, 3_600_000)) / 3_600_000 * float64(len(s.Caches)) // a longer gap was not watched
	}
	s.At = max(s.At, c.At)
	if c.Whole {
		named := map[string]bool{}
		for _, r := range c.Rows {
			named[r.ID] = true
		}
		for id := range s.Caches {
			if !named[id] {
				s.leave(id, c.At, true)
			}
		}
	}
	for _, r := range c.Rows {
		s.row(r, c.At)
	}
	if told {
		s.Stood = max(s.Stood, c.At)
	}
	if c.Health {
		ill := map[string]bool{}
		for _, id := range c.Ill {
			ill[id] = true
		}
		for id, k := range s.Caches {
			if was := k.Ill; !ill[id] {
				k.Ill = 0
			} else if was == 0 {
				k.Ill = c.At
			}
			s.Caches[id] = k
		}
		for _, id := range c.Heard {
			if k, ok := s.Caches[id]; ok {
				k.Heard = max(k.Heard, c.At)
				s.Caches[id] = k
			}
		}
	}
	s.Purges = append(s.Purges, c.Purges...)
	if n := len(s.Purges); n > MostPurges {
		s.Purges = slices.Clone(s.Purges[n-MostPurges:])
	}
	s.bound()
}

// row takes one line of a list. A drain is never undone by a line told by an older list: only a bulletin's own word does.
func (s *State) row(r Cache, at int64) {
	was, known := s.Caches[r.ID]
	switch {
	case r.Phase == Gone:
		s.leave(r.ID, at, true)
		return
	case r.Source == Imported && s.Tombs[r.ID].ID != "":
		return
	case r.Source == Imported && known && was.Source == Told:
		return // what was told counts more than a file
	}
	if s.Tombs[r.ID].Gone && r.Source == Told { // it had not departed: the list was read from its beginning
		s.Departed = max(0, s.Departed-1)
	}
	if r.Phase == Draining {
		s.Tombs[r.ID] = Tomb{r.ID, at, false}
	} else {
		delete(s.Tombs, r.ID)
	}
	if id := s.leaving[r.Addr]; id != "" && id != r.ID { // an address belongs to the one told last
		delete(s.Caches, id)
	}
	if delete(s.leaving, was.Addr); r.Phase == Draining {
		s.leaving[r.Addr] = r.ID
	} else {
		delete(s.leaving, r.Addr)
	}
	r.Since, r.Heard, r.Ill = at, 0, 0
	if known && was.Addr == r.Addr && was.UpSince == r.UpSince { // the same life of the same machine
		r.Since, r.Heard, r.Ill = was.Since, was.Heard, was.Ill
	}
	s.Caches[r.ID] = r
}

func (s *State) leave(id string, at int64, gone bool) {
	if was, known := s.Caches[id]; known {
		delete(s.Caches, id)
		delete(s.leaving, was.Addr)
		s.Departed++
	}
	s.Tombs[id] = Tomb{id, at, gone}
}

// bound drops what is past the bounds: tombs and caches told longest ago.
func (s *State) bound() {
	if n := len(s.Tombs) - MostTombs; n > slack { // in one sort for many, since a change must cost little
		all := slices.SortedFunc(maps.Values(s.Tombs), func(a, b Tomb) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.ID, b.ID))
		})
		for _, t := range all[:n] {
			delete(s.Tombs, t.ID)
		}
	}
	if n := len(s.Caches) - MostCaches; n > 0 {
		all := slices.SortedFunc(maps.Values(s.Caches), func(a, b Cache) int {
			return cmp.Or(cmp.Compare(b.Source, a.Source), cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
		})
		for _, k := range all[:n] {
			delete(s.Caches, k.ID)
		}
	}
}

// Sorted are the caches by id.
func (s *State) Sorted() []Cache {
	return slices.SortedFunc(maps.Values(s.Caches), func(a, b Cache) int { return cmp.Compare(a.ID, b.ID) })
}

// SortedTombs are the tombs by id.
func (s *State) SortedTombs() []Tomb {
	return slices.SortedFunc(maps.Values(s.Tombs), func(a, b Tomb) int { return cmp.Compare(a.ID, b.ID) })
}

// Import takes an operator's rows: they say nothing of how long the list stood as told.
func (s *State) Import(c Change) {
	for _, r := range c.Rows {
		r.Source = Imported
		s.row(r, c.At)
	}
	s.bound()
}

// Clone is the same state once more.
func (s *State) Clone() *State {
	c := *s
	c.Caches, c.Tombs, c.Purges = maps.Clone(s.Caches), maps.Clone(s.Tombs), slices.Clone(s.Purges)
	c.leaving = maps.Clone(s.leaving)
	return &c
}

// ErrNewer tells that a form is of a newer version.
var ErrNewer = errors.New("written by a newer version of this program")

type snapshot struct {
	State  State   `cbor:"1,keyasint"`
	Caches []Cache `cbor:"2,keyasint"`
	Tombs  []Tomb  `cbor:"3,keyasint"`
	Purges []Purge `cbor:"4,keyasint"`
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * MostCaches, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return m
}()

// Snapshot is the whole state as bytes, the same for the same state.
func (s *State) Snapshot() ([]byte, error) {
	return encode(snapshot{State: *s, Caches: s.Sorted(), Purges: s.Purges,
		Tombs: s.SortedTombs()})
}

// Encode is a change as bytes.
func (c Change) Encode() ([]byte, error) { return encode(c) }

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	return append([]byte{Version}, b...), err
}

func decode(b []byte, v any) error {
	switch {
	case len(b) == 0:
		return errors.New("nothing written")
	case b[0] > Version:
		return fmt.Errorf("version %d: %w", b[0], ErrNewer)
	}
	return decoder.Unmarshal(b[1:], v)
}

// Restore makes a state of a snapshot and the changes since. A change that cannot be read ends it there, and is told.
func Restore(snap []byte, changes [][]byte) (*State, error) {
	s := New()
	if snap != nil {
		var in snapshot
		if err := decode(snap, &in); err != nil {
			return s, fmt.Errorf("snapshot: %w", err)
		}
		*s = in.State
		s.Caches, s.Tombs, s.Purges, s.leaving = map[string]Cache{}, map[string]Tomb{}, in.Purges, map[string]string{}
		for _, k := range in.Caches {
			if s.Caches[k.ID] = k; k.Phase == Draining {
				s.leaving[k.Addr] = k.ID
			}
		}
		for _, t := range in.Tombs {
			s.Tombs[t.ID] = t
		}
		s.bound()
	}
	for i, b := range changes {
		var c Change
		if err := decode(b, &c); err != nil {
			return s, fmt.Errorf("change %d: %w", i+1, err)
		}
		s.Apply(c)
	}
	return s, nil
}

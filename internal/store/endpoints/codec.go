package endpoints

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// FormatVersion stands in front of each encoded form. An older one is read, a newer one refused.
const FormatVersion = 1

// ErrNewerVersion reports a form of a newer version than this program reads. Run a program of that version, or forget the list.
var ErrNewerVersion = errors.New("written by a newer version of this program")

var errEmpty = errors.New("nothing written")

// RestoreError says which part of a stored list cannot be read. What was before it is restored.
type RestoreError struct {
	Update int // its number after the snapshot, from 1; 0: the snapshot itself
	Err    error
}

// Error names the part and the cause.
func (e *RestoreError) Error() string {
	if e.Update == 0 {
		return fmt.Sprintf("snapshot: %v", e.Err)
	}
	return fmt.Sprintf("change %d: %v", e.Update, e.Err)
}

// Unwrap returns the cause.
func (e *RestoreError) Unwrap() error { return e.Err }

type encodedState struct {
	State      State       `cbor:"1,keyasint"`
	Endpoints  []Endpoint  `cbor:"2,keyasint"`
	Tombstones []Tombstone `cbor:"3,keyasint"`
	Purges     []Purge     `cbor:"4,keyasint"`
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 4 * MaxEndpoints, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Snapshot encodes the state. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	return encode(encodedState{State: *s, Endpoints: s.Sorted(), Tombstones: s.SortedTombstones(), Purges: s.Purges})
}

// Encode encodes the update.
func (u Update) Encode() ([]byte, error) { return encode(u) }

func encode(value any) ([]byte, error) {
	encoded, err := cbor.Marshal(value)
	return append([]byte{FormatVersion}, encoded...), err
}

func decode(encoded []byte, into any) error {
	switch {
	case len(encoded) == 0:
		return errEmpty
	case encoded[0] > FormatVersion:
		return fmt.Errorf("version %d: %w", encoded[0], ErrNewerVersion)
	}
	return decoder.Unmarshal(encoded[1:], into)
}

// Restore builds a state from a snapshot, nil if there is none, and the updates since. At the first part that cannot be read it stops and
// returns what was restored so far, with a *RestoreError.
func Restore(snapshot []byte, updates [][]byte) (*State, error) {
	s := New()
	if snapshot != nil {
		var stored encodedState
		if err := decode(snapshot, &stored); err != nil {
			return s, &RestoreError{Err: err}
		}
		s = stored.state()
	}
	for i, encoded := range updates {
		var u Update
		if err := decode(encoded, &u); err != nil {
			return s, &RestoreError{Update: i + 1, Err: err}
		}
		s.Apply(u)
	}
	return s, nil
}

func (e *encodedState) state() *State {
	s := e.State
	s.Endpoints = map[string]Endpoint{}
	s.Tombstones = map[string]Tombstone{}
	s.Purges = e.Purges
	s.drainingByAddr = map[string]string{}
	for _, endpoint := range e.Endpoints {
		s.Endpoints[endpoint.ID] = endpoint
		if endpoint.Phase == Draining {
			s.drainingByAddr[endpoint.Addr] = endpoint.ID
		}
	}
	for _, t := range e.Tombstones {
		s.Tombstones[t.ID] = t
	}
	s.enforceLimits()
	return &s
}

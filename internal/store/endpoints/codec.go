package endpoints

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// FormatVersion is the first byte of each encoded snapshot and update. Older versions are decoded. Newer versions are
// rejected with ErrNewerVersion.
const FormatVersion = 1

// ErrNewerVersion reports an encoding whose version is newer than FormatVersion. The remedy is to run a program of that
// version or to remove the stored list.
var ErrNewerVersion = errors.New("written by a newer version of this program")

var errEmpty = errors.New("empty encoding: the version byte is missing")

// RestoreError reports the part of a stored list that cannot be decoded. All parts before it are restored.
type RestoreError struct {
	Update int // number of the update after the snapshot, counted from 1; 0 means the snapshot
	Err    error
}

// Error returns the name of the part and the cause.
func (e *RestoreError) Error() string {
	if e.Update == 0 {
		return fmt.Sprintf("snapshot: %v", e.Err)
	}
	return fmt.Sprintf("update %d after the snapshot: %v", e.Update, e.Err)
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
		panic(err) // impossible: the options are constants
	}
	return mode
}()

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	return encode(encodedState{State: *s, Endpoints: s.Sorted(), Tombstones: s.SortedTombstones(), Purges: s.Purges})
}

// Encode returns the encoded update.
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
		return fmt.Errorf("format version %d, expected at most %d: %w", encoded[0], FormatVersion, ErrNewerVersion)
	}
	return decoder.Unmarshal(encoded[1:], into)
}

// Restore rebuilds a state from an encoded snapshot and the encoded updates that followed it. snapshot is nil if there
// is none. Restore stops at the first part that cannot be decoded and returns the state restored so far with a
// *RestoreError.
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

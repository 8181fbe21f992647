package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

func endpointAt(id, addr string) Endpoint {
	return Endpoint{ID: id, Addr: addr, Zone: "town", MachineType: "edge"}
}

// encodedUpdates returns the encoding of each update.
func encodedUpdates(t *testing.T, updates ...Update) (encoded [][]byte) {
	t.Helper()
	for _, u := range updates {
		e, err := u.Encode()
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, e)
	}
	return encoded
}

func snapshotOf(t *testing.T, s *State) []byte {
	t.Helper()
	encoded, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// Guards against a snapshot that omits part of the state. The test takes a snapshot before each update in turn. The
// snapshot and the updates after it must restore the same state as all updates together.
func TestSnapshotAndUpdatesGiveTheSameState(t *testing.T) {
	encoded := encodedUpdates(t,
		Update{At: 1 * hourMS, DiscoveryAddr: "10.0.0.1:8500", LastEvent: 1, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1"), endpointAt("b", "2:1"), endpointAt("c", "3:1")}},
		Update{At: 2 * hourMS, HasHealth: true, Responded: []string{"a", "b"}, Ejected: []string{"c"}},
		Update{At: 3 * hourMS, LastEvent: 2, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Zone: "town", MachineType: "edge", Phase: Draining}}},
		Update{At: 4 * hourMS, LastEvent: 3, Purges: []Purge{{Object: "o", IssuedAt: 4 * hourMS, ReceivedAt: 4 * hourMS}}},
		Update{At: 5 * hourMS, LastEvent: 4, Endpoints: []Endpoint{{ID: "a", Phase: Removed}, endpointAt("d", "1:1")}},
		Update{At: 6 * hourMS, StillCurrent: true},
	)
	complete, err := Restore(nil, encoded)
	if err != nil {
		t.Fatal(err)
	}
	want := snapshotOf(t, complete)
	for i := range encoded {
		partial, _ := Restore(nil, encoded[:i])
		restored, err := Restore(snapshotOf(t, partial), encoded[i:])
		if err != nil {
			t.Fatal(err)
		}
		if got := snapshotOf(t, restored); !bytes.Equal(got, want) {
			t.Errorf("snapshot of the first %d updates and the rest: got state\n%+v\nwant\n%+v", i, restored, complete)
		}
	}
	if len(complete.Endpoints) != 3 || !complete.Tombstones["a"].Removed || complete.Departures != 1 || complete.Endpoints["c"].EjectedAt == 0 || complete.LastEvent != 4 {
		t.Errorf("unexpected state after all updates: %+v", complete)
	}
	if d := complete.Endpoints["d"]; d.LastResponseAt != 0 || d.ListedAt != 5*hourMS || complete.CurrentAsOf != 6*hourMS {
		t.Errorf("unexpected endpoint of the new cache at the address of a removed one: %+v", d)
	}
}

func TestUpdates(t *testing.T) {
	t.Run("discovery can undo a drain, an imported list cannot", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		s.Apply(Update{At: 2, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Phase: Draining}}})
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Source: Imported}}})
		if s.Endpoints["a"].Phase != Draining || s.Tombstones["a"].ID == "" {
			t.Errorf("imported endpoint undid the drain: %+v", s)
		}
		s.Apply(Update{At: 4, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		if s.Endpoints["a"].Phase != Up || s.Tombstones["a"].ID != "" {
			t.Errorf("discovery did not undo the drain: %+v", s)
		}
	})
	t.Run("reading the list again from its first event counts no departures", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1"), endpointAt("b", "2:1")}})
		s.Apply(Update{At: 2, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1")}}) // the first event again
		s.Apply(Update{At: 2, Endpoints: []Endpoint{endpointAt("b", "2:1")}})
		if s.Departures != 0 {
			t.Error(s.Departures)
		}
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "b", Phase: Removed}}})
		if s.Departures != 1 {
			t.Error(s.Departures)
		}
	})
	t.Run("a new start time begins a new incarnation", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		s.Apply(Update{At: 2, HasHealth: true, Responded: []string{"a"}})
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", StartedAt: 3}}})
		if s.Endpoints["a"].LastResponseAt != 0 {
			t.Error("the new incarnation has the last response time of the previous one")
		}
	})
	t.Run("tombstones, purges and endpoints are bounded", func(t *testing.T) {
		s := New()
		var list []Endpoint
		for i := range MaxEndpoints + 100 {
			list = append(list, endpointAt(fmt.Sprint("c", i), fmt.Sprint(i)))
		}
		s.Apply(Update{At: 1, Complete: true, Endpoints: list})
		for i := range MaxPurges + 10 {
			s.Apply(Update{At: 2, Purges: []Purge{{Object: fmt.Sprint(i), IssuedAt: int64(i)}}})
		}
		s.Apply(Update{At: 3, Complete: true})
		if len(s.Endpoints) != 0 || len(s.Tombstones) != MaxTombstones || len(s.Purges) != MaxPurges || s.Purges[0].IssuedAt != 10 {
			t.Errorf("%d endpoints, %d tombstones, %d purges; want none, MaxTombstones and the newest MaxPurges", len(s.Endpoints), len(s.Tombstones), len(s.Purges))
		}
		if s.DroppedPurgesAt != 9 {
			t.Errorf("DroppedPurgesAt %d, want 9, the issue of the last dropped purge", s.DroppedPurgesAt)
		}
	})
}

// Restore must reject a newer format version. At an update that cannot be decoded it must stop and return the state
// from before that update.
func TestRestoreErrors(t *testing.T) {
	if _, err := Restore([]byte{FormatVersion + 1, 0xa0}, nil); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("got error %v, want ErrNewerVersion", err)
	}
	update := encodedUpdates(t, Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}})[0]
	s, err := Restore(nil, [][]byte{update, {FormatVersion, 0xff}, update})
	var restoreErr *RestoreError
	if !errors.As(err, &restoreErr) || restoreErr.Update != 2 || len(s.Endpoints) != 1 {
		t.Errorf("got error %v and state %+v, want a RestoreError for update 2 and one endpoint", err, s)
	}
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}, Purges: []Purge{{Group: 3, IssuedAt: 1}}})
	snapshot, _ := s.Snapshot()
	update, _ := Update{At: 2, Complete: true, Endpoints: []Endpoint{endpointAt("b", "2:1")}}.Encode()
	f.Add(snapshot, update)
	f.Add([]byte{FormatVersion}, []byte{})
	f.Fuzz(func(t *testing.T, snapshot, update []byte) {
		s, err := Restore(snapshot, [][]byte{update})
		if err != nil {
			return
		}
		encoded, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(encoded, nil); err != nil {
			t.Fatal("the snapshot of a restored state cannot be decoded:", err)
		}
	})
}

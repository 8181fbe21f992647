package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

const hourMS = 3_600_000

func endpointAt(id, addr string) Endpoint {
	return Endpoint{ID: id, Addr: addr, Zone: "town", MachineType: "edge"}
}

func TestUpdates(t *testing.T) {
	t.Run("snapshot and changes give the same state again, at any point", func(t *testing.T) {
		changes := []Update{
			{At: 1 * hourMS, DiscoveryAddr: "10.0.0.1:8500", LastEvent: 1, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1"), endpointAt("b", "2:1"), endpointAt("c", "3:1")}},
			{At: 2 * hourMS, HasHealth: true, Responded: []string{"a", "b"}, Ejected: []string{"c"}},
			{At: 3 * hourMS, LastEvent: 2, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Zone: "town", MachineType: "edge", Phase: Draining}}},
			{At: 4 * hourMS, LastEvent: 3, Purges: []Purge{{Object: "o", IssuedAt: 4 * hourMS, ReceivedAt: 4 * hourMS}}},
			{At: 5 * hourMS, LastEvent: 4, Endpoints: []Endpoint{{ID: "a", Phase: Removed}, endpointAt("d", "1:1")}},
			{At: 6 * hourMS, StillCurrent: true},
		}
		var texts [][]byte
		for _, c := range changes {
			b, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			texts = append(texts, b)
		}
		whole, err := Restore(nil, texts)
		if err != nil {
			t.Fatal(err)
		}
		want, _ := whole.Snapshot()
		for at := range texts {
			half, _ := Restore(nil, texts[:at])
			snap, err := half.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			again, err := Restore(snap, texts[at:])
			if err != nil {
				t.Fatal(err)
			}
			if got, _ := again.Snapshot(); !bytes.Equal(got, want) {
				t.Errorf("another state after a snapshot at %d:\n%+v\n%+v", at, again, whole)
			}
		}
		if len(whole.Endpoints) != 3 || !whole.Tombstones["a"].Removed || whole.Departures != 1 || whole.Endpoints["c"].EjectedAt == 0 || whole.LastEvent != 4 {
			t.Errorf("%+v", whole)
		}
		if k := whole.Endpoints["d"]; k.LastResponseAt != 0 || k.ListedAt != 5*hourMS || whole.CurrentAsOf != 6*hourMS {
			t.Errorf("the new cache at an old address: %+v", k)
		}
	})
	t.Run("a drain is not undone by an imported list, only by a bulletin", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		s.Apply(Update{At: 2, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Phase: Draining}}})
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", Source: Imported}}})
		if s.Endpoints["a"].Phase != Draining || s.Tombstones["a"].ID == "" {
			t.Errorf("%+v", s)
		}
		s.Apply(Update{At: 4, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		if s.Endpoints["a"].Phase != Up || s.Tombstones["a"].ID != "" {
			t.Errorf("%+v", s)
		}
	})
	t.Run("a list read from its beginning counts no departures that were none", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1"), endpointAt("b", "2:1")}})
		s.Apply(Update{At: 2, Complete: true, Endpoints: []Endpoint{endpointAt("a", "1:1")}}) // its first event again
		s.Apply(Update{At: 2, Endpoints: []Endpoint{endpointAt("b", "2:1")}})
		if s.Departures != 0 {
			t.Error(s.Departures)
		}
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "b", Phase: Removed}}})
		if s.Departures != 1 {
			t.Error(s.Departures)
		}
	})
	t.Run("a late start or another address is another life", func(t *testing.T) {
		s := New()
		s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}})
		s.Apply(Update{At: 2, HasHealth: true, Responded: []string{"a"}})
		s.Apply(Update{At: 3, Endpoints: []Endpoint{{ID: "a", Addr: "1:1", StartedAt: 3}}})
		if s.Endpoints["a"].LastResponseAt != 0 {
			t.Error("it inherits what was learnt of the life before")
		}
	})
	t.Run("tombs, purges and caches are bounded", func(t *testing.T) {
		s := New()
		var rows []Endpoint
		for i := range MaxEndpoints + 100 {
			rows = append(rows, endpointAt(fmt.Sprint("c", i), fmt.Sprint(i)))
		}
		s.Apply(Update{At: 1, Complete: true, Endpoints: rows})
		for i := range MaxPurges + 10 {
			s.Apply(Update{At: 2, Purges: []Purge{{Object: fmt.Sprint(i), IssuedAt: int64(i)}}})
		}
		s.Apply(Update{At: 3, Complete: true})
		if len(s.Endpoints) != 0 || len(s.Tombstones) != MaxTombstones || len(s.Purges) != MaxPurges || s.Purges[0].IssuedAt != 10 {
			t.Errorf("%d caches, %d tombs, %d purges", len(s.Endpoints), len(s.Tombstones), len(s.Purges))
		}
	})
	t.Run("a newer version is refused, what cannot be read ends there", func(t *testing.T) {
		if _, err := Restore([]byte{FormatVersion + 1, 0xa0}, nil); !errors.Is(err, ErrNewerVersion) {
			t.Errorf("%v", err)
		}
		good, _ := Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}}.Encode()
		s, err := Restore(nil, [][]byte{good, {FormatVersion, 0xff}, good})
		if err == nil || len(s.Endpoints) != 1 {
			t.Errorf("%v, %+v", err, s)
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(Update{At: 1, Endpoints: []Endpoint{endpointAt("a", "1:1")}, Purges: []Purge{{Group: 3, IssuedAt: 1}}})
	snap, _ := s.Snapshot()
	change, _ := Update{At: 2, Complete: true, Endpoints: []Endpoint{endpointAt("b", "2:1")}}.Encode()
	f.Add(snap, change)
	f.Add([]byte{FormatVersion}, []byte{})
	f.Fuzz(func(t *testing.T, snap, change []byte) {
		s, err := Restore(snap, [][]byte{change})
		if err != nil {
			return
		}
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(b, nil); err != nil {
			t.Fatal("what was restored cannot be read again:", err)
		}
	})
}

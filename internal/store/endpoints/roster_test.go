package endpoints

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

const hour = 3_600_000

func told(id, addr string) Cache { return Cache{ID: id, Addr: addr, Zone: "town", Machine: "edge"} }

func TestChanges(t *testing.T) {
	t.Run("snapshot and changes give the same state again, at any point", func(t *testing.T) {
		changes := []Change{
			{At: 1 * hour, Bulletin: "10.0.0.1:8500", Last: 1, Whole: true, Rows: []Cache{told("a", "1:1"), told("b", "2:1"), told("c", "3:1")}},
			{At: 2 * hour, Health: true, Heard: []string{"a", "b"}, Ill: []string{"c"}},
			{At: 3 * hour, Last: 2, Rows: []Cache{{ID: "a", Addr: "1:1", Zone: "town", Machine: "edge", Phase: Draining}}},
			{At: 4 * hour, Last: 3, Purges: []Purge{{Object: "o", Issued: 4 * hour, Told: 4 * hour}}},
			{At: 5 * hour, Last: 4, Rows: []Cache{{ID: "a", Phase: Gone}, told("d", "1:1")}},
			{At: 6 * hour, Standing: true},
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
		if len(whole.Caches) != 3 || !whole.Tombs["a"].Gone || whole.Departed != 1 || whole.Caches["c"].Ill == 0 || whole.Last != 4 {
			t.Errorf("%+v", whole)
		}
		if k := whole.Caches["d"]; k.Heard != 0 || k.Since != 5*hour || whole.Stood != 6*hour {
			t.Errorf("the new cache at an old address: %+v", k)
		}
	})
	t.Run("a drain is not undone by an imported list, only by a bulletin", func(t *testing.T) {
		s := New()
		s.Apply(Change{At: 1, Rows: []Cache{told("a", "1:1")}})
		s.Apply(Change{At: 2, Rows: []Cache{{ID: "a", Addr: "1:1", Phase: Draining}}})
		s.Apply(Change{At: 3, Rows: []Cache{{ID: "a", Addr: "1:1", Source: Imported}}})
		if s.Caches["a"].Phase != Draining || s.Tombs["a"].ID == "" {
			t.Errorf("%+v", s)
		}
		s.Apply(Change{At: 4, Rows: []Cache{told("a", "1:1")}})
		if s.Caches["a"].Phase != Up || s.Tombs["a"].ID != "" {
			t.Errorf("%+v", s)
		}
	})
	t.Run("a list read from its beginning counts no departures that were none", func(t *testing.T) {
		s := New()
		s.Apply(Change{At: 1, Whole: true, Rows: []Cache{told("a", "1:1"), told("b", "2:1")}})
		s.Apply(Change{At: 2, Whole: true, Rows: []Cache{told("a", "1:1")}}) // its first event again
		s.Apply(Change{At: 2, Rows: []Cache{told("b", "2:1")}})
		if s.Departed != 0 {
			t.Error(s.Departed)
		}
		s.Apply(Change{At: 3, Rows: []Cache{{ID: "b", Phase: Gone}}})
		if s.Departed != 1 {
			t.Error(s.Departed)
		}
	})
	t.Run("a late start or another address is another life", func(t *testing.T) {
		s := New()
		s.Apply(Change{At: 1, Rows: []Cache{told("a", "1:1")}})
		s.Apply(Change{At: 2, Health: true, Heard: []string{"a"}})
		s.Apply(Change{At: 3, Rows: []Cache{{ID: "a", Addr: "1:1", UpSince: 3}}})
		if s.Caches["a"].Heard != 0 {
			t.Error("it inherits what was learnt of the life before")
		}
	})
	t.Run("tombs, purges and caches are bounded", func(t *testing.T) {
		s := New()
		var rows []Cache
		for i := range MostCaches + 100 {
			rows = append(rows, told(fmt.Sprint("c", i), fmt.Sprint(i)))
		}
		s.Apply(Change{At: 1, Whole: true, Rows: rows})
		for i := range MostPurges + 10 {
			s.Apply(Change{At: 2, Purges: []Purge{{Object: fmt.Sprint(i), Issued: int64(i)}}})
		}
		s.Apply(Change{At: 3, Whole: true})
		if len(s.Caches) != 0 || len(s.Tombs) != MostTombs || len(s.Purges) != MostPurges || s.Purges[0].Issued != 10 {
			t.Errorf("%d caches, %d tombs, %d purges", len(s.Caches), len(s.Tombs), len(s.Purges))
		}
	})
	t.Run("a newer version is refused, what cannot be read ends there", func(t *testing.T) {
		if _, err := Restore([]byte{Version + 1, 0xa0}, nil); !errors.Is(err, ErrNewer) {
			t.Errorf("%v", err)
		}
		good, _ := Change{At: 1, Rows: []Cache{told("a", "1:1")}}.Encode()
		s, err := Restore(nil, [][]byte{good, {Version, 0xff}, good})
		if err == nil || len(s.Caches) != 1 {
			t.Errorf("%v, %+v", err, s)
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(Change{At: 1, Rows: []Cache{told("a", "1:1")}, Purges: []Purge{{Group: 3, Issued: 1}}})
	snap, _ := s.Snapshot()
	change, _ := Change{At: 2, Whole: true, Rows: []Cache{told("b", "2:1")}}.Encode()
	f.Add(snap, change)
	f.Add([]byte{Version}, []byte{})
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

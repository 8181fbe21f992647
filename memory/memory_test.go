package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

func TestBuffer(t *testing.T) {
	text := strings.Repeat("0123456789", 900)
	t.Run("grows for a long message, is compacted for the next", func(t *testing.T) {
		var b Buffer
		in := iotest.HalfReader(strings.NewReader(text))
		for len(b.Bytes()) < 5000 {
			if err := b.Fill(in, 8192); err != nil {
				t.Fatal(err)
			}
		}
		b.Skip(4990)
		size, rest := len(b.b), string(b.Bytes())
		for {
			if err := b.Fill(in, 8192); err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if got := string(b.Bytes()); got != text[4990:] || !strings.HasPrefix(got, rest) || len(b.b) != size {
			t.Errorf("%d bytes in a buffer of %d, %d before", len(got), len(b.b), size)
		}
	})
	t.Run("refuses what is longer than allowed", func(t *testing.T) {
		var b Buffer
		var err error
		for in := strings.NewReader(text); err == nil; err = b.Fill(in, 4096) {
		}
		if !errors.Is(err, ErrFull) || !bytes.Equal(b.Bytes(), []byte(text[:4096])) {
			t.Errorf("%v with %d bytes", err, len(b.Bytes()))
		}
	})
}

func TestPurges(t *testing.T) {
	p := &Purges{Keep: time.Hour}
	at := time.Now()
	p.Note("a", 0, at)
	p.Note("a", 0, at.Add(-time.Second)) // told late, of an earlier one
	p.Note("", 3, at.Add(-time.Minute))
	for _, story := range []struct {
		object string
		group  int
		want   time.Time
	}{{"a", 3, at}, {"b", 3, at.Add(-time.Minute)}, {"b", 4, time.Time{}}} {
		if got, _ := p.Latest(story.object, story.group); !got.Equal(story.want) {
			t.Errorf("%s in %d: %v", story.object, story.group, got)
		}
	}
	p.Keep = -1
	if p.Note("c", 0, at); len(p.objects) != 1 {
		t.Errorf("%d purges kept past their time", len(p.objects))
	}
}

func TestCaches(t *testing.T) {
	var c Caches
	first := c.Note("s", "1.2.3.4:1")
	if moved := c.Note("s", "1.2.3.4:2"); moved.Its != first.Its || first.Addr != "1.2.3.4:1" || c.Find("s") != moved {
		t.Error("a moved cache is another than before, or the old one changed")
	}
	c.Forget("s")
	if again := c.Note("s", "1.2.3.4:1"); again.Its == first.Its {
		t.Error("a cache that went and came is the old one")
	}
	if c.Keep(map[string]bool{}); c.Find("s") != nil {
		t.Error("kept though a whole list does not name it")
	}
}

func TestRoom(t *testing.T) {
	r := NewRoom(1, 100)
	if !r.Enter() || r.Enter() {
		t.Error("one place, but not one entered")
	}
	if r.Leave(); !r.Enter() {
		t.Error("no place after one left")
	}
	if !r.Hold(60) || r.Hold(60) || !r.Hold(40) {
		t.Error("100 bytes of room, but not 60 and 40 held")
	}
	if r.Free(60); !r.Hold(60) {
		t.Error("no room after some was freed")
	}
}

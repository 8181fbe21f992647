package memory

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"foldslip/internal/env"
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
	p := &Purges{Keep: time.Hour, Grace: -1, Clock: env.NewSystem(io.Discard, 0)}
	at := time.Now()
	p.Note("a", 0, at)
	p.Note("a", 0, at.Add(-time.Second)) // told late, of an earlier one
	p.Note("", 3, at.Add(-time.Minute))
	for _, story := range []struct {
		object string
		group  int
		want   time.Time
	}{{"a", 3, at}, {"b", 3, at.Add(-time.Minute)}, {"b", 4, time.Time{}}} {
		if got, _ := p.Heeded(story.object, story.group); !got.Equal(story.want) {
			t.Errorf("%s in %d: %v", story.object, story.group, got)
		}
	}
	p.Keep = -1
	if p.Note("c", 0, at); len(p.objects) != 1 {
		t.Errorf("%d purges kept past their time", len(p.objects))
	}
}

// later is a clock that the story moves.
type later struct {
	env.Ground
	now time.Time
}

func (l *later) Now() time.Time { return l.now }

func TestPurgesThatOverlap(t *testing.T) {
	g := &later{now: time.Unix(1764576000, 0)}
	p := &Purges{Keep: time.Hour, Grace: 300 * time.Millisecond, Clock: g}
	first := g.now
	t.Run("a later purge does not put off an earlier one", func(t *testing.T) {
		p.Note("a", 0, first)
		g.now = g.now.Add(200 * time.Millisecond)
		p.Note("a", 0, first.Add(200*time.Millisecond))
		g.now = g.now.Add(101 * time.Millisecond)
		if got, told := p.Heeded("a", 0); !got.Equal(first) || !told.Equal(first) {
			t.Errorf("issued %v, told %v", got, told)
		}
		g.now = g.now.Add(200 * time.Millisecond)
		if got, _ := p.Heeded("a", 0); !got.Equal(first.Add(200 * time.Millisecond)) {
			t.Errorf("issued %v past the grace of both", got)
		}
	})
	t.Run("a thousand at once are bounded, and none is put off", func(t *testing.T) {
		began := g.now
		for i := range 1000 {
			p.Note("b", 0, began.Add(time.Duration(i)*time.Microsecond))
		}
		if len(p.objects["b"]) != mostPending {
			t.Errorf("%d kept", len(p.objects["b"]))
		}
		g.now = g.now.Add(301 * time.Millisecond)
		if got, _ := p.Heeded("b", 0); !got.Equal(began.Add(999 * time.Microsecond)) {
			t.Errorf("issued %v", got)
		}
	})
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
	r := NewRoom(env.NewSystem(io.Discard, slog.LevelInfo), 1, 100)
	in := r.For("clients", 1)
	if !in.Enter() || in.Enter() {
		t.Error("one place, but not one entered")
	}
	if in.Leave(); !in.Enter() {
		t.Error("no place after one left")
	}
	if !r.Hold(60) || r.Hold(60) || !r.Hold(40) {
		t.Error("100 bytes of room, but not 60 and 40 held")
	}
	if r.Free(60); !r.Hold(60) {
		t.Error("no room after some was freed")
	}
}

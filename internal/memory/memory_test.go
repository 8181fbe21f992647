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
		b.Discard(4990)
		size, rest := len(b.bytes), string(b.Bytes())
		for {
			if err := b.Fill(in, 8192); err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if got := string(b.Bytes()); got != text[4990:] || !strings.HasPrefix(got, rest) || len(b.bytes) != size {
			t.Errorf("%d bytes in a buffer of %d, %d before", len(got), len(b.bytes), size)
		}
	})
	t.Run("refuses what is longer than allowed", func(t *testing.T) {
		var b Buffer
		var err error
		for in := strings.NewReader(text); err == nil; err = b.Fill(in, 4096) {
		}
		if !errors.Is(err, ErrTooLong) || !bytes.Equal(b.Bytes(), []byte(text[:4096])) {
			t.Errorf("%v with %d bytes", err, len(b.Bytes()))
		}
	})
}

func TestLog(t *testing.T) {
	p := &Log{Retention: time.Hour, Grace: -1, Clock: env.NewSystem(io.Discard, 0)}
	at := time.Now()
	p.Record("a", 0, at)
	p.Record("a", 0, at.Add(-time.Second)) // told late, of an earlier one
	p.Record("", 3, at.Add(-time.Minute))
	for _, story := range []struct {
		object string
		group  int
		want   time.Time
	}{{"a", 3, at}, {"b", 3, at.Add(-time.Minute)}, {"b", 4, time.Time{}}} {
		if got, _ := p.InForce(story.object, story.group); !got.Equal(story.want) {
			t.Errorf("%s in %d: %v", story.object, story.group, got)
		}
	}
	p.Retention = -1
	if p.Record("c", 0, at); len(p.objects) != 1 {
		t.Errorf("%d purges kept past their time", len(p.objects))
	}
}

// adjustableClock is a clock that the story moves.
type adjustableClock struct {
	env.Environment
	now time.Time
}

func (l *adjustableClock) Now() time.Time { return l.now }

func TestOverlappingPurges(t *testing.T) {
	g := &adjustableClock{now: time.Unix(1764576000, 0)}
	p := &Log{Retention: time.Hour, Grace: 300 * time.Millisecond, Clock: g}
	first := g.now
	t.Run("a later purge does not put off an earlier one", func(t *testing.T) {
		p.Record("a", 0, first)
		g.now = g.now.Add(200 * time.Millisecond)
		p.Record("a", 0, first.Add(200*time.Millisecond))
		g.now = g.now.Add(101 * time.Millisecond)
		if got, told := p.InForce("a", 0); !got.Equal(first) || !told.Equal(first) {
			t.Errorf("issued %v, told %v", got, told)
		}
		g.now = g.now.Add(200 * time.Millisecond)
		if got, _ := p.InForce("a", 0); !got.Equal(first.Add(200 * time.Millisecond)) {
			t.Errorf("issued %v past the grace of both", got)
		}
	})
	t.Run("a thousand at once are bounded, and none is put off", func(t *testing.T) {
		began := g.now
		for i := range 1000 {
			p.Record("b", 0, began.Add(time.Duration(i)*time.Microsecond))
		}
		if len(p.objects["b"]) != maxPending {
			t.Errorf("%d kept", len(p.objects["b"]))
		}
		g.now = g.now.Add(301 * time.Millisecond)
		if got, _ := p.InForce("b", 0); !got.Equal(began.Add(999 * time.Microsecond)) {
			t.Errorf("issued %v", got)
		}
	})
}

func TestRegistry(t *testing.T) {
	var c Registry
	first := c.Register("s", "1.2.3.4:1")
	if moved := c.Register("s", "1.2.3.4:2"); moved.Policy != first.Policy || first.Addr != "1.2.3.4:1" || c.Find("s") != moved {
		t.Error("a moved cache is another than before, or the old one changed")
	}
	c.Remove("s")
	if again := c.Register("s", "1.2.3.4:1"); again.Policy == first.Policy {
		t.Error("a cache that went and came is the old one")
	}
	if c.Retain(map[string]bool{}); c.Find("s") != nil {
		t.Error("kept though a whole list does not name it")
	}
}

func TestController(t *testing.T) {
	r := NewController(env.NewSystem(io.Discard, slog.LevelInfo), 1, 100)
	in := r.Gate("clients", 1)
	if !in.TryAdmit() || in.TryAdmit() {
		t.Error("one place, but not one entered")
	}
	if in.Release(); !in.TryAdmit() {
		t.Error("no place after one left")
	}
	if !r.ReserveBytes(60) || r.ReserveBytes(60) || !r.ReserveBytes(40) {
		t.Error("100 bytes of room, but not 60 and 40 held")
	}
	if r.ReleaseBytes(60); !r.ReserveBytes(60) {
		t.Error("no room after some was freed")
	}
}

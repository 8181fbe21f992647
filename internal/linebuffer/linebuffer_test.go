package linebuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBuffer checks the growth, the compaction and the size limit of a buffer.
func TestBuffer(t *testing.T) {
	text := strings.Repeat("0123456789", 900)
	t.Run("grows for a long message and is compacted for the next", func(t *testing.T) {
		var b Buffer
		source := iotest.HalfReader(strings.NewReader(text))
		for len(b.Bytes()) < 5000 {
			if err := b.Fill(source, 8192); err != nil {
				t.Fatal(err)
			}
		}
		b.Discard(4990)
		size := len(b.bytes)
		rest := string(b.Bytes())
		for {
			if err := b.Fill(source, 8192); err == io.EOF {
				break
			} else if err != nil {
				t.Fatal(err)
			}
		}
		if got := string(b.Bytes()); got != text[4990:] || !strings.HasPrefix(got, rest) || len(b.bytes) != size {
			t.Errorf("%d unconsumed bytes in a buffer of size %d, expected the rest of the text and size %d",
				len(got), len(b.bytes), size)
		}
	})
	t.Run("rejects a message that exceeds the maximum size", func(t *testing.T) {
		var b Buffer
		var err error
		for source := strings.NewReader(text); err == nil; err = b.Fill(source, 4096) {
		}
		if !errors.Is(err, ErrTooLong) || !bytes.Equal(b.Bytes(), []byte(text[:4096])) {
			t.Errorf("error %v with %d bytes held, expected ErrTooLong and the first 4096 bytes", err, len(b.Bytes()))
		}
	})
}

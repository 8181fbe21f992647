// Package linebuffer provides the read buffer of one connection, from which a protocol's messages are parsed in place.
package linebuffer

import (
	"errors"
	"io"
)

// minSize is the size in bytes of a buffer's first allocation.
const minSize = 2 << 10

// ErrTooLong reports that a message is longer than its connection may send.
var ErrTooLong = errors.New("message too long")

// Buffer holds what has been read from a connection and not been consumed yet. It grows as messages need and is compacted in place. The
// zero value is an empty buffer. Its owner is the goroutine that reads the connection; it is not safe for concurrent use.
type Buffer struct {
	bytes      []byte
	begin, end int // of the unconsumed bytes
}

// Bytes returns the unconsumed bytes. They are valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.bytes[b.begin:b.end] }

// Discard consumes bytes from the front.
func (b *Buffer) Discard(n int) { b.begin += n }

// Fill reads once from a source. It returns ErrTooLong where the buffer already holds maxSize unconsumed bytes, and an error of the source
// only if that read brought no bytes.
func (b *Buffer) Fill(source io.Reader, maxSize int) error {
	if b.begin > 0 && (b.begin == b.end || b.end == len(b.bytes)) {
		b.compact()
	}
	if b.end == len(b.bytes) {
		if b.end >= maxSize {
			return ErrTooLong
		}
		b.grow(maxSize)
	}
	n, err := source.Read(b.bytes[b.end:])
	b.end += n
	if n > 0 {
		return nil
	}
	return err
}

// compact moves the unconsumed bytes to the front.
func (b *Buffer) compact() {
	b.end = copy(b.bytes, b.bytes[b.begin:b.end])
	b.begin = 0
}

// grow doubles the buffer, up to maxSize.
func (b *Buffer) grow(maxSize int) {
	grown := make([]byte, min(maxSize, max(minSize, 2*len(b.bytes))))
	copy(grown, b.bytes[:b.end])
	b.bytes = grown
}

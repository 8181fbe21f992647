// Package linebuffer provides a read buffer for one connection. Messages of a protocol are
// parsed in place, without copying them.
package linebuffer

import (
	"errors"
	"io"
)

// minSize is the size in bytes of a buffer's first allocation.
const minSize = 2 << 10

// ErrTooLong reports that a message exceeds the maximum size given to Fill.
var ErrTooLong = errors.New("message too long")

// Buffer holds the bytes that have been read from a connection and not been consumed yet. It grows up to the maximum
// size given to Fill, shrinks only in Shrink, and is compacted in place. The zero value is an empty buffer. A Buffer is owned
// by the goroutine that reads the connection and is not safe for concurrent use.
type Buffer struct {
	bytes      []byte
	begin, end int // bytes[begin:end] are the unconsumed bytes
}

// Bytes returns the unconsumed bytes. They are valid until the next Fill.
func (b *Buffer) Bytes() []byte { return b.bytes[b.begin:b.end] }

// Discard consumes the first n of the unconsumed bytes.
func (b *Buffer) Discard(n int) { b.begin += n }

// Fill reads once from a source and appends the bytes to the buffer. It returns ErrTooLong if the buffer already holds
// maxSize unconsumed bytes. It returns an error of the source only if the read returned no bytes.
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

// NextGrowth returns by how many bytes the next Fill with the same maximum size will grow the buffer, beyond the size of
// its first allocation.
func (b *Buffer) NextGrowth(maxSize int) int {
	if b.begin > 0 || b.end < len(b.bytes) || b.end >= maxSize || len(b.bytes) == 0 {
		return 0
	}
	return b.grownSize(maxSize) - len(b.bytes)
}

// Shrink frees the memory of an empty buffer that has grown beyond its first allocation, and returns the number of bytes
// by which it had grown. It does nothing and returns 0 if there are unconsumed bytes.
func (b *Buffer) Shrink() (freed int) {
	if b.begin < b.end || len(b.bytes) <= minSize {
		return 0
	}
	freed = len(b.bytes) - minSize
	*b = Buffer{}
	return freed
}

// compact moves the unconsumed bytes to the start of the buffer.
func (b *Buffer) compact() {
	b.end = copy(b.bytes, b.bytes[b.begin:b.end])
	b.begin = 0
}

// grow doubles the size of the buffer, to at least minSize and at most maxSize.
func (b *Buffer) grow(maxSize int) {
	grown := make([]byte, b.grownSize(maxSize))
	copy(grown, b.bytes[:b.end])
	b.bytes = grown
}

func (b *Buffer) grownSize(maxSize int) int { return min(maxSize, max(minSize, 2*len(b.bytes))) }

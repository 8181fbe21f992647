package frontend

import "sync/atomic"

// inputBudget bounds the memory of the read buffers of all connections beyond their first part. A connection may reserve
// more only while it holds less than is free, so that one that sends much ahead leaves room for others. It is safe for
// concurrent use.
type inputBudget struct {
	capacity int64
	reserved atomic.Int64
}

// reserve reserves bytes for a connection that holds some already, and reports whether it may have them.
func (b *inputBudget) reserve(bytes, held int) bool {
	if after := b.reserved.Add(int64(bytes)); after+int64(held) <= b.capacity {
		return true
	}
	b.release(bytes)
	return false
}

// release returns reserved bytes.
func (b *inputBudget) release(bytes int) { b.reserved.Add(-int64(bytes)) }

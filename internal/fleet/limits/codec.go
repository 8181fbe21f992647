package limits

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A frame of asks or grants to one peer, little-endian, no padding:
//
//	1 byte   Kind
//	8 bytes  sender's key (a hash of its name)
//	1 byte   0 asks, 1 grants; 1 byte number of entries n
//	n times  8 limit's key (a hash of its name), 8 id, 8 id that it renews, 8 amount, 8 wanted, 8 used (float64)
const (
	// Kind is the first byte of frames, beside other things that gateways say.
	Kind       = 2
	headerSize = 1 + 8 + 2
	entrySize  = 6 * 8
	// MostEntries fit one frame, and it fits one datagram.
	MaxEntries = 24
)

var (
	errKind   = errors.New("a frame of another kind")
	errLength = errors.New("a frame of another length than it tells")
	errAmount = errors.New("an amount that is none")
)

// NameKey stands for a name in frames.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// Entry is an ask or a grant on the wire.
type Entry struct {
	LimitKey, ID, Renews uint64
	Amount, Demand, Used Amount
}

// Frame is what one gateway says to another.
type Frame struct {
	SenderKey uint64
	IsGrant   bool
	Entries   []Entry
}

// Append writes a frame; at most MostEntries entries.
func (f Frame) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = le.AppendUint64(append(b, Kind), f.SenderKey)
	kind := byte(0)
	if f.IsGrant {
		kind = 1
	}
	b = append(b, kind, byte(len(f.Entries)))
	for _, e := range f.Entries {
		b = le.AppendUint64(le.AppendUint64(le.AppendUint64(b, e.LimitKey), e.ID), e.Renews)
		for _, a := range []Amount{e.Amount, e.Demand, e.Used} {
			b = le.AppendUint64(b, math.Float64bits(a))
		}
	}
	return b
}

// ParseFrame reads one. Amounts that are not finite or below 0 make it none.
func ParseFrame(b []byte) (f Frame, err error) {
	if len(b) < headerSize || b[0] != Kind || b[9] > 1 {
		return f, errKind
	}
	n := int(b[10])
	if n > MaxEntries || len(b) != headerSize+n*entrySize {
		return f, errLength
	}
	le := binary.LittleEndian
	f.SenderKey, f.IsGrant = le.Uint64(b[1:]), b[9] == 1
	for rest := b[headerSize:]; len(rest) > 0; rest = rest[entrySize:] {
		e := Entry{LimitKey: le.Uint64(rest), ID: le.Uint64(rest[8:]), Renews: le.Uint64(rest[16:])}
		for i, a := range []*Amount{&e.Amount, &e.Demand, &e.Used} {
			*a = math.Float64frombits(le.Uint64(rest[24+8*i:]))
			if !(*a >= 0) || math.IsInf(*a, 0) {
				return Frame{}, errAmount
			}
		}
		f.Entries = append(f.Entries, e)
	}
	return f, nil
}

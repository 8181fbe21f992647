package limits

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A frame of requests or grants to one peer is little-endian, without padding:
//
//	1 byte   Kind
//	8 bytes  key of the sender (a hash of its name)
//	1 byte   0 requests, 1 grants
//	1 byte   number of entries
//
// and for each entry
//
//	8 bytes  key of the limit (a hash of its name)
//	8 bytes  request ID
//	8 bytes  request ID of the loan that it renews
//	8 bytes  amount, float64 as the two after it
//	8 bytes  demand
//	8 bytes  used
const (
	// Kind is the first byte of a frame and tells it from the other messages of gateways.
	Kind = 2
	// MaxEntries is the number of entries of a frame that fit one datagram.
	MaxEntries = 24

	headerSize = 1 + 8 + 2
	entrySize  = 6 * 8
)

// Errors of ParseFrame.
var (
	ErrFrameKind   = errors.New("not a frame of requests or grants")
	ErrFrameLength = errors.New("a frame of another length than its number of entries has")
	ErrFrameAmount = errors.New("an amount in a frame is negative or not finite")
)

// NameKey stands for a name in frames.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// Entry is a request or a grant in a frame.
type Entry struct {
	LimitKey, ID, Renews uint64
	Amount, Demand, Used Amount
}

// Frame is a message of one gateway to another.
type Frame struct {
	SenderKey uint64
	IsGrant   bool
	Entries   []Entry // at most MaxEntries
}

// Append appends the encoded frame to b.
func (f Frame) Append(b []byte) []byte {
	le := binary.LittleEndian
	b = append(b, Kind)
	b = le.AppendUint64(b, f.SenderKey)
	isGrant := byte(0)
	if f.IsGrant {
		isGrant = 1
	}
	b = append(b, isGrant, byte(len(f.Entries)))
	for _, e := range f.Entries {
		b = le.AppendUint64(b, e.LimitKey)
		b = le.AppendUint64(b, e.ID)
		b = le.AppendUint64(b, e.Renews)
		for _, amount := range []Amount{e.Amount, e.Demand, e.Used} {
			b = le.AppendUint64(b, math.Float64bits(amount))
		}
	}
	return b
}

// ParseFrame reads a frame. It returns ErrFrameKind, ErrFrameLength or ErrFrameAmount for bytes that are none.
func ParseFrame(b []byte) (frame Frame, err error) {
	if len(b) < headerSize || b[0] != Kind || b[9] > 1 {
		return frame, ErrFrameKind
	}
	entries := int(b[10])
	if entries > MaxEntries || len(b) != headerSize+entries*entrySize {
		return frame, ErrFrameLength
	}
	le := binary.LittleEndian
	frame.SenderKey = le.Uint64(b[1:])
	frame.IsGrant = b[9] == 1
	for rest := b[headerSize:]; len(rest) > 0; rest = rest[entrySize:] {
		e := Entry{LimitKey: le.Uint64(rest), ID: le.Uint64(rest[8:]), Renews: le.Uint64(rest[16:])}
		for i, amount := range []*Amount{&e.Amount, &e.Demand, &e.Used} {
			*amount = math.Float64frombits(le.Uint64(rest[24+8*i:]))
			if !(*amount >= 0) || math.IsInf(*amount, 0) {
				return Frame{}, ErrFrameAmount
			}
		}
		frame.Entries = append(frame.Entries, e)
	}
	return frame, nil
}

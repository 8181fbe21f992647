package limits

import (
	"encoding/binary"
	"errors"
	"math"

	"github.com/cespare/xxhash/v2"
)

// A frame carries requests or grants to one peer. The encoding is little-endian without padding:
//
//	1 byte   Kind
//	8 bytes  NameKey of the sender
//	1 byte   0 for requests, 1 for grants
//	1 byte   number of entries
//
// and for each entry
//
//	8 bytes  NameKey of the limit
//	8 bytes  request ID
//	8 bytes  request ID of the loan to renew, 0 for a new loan and in grants
//	8 bytes  amount, a float64
//	8 bytes  demand, a float64
//	8 bytes  used, a float64
const (
	// Kind is the first byte of a frame. It distinguishes these frames from other messages between gateways.
	Kind = 2
	// MaxEntries is the maximum number of entries in a frame, so that a frame fits in one datagram.
	MaxEntries = 24

	headerSize = 1 + 8 + 2
	entrySize  = 6 * 8
)

// Errors that ParseFrame returns.
var (
	ErrFrameKind   = errors.New("limits frame is too short or has an unexpected kind or message type")
	ErrFrameLength = errors.New("limits frame has too many entries or a length that does not match the number of entries")
	ErrFrameAmount = errors.New("limits frame contains an amount that is negative or not finite")
)

// NameKey returns the hash that represents the name of a gateway or a limit in frames.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// Entry is one request or grant in a Frame.
type Entry struct {
	LimitKey, ID, Renews uint64
	Amount, Demand, Used Amount
}

// Frame is a message with requests or grants from one gateway to another.
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

// ParseFrame decodes a frame. If b is not a valid frame, the error is ErrFrameKind, ErrFrameLength or ErrFrameAmount.
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

package purgesync

import (
	"encoding/binary"
	"errors"
	"slices"
)

// A frame is encoded in little-endian byte order without padding:
//
//	1 byte   Kind
//	8 bytes  key of the sender
//	1 byte   0 for a digest, 1 for a delta
//	8 bytes  digest of the sender
//	1 byte   number of purges
//
// Each purge is encoded as
//
//	8 bytes  event number
//	8 bytes  time of issue in Unix milliseconds
//	8 bytes  group
//	1 byte   length of the object's name, followed by the name
const (
	// Kind is the first byte of a frame. It distinguishes frames from the other messages that gateways exchange.
	Kind = 3

	headerSize         = 1 + 8 + 1 + 8 + 1
	purgeHeaderSize    = 8 + 8 + 8 + 1
	maxPurgesPerFrame  = 12
	maxDeltaBytes      = 1100 // encoded purges in one frame, so that the frame fits one datagram
	maxObjectNameBytes = 255
)

// ErrFrame is returned by ParseFrame for bytes that are not exactly one valid frame.
var ErrFrame = errors.New("malformed purge frame")

// Frame is a digest or a delta that one gateway sends to another.
type Frame struct {
	SenderKey uint64
	IsDelta   bool // the frame answers a digest; a delta is not answered
	Digest    int64
	Purges    []Purge // at most maxPurgesPerFrame
}

// Append appends the encoded frame to b and returns the extended slice. It omits purges of objects whose name is longer
// than 255 bytes. Other gateways receive these purges only through their own discovery watch.
func (f Frame) Append(b []byte) []byte {
	le := binary.LittleEndian
	isDelta := byte(0)
	if f.IsDelta {
		isDelta = 1
	}
	b = append(b, Kind)
	b = le.AppendUint64(b, f.SenderKey)
	b = append(b, isDelta)
	b = le.AppendUint64(b, uint64(f.Digest))
	purges := slices.DeleteFunc(slices.Clone(f.Purges), func(p Purge) bool { return len(p.Object) > maxObjectNameBytes })
	b = append(b, byte(len(purges)))
	for _, p := range purges {
		b = le.AppendUint64(b, uint64(p.Event))
		b = le.AppendUint64(b, uint64(p.Issued))
		b = le.AppendUint64(b, uint64(p.Group))
		b = append(b, byte(len(p.Object)))
		b = append(b, p.Object...)
	}
	return b
}

// ParseFrame decodes a frame. It returns ErrFrame if b is not exactly one valid frame.
func ParseFrame(b []byte) (frame Frame, err error) {
	if len(b) < headerSize || b[0] != Kind || b[9] > 1 || int(b[headerSize-1]) > maxPurgesPerFrame {
		return frame, ErrFrame
	}
	le := binary.LittleEndian
	frame.SenderKey = le.Uint64(b[1:])
	frame.IsDelta = b[9] == 1
	frame.Digest = int64(le.Uint64(b[10:]))
	rest := b[headerSize:]
	for range b[headerSize-1] {
		if len(rest) < purgeHeaderSize {
			return Frame{}, ErrFrame
		}
		size := purgeHeaderSize + int(rest[purgeHeaderSize-1])
		if len(rest) < size {
			return Frame{}, ErrFrame
		}
		frame.Purges = append(frame.Purges, Purge{
			Event:  int64(le.Uint64(rest)),
			Issued: int64(le.Uint64(rest[8:])),
			Group:  int64(le.Uint64(rest[16:])),
			Object: string(rest[purgeHeaderSize:size]),
		})
		rest = rest[size:]
	}
	if len(rest) > 0 || frame.Digest < 0 {
		return Frame{}, ErrFrame
	}
	return frame, nil
}

package purgesync

import (
	"encoding/binary"
	"errors"
	"slices"
)

// A frame is little-endian, without padding:
//
//	1 byte   Kind
//	8 bytes  key of the sender
//	1 byte   0 a digest, 1 a delta
//	8 bytes  digest of the sender
//	1 byte   number of purges
//
// and for each purge
//
//	8 bytes  event
//	8 bytes  issued
//	8 bytes  group
//	1 byte   length of the object's name, then the name
const (
	// Kind is the first byte of a frame and tells it from the other messages of gateways.
	Kind = 3

	headerSize         = 1 + 8 + 1 + 8 + 1
	purgeHeaderSize    = 8 + 8 + 8 + 1
	maxPurgesPerFrame  = 12
	maxDeltaBytes      = 1100 // of the purges of a frame: one datagram
	maxObjectNameBytes = 255
)

// ErrFrame is the error of ParseFrame.
var ErrFrame = errors.New("not a readable frame of purges")

// Frame is a message of one gateway to another.
type Frame struct {
	SenderKey uint64
	IsDelta   bool // an answer to a digest, and not answered itself
	Digest    int64
	Purges    []Purge // at most maxPurgesPerFrame
}

// Append appends the encoded frame to b. Purges of objects with names over 255 bytes are left out: they wait for the discovery watch.
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

// ParseFrame reads a frame. It returns ErrFrame unless all of b is one.
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

package broadcast

import (
	"encoding/binary"
	"errors"
	"math/bits"
)

// Kind is the first byte of a frame. It distinguishes broadcast frames from other messages between gateways.
const Kind byte = 5

// Types of frames, sent as the second byte of a frame. Numbers are unsigned varints of encoding/binary unless a size
// is given. A frame is rejected if any part of it is malformed or if bytes follow its end.
const (
	frameBatch         = iota // origin (8 bytes), sequence number, tier of the origin (1 byte), purges
	frameLazyPush             // number of origins, for each: origin (8 bytes), contiguous sequence, bitmap of later ones
	frameRepairRequest        // number of batches, for each: origin (8 bytes), sequence number
	frameSum                  // from and to (seconds), count, sum of IDs (8 bytes)
	frameSums                 // from and step (seconds), number of sums, for each: count, sum of IDs (8 bytes)
	frameSumsRequest          // first second of a minute
	framePullRequest          // second, length (1 byte) and value of the prefix, number of IDs, for each: 4 bytes
	framePurges               // second, length (1 byte) and value of the prefix, 1 if complete or 0 if partial, purges
)

const (
	frameHeaderSize    = 2    // kind and type
	maxFrameBytes      = 1100 // leaves room for the enclosing headers in a datagram of at most 1,200 bytes
	datagramOverhead   = 28   // bytes of the headers of IPv4 and UDP
	maxObjectNameBytes = 255
	maxIssued          = 1e14 // Unix milliseconds: the year 5138
	maxSeconds         = maxIssued / 1000
	maxSeq             = 1 << 48
	maxPurgesPerFrame  = 256
	maxOriginsPerFrame = 16
	maxRepairsPerFrame = 32
	maxSumsPerFrame    = 100
	maxIDsPerFrame     = 200
	maxPrefixBits      = 32
)

// ErrFrame reports that a frame is malformed.
var ErrFrame = errors.New("malformed broadcast frame")

// frameReader decodes a frame. After the first error it returns zero values.
type frameReader struct {
	rest   []byte
	failed bool
}

// isComplete reports whether the whole frame was decoded without an error.
func (r *frameReader) isComplete() bool { return !r.failed && len(r.rest) == 0 }

func (r *frameReader) fail() {
	r.failed = true
	r.rest = nil
}

// uvarint decodes a number of at most limit. It accepts only the shortest encoding of a number.
func (r *frameReader) uvarint(limit uint64) uint64 {
	v, size := binary.Uvarint(r.rest)
	if size <= 0 || v > limit || size > 1 && r.rest[size-1] == 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return v
}

func (r *frameReader) bytes(n int) []byte {
	if len(r.rest) < n {
		r.fail()
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *frameReader) uint64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *frameReader) uint32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *frameReader) second() int64 { return int64(r.uvarint(maxSeconds)) }

// frameHeader returns the header of a frame, to which the caller appends the rest.
func frameHeader(frameType byte) []byte { return []byte{Kind, frameType} }

// batchID identifies a batch among the batches of all origins.
type batchID struct {
	origin uint64
	seq    uint64 // sequence number; the first is 1
}

func (id batchID) append(b []byte) []byte {
	b = binary.LittleEndian.AppendUint64(b, id.origin)
	return binary.AppendUvarint(b, id.seq)
}

func (r *frameReader) batchID() batchID {
	id := batchID{r.uint64(), r.uvarint(maxSeq)}
	r.failed = r.failed || id.seq == 0
	return id
}

// batch is a received batch of purges.
type batch struct {
	id         batchID
	originTier tier
	purges     []Purge // sorted by issue, at least one
	frame      []byte
}

// encodeBatch encodes as many of the first purges as fit a frame and returns their number. The purges must be sorted
// by issue.
func encodeBatch(id batchID, originTier tier, purges []Purge) (frame []byte, fitting int) {
	b := id.append(frameHeader(frameBatch))
	return appendPurges(append(b, byte(originTier)), purges)
}

// batch decodes a batch. It rejects a batch without purges: no gateway sends one, and handleBatch reads the last
// purge.
func (r *frameReader) batch(frame []byte) batch {
	b := batch{id: r.batchID(), originTier: r.tier(), purges: r.purges(), frame: frame}
	r.failed = r.failed || len(b.purges) == 0
	return b
}

func (r *frameReader) tier() tier {
	b := r.bytes(1)
	if b == nil || tier(b[0]) > siteMember {
		r.failed = true
		return siteMember
	}
	return tier(b[0])
}

// originProgress describes which batches of an origin a gateway has received.
type originProgress struct {
	origin     uint64
	contiguous uint64 // all batches up to this sequence number were received or given up
	after      uint64 // bit i: batch contiguous+1+i was received
}

// has reports whether the batch with a sequence number was received.
func (p originProgress) has(seq uint64) bool {
	return seq <= p.contiguous || seq <= p.contiguous+receiveWindow && p.after>>(seq-p.contiguous-1)&1 == 1
}

// highest returns the highest sequence number that was received.
func (p originProgress) highest() uint64 {
	window := p.after & (1<<receiveWindow - 1)
	return p.contiguous + uint64(bits.Len64(window))
}

// encodeLazyPush encodes at most maxOriginsPerFrame origins. The bits of the bitmap are sent in reverse order.
func encodeLazyPush(origins []originProgress) []byte {
	b := binary.AppendUvarint(frameHeader(frameLazyPush), uint64(len(origins)))
	for _, progress := range origins {
		b = binary.LittleEndian.AppendUint64(b, progress.origin)
		b = binary.AppendUvarint(b, progress.contiguous)
		b = binary.AppendUvarint(b, bits.Reverse64(progress.after))
	}
	return b
}

func (r *frameReader) lazyPush() (origins []originProgress) {
	for range r.uvarint(maxOriginsPerFrame) {
		origins = append(origins, originProgress{r.uint64(), r.uvarint(maxSeq), bits.Reverse64(r.uvarint(1<<64 - 1))})
	}
	return origins
}

// encodeRepairRequest encodes a request for at most maxRepairsPerFrame batches.
func encodeRepairRequest(ids []batchID) []byte {
	b := binary.AppendUvarint(frameHeader(frameRepairRequest), uint64(len(ids)))
	for _, id := range ids {
		b = id.append(b)
	}
	return b
}

func (r *frameReader) repairRequest() (ids []batchID) {
	for range r.uvarint(maxRepairsPerFrame) {
		ids = append(ids, r.batchID())
	}
	return ids
}

package broadcast

import (
	"encoding/binary"
	"errors"
	"math/bits"
)

// Kind is the first byte of a frame and tells it from the other messages of gateways.
const Kind byte = 5

// The second byte of a frame is its type. Numbers are varints of encoding/binary where not said otherwise; all of a frame must be
// readable.
const (
	frameBatch         = iota // 8 bytes origin, sequence, tier of the origin (a byte), purges
	frameLazyPush             // number of origins, for each: 8 bytes origin, contiguous sequence, bitmap of the sequences after it
	frameRepairRequest        // number of batches, for each: 8 bytes origin, sequence
	frameSum                  // from, to (seconds), count, 8 bytes sum
	frameSums                 // from, step (seconds), number of sums, for each: count, 8 bytes sum
	frameSumsRequest          // first second of a minute
	framePullRequest          // second, bits and value of the prefix, number of ids, 4 bytes each
	framePurges               // second, bits and value of the prefix, 1 complete or 0 a part, purges
)

const (
	frameHeaderSize    = 2    // kind and type
	maxFrameBytes      = 1100 // one datagram of at most 1,200 with what carries it
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

// ErrFrame is the error of a frame that cannot be read.
var ErrFrame = errors.New("not a readable frame of the broadcast")

// frameReader reads a frame; after the first error it returns zeros.
type frameReader struct {
	rest   []byte
	failed bool
}

// isComplete reports whether all of the frame was read without an error.
func (r *frameReader) isComplete() bool { return !r.failed && len(r.rest) == 0 }

func (r *frameReader) fail() {
	r.failed = true
	r.rest = nil
}

// uvarint reads a number up to a limit. There is one way to write each: others are not read.
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

// frameHeader is the beginning of a frame, with room for the rest.
func frameHeader(frameType byte) []byte { return []byte{Kind, frameType} }

// batchID identifies a batch among all.
type batchID struct {
	origin uint64
	seq    uint64 // from 1
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

// batch is a batch of purges as it was received.
type batch struct {
	id         batchID
	originTier tier
	purges     []Purge // by issue, at least one
	frame      []byte
}

// encodeBatch encodes as many of the first purges as fit a frame, and returns how many. They must be sorted by issue.
func encodeBatch(id batchID, originTier tier, purges []Purge) (frame []byte, fitting int) {
	b := id.append(frameHeader(frameBatch))
	return appendPurges(append(b, byte(originTier)), purges)
}

// batch reads a batch. One without purges is not read: no gateway sends one, and handleBatch goes by the last purge's age.
func (r *frameReader) batch(frame []byte) batch {
	b := batch{id: r.batchID(), originTier: r.tier(), purges: r.purges(), frame: frame}
	r.failed = r.failed || len(b.purges) == 0
	return b
}

func (r *frameReader) tier() tier {
	b := r.bytes(1)
	if b == nil || tier(b[0]) > other {
		r.failed = true
		return other
	}
	return tier(b[0])
}

// originProgress is how far a gateway has received the batches of an origin.
type originProgress struct {
	origin     uint64
	contiguous uint64 // all batches up to this sequence
	after      uint64 // bit i: the batch contiguous+1+i
}

// has reports whether the batch of a sequence was received.
func (p originProgress) has(seq uint64) bool {
	return seq <= p.contiguous || seq <= p.contiguous+receiveWindow && p.after>>(seq-p.contiguous-1)&1 == 1
}

// highest is the highest sequence that was received.
func (p originProgress) highest() uint64 {
	window := p.after & (1<<receiveWindow - 1)
	return p.contiguous + uint64(bits.Len64(window))
}

// encodeLazyPush encodes at most maxOriginsPerFrame origins. The bitmap is sent reversed: where few bits are set they are the first ones,
// and the number is short.
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

// encodeRepairRequest encodes at most maxRepairsPerFrame batches.
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

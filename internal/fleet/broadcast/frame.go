package broadcast

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/bits"
	"slices"
)

// Kind is the first byte of every frame, beside other things that gateways say: words are 1, limits 2, verdicts 3, and 4 alone asks a
// gateway to speak up.
const Kind byte = 5

// The second byte tells what a frame is. Numbers are varints of encoding/binary where not said otherwise; all of a frame must be readable.
const (
	frameBatch         = iota // 8 bytes origin, sequence, its tier (a byte), purges
	frameLazyPush             // number of origins, for each: 8 bytes origin, contiguous, 8 bytes bitmap of the sequences after
	frameRepairRequest        // number of batches, for each: 8 bytes origin, sequence
	frameSum                  // from, up to (seconds), count, 8 bytes sum
	frameSums                 // up to, first, step (seconds), number, for each: count, 8 bytes sum
	frameSumsRequest          // first second of a minute
	framePullRequest          // second, bits and value of the prefix, number of ids, 4 bytes each
	framePurges               // second, bits and value of the prefix, 1 whole or 0 a part, purges
)

const (
	maxFrameBytes      = 1100 // bytes of a frame: one datagram of at most 1,200 with what carries it
	datagramOverhead   = 28   // IPv4 and UDP
	maxObjectNameBytes = 255  // bytes of an object's name that goes in a frame
	maxIssued          = 1e14 // Unix milliseconds: the year 5138
	maxPurgesPerFrame  = 256  // in a frame
	maxOriginsPerFrame = 16   // origins in a frame
	maxRepairsPerFrame = 32   // batches in a frame
	maxSumsPerFrame    = 100  // of a frame
	maxIDsPerFrame     = 200  // of a frame
	maxPrefixBits      = 32   // bits
	maxSeconds         = maxIssued / 1000
)

var errFrame = errors.New("a frame of purges that cannot be read")

// frameReader reads a frame; after the first fault it gives zeros.
type frameReader struct {
	rest   []byte
	failed bool
}

func (r *frameReader) uvarint(most uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > most || n > 1 && r.rest[n-1] == 0 { // one way to write a number
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *frameReader) bytes(n int) []byte {
	if len(r.rest) < n {
		r.failed, r.rest = true, nil
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
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

func (r *frameReader) done() error {
	if r.failed || len(r.rest) > 0 {
		return errFrame
	}
	return nil
}

func appendUvarint(b []byte, v uint64) []byte { return binary.AppendUvarint(b, v) }
func appendUint64(b []byte, v uint64) []byte  { return binary.LittleEndian.AppendUint64(b, v) }

// The shape of a purge, in the two lowest bits of its first number; the rest is the milliseconds since the purge before it.
const (
	shapeHex   = iota // 8 bytes: the name is 16 digits 0-9a-f
	shapeGroup        // the group; no object
	shapeName         // length, name
	shapeBoth         // group, length, name
)

// hexName packs a name of 16 lower-case hex digits.
func hexName(s string) (v uint64, ok bool) {
	if len(s) != 16 {
		return 0, false
	}
	for i := range 16 {
		switch c := s[i]; {
		case c >= '0' && c <= '9':
			v = v<<4 | uint64(c-'0')
		case c >= 'a' && c <= 'f':
			v = v<<4 | uint64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return v, true
}

func hexString(v uint64) string {
	var b [16]byte
	for i := range b {
		b[i] = "0123456789abcdef"[v>>(60-4*i)&15]
	}
	return string(b[:])
}

func shapeOf(p Purge) (shape, name uint64) {
	if p.Object == "" {
		return shapeGroup, 0
	}
	if p.Group != 0 {
		return shapeBoth, 0
	}
	if v, ok := hexName(p.Object); ok {
		return shapeHex, v
	}
	return shapeName, 0
}

func zigzag(v int64) uint64   { return uint64(v<<1) ^ uint64(v>>63) }
func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// appendPurge writes one whose issue is no earlier than before.
func appendPurge(b []byte, p Purge, before int64) []byte {
	shape, name := shapeOf(p)
	b = appendUvarint(b, uint64(p.Issued-before)<<2|shape)
	switch shape {
	case shapeHex:
		return appendUint64(b, name)
	case shapeGroup:
		return appendUvarint(b, zigzag(p.Group))
	case shapeBoth:
		b = appendUvarint(b, zigzag(p.Group))
	}
	return append(append(b, byte(len(p.Object))), p.Object...)
}

func uvarintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// purgeSize is what appendPurge adds.
func purgeSize(p Purge, before int64) int {
	shape, _ := shapeOf(p)
	size := uvarintSize(uint64(p.Issued-before)<<2 | shape)
	switch shape {
	case shapeHex:
		return size + 8
	case shapeGroup:
		return size + uvarintSize(zigzag(p.Group))
	case shapeBoth:
		size += uvarintSize(zigzag(p.Group))
	}
	return size + 1 + len(p.Object)
}

// appendPurges writes as many of those, sorted by their issue, as have room, and tells how many.
func appendPurges(b []byte, purges []Purge) ([]byte, int) {
	n, size, before := 0, len(b)+2, int64(0)
	for _, p := range purges {
		if size += purgeSize(p, before); size > maxFrameBytes || n == maxPurgesPerFrame {
			break
		}
		n, before = n+1, p.Issued
	}
	b, before = appendUvarint(b, uint64(n)), 0
	for _, p := range purges[:n] {
		b, before = appendPurge(b, p, before), p.Issued
	}
	return b, n
}

func (r *frameReader) purges() []Purge {
	n := r.uvarint(maxPurgesPerFrame)
	out := make([]Purge, 0, min(int(n), len(r.rest)/2))
	before := int64(0)
	for range n {
		v := r.uvarint(maxIssued << 2)
		p := Purge{Issued: before + int64(v>>2)}
		before = p.Issued
		shape := v & 3
		if shape == shapeGroup || shape == shapeBoth {
			p.Group = unzigzag(r.uvarint(1<<64 - 1))
		}
		switch shape {
		case shapeHex:
			p.Object = hexString(r.uint64())
		case shapeName, shapeBoth:
			if b := r.bytes(1); b != nil {
				p.Object = string(r.bytes(int(b[0])))
			}
		}
		if want, _ := shapeOf(p); r.failed || want != shape || !plausible(p) { // one way to write a purge
			r.failed = true
			return nil
		}
		out = append(out, p)
	}
	return out
}

func plausible(p Purge) bool { return p.Issued > 0 && p.Issued < maxIssued }

// sortByIssue sorts for a frame.
func sortByIssue(purges []Purge) { slices.SortFunc(purges, comparePurges) }

func comparePurges(a, b Purge) int {
	return cmp.Or(cmp.Compare(a.Issued, b.Issued), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Group, b.Group))
}

type batchID struct {
	origin uint64
	seq    uint64
}

const maxSeq = 1 << 48

func encodeBatch(id batchID, by tier, purges []Purge) ([]byte, int) {
	return appendPurges(append(appendUvarint(appendUint64([]byte{Kind, frameBatch}, id.origin), id.seq), byte(by)), purges)
}

func (r *frameReader) batchID() (id batchID) {
	id = batchID{r.uint64(), r.uvarint(maxSeq)}
	r.failed = r.failed || id.seq == 0
	return id
}

type originProgress struct {
	origin, top uint64 // all up to top, as far as this gateway goes
	after       uint64 // bit i: top+1+i
}

func encodeLazyPush(all []originProgress) []byte {
	b := appendUvarint([]byte{Kind, frameLazyPush}, uint64(len(all)))
	for _, h := range all {
		b = appendUvarint(appendUvarint(appendUint64(b, h.origin), h.top), uint64(bits.Reverse64(h.after))) // the first bits are set where few are: short so
	}
	return b
}

func (r *frameReader) lazyPush() (out []originProgress) {
	for range r.uvarint(maxOriginsPerFrame) {
		out = append(out, originProgress{r.uint64(), r.uvarint(maxSeq), bits.Reverse64(r.uvarint(1<<64 - 1))})
	}
	return out
}

func encodeRepairRequest(all []batchID) []byte {
	b := appendUvarint([]byte{Kind, frameRepairRequest}, uint64(len(all)))
	for _, id := range all {
		b = appendUvarint(appendUint64(b, id.origin), id.seq)
	}
	return b
}

func (r *frameReader) repairRequest() (out []batchID) {
	for range r.uvarint(maxRepairsPerFrame) {
		out = append(out, r.batchID())
	}
	return out
}

// sum is of a set of purges: their number and the sum of their ids.
type sum struct{ count, ids uint64 }

func (r *frameReader) sum() sum { return sum{r.uvarint(1 << 32), r.uint64()} }

func (s sum) append(b []byte) []byte { return appendUint64(appendUvarint(b, s.count), s.ids) }

// span is seconds of issue time.
type span struct{ from, to int64 }

func encodeSum(s span, of sum) []byte {
	return of.append(appendUvarint(appendUvarint([]byte{Kind, frameSum}, uint64(s.from)), uint64(s.to)))
}

type sums struct {
	from, step int64
	of         []sum
}

func encodeSums(s sums) []byte {
	b := appendUvarint(appendUvarint(appendUvarint([]byte{Kind, frameSums}, uint64(s.from)), uint64(s.step)), uint64(len(s.of)))
	for _, one := range s.of {
		b = one.append(b)
	}
	return b
}

func (r *frameReader) sums() (s sums) {
	s.from, s.step = int64(r.uvarint(maxSeconds)), int64(r.uvarint(minute))
	for range r.uvarint(maxSumsPerFrame) {
		s.of = append(s.of, r.sum())
	}
	r.failed = r.failed || s.step != 1 && s.step != minute || s.step == minute && s.from%minute != 0
	return s
}

func encodeSumsRequest(from int64) []byte {
	return appendUvarint([]byte{Kind, frameSumsRequest}, uint64(from))
}

// pullRequest asks for the purges of a second whose ids begin with a prefix, but those whose ids' lower halves are listed.
type pullRequest struct {
	second int64
	bits   uint8
	prefix uint32
	ids    []uint32
}

func (p pullRequest) appendHeader(word byte) []byte {
	return appendUvarint(append(appendUvarint([]byte{Kind, word}, uint64(p.second)), p.bits), uint64(p.prefix))
}

func encodePullRequest(p pullRequest) []byte {
	b := appendUvarint(p.appendHeader(framePullRequest), uint64(len(p.ids)))
	for _, id := range p.ids {
		b = binary.LittleEndian.AppendUint32(b, id)
	}
	return b
}

func (r *frameReader) pullHead() (p pullRequest) {
	p.second = int64(r.uvarint(maxSeconds))
	if b := r.bytes(1); b != nil {
		p.bits = b[0]
	}
	p.prefix = uint32(r.uvarint(1<<32 - 1))
	r.failed = r.failed || p.bits > maxPrefixBits || uint64(p.prefix)>>p.bits != 0
	return p
}

func (r *frameReader) pullRequest() (p pullRequest) {
	p = r.pullHead()
	for range r.uvarint(maxIDsPerFrame) {
		p.ids = append(p.ids, r.uint32())
	}
	return p
}

func encodePurges(of pullRequest, whole bool, purges []Purge) ([]byte, int) {
	b := of.appendHeader(framePurges)
	if whole {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return appendPurges(b, purges)
}

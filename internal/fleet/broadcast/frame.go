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
	wordBatch = iota // 8 bytes origin, sequence, its tier (a byte), purges
	wordHave         // number of origins, for each: 8 bytes origin, contiguous, 8 bytes bitmap of the sequences after
	wordWant         // number of batches, for each: 8 bytes origin, sequence
	wordSum          // from, up to (seconds), count, 8 bytes sum
	wordSums         // up to, first, step (seconds), number, for each: count, 8 bytes sum
	wordAsk          // first second of a minute
	wordPull         // second, bits and value of the prefix, number of ids, 4 bytes each
	wordItems        // second, bits and value of the prefix, 1 whole or 0 a part, purges
)

const (
	mostFrame   = 1100 // bytes of a frame: one datagram of at most 1,200 with what carries it
	datagram    = 28   // IPv4 and UDP
	mostName    = 255  // bytes of an object's name that goes in a frame
	mostIssued  = 1e14 // Unix milliseconds: the year 5138
	mostPurges  = 256  // in a frame
	mostHaves   = 16   // origins in a frame
	mostWants   = 32   // batches in a frame
	mostSums    = 100  // of a frame
	mostIDs     = 200  // of a frame
	mostPrefix  = 32   // bits
	mostSeconds = mostIssued / 1000
)

var errFrame = errors.New("a frame of purges that cannot be read")

// reader reads a frame; after the first fault it gives zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) number(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most || n > 1 && r.b[n-1] == 0 { // one way to write a number
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes(n int) []byte {
	if len(r.b) < n {
		r.bad, r.b = true, nil
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) tier() tier {
	b := r.bytes(1)
	if b == nil || tier(b[0]) > other {
		r.bad = true
		return other
	}
	return tier(b[0])
}

func (r *reader) uint64() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uint32() uint32 {
	if b := r.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (r *reader) done() error {
	if r.bad || len(r.b) > 0 {
		return errFrame
	}
	return nil
}

func number(b []byte, v uint64) []byte  { return binary.AppendUvarint(b, v) }
func fixed64(b []byte, v uint64) []byte { return binary.LittleEndian.AppendUint64(b, v) }

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
	b = number(b, uint64(p.Issued-before)<<2|shape)
	switch shape {
	case shapeHex:
		return fixed64(b, name)
	case shapeGroup:
		return number(b, zigzag(p.Group))
	case shapeBoth:
		b = number(b, zigzag(p.Group))
	}
	return append(append(b, byte(len(p.Object))), p.Object...)
}

func sizeOf(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// sizePurge is what appendPurge adds.
func sizePurge(p Purge, before int64) int {
	shape, _ := shapeOf(p)
	size := sizeOf(uint64(p.Issued-before)<<2 | shape)
	switch shape {
	case shapeHex:
		return size + 8
	case shapeGroup:
		return size + sizeOf(zigzag(p.Group))
	case shapeBoth:
		size += sizeOf(zigzag(p.Group))
	}
	return size + 1 + len(p.Object)
}

// appendPurges writes as many of those, sorted by their issue, as have room, and tells how many.
func appendPurges(b []byte, purges []Purge) ([]byte, int) {
	n, size, before := 0, len(b)+2, int64(0)
	for _, p := range purges {
		if size += sizePurge(p, before); size > mostFrame || n == mostPurges {
			break
		}
		n, before = n+1, p.Issued
	}
	b, before = number(b, uint64(n)), 0
	for _, p := range purges[:n] {
		b, before = appendPurge(b, p, before), p.Issued
	}
	return b, n
}

func (r *reader) purges() []Purge {
	n := r.number(mostPurges)
	out := make([]Purge, 0, min(int(n), len(r.b)/2))
	before := int64(0)
	for range n {
		v := r.number(mostIssued << 2)
		p := Purge{Issued: before + int64(v>>2)}
		before = p.Issued
		shape := v & 3
		if shape == shapeGroup || shape == shapeBoth {
			p.Group = unzigzag(r.number(1<<64 - 1))
		}
		switch shape {
		case shapeHex:
			p.Object = hexString(r.uint64())
		case shapeName, shapeBoth:
			if b := r.bytes(1); b != nil {
				p.Object = string(r.bytes(int(b[0])))
			}
		}
		if want, _ := shapeOf(p); r.bad || want != shape || !plausible(p) { // one way to write a purge
			r.bad = true
			return nil
		}
		out = append(out, p)
	}
	return out
}

func plausible(p Purge) bool { return p.Issued > 0 && p.Issued < mostIssued }

// byIssue sorts for a frame.
func byIssue(purges []Purge) { slices.SortFunc(purges, comparePurges) }

func comparePurges(a, b Purge) int {
	return cmp.Or(cmp.Compare(a.Issued, b.Issued), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Group, b.Group))
}

type batchID struct {
	origin uint64
	seq    uint64
}

const mostSeq = 1 << 48

func writeBatch(id batchID, by tier, purges []Purge) ([]byte, int) {
	return appendPurges(append(number(fixed64([]byte{Kind, wordBatch}, id.origin), id.seq), byte(by)), purges)
}

func (r *reader) id() (id batchID) {
	id = batchID{r.uint64(), r.number(mostSeq)}
	r.bad = r.bad || id.seq == 0
	return id
}

type have struct {
	origin, top uint64 // all up to top, as far as this gateway goes
	after       uint64 // bit i: top+1+i
}

func writeHave(all []have) []byte {
	b := number([]byte{Kind, wordHave}, uint64(len(all)))
	for _, h := range all {
		b = number(number(fixed64(b, h.origin), h.top), uint64(bits.Reverse64(h.after))) // the first bits are set where few are: short so
	}
	return b
}

func (r *reader) haves() (out []have) {
	for range r.number(mostHaves) {
		out = append(out, have{r.uint64(), r.number(mostSeq), bits.Reverse64(r.number(1<<64 - 1))})
	}
	return out
}

func writeWant(all []batchID) []byte {
	b := number([]byte{Kind, wordWant}, uint64(len(all)))
	for _, id := range all {
		b = number(fixed64(b, id.origin), id.seq)
	}
	return b
}

func (r *reader) wants() (out []batchID) {
	for range r.number(mostWants) {
		out = append(out, r.id())
	}
	return out
}

// sum is of a set of purges: their number and the sum of their ids.
type sum struct{ count, ids uint64 }

func (r *reader) sum() sum { return sum{r.number(1 << 32), r.uint64()} }

func (s sum) append(b []byte) []byte { return fixed64(number(b, s.count), s.ids) }

// span is seconds of issue time.
type span struct{ from, to int64 }

func writeSum(s span, of sum) []byte {
	return of.append(number(number([]byte{Kind, wordSum}, uint64(s.from)), uint64(s.to)))
}

type sums struct {
	from, step int64
	of         []sum
}

func writeSums(s sums) []byte {
	b := number(number(number([]byte{Kind, wordSums}, uint64(s.from)), uint64(s.step)), uint64(len(s.of)))
	for _, one := range s.of {
		b = one.append(b)
	}
	return b
}

func (r *reader) sums() (s sums) {
	s.from, s.step = int64(r.number(mostSeconds)), int64(r.number(minute))
	for range r.number(mostSums) {
		s.of = append(s.of, r.sum())
	}
	r.bad = r.bad || s.step != 1 && s.step != minute || s.step == minute && s.from%minute != 0
	return s
}

func writeAsk(from int64) []byte { return number([]byte{Kind, wordAsk}, uint64(from)) }

// pull asks for the purges of a second whose ids begin with a prefix, but those whose ids' lower halves are listed.
type pull struct {
	second int64
	bits   uint8
	prefix uint32
	ids    []uint32
}

func (p pull) head(word byte) []byte {
	return number(append(number([]byte{Kind, word}, uint64(p.second)), p.bits), uint64(p.prefix))
}

func writePull(p pull) []byte {
	b := number(p.head(wordPull), uint64(len(p.ids)))
	for _, id := range p.ids {
		b = binary.LittleEndian.AppendUint32(b, id)
	}
	return b
}

func (r *reader) pullHead() (p pull) {
	p.second = int64(r.number(mostSeconds))
	if b := r.bytes(1); b != nil {
		p.bits = b[0]
	}
	p.prefix = uint32(r.number(1<<32 - 1))
	r.bad = r.bad || p.bits > mostPrefix || uint64(p.prefix)>>p.bits != 0
	return p
}

func (r *reader) pull() (p pull) {
	p = r.pullHead()
	for range r.number(mostIDs) {
		p.ids = append(p.ids, r.uint32())
	}
	return p
}

func writeItems(of pull, whole bool, purges []Purge) ([]byte, int) {
	b := of.head(wordItems)
	if whole {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	return appendPurges(b, purges)
}

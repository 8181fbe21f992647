package broadcast

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"slices"
)

// Shapes of an encoded purge. The two lowest bits of a purge's first number hold its shape. The other bits hold the
// milliseconds from the issue of the previous purge in the frame to its own.
const (
	shapeHex   = iota // packed name (8 bytes); the name is 16 digits 0-9a-f
	shapeGroup        // group; there is no object name
	shapeName         // length (1 byte), name
	shapeBoth         // group, length (1 byte), name

	shapeBits = 2
	shapeMask = 1<<shapeBits - 1
)

// shapeOf returns the shape of a purge and, for shapeHex, its packed name.
func shapeOf(p Purge) (shape, hexName uint64) {
	if p.Object == "" {
		return shapeGroup, 0
	}
	if p.Group != 0 {
		return shapeBoth, 0
	}
	if name, ok := packHex(p.Object); ok {
		return shapeHex, name
	}
	return shapeName, 0
}

// packHex packs a name of 16 lower-case hex digits into a number. It returns ok = false for any other name.
func packHex(name string) (packed uint64, ok bool) {
	if len(name) != 16 {
		return 0, false
	}
	for i := range len(name) {
		switch c := name[i]; {
		case c >= '0' && c <= '9':
			packed = packed<<4 | uint64(c-'0')
		case c >= 'a' && c <= 'f':
			packed = packed<<4 | uint64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return packed, true
}

// hexString unpacks a name that packHex packed.
func hexString(packed uint64) string {
	var name [16]byte
	for i := range name {
		name[i] = "0123456789abcdef"[packed>>(60-4*i)&15]
	}
	return string(name[:])
}

func zigzag(v int64) uint64   { return uint64(v<<1) ^ uint64(v>>63) }
func unzigzag(v uint64) int64 { return int64(v>>1) ^ -int64(v&1) }

// appendPurge appends an encoded purge. issuedBefore is the issue time of the previous purge, which must not be later
// than the purge's own.
func appendPurge(b []byte, p Purge, issuedBefore int64) []byte {
	shape, hexName := shapeOf(p)
	b = binary.AppendUvarint(b, uint64(p.Issued-issuedBefore)<<shapeBits|shape)
	switch shape {
	case shapeHex:
		return binary.LittleEndian.AppendUint64(b, hexName)
	case shapeGroup:
		return binary.AppendUvarint(b, zigzag(p.Group))
	case shapeBoth:
		b = binary.AppendUvarint(b, zigzag(p.Group))
	}
	b = append(b, byte(len(p.Object)))
	return append(b, p.Object...)
}

// purgeSize returns the number of bytes that appendPurge appends.
func purgeSize(p Purge, issuedBefore int64) int {
	shape, _ := shapeOf(p)
	size := uvarintSize(uint64(p.Issued-issuedBefore)<<shapeBits | shape)
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

func uvarintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }

// appendPurges appends a number of purges and as many of the first purges as fit a frame, and returns that number.
// The purges must be sorted by issue.
func appendPurges(b []byte, purges []Purge) (frame []byte, fitting int) {
	size := len(b) + uvarintSize(maxPurgesPerFrame)
	issuedBefore := int64(0)
	for _, p := range purges {
		size += purgeSize(p, issuedBefore)
		if size > maxFrameBytes || fitting == maxPurgesPerFrame {
			break
		}
		fitting++
		issuedBefore = p.Issued
	}
	b = binary.AppendUvarint(b, uint64(fitting))
	issuedBefore = 0
	for _, p := range purges[:fitting] {
		b = appendPurge(b, p, issuedBefore)
		issuedBefore = p.Issued
	}
	return b, fitting
}

// purges decodes what appendPurges encoded.
func (r *frameReader) purges() []Purge {
	count := r.uvarint(maxPurgesPerFrame)
	purges := make([]Purge, 0, min(int(count), len(r.rest)/2))
	issuedBefore := int64(0)
	for range count {
		p, ok := r.purge(issuedBefore)
		if !ok {
			r.failed = true
			return nil
		}
		issuedBefore = p.Issued
		purges = append(purges, p)
	}
	return purges
}

// purge decodes one purge. It accepts only the encoding that appendPurge produces.
func (r *frameReader) purge(issuedBefore int64) (p Purge, ok bool) {
	first := r.uvarint(maxIssued << shapeBits)
	shape := first & shapeMask
	p.Issued = issuedBefore + int64(first>>shapeBits)
	if shape == shapeGroup || shape == shapeBoth {
		p.Group = unzigzag(r.uvarint(1<<64 - 1))
	}
	switch shape {
	case shapeHex:
		p.Object = hexString(r.uint64())
	case shapeName, shapeBoth:
		if length := r.bytes(1); length != nil {
			p.Object = string(r.bytes(int(length[0])))
		}
	}
	canonicalShape, _ := shapeOf(p)
	return p, !r.failed && shape == canonicalShape && p.isPlausible()
}

// sortByIssue sorts purges in the order that frames require.
func sortByIssue(purges []Purge) { slices.SortFunc(purges, comparePurges) }

func comparePurges(a, b Purge) int {
	return cmp.Or(cmp.Compare(a.Issued, b.Issued), cmp.Compare(a.Object, b.Object), cmp.Compare(a.Group, b.Group))
}

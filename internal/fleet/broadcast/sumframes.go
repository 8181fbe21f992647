package broadcast

import "encoding/binary"

// This file encodes and decodes the frames of reconciliation.

// purgeSum is the count of a set of purges and the sum of their IDs. Equal sets have equal sums, and different sets
// have equal sums only with a negligible probability.
type purgeSum struct{ count, idSum uint64 }

func (s purgeSum) plus(o purgeSum) purgeSum  { return purgeSum{s.count + o.count, s.idSum + o.idSum} }
func (s purgeSum) minus(o purgeSum) purgeSum { return purgeSum{s.count - o.count, s.idSum - o.idSum} }

func (s purgeSum) append(b []byte) []byte {
	b = binary.AppendUvarint(b, s.count)
	return binary.LittleEndian.AppendUint64(b, s.idSum)
}

func (r *frameReader) sum() purgeSum { return purgeSum{r.uvarint(1 << 32), r.uint64()} }

// span is the interval of issue time from one second up to, but not including, another.
type span struct{ from, to int64 }

func encodeSum(s span, sum purgeSum) []byte {
	b := binary.AppendUvarint(frameHeader(frameSum), uint64(s.from))
	b = binary.AppendUvarint(b, uint64(s.to))
	return sum.append(b)
}

func (r *frameReader) spanSum() (span, purgeSum) {
	s := span{r.second(), r.second()}
	return s, r.sum()
}

// sums holds the sums of consecutive spans of equal length, either minutes or seconds.
type sums struct {
	from int64 // first second of the first span
	step int64 // length of a span in seconds: 1 or minute
	list []purgeSum
}

func encodeSums(s sums) []byte {
	b := binary.AppendUvarint(frameHeader(frameSums), uint64(s.from))
	b = binary.AppendUvarint(b, uint64(s.step))
	b = binary.AppendUvarint(b, uint64(len(s.list)))
	for _, sum := range s.list {
		b = sum.append(b)
	}
	return b
}

// encodeLatestSums encodes sums without the oldest ones, if not all of them fit a frame.
func encodeLatestSums(s sums) []byte {
	for {
		frame := encodeSums(s)
		if len(frame) <= maxFrameBytes {
			return frame
		}
		s.from += s.step
		s.list = s.list[1:]
	}
}

func (r *frameReader) sums() (s sums) {
	s.from = r.second()
	s.step = int64(r.uvarint(minute))
	for range r.uvarint(maxSumsPerFrame) {
		s.list = append(s.list, r.sum())
	}
	isOfSeconds := s.step == 1
	isOfMinutes := s.step == minute && s.from%minute == 0
	r.failed = r.failed || !isOfSeconds && !isOfMinutes
	return s
}

func encodeSumsRequest(second int64) []byte {
	return binary.AppendUvarint(frameHeader(frameSumsRequest), uint64(second))
}

// pullRequest asks for the purges of a second whose IDs begin with a prefix, except those whose lower half of the ID
// is listed.
type pullRequest struct {
	second int64
	bits   uint8 // length of the prefix
	prefix uint32
	ids    []uint32 // lower halves of IDs, at most maxIDsPerFrame
}

// isSameAs reports whether two requests ask for the purges of the same second and prefix.
func (p pullRequest) isSameAs(o pullRequest) bool {
	return p.second == o.second && p.bits == o.bits && p.prefix == o.prefix
}

func (p pullRequest) appendHeader(frameType byte) []byte {
	b := binary.AppendUvarint(frameHeader(frameType), uint64(p.second))
	b = append(b, p.bits)
	return binary.AppendUvarint(b, uint64(p.prefix))
}

func (r *frameReader) pullHeader() (p pullRequest) {
	p.second = r.second()
	if b := r.bytes(1); b != nil {
		p.bits = b[0]
	}
	p.prefix = uint32(r.uvarint(1<<32 - 1))
	r.failed = r.failed || p.bits > maxPrefixBits || uint64(p.prefix)>>p.bits != 0
	return p
}

func encodePullRequest(p pullRequest) []byte {
	b := binary.AppendUvarint(p.appendHeader(framePullRequest), uint64(len(p.ids)))
	for _, id := range p.ids {
		b = binary.LittleEndian.AppendUint32(b, id)
	}
	return b
}

func (r *frameReader) pullRequest() pullRequest {
	p := r.pullHeader()
	for range r.uvarint(maxIDsPerFrame) {
		p.ids = append(p.ids, r.uint32())
	}
	return p
}

// pulledPurges is the answer to a pullRequest.
type pulledPurges struct {
	request    pullRequest // without its ids
	isComplete bool        // the peer has no more purges for the request
	purges     []Purge     // sorted by issue
}

// encodePurges encodes as many of the first purges as fit a frame and returns their number. The purges must be sorted
// by issue.
func encodePurges(request pullRequest, isComplete bool, purges []Purge) (frame []byte, fitting int) {
	complete := byte(0)
	if isComplete {
		complete = 1
	}
	return appendPurges(append(request.appendHeader(framePurges), complete), purges)
}

func (r *frameReader) pulledPurges() pulledPurges {
	return pulledPurges{request: r.pullHeader(), isComplete: r.uvarint(1) == 1, purges: r.purges()}
}

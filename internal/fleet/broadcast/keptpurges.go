package broadcast

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	minute        = 60             // seconds
	maxMinutes    = 256            // of issue time that are kept, whatever the settings
	maxLongNames  = 16_384         // kept purges whose names are not 16 hex digits
	maxClockAhead = 2 * 60 * 60000 // milliseconds after the own clock from which a purge is applied and not kept
)

// keptPurge is a purge as it is kept, in 24 bytes.
type keptPurge struct {
	id       uint64 // of the whole value; equal purges have equal ids, and purges of equal ids are compared
	name     uint64 // by shape: the name, the group, or the key in longNames
	ms       uint16 // of its second
	shape    uint8
	spreadBy spreadBy
}

// keptSecond holds the purges of a second of issue time.
type keptSecond struct {
	purges []keptPurge // by id
	idSum  uint64      // their sum
}

// spreadBy is how a purge got among the gateways, as far as this one knows.
type spreadBy uint8

const (
	spreadByNone spreadBy = iota // or by reconciliation
	spreadByPeer                 // in a batch of another gateway
	spreadBySelf                 // in a batch of this gateway
)

// keptPurges is a set of purges by second of issue. It is a join: a purge stays until it is too old, or among the oldest of too many.
type keptPurges struct {
	seconds   map[int64]*keptSecond
	minutes   map[int64]purgeSum // by minute
	longNames map[uint64]Purge   // purges whose names don't fit keptPurge.name, by key
	lastKey   uint64
	count     int
	limit     int
	newest    int64  // milliseconds of issue; only rises
	dropped   uint64 // displaced by others
	hashInput []byte
}

func newKeptPurges(limit int) keptPurges {
	return keptPurges{seconds: map[int64]*keptSecond{}, minutes: map[int64]purgeSum{}, longNames: map[uint64]Purge{}, limit: max(1, limit)}
}

// idOf returns the id of a purge, which is the same at all gateways.
func (k *keptPurges) idOf(p Purge) uint64 {
	b := binary.LittleEndian.AppendUint64(k.hashInput[:0], uint64(p.Issued))
	b = binary.LittleEndian.AppendUint64(b, uint64(p.Group))
	k.hashInput = b
	return xxhash.Sum64(append(b, p.Object...))
}

// purge returns the purge that is kept in a second.
func (k *keptPurges) purge(second int64, kept *keptPurge) Purge {
	issued := second*1000 + int64(kept.ms)
	switch kept.shape {
	case shapeHex:
		return Purge{Object: hexString(kept.name), Issued: issued}
	case shapeGroup:
		return Purge{Group: int64(kept.name), Issued: issued}
	}
	return k.longNames[kept.name]
}

// find returns the second of a purge, nil if there is none, and where the purge is or belongs in it.
func (k *keptPurges) find(p Purge, id uint64) (s *keptSecond, index int, found bool) {
	second := p.Issued / 1000
	s = k.seconds[second]
	if s == nil {
		return nil, 0, false
	}
	index = s.firstFrom(id)
	for ; index < len(s.purges) && s.purges[index].id == id; index++ {
		if k.purge(second, &s.purges[index]) == p {
			return s, index, true
		}
	}
	return s, index, false
}

// firstFrom is the index of the first purge whose id is at least one.
func (s *keptSecond) firstFrom(id uint64) int {
	index, _ := slices.BinarySearchFunc(s.purges, id, func(kept keptPurge, id uint64) int { return cmp.Compare(kept.id, id) })
	return index
}

// raiseSpread raises how a purge was spread and returns how it was before; spreadByNobody for one that is not kept.
func (k *keptPurges) raiseSpread(p Purge, to spreadBy) (before spreadBy) {
	s, index, found := k.find(p, k.idOf(p))
	if !found {
		return spreadByNone
	}
	before = s.purges[index].spreadBy
	s.purges[index].spreadBy = max(before, to)
	return before
}

// add keeps a purge; false if it is kept already.
func (k *keptPurges) add(p Purge) bool {
	id := k.idOf(p)
	s, index, found := k.find(p, id)
	if found {
		return false
	}
	kept := k.encode(p, id)
	second := p.Issued / 1000
	if _, exists := k.minutes[second/minute]; !exists && len(k.minutes) >= maxMinutes {
		k.dropMinute(k.oldestMinute())
	}
	if k.seconds[second] == nil { // new, or dropped just now
		s = &keptSecond{}
		index = 0
		k.seconds[second] = s
	}
	s.purges = slices.Insert(s.purges, index, kept)
	s.idSum += id
	k.minutes[second/minute] = k.minutes[second/minute].plus(purgeSum{1, id})
	k.count++
	k.newest = max(k.newest, p.Issued)
	for k.count > k.limit {
		k.dropOldest()
	}
	return true
}

// encode packs a purge, and enters its name in longNames where it does not fit.
func (k *keptPurges) encode(p Purge, id uint64) keptPurge {
	shape, name := shapeOf(p)
	switch shape {
	case shapeGroup:
		name = uint64(p.Group)
	case shapeName, shapeBoth:
		for len(k.longNames) >= maxLongNames {
			k.dropOldest()
		}
		k.lastKey++
		k.longNames[k.lastKey] = p
		name = k.lastKey
	}
	return keptPurge{id: id, name: name, ms: uint16(p.Issued % 1000), shape: uint8(shape)}
}

func (k *keptPurges) oldestMinute() int64 {
	oldest := int64(maxSeconds)
	for m := range k.minutes {
		oldest = min(oldest, m)
	}
	return oldest
}

// dropOldest drops the oldest second.
func (k *keptPurges) dropOldest() {
	m := k.oldestMinute()
	for second := m * minute; second < (m+1)*minute; second++ {
		if k.seconds[second] != nil {
			k.dropped += uint64(k.dropSecond(second))
			return
		}
	}
}

func (k *keptPurges) dropMinute(m int64) {
	for second := m * minute; second < (m+1)*minute; second++ {
		k.dropped += uint64(k.dropSecond(second))
	}
}

// dropSecond drops a second and returns the number of its purges.
func (k *keptPurges) dropSecond(second int64) int {
	s := k.seconds[second]
	if s == nil {
		return 0
	}
	for i := range s.purges {
		if kept := &s.purges[i]; kept.shape >= shapeName {
			delete(k.longNames, kept.name)
		}
	}
	delete(k.seconds, second)
	k.count -= len(s.purges)
	remaining := k.minutes[second/minute].minus(s.sum())
	if remaining.count == 0 {
		delete(k.minutes, second/minute)
	} else {
		k.minutes[second/minute] = remaining
	}
	return len(s.purges)
}

// expire drops the seconds before a horizon.
func (k *keptPurges) expire(horizon int64) {
	for m := range k.minutes {
		for second := m * minute; second < min((m+1)*minute, horizon); second++ {
			k.dropSecond(second)
		}
	}
}

// sumOf is the sum of a span; those of whole minutes are at hand.
func (k *keptPurges) sumOf(s span) (total purgeSum) {
	for m, sum := range k.minutes {
		from, to := m*minute, (m+1)*minute
		switch {
		case from >= s.from && to <= s.to:
			total = total.plus(sum)
		case from < s.to && to > s.from:
			for second := max(from, s.from); second < min(to, s.to); second++ {
				total = total.plus(k.sumOfSecond(second))
			}
		}
	}
	return total
}

func (k *keptPurges) sumOfSecond(second int64) purgeSum {
	if s := k.seconds[second]; s != nil {
		return s.sum()
	}
	return purgeSum{}
}

func (s *keptSecond) sum() purgeSum { return purgeSum{uint64(len(s.purges)), s.idSum} }

// withPrefix returns the purges of a second whose ids begin with a prefix of so many bits.
func (k *keptPurges) withPrefix(second int64, bits uint8, prefix uint32) []keptPurge {
	s := k.seconds[second]
	if s == nil {
		return nil
	}
	if bits == 0 {
		return s.purges
	}
	first := uint64(prefix) << (64 - bits)
	end := len(s.purges)
	if next := first + 1<<(64-bits); next != 0 { // 0: the last prefix
		end = s.firstFrom(next)
	}
	return s.purges[s.firstFrom(first):end]
}

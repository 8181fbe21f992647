package broadcast

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	minute        = 60             // seconds
	maxMinutes    = 256            // minutes of issue time in which purges are kept, whatever the settings
	maxLongNames  = 16_384         // kept purges whose names are not 16 hex digits, or that have a name and a group
	maxClockAhead = 2 * 60 * 60000 // milliseconds; purges issued further ahead of the own clock are applied but not kept
)

// keptPurge is the packed form of a kept purge, in 24 bytes.
type keptPurge struct {
	id       uint64 // hash of the whole purge; purges with equal IDs are compared by value
	name     uint64 // depends on shape: the packed name, the group, or the key in longNames
	ms       uint16 // milliseconds within the second of issue
	shape    uint8
	spreadBy spreadBy
}

// keptSecond holds the kept purges of one second of issue time.
type keptSecond struct {
	purges []keptPurge // sorted by ID
	idSum  uint64      // sum of the IDs, modulo 2^64
}

// spreadBy is who broadcast a purge, as far as this gateway knows.
type spreadBy uint8

const (
	spreadByNone spreadBy = iota // no batch contained the purge; it may have come by reconciliation
	spreadByPeer                 // a batch of another gateway contained the purge
	spreadBySelf                 // a batch of this gateway contained the purge
)

// keptPurges is a set of purges by second of issue. It only grows (a join), except that a purge is dropped when it
// expires, or when it is among the oldest and the set exceeds a bound.
type keptPurges struct {
	seconds   map[int64]*keptSecond // by Unix time in seconds
	minutes   map[int64]purgeSum    // by Unix time in minutes
	longNames map[uint64]Purge      // purges that do not fit keptPurge.name, by key
	lastKey   uint64                // last key that was used in longNames
	count     int                   // of kept purges
	limit     int                   // of count
	newest    int64                 // latest issue in Unix milliseconds; never falls
	dropped   uint64                // number of purges that others displaced
	hashInput []byte                // reused by idOf
}

func newKeptPurges(limit int) keptPurges {
	return keptPurges{seconds: map[int64]*keptSecond{}, minutes: map[int64]purgeSum{}, longNames: map[uint64]Purge{}, limit: max(1, limit)}
}

// idOf returns the ID of a purge. All gateways compute the same ID.
func (k *keptPurges) idOf(p Purge) uint64 {
	b := binary.LittleEndian.AppendUint64(k.hashInput[:0], uint64(p.Issued))
	b = binary.LittleEndian.AppendUint64(b, uint64(p.Group))
	k.hashInput = b
	return xxhash.Sum64(append(b, p.Object...))
}

// purge returns the full value of a purge that is kept in a second.
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

// find returns the second that a purge was issued in, or nil if no purge of that second is kept. It also returns the
// index of the purge in that second, or the index at which to insert it.
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

// firstFrom returns the index of the first purge whose ID is at least id.
func (s *keptSecond) firstFrom(id uint64) int {
	index, _ := slices.BinarySearchFunc(s.purges, id, func(kept keptPurge, id uint64) int { return cmp.Compare(kept.id, id) })
	return index
}

// raiseSpread raises the spreadBy of a kept purge to at least the given value and returns the value before. It
// returns spreadByNone if the purge is not kept.
func (k *keptPurges) raiseSpread(p Purge, to spreadBy) (before spreadBy) {
	s, index, found := k.find(p, k.idOf(p))
	if !found {
		return spreadByNone
	}
	before = s.purges[index].spreadBy
	s.purges[index].spreadBy = max(before, to)
	return before
}

// add adds a purge. It returns false if the purge is kept already.
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
	if k.seconds[second] == nil { // not kept before, or dropped just now to make room
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

// encode packs a purge. A purge that does not fit the packed form is entered in longNames, for which the oldest
// seconds are dropped if longNames is full.
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

// dropOldest drops the purges of the oldest second.
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

// dropSecond drops the purges of a second and returns their number.
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

// expire drops the purges of all seconds before a horizon.
func (k *keptPurges) expire(horizon int64) {
	for m := range k.minutes {
		for second := m * minute; second < min((m+1)*minute, horizon); second++ {
			k.dropSecond(second)
		}
	}
}

// sumOf returns the sum of a span. It uses the stored sums of whole minutes.
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

// withPrefix returns the purges of a second whose IDs begin with a prefix of the given number of bits.
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
	if next := first + 1<<(64-bits); next != 0 { // 0 after an overflow: the prefix is the last one
		end = s.firstFrom(next)
	}
	return s.purges[s.firstFrom(first):end]
}

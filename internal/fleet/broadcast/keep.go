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
	maxLongNames  = 16_384         // kept whose names are no 16 hex digits, 255 bytes each at most in frames
	maxClockAhead = 2 * 60 * 60000 // ms after the own clock from which a purge is heeded and not kept
)

// item is a purge as it is kept, in 24 bytes.
type item struct {
	id       uint64 // of the whole value; equal values have equal ids, and values of equal ids are compared
	name     uint64 // by shape: the name, the group, or the key in long
	ms       uint16 // of the second
	shape    uint8
	spreadBy spreadBy
}

type second struct {
	items []item // by id
	ids   uint64 // their sum
}

// spreadBy is how a purge got among gateways, as far as this one knows.
type spreadBy uint8

const (
	spreadByNobody spreadBy = iota // or by reconciliation
	spreadByPeer                   // of another
	spreadBySelf                   // in a batch of this gateway
)

// keptPurges is the set of purges, by second of issue. It is a join: what is in it stays until it is too old, or the oldest of too many.
type keptPurges struct {
	seconds   map[int64]*second
	minutes   map[int64]sum // by minute
	longNames map[uint64]Purge
	nextKey   uint64
	count     int
	limit     int
	newest    int64 // ms of issue; rises only
	dropped   uint64
	key       []byte
}

func newKeptPurges(most int) keptPurges {
	return keptPurges{seconds: map[int64]*second{}, minutes: map[int64]sum{}, longNames: map[uint64]Purge{}, limit: max(1, most)}
}

// idOf is alike at all gateways.
func (k *keptPurges) idOf(p Purge) uint64 {
	k.key = binary.LittleEndian.AppendUint64(k.key[:0], uint64(p.Issued))
	k.key = binary.LittleEndian.AppendUint64(k.key, uint64(p.Group))
	return xxhash.Sum64(append(k.key, p.Object...))
}

func (k *keptPurges) purge(sec int64, it *item) Purge {
	issued := sec*1000 + int64(it.ms)
	switch it.shape {
	case shapeHex:
		return Purge{Object: hexString(it.name), Issued: issued}
	case shapeGroup:
		return Purge{Group: int64(it.name), Issued: issued}
	}
	return k.longNames[it.name]
}

// find gives a kept one, or where it belongs in its second.
func (k *keptPurges) find(p Purge, id uint64) (s *second, at int, found bool) {
	sec := p.Issued / 1000
	if s = k.seconds[sec]; s == nil {
		return nil, 0, false
	}
	at, _ = slices.BinarySearchFunc(s.items, id, func(it item, id uint64) int { return cmp.Compare(it.id, id) })
	for at < len(s.items) && s.items[at].id == id {
		if k.purge(sec, &s.items[at]) == p {
			return s, at, true
		}
		at++
	}
	return s, at, false
}

// setSpread notes how one is told now, and gives how it was before. One that is not kept gives byWatch.
func (k *keptPurges) setSpread(p Purge, now spreadBy) (before spreadBy) {
	if s, at, found := k.find(p, k.idOf(p)); found {
		before = s.items[at].spreadBy
		s.items[at].spreadBy = max(before, now)
	}
	return before
}

// add keeps one; false if it was kept.
func (k *keptPurges) add(p Purge) bool {
	id := k.idOf(p)
	s, at, found := k.find(p, id)
	if found {
		return false
	}
	sec := p.Issued / 1000
	it := item{id: id, ms: uint16(p.Issued % 1000)}
	shape, name := shapeOf(p)
	it.shape, it.name = uint8(shape), name
	switch shape {
	case shapeGroup:
		it.name = uint64(p.Group)
	case shapeName, shapeBoth:
		for len(k.longNames) >= maxLongNames {
			k.dropOldest()
		}
		k.nextKey++
		it.name, k.longNames[k.nextKey] = k.nextKey, p
	}
	if _, there := k.minutes[sec/minute]; !there && len(k.minutes) >= maxMinutes {
		k.dropMinute(k.oldestMinute())
	}
	if k.seconds[sec] == nil { // new, or dropped just now
		s, at = &second{}, 0
		k.seconds[sec] = s
	}
	s.items = slices.Insert(s.items, at, it)
	s.ids += id
	m := k.minutes[sec/minute]
	k.minutes[sec/minute] = sum{m.count + 1, m.ids + id}
	k.count++
	k.newest = max(k.newest, p.Issued)
	for k.count > k.limit {
		k.dropOldest()
	}
	return true
}

// oldestMinute is the oldest minute kept.
func (k *keptPurges) oldestMinute() int64 {
	least := int64(maxSeconds)
	for m := range k.minutes {
		least = min(least, m)
	}
	return least
}

func (k *keptPurges) dropOldest() {
	m := k.oldestMinute()
	for sec := m * minute; sec < (m+1)*minute; sec++ {
		if k.seconds[sec] != nil {
			k.dropped += uint64(k.dropSecond(sec))
			return
		}
	}
}

func (k *keptPurges) dropMinute(m int64) {
	for sec := m * minute; sec < (m+1)*minute; sec++ {
		k.dropped += uint64(k.dropSecond(sec))
	}
}

func (k *keptPurges) dropSecond(sec int64) int {
	s := k.seconds[sec]
	if s == nil {
		return 0
	}
	for i := range s.items {
		if it := &s.items[i]; it.shape >= shapeName {
			delete(k.longNames, it.name)
		}
	}
	delete(k.seconds, sec)
	k.count -= len(s.items)
	m := k.minutes[sec/minute]
	m = sum{m.count - uint64(len(s.items)), m.ids - s.ids}
	if k.minutes[sec/minute] = m; m.count == 0 {
		delete(k.minutes, sec/minute)
	}
	return len(s.items)
}

// expire drops seconds before one.
func (k *keptPurges) expire(horizon int64) {
	for m := range k.minutes {
		for sec := m * minute; sec < min((m+1)*minute, horizon); sec++ {
			k.dropSecond(sec)
		}
	}
}

// sumOf is the sum of a span; whole minutes are at hand.
func (k *keptPurges) sumOf(s span) (all sum) {
	for m, of := range k.minutes {
		switch from, to := m*minute, (m+1)*minute; {
		case from >= s.from && to <= s.to:
			all = sum{all.count + of.count, all.ids + of.ids}
		case from < s.to && to > s.from:
			for sec := max(from, s.from); sec < min(to, s.to); sec++ {
				one := k.sumOfSecond(sec)
				all = sum{all.count + one.count, all.ids + one.ids}
			}
		}
	}
	return all
}

func (k *keptPurges) sumOfSecond(sec int64) sum {
	if s := k.seconds[sec]; s != nil {
		return sum{uint64(len(s.items)), s.ids}
	}
	return sum{}
}

// itemsWithPrefix gives the items of a second whose ids begin so.
func (k *keptPurges) itemsWithPrefix(sec int64, bits uint8, prefix uint32) []item {
	s := k.seconds[sec]
	if s == nil {
		return nil
	}
	if bits == 0 {
		return s.items
	}
	first := uint64(prefix) << (64 - bits)
	from, _ := slices.BinarySearchFunc(s.items, first, func(it item, id uint64) int { return cmp.Compare(it.id, id) })
	to := len(s.items)
	if last := first + 1<<(64-bits); last != 0 {
		to, _ = slices.BinarySearchFunc(s.items, last, func(it item, id uint64) int { return cmp.Compare(it.id, id) })
	}
	return s.items[from:to]
}

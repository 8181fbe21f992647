package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// LinkFault describes the injected faults of one direction of a link. The zero value is no fault.
type LinkFault struct {
	Cut            bool
	Loss           float64       // probability that a datagram is lost; stream bytes are delayed by retransmitAfter instead
	Delay          time.Duration // fixed delay
	Jitter         time.Duration // maximum of a random delay that is added to Delay
	Reorder        float64       // probability that a datagram is delayed by reorderDelay
	BytesPerSecond int64         // bandwidth; 0: unlimited
}

const (
	retransmitAfter = 200 * time.Millisecond // smallest retransmission timeout of TCP in Linux
	reorderDelay    = 30 * time.Millisecond

	linksStream = 0x6c696e6b73 // keeps the random numbers of Links apart from others of the same seed
)

// linkKey identifies one direction of a link.
type linkKey struct{ from, to string }

// Links holds the faults of the directed links between named parties,
// which are gateways and stub servers. It is safe for concurrent use.
type Links struct {
	mu        sync.Mutex
	random    *rand.Rand
	faults    map[linkKey]LinkFault
	busyUntil map[linkKey]time.Time // when a link with limited bandwidth has sent the bytes given to it so far
}

// NewLinks returns links without faults. The seed initializes the generator that random faults are drawn from.
func NewLinks(seed uint64) *Links {
	return &Links{
		random:    rand.New(rand.NewPCG(seed, linksStream)),
		faults:    map[linkKey]LinkFault{},
		busyUntil: map[linkKey]time.Time{},
	}
}

// Set puts a fault on the links from each party in from to each
// party in to. The zero value removes the fault of these links.
func (l *Links) Set(from, to []string, fault LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sender := range from {
		for _, receiver := range to {
			key := linkKey{sender, receiver}
			switch {
			case sender == receiver:
			case fault == LinkFault{}:
				delete(l.faults, key)
			default:
				l.faults[key] = fault
			}
		}
	}
}

// Split cuts all links between parties of different groups, except
// between parties that share a group. A party may be in several groups.
func (l *Links) Split(groups [][]string) {
	shareGroup := func(a, b string) bool {
		return slices.ContainsFunc(groups, func(group []string) bool { return slices.Contains(group, a) && slices.Contains(group, b) })
	}
	for i, senders := range groups {
		for j, receivers := range groups {
			if i == j {
				continue
			}
			for _, sender := range senders {
				for _, receiver := range receivers {
					if !shareGroup(sender, receiver) {
						l.Set([]string{sender}, []string{receiver}, LinkFault{Cut: true})
					}
				}
			}
		}
	}
}

// Heal removes all faults.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	clear(l.busyUntil)
}

// IsOpen reports whether neither direction between two parties is cut.
func (l *Links) IsOpen(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.faults[linkKey{a, b}].Cut && !l.faults[linkKey{b, a}].Cut
}

// IsCut reports whether the direction from one party to another is cut.
func (l *Links) IsCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[linkKey{from, to}].Cut
}

// Transfer decides what happens to size bytes that are sent on a link. They are lost or arrive after a delay. Bytes of
// a stream are lost only if the link is cut.
func (l *Links) Transfer(from, to string, size int, isStream bool) (lost bool, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := linkKey{from, to}
	fault := l.faults[key]
	if fault == (LinkFault{}) {
		return false, 0
	}
	delay = fault.Delay
	if fault.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(fault.Jitter) + 1))
	}
	if fault.BytesPerSecond > 0 {
		now := time.Now()
		begin := l.busyUntil[key]
		if begin.Before(now) {
			begin = now
		}
		l.busyUntil[key] = begin.Add(time.Duration(int64(size) * int64(time.Second) / fault.BytesPerSecond))
		delay += l.busyUntil[key].Sub(now)
	}
	if fault.Loss > 0 && l.random.Float64() < fault.Loss {
		if !isStream {
			return true, 0
		}
		delay += retransmitAfter
	}
	if fault.Reorder > 0 && !isStream && l.random.Float64() < fault.Reorder {
		delay += reorderDelay
	}
	return fault.Cut, delay
}

// Partitions groups the parties that can reach each other, directly or
// through other parties, over links that are open in both directions.
func (l *Links) Partitions(parties []string) (sides [][]string) {
	seen := map[string]bool{}
	for _, party := range parties {
		if seen[party] {
			continue
		}
		side := []string{party}
		seen[party] = true
		for i := 0; i < len(side); i++ {
			for _, other := range parties {
				if !seen[other] && l.IsOpen(side[i], other) {
					seen[other] = true
					side = append(side, other)
				}
			}
		}
		slices.Sort(side)
		sides = append(sides, side)
	}
	return sides
}

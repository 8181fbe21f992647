// Package fleet is the rig on which a fleet of gateways is proven: it starts real processes of the program on loopback, puts the
// fault relay between every two gateways and between gateways and stand-in caches, plays a scenario of kills, pauses, cuts and
// loss, reads every process's log and reports. The same model of links carries the same code on a virtual clock (virtual.go, in
// tests). It judges by what it did itself (who runs, which ways are open), never by what a gateway says of itself.
//
// Bounds: mostGateways processes, mostSteps steps, mostTime a run; loopback addresses only; each process it started is ended by
// its id, and dies with the rig if the rig dies.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// LinkFault is what one direction of a link does.
type LinkFault struct {
	Cut            bool
	Loss           float64       // of datagrams; a stream's bytes come resend later in their place
	Delay          time.Duration // each way
	Jitter         time.Duration // more, by chance, up to this
	Reorder        float64       // of datagrams that come reorderBy later than the others
	BytesPerSecond int64         // bytes a second; 0: any
}

const (
	retransmitAfter = 200 * time.Millisecond // the least time after which TCP sends a lost segment again (RFC 6298, in Linux's form)
	reorderDelay    = 30 * time.Millisecond
)

// Links are the directed links between named parties. The zero value has no faults.
type Links struct {
	mu        sync.Mutex
	rng       *rand.Rand
	faults    map[[2]string]LinkFault
	busyUntil map[[2]string]time.Time // when a slow link has sent what it took
}

// NewLinks makes links whose chance comes of a seed.
func NewLinks(seed uint64) *Links {
	return &Links{rng: rand.New(rand.NewPCG(seed, 0x6c696e6b73)), faults: map[[2]string]LinkFault{}, busyUntil: map[[2]string]time.Time{}}
}

// Set puts a fault on the links from each of some to each of others, or takes it off where it is the zero value.
func (l *Links) Set(from, to []string, f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			if f == (LinkFault{}) {
				delete(l.faults, [2]string{a, b})
			} else {
				l.faults[[2]string{a, b}] = f
			}
		}
	}
}

// Split cuts all links between members of different groups; who is in two groups hears both.
func (l *Links) Split(groups [][]string) {
	for i, a := range groups {
		for j, b := range groups {
			if i == j {
				continue
			}
			for _, from := range a {
				for _, to := range b {
					if !slices.ContainsFunc(groups, func(g []string) bool { return slices.Contains(g, from) && slices.Contains(g, to) }) {
						l.Set([]string{from}, []string{to}, LinkFault{Cut: true})
					}
				}
			}
		}
	}
}

// Heal takes all faults off.
func (l *Links) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	clear(l.busyUntil)
}

// IsOpen tells whether both directions between two parties are open.
func (l *Links) IsOpen(a, b string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.faults[[2]string{a, b}].Cut && !l.faults[[2]string{b, a}].Cut
}

// IsCut tells whether nothing goes from one to the other.
func (l *Links) IsCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[[2]string{from, to}].Cut
}

// Transfer tells what becomes of so many bytes: lost, or how long they take. Bytes of a stream are never lost but by a cut.
func (l *Links) Transfer(from, to string, size int, stream bool) (lost bool, takes time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := [2]string{from, to}
	f := l.faults[at]
	if f == (LinkFault{}) {
		return false, 0
	}
	takes = f.Delay
	if f.Jitter > 0 {
		takes += time.Duration(l.rng.Int64N(int64(f.Jitter) + 1))
	}
	if f.BytesPerSecond > 0 {
		now := time.Now()
		begin := l.busyUntil[at]
		if begin.Before(now) {
			begin = now
		}
		l.busyUntil[at] = begin.Add(time.Duration(int64(size) * int64(time.Second) / f.BytesPerSecond))
		takes += l.busyUntil[at].Sub(now)
	}
	if f.Loss > 0 && l.rng.Float64() < f.Loss {
		if !stream {
			return true, 0
		}
		takes += retransmitAfter
	}
	if f.Reorder > 0 && !stream && l.rng.Float64() < f.Reorder {
		takes += reorderDelay
	}
	return f.Cut, takes
}

// Partitions are the parties that can reach each other over links open both ways, by way of others too.
func (l *Links) Partitions(parties []string) (sides [][]string) {
	seen := map[string]bool{}
	for _, p := range parties {
		if seen[p] {
			continue
		}
		side := []string{p}
		seen[p] = true
		for i := 0; i < len(side); i++ {
			for _, q := range parties {
				if !seen[q] && l.IsOpen(side[i], q) {
					seen[q] = true
					side = append(side, q)
				}
			}
		}
		slices.Sort(side)
		sides = append(sides, side)
	}
	return sides
}

// HasFaults tells whether any link has a fault.
func (l *Links) HasFaults() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.faults) > 0
}

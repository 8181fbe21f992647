package gateway

import (
	"net"
	"sync"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/env"
)

const (
	// Descriptors that the process takes for itself: three standard streams, five of the runtime's (its poller, its wake, the control
	// group's files), the listener, a connection that is being accepted or turned away, the discovery watch, a file that is read anew.
	ownDescriptors = 12
	aSocket        = 9  // of the operators: its listener and its calls
	aFolder        = 4  // kept on disk: its lock, a file that is written, one that is read, the folder
	ofAFleet       = 40 // its two listeners, 32 streams let in, calls out
	doorsPart      = 8  // doors for other proxies have one over this of all
	leastLinks     = 4  // connections to caches, however few descriptors there are
	yieldsADial    = 4
	shortFor       = 5 * time.Second // without a shortage until the next counts as a new one
)

// parts are the descriptors of each role. Together they are what the process may hold, where it may hold 64 or more.
type parts struct{ Own, Doors, Clients, Caches int }

// share divides what the process may hold: told is the platform's number and held the kernel's, 0: not known; the lower counts.
// Clients have a half, at most mostClients (the platform's hold up to a third), the process, its watch and its operators what they can
// take at most, connections to caches the rest.
func share(told int, held uint64, own *config.Config, doors bool) (p parts) {
	all := uint64(max(told, 0))
	if held > 0 && (all == 0 || held < all) {
		all = held // fewer than told: clients must not take what the caches need
	}
	p.Clients = int(min(max(1, all/clientsPart), mostClients))
	if all == 0 {
		p.Caches = mostLinks
		return p
	}
	p.Own = ownDescriptors
	if r := own.Routing; r != nil {
		if r.Socket != "" {
			p.Own += aSocket
		}
		if r.Folder != "" {
			p.Own += aFolder
		}
	}
	if f := own.Fleet; f != nil {
		if p.Own += ofAFleet; f.Socket != "" {
			p.Own += aSocket
		}
	}
	if own.List != nil {
		p.Own += aFolder
	}
	if doors {
		p.Doors = int(min(all/doorsPart, mostClients))
	}
	left := int(min(all, 1<<20)) - p.Own - p.Doors - p.Clients
	p.Caches = max(min(left, mostLinks), leastLinks)
	return p
}

// frugal is a ground whose dials that find no descriptor have someone else give one up. The parts of the roles keep that from coming to
// pass, unless the process holds descriptors that it does not know of or its limit has been lowered since it started.
type frugal struct {
	env.Ground
	yield func() bool // one is free now
	mu    sync.Mutex
	short time.Time // the last shortage
}

// Dial is the ground's, tried again as often as something gives way, yieldsADial times at most.
func (f *frugal) Dial(life *env.Life, addr string, within time.Duration) (net.Conn, error) {
	conn, err := f.Ground.Dial(life, addr, within)
	for n := 0; n < yieldsADial && env.NoDescriptor(err); n++ {
		f.tell()
		if !f.yield() {
			break
		}
		conn, err = f.Ground.Dial(life, addr, within)
	}
	return conn, err
}

// tell logs that a shortage has begun.
func (f *frugal) tell() {
	f.mu.Lock()
	now := f.Now()
	begun := f.short.IsZero() || now.Sub(f.short) > shortFor
	f.short = now
	f.mu.Unlock()
	if begun {
		f.Log().Warn("descriptors_short", "limit", f.Descriptors())
	}
}

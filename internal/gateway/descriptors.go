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
	processDescriptors       = 12
	adminDescriptors         = 9  // of the operators: its listener and its calls
	storeDescriptors         = 4  // kept on disk: its lock, a file that is written, one that is read, the folder
	fleetDescriptors         = 40 // its two listeners, 32 streams let in, calls out
	extprocDescriptorDivisor = 8  // doors for other proxies have one over this of all
	minCacheConns            = 4  // connections to caches, however few descriptors there are
	maxEvictionsPerDial      = 4
	shortageWindow           = 5 * time.Second // without a shortage until the next counts as a new one
)

// descriptorShares are the descriptors of each role. Together they are what the process may hold, where it may hold 64 or more.
type descriptorShares struct{ Process, Extproc, Clients, Caches int }

// shareDescriptors divides what the process may hold: told is the platform's number and held the kernel's, 0: not known; the lower counts.
// Clients have a half, at most mostClients (the platform's hold up to a third), the process, its watch and its operators what they can
// take at most, connections to caches the rest.
func shareDescriptors(told int, held uint64, own *config.Config, doors bool) (p descriptorShares) {
	all := uint64(max(told, 0))
	if held > 0 && (all == 0 || held < all) {
		all = held // fewer than told: clients must not take what the caches need
	}
	p.Clients = int(min(max(1, all/clientDescriptorDivisor), maxClientConns))
	if all == 0 {
		p.Caches = maxCacheConns
		return p
	}
	p.Process = processDescriptors
	if r := own.Routing; r != nil {
		if r.Socket != "" {
			p.Process += adminDescriptors
		}
		if r.Folder != "" {
			p.Process += storeDescriptors
		}
	}
	if f := own.Fleet; f != nil {
		if p.Process += fleetDescriptors; f.Socket != "" {
			p.Process += adminDescriptors
		}
	}
	if own.List != nil {
		p.Process += storeDescriptors
	}
	if doors {
		p.Extproc = int(min(all/extprocDescriptorDivisor, maxClientConns))
	}
	left := int(min(all, 1<<20)) - p.Process - p.Extproc - p.Clients
	p.Caches = max(min(left, maxCacheConns), minCacheConns)
	return p
}

// evictingEnv is a ground whose dials that find no descriptor have someone else give one up. The parts of the roles keep that from coming to
// pass, unless the process holds descriptors that it does not know of or its limit has been lowered since it started.
type evictingEnv struct {
	env.Environment
	evictIdle    func() bool // one is free now
	mu           sync.Mutex
	lastShortage time.Time // the last shortage
}

// Dial is the ground's, tried again as often as something gives way, yieldsADial times at most.
func (f *evictingEnv) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	conn, err := f.Environment.Dial(life, addr, within)
	for n := 0; n < maxEvictionsPerDial && env.IsDescriptorExhausted(err); n++ {
		f.reportShortage()
		if !f.evictIdle() {
			break
		}
		conn, err = f.Environment.Dial(life, addr, within)
	}
	return conn, err
}

// reportShortage logs that a shortage has begun.
func (f *evictingEnv) reportShortage() {
	f.mu.Lock()
	now := f.Now()
	begun := f.lastShortage.IsZero() || now.Sub(f.lastShortage) > shortageWindow
	f.lastShortage = now
	f.mu.Unlock()
	if begun {
		f.Log().Warn("descriptors_short", "limit", f.DescriptorLimit())
	}
}

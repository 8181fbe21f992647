package gateway

import (
	"net"
	"sync"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/env"
)

const (
	// processDescriptors are what the process takes for itself: three standard streams, five of the runtime's (its poller, its wake, the
	// control group's files), the listener, a connection that is being accepted or refused, the discovery watch, a file that is read.
	processDescriptors = 12
	adminDescriptors   = 9  // of a socket for operators: its listener and its calls
	storeDescriptors   = 4  // of a directory: its lock, a file that is written, one that is read, the directory
	fleetDescriptors   = 40 // its two listeners, 32 accepted streams, streams it opens

	maxClientConns          = 4096
	maxCacheConns           = 16384
	minCacheConns           = 4 // however few descriptors there are
	clientDescriptorDivisor = 2 // clients have one over this of all descriptors; the platform's hold up to a third
	extprocDivisor          = 8 // entry points for other proxies have one over this of all
	maxCountedDescriptors   = 1 << 20

	maxEvictionsPerDial = 4
	// shortageWindow is the time without a shortage after which the next one counts as new.
	shortageWindow = 5 * time.Second
)

// descriptorShares are the descriptors of each role. Together they are what the process may hold, where it may hold 64 or more.
type descriptorShares struct{ Process, Extproc, Clients, Caches int }

// descriptorDemand is what descriptors are shared out by.
type descriptorDemand struct {
	platformLimit int    // 0: none
	systemLimit   uint64 // 0: not known
	operators     *config.Config
	hasExtproc    bool // there are entry points for other proxies
}

// shareDescriptors divides what the process may hold; the lower limit counts. Clients have a half, at most maxClientConns, the process with
// its watch, its operators and its fleet what they can take at most, connections to caches the rest.
func shareDescriptors(demand descriptorDemand) descriptorShares {
	limit := uint64(max(demand.platformLimit, 0))
	if demand.systemLimit > 0 && (limit == 0 || demand.systemLimit < limit) {
		limit = demand.systemLimit // fewer than the platform says: clients must not take what the caches need
	}
	shares := descriptorShares{Clients: int(min(max(1, limit/clientDescriptorDivisor), maxClientConns))}
	if limit == 0 {
		shares.Caches = maxCacheConns
		return shares
	}
	shares.Process = processDemand(demand.operators)
	if demand.hasExtproc {
		shares.Extproc = int(min(limit/extprocDivisor, maxClientConns))
	}
	left := int(min(limit, maxCountedDescriptors)) - shares.Process - shares.Extproc - shares.Clients
	shares.Caches = max(min(left, maxCacheConns), minCacheConns)
	return shares
}

// processDemand is what the process can take at most for itself, as the operators have configured it.
func processDemand(operators *config.Config) int {
	demand := processDescriptors
	if routing := operators.Routing; routing != nil {
		if routing.Socket != "" {
			demand += adminDescriptors
		}
		if routing.Folder != "" {
			demand += storeDescriptors
		}
	}
	if fleet := operators.Fleet; fleet != nil {
		demand += fleetDescriptors
		if fleet.Socket != "" {
			demand += adminDescriptors
		}
	}
	if operators.List != nil {
		demand += storeDescriptors
	}
	return demand
}

// evictingEnv is an environment whose dials evict an idle connection when there is no descriptor left. The shares of the roles keep that
// from happening, unless the process holds descriptors that it does not know of or its limit has been lowered since it started.
type evictingEnv struct {
	env.Environment
	evictIdle func() bool // frees a descriptor; false: none can be freed

	mu           sync.Mutex
	lastShortage time.Time
}

// Dial is the environment's, tried again as often as a descriptor could be freed, maxEvictionsPerDial times at most.
func (e *evictingEnv) Dial(lifetime *env.Lifetime, addr string, timeout time.Duration) (net.Conn, error) {
	conn, err := e.Environment.Dial(lifetime, addr, timeout)
	for n := 0; n < maxEvictionsPerDial && env.IsDescriptorExhausted(err); n++ {
		e.reportShortage()
		if !e.evictIdle() {
			break
		}
		conn, err = e.Environment.Dial(lifetime, addr, timeout)
	}
	return conn, err
}

// reportShortage logs that a shortage has begun.
func (e *evictingEnv) reportShortage() {
	e.mu.Lock()
	now := e.Now()
	isNew := e.lastShortage.IsZero() || now.Sub(e.lastShortage) > shortageWindow
	e.lastShortage = now
	e.mu.Unlock()
	if isNew {
		e.Log().Warn("descriptors_short", "limit", e.DescriptorLimit())
	}
}

package gateway

import (
	"net"
	"sync"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/discovery"
	"foldslip/internal/env"
)

const (
	// processDescriptors is the number of descriptors that every gateway process uses itself: three standard
	// streams, five of the Go runtime (its poller, its wake-up event and the control group's files), the listener,
	// one connection that is being accepted or refused, the sessions of the discovery watch, and one file that is being read.
	processDescriptors = 11 + discovery.MaxSessions
	adminDescriptors   = 9  // for each admin socket: its listener and eight connections
	storeDescriptors   = 4  // for each directory: its lock, a file being written, a file being read, the directory itself
	fleetDescriptors   = 40 // for the fleet: two listeners, 32 accepted streams, and the streams that it opens

	maxClientConns          = 4096
	maxCacheConns           = 16384
	minCacheConns           = 4 // even if the descriptor limit leaves fewer
	clientDescriptorDivisor = 2 // clients get 1/2 of all descriptors; on the platform they hold up to a third
	extprocDivisor          = 8 // entry points for other proxies get 1/8 of all descriptors
	maxCountedDescriptors   = 1 << 20

	maxEvictionsPerDial = 4
	// shortageWindow is the time without a descriptor shortage after which the next shortage is logged as a new one.
	shortageWindow = 5 * time.Second
)

// descriptorShares is the number of descriptors for each role. The sum is within the limit of the process,
// unless the limit is too low for the minimum of each role. With the platform's configuration alone a
// limit of 64 is enough. Sockets, directories and a fleet that the operators configure raise that minimum.
type descriptorShares struct{ Process, Extproc, Clients, Caches int }

// descriptorDemand is the input of shareDescriptors.
type descriptorDemand struct {
	platformLimit int    // 0: no limit
	systemLimit   uint64 // 0: unknown
	operators     *config.Config
	hasExtproc    bool // the gateway has entry points for other proxies
}

// shareDescriptors divides the descriptors that the process may hold among the roles. The lower of the two
// limits applies. Clients get half of the descriptors, at most maxClientConns. The process gets the maximum
// that it can use itself, which includes the discovery watch, the admin sockets and the fleet. Entry points
// for other proxies get an eighth. Connections to caches get the rest, at least minCacheConns.
func shareDescriptors(demand descriptorDemand) descriptorShares {
	limit := uint64(max(demand.platformLimit, 0))
	if demand.systemLimit > 0 && (limit == 0 || demand.systemLimit < limit) {
		limit = demand.systemLimit // lower than the platform's limit: clients must not use the descriptors that caches need
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

// processDemand returns the maximum number of descriptors that
// the process can use itself with the operators' configuration.
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

// evictingEnv is an environment that evicts an idle connection when a dial finds no
// free descriptor. The shares of the roles prevent that, unless the process holds
// descriptors that it does not know of or its limit has been lowered since it started.
type evictingEnv struct {
	env.Environment
	evictIdle func() bool // closes an idle connection to free its descriptor; false: there is none

	mu           sync.Mutex
	lastShortage time.Time
}

// Dial dials through the underlying environment. If no descriptor is free, it
// evicts an idle connection and dials again, at most maxEvictionsPerDial times.
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

// reportShortage logs a descriptor shortage when it begins.
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

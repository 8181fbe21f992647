// Package cacheregistry maps the ids of the caches in the endpoint list to the data that the network code needs, which
// are the address to connect to and the policy's state of the cache. A Registry is bounded by the endpoint list.
package cacheregistry

import (
	"sync"

	"foldslip/internal/policy"
)

// Cache is a server to which the gateway sends requests. It is immutable. A new address or a new start is stored in a new
// Cache with the same Policy.
type Cache struct {
	ID          string
	Addr        string        // host and port; "" until the endpoint list has provided the address
	Policy      *policy.Cache // the policy's state of the cache
	Incarnation uint64        // tells the process at the address from earlier ones at the same address; unique in the Registry

	startedAt int64 // as announced, in Unix milliseconds; 0: long ago
}

// Registry holds the caches of the endpoint list by id. A cache that leaves the list is removed. If it returns, it is a
// new cache with a new policy state. The zero value is an empty registry. A Registry is safe for concurrent use.
type Registry struct {
	mu          sync.Mutex
	byID        map[string]*Cache
	incarnation uint64 // of the last new Cache
}

// Register is RegisterStart for a cache without an announced start.
func (r *Registry) Register(id, addr string) *Cache { return r.RegisterStart(id, addr, 0) }

// RegisterStart returns the cache with the given id and adds it if it is unknown. startedAt is its announced start in Unix
// milliseconds, or 0. A changed address or a later start replaces the Cache. An empty address leaves it as it is.
func (r *Registry) RegisterStart(id, addr string, startedAt int64) *Cache {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*Cache{}
	}
	cache := r.byID[id]
	switch {
	case cache == nil:
		cache = r.add(Cache{ID: id, Addr: addr, Policy: policy.NewCache(id), startedAt: startedAt})
	case addr != "" && (addr != cache.Addr || startedAt > cache.startedAt):
		cache = r.add(Cache{ID: id, Addr: addr, Policy: cache.Policy, startedAt: max(startedAt, cache.startedAt)})
	}
	return cache
}

// add stores a new Cache under its id. The caller holds the lock.
func (r *Registry) add(cache Cache) *Cache {
	r.incarnation++
	cache.Incarnation = r.incarnation
	r.byID[cache.ID] = &cache
	return &cache
}

// Find returns the cache with the given id, or nil if it is unknown.
func (r *Registry) Find(id string) *Cache {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// Len returns the number of caches.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// Remove removes the cache with the given id.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// Retain removes all caches except those with the given ids.
func (r *Registry) Retain(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if !ids[id] {
			delete(r.byID, id)
		}
	}
}

// Package cacheregistry knows the caches of the endpoint list by id, as the network code needs them: the address to connect to and the
// policy's state of each.
package cacheregistry

import (
	"sync"

	"foldslip/internal/policy"
)

// Cache is a server that the gateway sends to. It never changes: another address makes another Cache with the same Policy.
type Cache struct {
	ID     string
	Addr   string        // host and port; "" until the endpoint list has named one
	Policy *policy.Cache // what the policy knows of it
}

// Registry holds the caches of the endpoint list by id. A cache that left the list is forgotten: if it comes back it is a new one. The zero
// value is an empty registry. It is bounded by the endpoint list and safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	byID map[string]*Cache
}

// Register returns the cache of an id and adds it if it is not known. A changed address replaces the entry; "" leaves the address as it is.
func (r *Registry) Register(id, addr string) *Cache {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*Cache{}
	}
	cache := r.byID[id]
	if cache == nil {
		cache = &Cache{ID: id, Policy: policy.NewCache(id)}
		r.byID[id] = cache
	}
	if addr != "" && addr != cache.Addr {
		cache = &Cache{ID: id, Addr: addr, Policy: cache.Policy}
		r.byID[id] = cache
	}
	return cache
}

// Find returns the cache of an id, or nil.
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

// Remove forgets one cache.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, id)
}

// Retain forgets all caches but those of the given ids.
func (r *Registry) Retain(ids map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if !ids[id] {
			delete(r.byID, id)
		}
	}
}

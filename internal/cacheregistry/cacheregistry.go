// Package cacheregistry maps the ids of the caches in the endpoint list to the data that the network code needs, which
// are the address to connect to and the policy's state of the cache. A Registry is bounded by the endpoint list.
package cacheregistry

import (
	"sync"

	"foldslip/internal/policy"
)

// Cache is a server to which the gateway sends requests. It is immutable. A new address is stored in a new Cache with
// the same Policy.
type Cache struct {
	ID     string
	Addr   string        // host and port; "" until the endpoint list has provided the address
	Policy *policy.Cache // the policy's state of the cache
}

// Registry holds the caches of the endpoint list by id. A cache that leaves the list is removed. If it returns, it is a
// new cache with a new policy state. The zero value is an empty registry. A Registry is safe for concurrent use.
type Registry struct {
	mu   sync.Mutex
	byID map[string]*Cache
}

// Register returns the cache with the given id and adds it if it is unknown. A changed address replaces the Cache. An
// empty address leaves it as it is.
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

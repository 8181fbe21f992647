package main

import (
	"fmt"
	"sync"
	"time"

	"foldslip/example/standin"
)

// currentETag is the version of every object.
const currentETag = "v1"

// exampleCache is a cache of generated objects. The first request for an object that names a source fills the object,
// which is cached from then on. Its methods are safe for concurrent use.
type exampleCache struct {
	name     string
	mu       sync.Mutex
	filledAt map[string]time.Time // time of the fill by object and part
}

func newExampleCache(name string) *exampleCache {
	return &exampleCache{name: name, filledAt: map[string]time.Time{}}
}

// handle responds to one request. The field names and the responses are those of the cache protocol.
func (c *exampleCache) handle(request standin.Request) {
	object, part := request.Fields["k"], request.Fields["p"]
	hasSource := request.Fields["from"] != ""
	createdAt, isCached := c.lookUpOrFill(object+"/"+part, hasSource)
	body := fmt.Sprintf("part %s of %s, by %s\n", part, object, c.name)
	switch {
	case isCached && request.Fields["seen"] == currentETag:
		request.Respond("VALID", fmt.Sprintf("note=hit,ver=%s,born=%d", currentETag, createdAt.UnixMilli()))
	case isCached:
		request.Hit(createdAt, "hit", body)
	case hasSource:
		request.Hit(createdAt, "filled", body)
	default:
		request.Respond("NONE", "-")
	}
}

// lookUpOrFill returns the time at which an object was filled and reports whether it was cached before this call. It
// fills a missing object only if canFill is true.
func (c *exampleCache) lookUpOrFill(key string, canFill bool) (createdAt time.Time, isCached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	createdAt, isCached = c.filledAt[key]
	if !isCached && canFill {
		createdAt = time.Now()
		c.filledAt[key] = createdAt
	}
	return createdAt, isCached
}

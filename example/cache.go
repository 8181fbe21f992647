package main

import (
	"fmt"
	"sync"
	"time"

	"foldslip/example/standin"
)

// currentETag is the version of every object.
const currentETag = "v1"

// exampleCache is a cache of made-up objects: each is filled by the first request that names a source, and cached from then on. Its
// methods may be called by many goroutines.
type exampleCache struct {
	name     string
	mu       sync.Mutex
	filledAt map[string]time.Time // by object and part
}

func newExampleCache(name string) *exampleCache {
	return &exampleCache{name: name, filledAt: map[string]time.Time{}}
}

// handle answers one request. The names of fields and the answers are those of the caches' protocol.
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

// lookUpOrFill returns when an object was filled and whether that was before this call. Only canFill fills it.
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

package fleet

import (
	"fmt"
	"sync"
	"time"

	"foldslip/example/standin"
)

// maxStoredObjects bounds the entries of a memoryCache. Further fills are answered but not stored.
const maxStoredObjects = 100_000

// memoryCache answers the requests to a stub cache. It generates an object when a request for it first names a source
// to fill from, and serves the object as stored from then on.
type memoryCache struct {
	mu       sync.Mutex
	storedAt map[string]time.Time // time of the fill, by key and part of the object
}

// respond answers one request of the cache protocol.
func (c *memoryCache) respond(request standin.Request) {
	key := request.Fields["k"] + "/" + request.Fields["p"]
	hasSource := request.Fields["from"] != ""
	c.mu.Lock()
	storedAt, stored := c.storedAt[key]
	if !stored && hasSource && len(c.storedAt) < maxStoredObjects {
		storedAt = time.Now()
		c.storedAt[key] = storedAt
	}
	c.mu.Unlock()
	body := "part " + request.Fields["p"] + " of " + request.Fields["k"] + "\n"
	switch {
	case stored && request.Fields["seen"] == "v1":
		request.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", storedAt.UnixMilli()))
	case stored:
		request.Hit(storedAt, "hit", body)
	case hasSource:
		request.Hit(storedAt, "filled", body)
	default:
		request.Respond("NONE", "-")
	}
}

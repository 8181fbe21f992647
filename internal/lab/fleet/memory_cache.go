package fleet

import (
	"fmt"
	"sync"
	"time"

	"foldslip/example/standin"
)

// maxStoredObjects bounds a memoryCache; later fills are answered but not stored.
const maxStoredObjects = 100_000

// memoryCache answers a stub cache's requests. It makes up an object the first time that it is requested with a source to fill from,
// and stores it from then on.
type memoryCache struct {
	mu       sync.Mutex
	storedAt map[string]time.Time // by key and part of the object
}

// respond answers one request of the caches' protocol.
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

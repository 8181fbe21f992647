package fleet

import (
	"fmt"
	"sync"
	"time"

	"foldslip/example/standin"
)

// memoryCache is a stand-in cache that makes its objects up: filled the first time they are asked for with a source, then held.
type memoryCache struct {
	mu     sync.Mutex
	stored map[string]time.Time
}

func (t *memoryCache) answer(d standin.Request) {
	key := d.Fields["k"] + "/" + d.Fields["p"]
	t.mu.Lock()
	born, held := t.stored[key]
	if !held && d.Fields["from"] != "" && len(t.stored) < 100_000 {
		born = time.Now()
		t.stored[key] = born
	}
	t.mu.Unlock()
	body := "part " + d.Fields["p"] + " of " + d.Fields["k"] + "\n"
	switch {
	case held && d.Fields["seen"] == "v1":
		d.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", born.UnixMilli()))
	case held:
		d.Hit(born, "hit", body)
	case d.Fields["from"] != "":
		d.Hit(born, "filled", body)
	default:
		d.Respond("NONE", "-")
	}
}

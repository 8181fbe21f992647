package clients

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/example/standin"
)

// caches are the stand-in caches of a play: edges, a parent and the origin. They record how often each request came.
type caches struct {
	servers   []*standin.Cache
	endpoints []standin.Endpoint
	discovery *standin.Discovery
	behavior  CacheBehavior
	body      string
	done      chan struct{}
	vanished  []*atomic.Bool // by server: its machine has vanished

	mu       sync.Mutex             // guards the fields below
	sends    map[string][]time.Time // when each request came, by id
	lastSend map[int]time.Time      // when the last request came, by server
}

// CacheBehavior is how the caches of a play respond.
type CacheBehavior struct {
	ServedIn     time.Duration
	BodyBytes    int
	ShedAll      bool // respond that no capacity is left
	HasOldCopies bool // respond with a copy from before the play, unless the request wants a newer one
}

// oldCopy is the body of a copy from before the play.
const oldCopy = "old"

// oldCopyAge is the age of such a copy.
const oldCopyAge = time.Minute

const edgeCount = 4

func startCaches(behavior CacheBehavior) (*caches, error) {
	c := &caches{behavior: behavior, body: strings.Repeat("x", behavior.BodyBytes), done: make(chan struct{}), sends: map[string][]time.Time{},
		lastSend: map[int]time.Time{}}
	for n := range edgeCount + 2 {
		flavor, locality := "edge", "town"
		if n >= edgeCount {
			flavor, locality = []string{"parent", "origin"}[n-edgeCount], "hub"
		}
		server, err := standin.NewCache("127.0.0.1:0", c.newResponder())
		if err != nil {
			return c, err
		}
		c.servers = append(c.servers, server)
		go c.dropCancellations(server)
		c.endpoints = append(c.endpoints, standin.Endpoint{ID: fmt.Sprintf("c%d", n+1), HostPort: server.Addr, Locality: locality, Flavor: flavor, Phase: "up", Size: 1})
	}
	var err error
	c.discovery, err = standin.NewDiscovery("127.0.0.1:0", 1)
	if err == nil {
		go c.dropSubscriptions()
	}
	return c, err
}

func (c *caches) dropCancellations(server *standin.Cache) {
	for {
		select {
		case <-server.Cancelled:
		case <-c.done:
			return
		}
	}
}

func (c *caches) dropSubscriptions() {
	for {
		select {
		case <-c.discovery.Subscribed:
		case <-c.done:
			return
		}
	}
}

// newResponder returns the handler of a new server.
func (c *caches) newResponder() func(standin.Request) {
	vanished := &atomic.Bool{}
	server := len(c.vanished)
	c.vanished = append(c.vanished, vanished)
	return func(request standin.Request) {
		c.mu.Lock()
		c.lastSend[server] = time.Now()
		c.mu.Unlock()
		if !vanished.Load() {
			c.respond(request)
		}
	}
}

// lastSendTo returns when the last request came to a server.
func (c *caches) lastSendTo(server int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastSend[server]
}

// replace puts a new process at the address of an edge, whose machine vanishes: its connections stay open, and nothing is
// answered on them any more.
func (c *caches) replace(edge int) error {
	old := c.servers[edge]
	c.vanished[edge].Store(true)
	old.StopListening()
	server, err := standin.NewCache(old.Addr, c.respond)
	if err != nil {
		return err
	}
	c.servers = append(c.servers, server)
	go c.dropCancellations(server)
	return nil
}

// respond answers a request after the time of the behavior.
func (c *caches) respond(request standin.Request) {
	c.mu.Lock()
	c.sends[request.ID] = append(c.sends[request.ID], time.Now())
	c.mu.Unlock()
	time.Sleep(c.behavior.ServedIn)
	if c.behavior.ShedAll {
		request.Respond("SHED", "-")
		return
	}
	if c.behavior.HasOldCopies && request.Fields["oldest"] == "" {
		request.Hit(time.Now().Add(-oldCopyAge), "hit", oldCopy)
		return
	}
	request.Hit(time.Now(), "hit", c.body)
}

// sendsOf returns when the requests with an id came.
func (c *caches) sendsOf(id string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sends[id]
}

// close ends all servers.
func (c *caches) close() {
	close(c.done)
	for _, server := range c.servers {
		server.Close()
	}
	if c.discovery != nil {
		c.discovery.Close()
	}
}

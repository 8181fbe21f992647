package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bulletin tells changes of the list and purges.
type Bulletin struct {
	Addr string

	mu       sync.Mutex
	events   []json.RawMessage
	changed  chan struct{}
	conns    map[net.Conn]bool
	listener net.Listener
	place    int // number of the address, from 0
}

// movedFor is how long connections to an address stay open and silent once the bulletin has left it.
const movedFor = 1500 * time.Millisecond

// NewBulletin opens a bulletin whose first event is the complete list of caches.
func NewBulletin(caches []*Cache) (*Bulletin, error) {
	b := &Bulletin{changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	if err := b.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.Add(map[string]any{"roster": map[string]any{"revision": 1, "complete": true, "members": Members(caches, "up")}})
	return b, nil
}

// Members returns the rows of caches in a phase.
func Members(caches []*Cache, phase string) (rows []map[string]any) {
	for _, c := range caches {
		rows = append(rows, map[string]any{"id": c.ID, "host_port": c.Addr, "locality": c.Zone, "flavor": c.Flavor, "cell": 0, "phase": phase,
			"size": 1, "up_since_ms": c.StartedAt})
	}
	return rows
}

func (b *Bulletin) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b.Addr = l.Addr().String()
	b.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return nil
}

// Add adds an event and returns its number.
func (b *Bulletin) Add(event map[string]any) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	event["no"] = len(b.events) + 1
	text, _ := json.Marshal(event)
	b.events = append(b.events, text)
	close(b.changed)
	b.changed = make(chan struct{})
	return len(b.events)
}

// Purge adds the purge of an object, made now.
func (b *Bulletin) Purge(object string, issued time.Time) {
	b.Add(map[string]any{"recall": map[string]any{"item": object, "issued": issued.UnixMilli()}})
}

// Change adds a change of caches to a phase.
func (b *Bulletin) Change(phase string, caches ...*Cache) {
	b.Add(map[string]any{"roster": map[string]any{"revision": 2, "complete": false, "members": Members(caches, phase)}})
}

// Known returns the events so far in the form of the configuration.
func (b *Bulletin) Known() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]any{"no": len(b.events), "items": append([]json.RawMessage(nil), b.events...)}
}

// Down closes the port and all connections.
func (b *Bulletin) Down() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener.Close()
	for c := range b.conns {
		c.Close()
	}
}

// Up opens the port again.
func (b *Bulletin) Up() error { return b.listen(b.Addr) }

// Next opens the next address, at which the bulletin will tell the same events. The returned function leaves the one before.
func (b *Bulletin) Next() (leave func(), err error) {
	before := b.listener
	if err := b.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		before.Close()
		b.place++
		close(b.changed) // wakes the connections, which say nothing more
		b.changed = make(chan struct{})
	}, nil
}

func (b *Bulletin) serve(conn net.Conn) {
	defer conn.Close()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return
	}
	after, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "after ")))
	if err != nil {
		return
	}
	b.mu.Lock()
	b.conns[conn] = true
	place := b.place
	b.mu.Unlock()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		if place != b.place {
			b.mu.Unlock()
			time.Sleep(movedFor)
			return
		}
		changed := b.changed
		var pending []json.RawMessage
		if after < len(b.events) {
			pending = b.events[after:]
			after = len(b.events)
		}
		b.mu.Unlock()
		for _, e := range pending {
			if _, err := conn.Write(append(append([]byte(nil), e...), '\n')); err != nil {
				return
			}
		}
		select {
		case <-changed:
		case <-tick.C:
			if _, err := fmt.Fprintf(conn, "%d\n", after); err != nil {
				return
			}
		}
	}
}

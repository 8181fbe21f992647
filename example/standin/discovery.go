package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = time.Second            // interval between repetitions of the last event number
	trickleInterval   = 100 * time.Millisecond // interval between the bytes that Trickle writes
)

// Discovery is a server that sends numbered events to gateways. It owns its connections. Close closes them.
type Discovery struct {
	Addr       string
	Subscribed chan int // number of the last event that a gateway had, for each subscription

	listener  net.Listener
	mu        sync.Mutex
	lastKnown int               // number of the last event before lines[0]
	lines     []string          // guarded by mu, like the fields below
	conns     map[net.Conn]bool // subscribed connections
	isSilent  bool
}

// NewDiscovery listens on addr and serves subscriptions until Close is called. lastKnown is the number of the last
// event that is already known to gateways. The first announced event has the next number.
func NewDiscovery(addr string, lastKnown int) (*Discovery, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		Addr:       listener.Addr().String(),
		Subscribed: make(chan int, channelBuffer),
		listener:   listener,
		lastKnown:  lastKnown,
		conns:      map[net.Conn]bool{},
	}
	go d.acceptAll()
	return d, nil
}

// acceptAll accepts and serves connections until the listener is closed.
func (d *Discovery) acceptAll() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// serve reads a subscription, sends the events after the subscribed position, and then sends heartbeats until the
// connection is closed by another method.
func (d *Discovery) serve(conn net.Conn) {
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		conn.Close()
		return
	}
	d.subscribe(conn, after)
	d.Subscribed <- after // from now on the methods below write to this connection
	for range time.Tick(heartbeatInterval) {
		if !d.sendHeartbeat(conn) {
			return
		}
	}
}

// subscribe sends a connection all events with a number above after, and registers the connection for new events.
func (d *Discovery) subscribe(conn net.Conn, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, line := range d.lines {
		if d.lastKnown+i+1 > after {
			io.WriteString(conn, line)
		}
	}
	d.conns[conn] = true
}

// sendHeartbeat sends the number of the last event unless the server is silent. It returns false if the connection is
// no longer subscribed.
func (d *Discovery) sendHeartbeat(conn net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.conns[conn] {
		return false
	}
	if !d.isSilent {
		fmt.Fprintf(conn, "%d\n", d.lastKnown+len(d.lines))
	}
	return true
}

// Announce adds an event and sends it to all subscribed connections unless the server is silent. The event is JSON
// without its number, such as {"recall":{...}}.
func (d *Discovery) Announce(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("{\"no\":%d,%s\n", d.lastKnown+len(d.lines)+1, strings.TrimPrefix(event, "{"))
	d.lines = append(d.lines, line)
	if d.isSilent {
		return
	}
	for conn := range d.conns {
		io.WriteString(conn, line)
	}
}

// WriteRaw writes text, which need not be a complete line, to all subscribed connections.
func (d *Discovery) WriteRaw(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		io.WriteString(conn, text)
	}
}

// Trickle writes text to all subscribed connections, one byte at a time and ten bytes a second. It returns immediately.
func (d *Discovery) Trickle(text string) {
	go func() {
		for i := range text {
			d.WriteRaw(text[i : i+1])
			time.Sleep(trickleInterval)
		}
	}()
}

// Disconnect writes last to all subscribed connections and closes them.
func (d *Discovery) Disconnect(last string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		io.WriteString(conn, last)
	}
	d.closeConns()
}

// closeConns closes all subscribed connections. The caller must hold mu.
func (d *Discovery) closeConns() {
	for conn := range d.conns {
		conn.Close()
		delete(d.conns, conn)
	}
}

// Close stops listening and closes the connections.
func (d *Discovery) Close() {
	d.listener.Close()
	d.Disconnect("")
}

// SetSilent turns silence on or off. While it is on, connections stay open but receive no events and no heartbeats.
// Turning it off closes all subscribed connections.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = on
	if !on {
		d.closeConns()
	}
}

// Endpoint is a row of an endpoint list. Its JSON keys are defined by the platform.
type Endpoint struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// EndpointList returns an event with a list of endpoints. The list has all endpoints if complete is true, and otherwise
// only those that changed.
func EndpointList(complete bool, endpoints ...Endpoint) string {
	list, _ := json.Marshal(endpoints) // cannot fail, since all fields are strings and numbers
	return fmt.Sprintf("{\"roster\":{\"revision\":1,\"complete\":%v,\"members\":%s}}", complete, list)
}

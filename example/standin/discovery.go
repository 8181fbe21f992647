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
	heartbeatInterval = time.Second            // between repetitions of the last event's number
	trickleInterval   = 100 * time.Millisecond // between bytes of Trickle
)

// Discovery is a server of numbered events to gateways. It owns its connections; Close ends them.
type Discovery struct {
	Addr       string
	Subscribed chan int // last events that gateways had when they connected

	listener  net.Listener
	mu        sync.Mutex
	lastKnown int               // number of the event before lines[0]
	lines     []string          // guarded by mu, as are the fields below
	conns     map[net.Conn]bool // subscribed
	isSilent  bool
}

// NewDiscovery serves at an address until Close. Its first event is the one after the last known.
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

// acceptAll serves connections until the listener closes.
func (d *Discovery) acceptAll() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// serve reads a subscription, sends the events after it, and then heartbeats until the connection is dropped.
func (d *Discovery) serve(conn net.Conn) {
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		conn.Close()
		return
	}
	d.subscribe(conn, after)
	d.Subscribed <- after // from now on the methods below reach this connection
	for range time.Tick(heartbeatInterval) {
		if !d.sendHeartbeat(conn) {
			return
		}
	}
}

// subscribe sends a connection the events that it lacks and adds it to those that are sent new ones.
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

// sendHeartbeat sends the last event's number unless discovery is silent. It returns false if the connection was dropped.
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

// Announce adds an event, given as JSON without its number, such as {"recall":{...}}.
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

// WriteRaw writes bytes that are not a complete line on the open connections.
func (d *Discovery) WriteRaw(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		io.WriteString(conn, text)
	}
}

// Trickle writes bytes on the open connections, one at a time, ten a second. It returns at once.
func (d *Discovery) Trickle(text string) {
	go func() {
		for i := range text {
			d.WriteRaw(text[i : i+1])
			time.Sleep(trickleInterval)
		}
	}()
}

// Disconnect closes all connections, after some last bytes.
func (d *Discovery) Disconnect(last string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for conn := range d.conns {
		io.WriteString(conn, last)
	}
	d.closeConns()
}

// closeConns closes all connections. The caller holds mu.
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

// SetSilent keeps connections open and sends nothing on them while it is on. Turning it off closes them.
func (d *Discovery) SetSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isSilent = on
	if !on {
		d.closeConns()
	}
}

// Endpoint is a row of an endpoint list, with the platform's names.
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

// EndpointList returns an event that lists endpoints: all of them if complete, else those that changed.
func EndpointList(complete bool, endpoints ...Endpoint) string {
	list, _ := json.Marshal(endpoints) // cannot fail: strings and numbers only
	return fmt.Sprintf("{\"roster\":{\"revision\":1,\"complete\":%v,\"members\":%s}}", complete, list)
}

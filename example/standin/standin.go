// Package standin plays the parties that a gateway talks to, on sockets: a cache (or a parent, or the origin)
// and the bulletin. The example and the tests use it; it is no load rig and counts nothing.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request that reached a cache.
type Request struct {
	ID     string
	Fields map[string]string
	Body   []byte
	Conn   *Conn
}

// Conn is one connection that a gateway opened to a cache.
type Conn struct {
	net.Conn
	mu sync.Mutex
}

// Send writes text as it stands.
func (c *Conn) Send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.Conn, text)
}

// Hit answers a request with bytes of a copy that the origin gave out at born.
func (d Request) Hit(born time.Time, note, body string) {
	d.Conn.Send(fmt.Sprintf("%s HIT note=%s,ver=v1,born=%d %d\r\n%s\r\n", d.ID, note, born.UnixMilli(), len(body), body))
}

// Respond answers a request with a word that brings no bytes, such as NONE or SHED.
func (d Request) Respond(word, fields string) {
	d.Conn.Send(fmt.Sprintf("%s %s %s 0\r\n\r\n", d.ID, word, fields))
}

// Reset drops the connection that the request came on.
func (d Request) Reset() {
	if t, ok := d.Conn.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	d.Conn.Close()
}

// Cache is a server of lines.
type Cache struct {
	Addr      string
	Cancelled chan string // ids of requests given up
	listen    net.Listener
	mu        sync.Mutex
	conns     []*Conn
}

// NewCache serves at an address; handle is called for each request, in a goroutine of its own.
func NewCache(addr string, handle func(Request)) (*Cache, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Cache{Addr: l.Addr().String(), Cancelled: make(chan string, 100), listen: l}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			on := &Conn{Conn: conn}
			c.mu.Lock()
			c.conns = append(c.conns, on)
			c.mu.Unlock()
			go c.serve(on, handle)
		}
	}()
	return c, nil
}

// Close ends the cache and resets its connections.
func (c *Cache) Close() {
	c.listen.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		Request{Conn: conn}.Reset()
	}
}

func (c *Cache) serve(on *Conn, handle func(Request)) {
	defer on.Close()
	in := bufio.NewReader(on)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "undo":
			c.Cancelled <- words[1]
		case len(words) == 4 && words[0] == "do":
			n, err := strconv.Atoi(words[3])
			if err != nil || n < 0 || n > 1<<20 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			d := Request{ID: words[1], Fields: map[string]string{}, Body: body[:n], Conn: on}
			for _, f := range strings.Split(words[2], ",") {
				name, v, _ := strings.Cut(f, "=")
				d.Fields[name] = v
			}
			go handle(d)
		default:
			return
		}
	}
}

// Discovery tells gateways of numbered events.
type Discovery struct {
	Addr       string
	Subscribed chan int // what gateways asked for when they connected
	listen     net.Listener
	mu         sync.Mutex
	known      int // number of the event before lines[0]
	lines      []string
	conns      map[net.Conn]bool
	isSilent   bool
}

// NewDiscovery serves at an address; its first event is the one after the last known.
func NewDiscovery(addr string, known int) (*Discovery, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &Discovery{Addr: l.Addr().String(), Subscribed: make(chan int, 100), listen: l, known: known,
		conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *Discovery) serve(conn net.Conn) {
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		conn.Close()
		return
	}
	b.mu.Lock()
	for i, line := range b.lines {
		if b.known+i+1 > after {
			io.WriteString(conn, line)
		}
	}
	b.conns[conn] = true
	b.mu.Unlock()
	b.Subscribed <- after // now what is told, cut or muted reaches this connection
	for range time.Tick(time.Second) {
		b.mu.Lock()
		gone := !b.conns[conn]
		if !gone && !b.isSilent {
			fmt.Fprintf(conn, "%d\n", b.known+len(b.lines))
		}
		b.mu.Unlock()
		if gone {
			return
		}
	}
}

// Announce adds an event, given as JSON without its number, such as {"recall":{...}}.
func (b *Discovery) Announce(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("{\"no\":%d,%s\n", b.known+len(b.lines)+1, strings.TrimPrefix(event, "{"))
	b.lines = append(b.lines, line)
	for conn := range b.conns {
		if !b.isSilent {
			io.WriteString(conn, line)
		}
	}
}

// WriteRaw writes bytes that are no whole line on the open connections.
func (b *Discovery) WriteRaw(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		io.WriteString(conn, text)
	}
}

// Trickle writes bytes on the open connections, one at a time, ten a second.
func (b *Discovery) Trickle(text string) {
	go func() {
		for i := range text {
			b.WriteRaw(text[i : i+1])
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// Disconnect ends all connections, after some last bytes.
func (b *Discovery) Disconnect(last string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		io.WriteString(conn, last)
		conn.Close()
		delete(b.conns, conn)
	}
}

// Close ends the bulletin and its connections.
func (b *Discovery) Close() {
	b.listen.Close()
	b.Disconnect("")
}

// SetSilent leaves connections open and says nothing on them.
func (b *Discovery) SetSilent(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isSilent = on
	if !on {
		for conn := range b.conns {
			conn.Close()
			delete(b.conns, conn)
		}
	}
}

// Endpoint is a line of a roster.
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

// EndpointList is an event with members.
func EndpointList(complete bool, members ...Endpoint) string {
	list, _ := json.Marshal(members) // of strings and numbers: cannot fail
	return fmt.Sprintf("{\"roster\":{\"revision\":1,\"complete\":%v,\"members\":%s}}", complete, list)
}

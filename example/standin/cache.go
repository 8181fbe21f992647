// Package standin provides stand-ins for the servers that a gateway connects to: caches and discovery. Parents and the
// origin are caches, too. The example and tests use the package. It generates no load and collects no statistics. On
// the wire it uses the names defined by the platform. Each server owns its listener and its connections.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxBodySize   = 1 << 20 // bytes in the body of a request
	channelBuffer = 100     // capacity of the channels to tests; a server blocks while its channel is full
)

// Cache is a server for the line protocol of caches. It owns its connections. Close resets them.
type Cache struct {
	Addr      string
	Cancelled chan string // IDs of the requests that the gateway cancelled

	listener net.Listener
	mu       sync.Mutex
	conns    []*Conn // guarded by mu
}

// NewCache listens on addr and serves requests until Close is called. It calls handle for each request, in a separate
// goroutine.
func NewCache(addr string, handle func(Request)) (*Cache, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Cache{Addr: listener.Addr().String(), Cancelled: make(chan string, channelBuffer), listener: listener}
	go c.acceptAll(handle)
	return c, nil
}

// acceptAll accepts and serves connections until the listener is closed.
func (c *Cache) acceptAll(handle func(Request)) {
	for {
		accepted, err := c.listener.Accept()
		if err != nil {
			return
		}
		conn := &Conn{Conn: accepted}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		go c.serve(conn, handle)
	}
}

// StopListening closes the listener and leaves the connections open, as when another process takes over the address.
func (c *Cache) StopListening() { c.listener.Close() }

// Close stops listening and resets all connections.
func (c *Cache) Close() {
	c.listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		Request{Conn: conn}.Reset()
	}
}

// serve reads a connection until it ends or violates the protocol.
func (c *Cache) serve(conn *Conn, handle func(Request)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
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
			request, err := readRequest(in, words[1], words[2], words[3])
			if err != nil {
				return
			}
			request.Conn = conn
			go handle(request)
		default:
			return
		}
	}
}

// readRequest reads the body that follows a request line, and the line end after the body.
func readRequest(in io.Reader, id, fields, bodySize string) (Request, error) {
	size, err := strconv.Atoi(bodySize)
	if err != nil {
		return Request{}, err
	}
	if size < 0 || size > maxBodySize {
		return Request{}, fmt.Errorf("request body of %d bytes: %w", size, strconv.ErrRange)
	}
	body := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(in, body); err != nil {
		return Request{}, err
	}
	request := Request{ID: id, Fields: map[string]string{}, Body: body[:size]}
	for _, field := range strings.Split(fields, ",") {
		name, value, _ := strings.Cut(field, "=")
		request.Fields[name] = value
	}
	return request, nil
}

// Conn is a connection that a gateway opened to a cache.
type Conn struct {
	net.Conn
	mu sync.Mutex // serializes responses
}

// Send writes text unchanged.
func (c *Conn) Send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.Conn, text)
}

// Request is a request that a cache has received.
type Request struct {
	ID     string
	Fields map[string]string
	Body   []byte
	Conn   *Conn
}

// Hit responds with the body of a copy that the origin created at born.
func (r Request) Hit(born time.Time, note, body string) {
	r.Conn.Send(fmt.Sprintf("%s HIT note=%s,ver=v1,born=%d %d\r\n%s\r\n", r.ID, note, born.UnixMilli(), len(body), body))
}

// Respond sends a response without a body. word is the status word, such as NONE or SHED.
func (r Request) Respond(word, fields string) {
	r.Conn.Send(fmt.Sprintf("%s %s %s 0\r\n\r\n", r.ID, word, fields))
}

// Reset resets the connection on which the request arrived.
func (r Request) Reset() {
	if tcp, ok := r.Conn.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	r.Conn.Close()
}

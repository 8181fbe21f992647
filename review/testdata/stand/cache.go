// Package stand holds small stand-ins for the caches, the bulletin, the clients and the platform of a gateway, for the
// cases of this review. It follows PROTOCOL and DEPLOY and uses the standard library alone.
package stand

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

// Body returns the bytes of one part of an object in one version.
func Body(object, part, version string, size int) []byte {
	seed := object + "/" + part + "/" + version + ";"
	return []byte(strings.Repeat(seed, size/len(seed)+1)[:size])
}

// Do is one request as it reached a cache whole.
type Do struct {
	At     time.Time
	Cache  string
	ID     string
	Fields map[string]string
	Body   []byte
	conn   *cacheConn
}

// Answer is what a cache answers. The zero value answers nothing.
type Answer struct {
	After  time.Duration
	Word   string
	Fields string
	Body   []byte
	Raw    []byte // written instead, if set
	Reset  bool   // the connection is reset instead of an answer
}

// Cache is a cache, a parent or the origin.
type Cache struct {
	ID, Addr, Zone, Flavor string
	StartedAt              int64
	Handle                 func(*Do) Answer
	Undone                 func(id string)
	Pause                  func() time.Duration // how long to wait before each read; nil: not at all

	mu       sync.Mutex
	dos      []*Do
	conns    map[*cacheConn]bool
	listener net.Listener
}

type cacheConn struct {
	mu   sync.Mutex
	conn net.Conn
	gone map[string]bool
}

// Listen opens the cache's port.
func (c *Cache) Listen() error {
	addr := c.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	c.Addr = l.Addr().String()
	c.mu.Lock()
	c.listener = l
	c.conns = map[*cacheConn]bool{}
	c.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return nil
}

// Kill closes the port and resets all connections, as the end of a process does.
func (c *Cache) Kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.Close()
	for cc := range c.conns {
		cc.conn.(*net.TCPConn).SetLinger(0)
		cc.conn.Close()
	}
}

// ResetConns resets all connections.
func (c *Cache) ResetConns() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cc := range c.conns {
		cc.conn.(*net.TCPConn).SetLinger(0)
		cc.conn.Close()
	}
}

// Dos returns the requests that reached the cache so far.
func (c *Cache) Dos() []*Do {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Do(nil), c.dos...)
}

func (c *Cache) serve(conn net.Conn) {
	cc := &cacheConn{conn: conn, gone: map[string]bool{}}
	c.mu.Lock()
	c.conns[cc] = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.conns, cc)
		c.mu.Unlock()
		conn.Close()
	}()
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		if c.Pause != nil {
			time.Sleep(c.Pause())
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "undo":
			cc.mu.Lock()
			cc.gone[words[1]] = true
			cc.mu.Unlock()
			if c.Undone != nil {
				c.Undone(words[1])
			}
		case len(words) == 4 && words[0] == "do":
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			do := &Do{At: time.Now(), Cache: c.ID, ID: words[1], Fields: map[string]string{}, Body: body[:length], conn: cc}
			if words[2] != "-" {
				for _, f := range strings.Split(words[2], ",") {
					name, value, _ := strings.Cut(f, "=")
					do.Fields[name] = value
				}
			}
			cc.mu.Lock()
			delete(cc.gone, do.ID)
			cc.mu.Unlock()
			c.mu.Lock()
			c.dos = append(c.dos, do)
			c.mu.Unlock()
			go c.answer(do)
		default:
			return
		}
	}
}

func (c *Cache) answer(do *Do) {
	a := c.Handle(do)
	if a.After > 0 {
		time.Sleep(a.After)
	}
	if a.Reset {
		do.conn.conn.(*net.TCPConn).SetLinger(0)
		do.conn.conn.Close()
		return
	}
	if a.Word == "" && a.Raw == nil {
		return
	}
	do.conn.mu.Lock()
	defer do.conn.mu.Unlock()
	if do.conn.gone[do.ID] {
		return
	}
	if a.Raw != nil {
		do.conn.conn.Write(a.Raw)
		return
	}
	fields := a.Fields
	if fields == "" {
		fields = "-"
	}
	text := fmt.Appendf(nil, "%s %s %s %d\r\n", do.ID, a.Word, fields, len(a.Body))
	do.conn.conn.Write(append(append(text, a.Body...), "\r\n"...))
}

// Hit answers with the bytes of the part, given out by the origin at born.
func Hit(do *Do, version string, born time.Time, size int, note string) Answer {
	return Answer{Word: "HIT", Fields: fmt.Sprintf("note=%s,ver=%s,born=%d", note, version, born.UnixMilli()),
		Body: Body(do.Fields["k"], do.Fields["p"], version, size)}
}

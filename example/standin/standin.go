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

// Do is a request that reached a cache.
type Do struct {
	ID     string
	Fields map[string]string
	Body   []byte
	On     *Conn
}

// Conn is one connection that a gateway opened to a cache.
type Conn struct {
	net.Conn
	mu sync.Mutex
}

// Say writes text as it stands.
func (c *Conn) Say(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	io.WriteString(c.Conn, text)
}

// Hit answers a request with bytes of a copy that the origin gave out at born.
func (d Do) Hit(born time.Time, note, body string) {
	d.On.Say(fmt.Sprintf("%s HIT note=%s,ver=v1,born=%d %d\r\n%s\r\n", d.ID, note, born.UnixMilli(), len(body), body))
}

// End answers a request with a word that brings no bytes, such as NONE or SHED.
func (d Do) End(word, fields string) { d.On.Say(fmt.Sprintf("%s %s %s 0\r\n\r\n", d.ID, word, fields)) }

// Reset drops the connection that the request came on.
func (d Do) Reset() {
	if t, ok := d.On.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	d.On.Close()
}

// Cache is a server of lines.
type Cache struct {
	Addr   string
	Undone chan string // ids of requests given up
	listen net.Listener
	mu     sync.Mutex
	conns  []*Conn
}

// NewCache serves at an address; handle is called for each request, in a goroutine of its own.
func NewCache(addr string, handle func(Do)) (*Cache, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Cache{Addr: l.Addr().String(), Undone: make(chan string, 100), listen: l}
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
		Do{On: conn}.Reset()
	}
}

func (c *Cache) serve(on *Conn, handle func(Do)) {
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
			c.Undone <- words[1]
		case len(words) == 4 && words[0] == "do":
			n, err := strconv.Atoi(words[3])
			if err != nil || n < 0 || n > 1<<20 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			d := Do{ID: words[1], Fields: map[string]string{}, Body: body[:n], On: on}
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

// Bulletin tells gateways of numbered events.
type Bulletin struct {
	Addr   string
	After  chan int // what gateways asked for when they connected
	listen net.Listener
	mu     sync.Mutex
	first  int // number of the event before lines[0]
	lines  []string
	conns  map[net.Conn]bool
	mute   bool
}

// NewBulletin serves at an address; its first event is the one after the last known.
func NewBulletin(addr string, known int) (*Bulletin, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b := &Bulletin{Addr: l.Addr().String(), After: make(chan int, 100), listen: l, first: known,
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

func (b *Bulletin) serve(conn net.Conn) {
	var after int
	if _, err := fmt.Fscanf(conn, "after %d\n", &after); err != nil {
		conn.Close()
		return
	}
	b.mu.Lock()
	for i, line := range b.lines {
		if b.first+i+1 > after {
			io.WriteString(conn, line)
		}
	}
	b.conns[conn] = true
	b.mu.Unlock()
	b.After <- after // now what is told, cut or muted reaches this connection
	for range time.Tick(time.Second) {
		b.mu.Lock()
		gone := !b.conns[conn]
		if !gone && !b.mute {
			fmt.Fprintf(conn, "%d\n", b.first+len(b.lines))
		}
		b.mu.Unlock()
		if gone {
			return
		}
	}
}

// Tell adds an event, given as JSON without its number, such as {"recall":{...}}.
func (b *Bulletin) Tell(event string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("{\"no\":%d,%s\n", b.first+len(b.lines)+1, strings.TrimPrefix(event, "{"))
	b.lines = append(b.lines, line)
	for conn := range b.conns {
		if !b.mute {
			io.WriteString(conn, line)
		}
	}
}

// Half writes bytes that are no whole line on the open connections.
func (b *Bulletin) Half(text string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		io.WriteString(conn, text)
	}
}

// Trickle writes bytes on the open connections, one at a time, ten a second.
func (b *Bulletin) Trickle(text string) {
	go func() {
		for i := range text {
			b.Half(text[i : i+1])
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

// Cut ends all connections, after some last bytes.
func (b *Bulletin) Cut(last string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		io.WriteString(conn, last)
		conn.Close()
		delete(b.conns, conn)
	}
}

// Close ends the bulletin and its connections.
func (b *Bulletin) Close() {
	b.listen.Close()
	b.Cut("")
}

// Mute leaves connections open and says nothing on them.
func (b *Bulletin) Mute(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mute = on
	if !on {
		for conn := range b.conns {
			conn.Close()
			delete(b.conns, conn)
		}
	}
}

// Member is a line of a roster.
type Member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// Roster is an event with members.
func Roster(complete bool, members ...Member) string {
	list, _ := json.Marshal(members) // of strings and numbers: cannot fail
	return fmt.Sprintf("{\"roster\":{\"revision\":1,\"complete\":%v,\"members\":%s}}", complete, list)
}

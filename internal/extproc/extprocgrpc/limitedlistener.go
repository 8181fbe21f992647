package extprocgrpc

import (
	"net"
	"sync"
)

// limitedListener bounds the open connections that a listener has accepted. A host may hold connections only while it
// holds fewer than are free, so that one that connects without limit leaves half of them to others. Further connections
// are closed at once.
type limitedListener struct {
	net.Listener
	capacity int

	mu     sync.Mutex     // guards the fields below
	open   int            // open connections
	byHost map[string]int // open connections by host, for hosts that have any
}

func newLimitedListener(listener net.Listener, capacity int) *limitedListener {
	return &limitedListener{Listener: listener, capacity: capacity, byHost: map[string]int{}}
}

// Accept waits for the next connection within the bound.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host := hostOf(conn.RemoteAddr())
		if l.acquire(host) {
			return &limitedConn{Conn: conn, listener: l, host: host}, nil
		}
		conn.Close()
	}
}

func (l *limitedListener) acquire(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byHost[host] >= l.capacity-l.open {
		return false
	}
	l.open++
	l.byHost[host]++
	return true
}

func (l *limitedListener) release(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.byHost[host]--
	if l.byHost[host] == 0 {
		delete(l.byHost, host)
	}
}

// limitedConn is a connection that counts until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	host     string
	once     sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.release(c.host) })
	return c.Conn.Close()
}

// hostOf returns an address without its port. All peers on a Unix socket have the same host.
func hostOf(addr net.Addr) string {
	if addr.Network() == "unix" {
		return "unix"
	}
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}

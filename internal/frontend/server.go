// Package frontend is the gateway's side toward its clients: an HTTP/1.1 server with its connections, a strict and bounded parser of
// requests, and the responses. It hands each lookup to the dispatcher, carries out the dispatcher's steps with the pool of connections to
// caches, and writes the response. It decides nothing of a lookup itself.
//
// Each connection has a goroutine that reads and, while a lookup is open on it, one that responds. Bounds: Config.MaxConns connections, of
// which idle ones give way to new ones; maxHeadBytes of a request's head; maxPipelinedBytes read ahead of a response; the lookups and the
// bytes of bodies and objects that admission allows.
package frontend

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
	"foldslip/internal/upstream"
)

const (
	acceptRetryDelay  = 10 * time.Millisecond
	acceptLogInterval = time.Second
	// acceptStallWindow: so long after accepting had to wait, new connections are checked for their client's end before a lookup begins.
	acceptStallWindow = time.Second
	// maxEvictionWaits bounds how often a new connection waits finalReadTimeout for an evicted one to end.
	maxEvictionWaits = 8
	// evictionReserveDivisor: one over this of the connections is for those that are being evicted.
	evictionReserveDivisor = 8
	// gateName is the claimant that direct clients are for admission.
	gateName   = "clients"
	gateWeight = 1
)

// Config is what a server works with.
type Config struct {
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Pool        *upstream.Pool
	Admission   *admission.Controller
	Routes      *rollout.Controller // nil: a lookup may go anywhere
	MaxConns    int
}

// Server serves clients. Its methods are safe for concurrent use, but that Serve is called once. A goroutine may take the server's lock and
// then a connection's, never the other way round.
type Server struct {
	env             env.Environment
	settings        *settings.Settings
	dispatcher      *dispatch.Dispatcher
	pool            *upstream.Pool
	admission       *admission.Controller
	gate            *admission.Gate // of direct clients
	routes          *rollout.Controller
	maxConns        int
	evictionReserve int // of maxConns, for those that are being evicted
	kindByName      map[string]int

	group           env.Group    // of the connections' goroutines
	acceptDone      env.Notifier // notified when Serve has returned
	evicted         env.Notifier // notified when a connection that was being evicted has ended, or stays
	acceptStalledAt time.Time    // when accepting last had to wait; of Serve's goroutine

	mu            sync.Mutex
	conns         map[*clientConn]bool
	evicting      int // connections that are read once more before they end
	acceptedCount int64
	isDraining    bool
	isReady       bool
}

// deadlineListener is a listener whose Accept can be told to stop waiting.
type deadlineListener interface{ SetDeadline(time.Time) error }

// NewServer returns a server that is not ready and does not listen yet.
func NewServer(config Config) *Server {
	s := &Server{
		env:             config.Environment,
		settings:        config.Settings,
		dispatcher:      config.Dispatcher,
		pool:            config.Pool,
		admission:       config.Admission,
		gate:            config.Admission.Gate(gateName, gateWeight),
		routes:          config.Routes,
		maxConns:        config.MaxConns,
		evictionReserve: config.MaxConns / evictionReserveDivisor,
		kindByName:      map[string]int{},
		group:           config.Environment.NewGroup(),
		acceptDone:      config.Environment.NewNotifier(),
		evicted:         config.Environment.NewNotifier(),
		conns:           map[*clientConn]bool{},
	}
	for kind, name := range config.Settings.Kinds {
		s.kindByName[name] = kind
	}
	return s
}

// ConnCount returns how many connections there are.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SetReady has pings answered with 200 from now on.
func (s *Server) SetReady() { s.setReady(true) }

// SetNotReady has pings answered with 503 from now on.
func (s *Server) SetNotReady() { s.setReady(false) }

func (s *Server) setReady(isReady bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReady = isReady
}

// Serve accepts clients until the listener closes or the lifetime ends; see StopAccepting.
func (s *Server) Serve(lifetime *env.Lifetime, listener net.Listener) error {
	defer s.acceptDone.Notify()
	stop := s.env.NewNotifier()
	defer lifetime.OnEnd(stop.Notify)()
	var lastLogged time.Time
	countAtLastTimeout := int64(-1)
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accepted(conn)
		case errors.Is(err, os.ErrDeadlineExceeded):
			// No more are wanted. Closing the listener resets the connections that wait to be accepted, with the requests that may be on
			// them: so it closes only once a last look has found none.
			if countAtLastTimeout == s.acceptedCount {
				listener.Close()
				return nil
			}
			countAtLastTimeout = s.acceptedCount
			listener.(deadlineListener).SetDeadline(s.env.Now().Add(finalReadTimeout))
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			if s.env.Now().Sub(lastLogged) > acceptLogInterval {
				lastLogged = s.env.Now()
				s.env.Log().Warn("accept_failed", "error", err.Error())
			}
			if !s.waitToAccept(err, stop) {
				return nil
			}
		}
	}
}

// waitToAccept waits before accepting is tried again, unless a connection could be evicted for its descriptor; false: the server stops.
// The connections that come next may have waited with a request on them, and their clients may have gone.
func (s *Server) waitToAccept(err error, stop env.Notifier) bool {
	isFreed := env.IsDescriptorExhausted(err) && s.EvictIdle()
	if !isFreed && stop.Wait(acceptRetryDelay) {
		return false
	}
	s.acceptStalledAt = s.env.Now()
	return true
}

// accepted makes room for a new connection and starts it. If there is none for it, its client gets a response that says so.
func (s *Server) accepted(netConn net.Conn) {
	c := newClientConn(s, netConn)
	s.mu.Lock()
	s.acceptedCount++
	c.number = s.acceptedCount
	for len(s.conns)-s.evicting >= s.maxConns-s.evictionReserve && s.evictLongestIdle() {
	}
	for n := 0; len(s.conns) >= s.maxConns && s.evicting > 0 && n < maxEvictionWaits; n++ {
		s.mu.Unlock()
		s.evicted.Wait(finalReadTimeout)
		s.acceptStalledAt = s.env.Now()
		s.mu.Lock()
	}
	c.mayBeGone = !s.acceptStalledAt.IsZero() && s.env.Now().Sub(s.acceptStalledAt) < acceptStallWindow
	isFull := len(s.conns) >= s.maxConns
	if !isFull {
		s.conns[c] = true
	}
	if s.isDraining { // it came just as the listener closes, and its request may be there
		c.endReason = reasonStopping
	}
	s.mu.Unlock()
	s.group.Go("client", func() error { c.run(isFull); return nil })
}

// StopAccepting accepts the connections that are waiting and closes the listener; it does not wait for that.
func (s *Server) StopAccepting(listener net.Listener) {
	if l, ok := listener.(deadlineListener); !ok || l.SetDeadline(s.env.Now()) != nil {
		listener.Close()
	}
}

// Drain closes the connections without a lookup, and each other one once it has its response. A request that is there already, read or not,
// is taken and answered first.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	for _, c := range s.connsInOrder() {
		c.mu.Lock()
		c.endWhenIdle(reasonStopping)
		c.mu.Unlock()
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connsInOrder() {
		c.close(reasonStopped)
	}
}

// Wait waits for all connections to end, once the listener is closed.
func (s *Server) Wait() {
	s.acceptDone.Wait(-1)
	s.group.Wait()
}

// connsInOrder returns the connections in the order they came, so that simulated runs repeat exactly. Under the server's lock.
func (s *Server) connsInOrder() []*clientConn {
	return slices.SortedFunc(maps.Keys(s.conns), func(a, b *clientConn) int { return cmp.Compare(a.number, b.number) })
}

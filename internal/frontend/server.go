// Package frontend is the gateway's HTTP/1.1 server for clients. It manages the client connections, parses requests
// strictly and within bounds, and writes the responses. It submits each lookup to the dispatcher and carries out the
// dispatcher's steps with the pool of connections to caches. It makes no decision about a lookup itself.
//
// A Server owns its connections and closes them when it is drained or closed. Each connection has a goroutine that
// reads and, while a lookup is open on it, a second goroutine that responds. A server has at most Config.MaxConns
// connections and evicts idle connections for new ones. A request's head has at most maxHeadBytes. At most
// maxPipelinedBytes are read ahead of a response. Admission bounds the open lookups and the bytes of bodies and
// objects.
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
	"foldslip/internal/fairshare"
	"foldslip/internal/retry"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
	"foldslip/internal/upstream"
)

const (
	acceptRetryDelay  = 10 * time.Millisecond
	acceptLogInterval = time.Second
	// acceptStallWindow is the time after a delay in accepting in which new connections are checked for a disconnect
	// before their first lookup starts.
	acceptStallWindow = time.Second
	// maxEvictionWaits bounds how often a new connection waits finalReadTimeout for an evicted connection to close.
	maxEvictionWaits = 8
	// evictionReserveDivisor sets the share of the connections that is reserved for those being evicted: MaxConns
	// divided by this number.
	evictionReserveDivisor = 8
	// gateName is the name under which admission counts the lookups of direct clients.
	gateName   = "clients"
	gateWeight = 1
)

// Config holds the dependencies and the connection limit of a Server.
type Config struct {
	Environment env.Environment
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Pool        *upstream.Pool
	Admission   *admission.Controller
	Routes      *rollout.Controller // nil: a lookup may use any cache
	MaxConns    int
	InputBytes  int64 // memory of the connections' read buffers beyond their first part
	MaxEndedIDs int   // ids of ended lookups with side effects that are remembered at once
}

// Server serves clients. Its methods are safe for concurrent use, except that Serve may be called only once. A
// goroutine that needs both the server's lock and a connection's lock acquires the server's lock first.
type Server struct {
	env             env.Environment
	settings        *settings.Settings
	dispatcher      *dispatch.Dispatcher
	pool            *upstream.Pool
	admission       *admission.Controller
	gate            *admission.Gate // admits the lookups of direct clients
	routes          *rollout.Controller
	maxConns        int
	evictionReserve int // part of maxConns for connections that are being evicted
	kindByName      map[string]int
	refusals        *fairshare.Limiter // of responses to requests that led to no attempt
	inputBudget     inputBudget
	ended           *retry.EndedLookups // ids of ended lookups with side effects

	group           env.Group    // the goroutines of the connections
	acceptDone      env.Notifier // notified when Serve has returned
	evicted         env.Notifier // notified when the eviction of a connection has ended or a request has stopped it
	acceptStalledAt time.Time    // when accepting last had to wait; owned by Serve's goroutine

	mu            sync.Mutex
	conns         map[*clientConn]bool
	evicting      int // number of connections that are being evicted
	acceptedCount int64
	isDraining    bool
	isReady       bool
}

// deadlineListener is a listener whose Accept returns once a deadline has passed.
type deadlineListener interface{ SetDeadline(time.Time) error }

// NewServer returns a server that is not ready and does not accept connections yet.
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
		refusals:        fairshare.NewLimiter(config.Environment),
		inputBudget:     inputBudget{capacity: config.InputBytes},
		ended:           retry.NewEndedLookups(longestDeadline(config.Settings.Router.Kinds), config.MaxEndedIDs),
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

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// SetReady makes the server answer pings with 200.
func (s *Server) SetReady() { s.setReady(true) }

// SetNotReady makes the server answer pings with 503.
func (s *Server) SetNotReady() { s.setReady(false) }

func (s *Server) setReady(isReady bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isReady = isReady
}

// Serve accepts connections until the listener is closed or the lifetime ends. See StopAccepting.
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
			s.addConn(conn)
		case errors.Is(err, os.ErrDeadlineExceeded):
			// StopAccepting has set the deadline. Closing the listener would reset the connections in the backlog, and
			// requests on them would be lost. The listener is closed only once Accept has found no connection within a
			// further finalReadTimeout.
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

// waitToAccept waits before Accept is called again, unless an idle connection could be evicted to free a descriptor. It
// returns false if the server stops. The next connections may have waited in the backlog with a request, and their
// clients may have disconnected; waitToAccept sets acceptStalledAt so that this is checked.
func (s *Server) waitToAccept(err error, stop env.Notifier) bool {
	isFreed := env.IsDescriptorExhausted(err) && s.EvictIdle()
	if !isFreed && stop.Wait(acceptRetryDelay) {
		return false
	}
	s.acceptStalledAt = s.env.Now()
	return true
}

// addConn evicts idle connections to make room for a new connection, and starts it. If there is no room, the client
// gets a 503 response.
func (s *Server) addConn(netConn net.Conn) {
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
	if s.isDraining { // accepted during a drain; its request may have arrived already
		c.endReason = reasonDraining
	}
	s.mu.Unlock()
	s.group.Go("client", func() error { c.run(isFull); return nil })
}

// StopAccepting makes Serve accept the connections in the backlog and then close the listener. It does not wait for
// Serve to return.
func (s *Server) StopAccepting(listener net.Listener) {
	if l, ok := listener.(deadlineListener); !ok || l.SetDeadline(s.env.Now()) != nil {
		listener.Close()
	}
}

// Drain closes the idle connections, and each other connection after its response. A request that has already arrived
// is answered first, whether it has been read or not.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	for _, c := range s.connsInOrder() {
		c.mu.Lock()
		c.endWhenIdle(reasonDraining)
		c.mu.Unlock()
	}
}

// Close closes all connections immediately.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.connsInOrder() {
		c.close(reasonStopped)
	}
}

// Wait waits until Serve has returned and all connections have closed.
func (s *Server) Wait() {
	s.acceptDone.Wait(-1)
	s.group.Wait()
}

// connsInOrder returns the connections in the order of accepting, so that simulated runs are reproducible. The caller
// holds s.mu.
func (s *Server) connsInOrder() []*clientConn {
	return slices.SortedFunc(maps.Keys(s.conns), func(a, b *clientConn) int { return cmp.Compare(a.number, b.number) })
}

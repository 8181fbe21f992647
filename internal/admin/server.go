// Package admin is the admin API for operators on this machine. It listens on a Unix socket, reads requests
// of one line of JSON each, and answers each request with one line of JSON. Requests are steps of route
// changes (package route/rollout) and queries about the routes and the fleet; the package itself decides
// nothing. Only the gateway's own user and root may send requests. The socket's mode enforces this, and the
// server also asks the kernel for the caller's user id.
//
// Requests are handled one at a time, except for steps of route changes, which may wait for the disk.
//
// A server is bounded by maxConnections open connections, maxLineBytes for a request and requestTimeout for reading and
// answering it. It runs until the gateway's lifetime ends or the gateway drains.
package admin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/fairshare"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/gossip"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/route/rollout"
)

const (
	maxConnections  = 8
	maxLineBytes    = 2 << 20
	readBufferBytes = 64 << 10
	requestTimeout  = 5 * time.Second
	acceptRetry     = 100 * time.Millisecond
	socketMode      = 0o600
)

// Services are the services of a gateway that requests address. A service that is nil is off.
type Services struct {
	Routes    *rollout.Controller
	Fleet     *membership.Fleet
	Limits    *gossip.Gossiper
	Broadcast *driver.Driver
}

// Server owns the socket and its connections. Each connection is served by a goroutine.
type Server struct {
	env      env.Environment
	services Services
	listener net.Listener
	slots    chan struct{}      // holds an element for each open connection
	turns    *fairshare.Limiter // of requests
}

// Open listens on the Unix socket at path. The caller must call Run to serve it.
func Open(e env.Environment, path string, services Services) (*Server, error) {
	listener, err := env.ListenUnix(path, socketMode)
	if err != nil {
		return nil, err
	}
	return &Server{e, services, listener, make(chan struct{}, maxConnections), fairshare.NewLimiter(e)}, nil
}

// Run accepts and serves connections until the lifetime ends or Drain is called.
func (s *Server) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(func() { s.listener.Close() })()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			if lifetime.Ended() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.env.Log().Warn("admin_accept_failed", "error", err.Error())
			time.Sleep(acceptRetry)
			continue
		}
		select {
		case s.slots <- struct{}{}:
			go func() {
				s.serve(conn.(*net.UnixConn))
				<-s.slots
			}()
		default:
			conn.Close() // the operators' tools do not reach the limit: they use one connection at a time
		}
	}
}

// Reload does nothing, since no setting of the server can change in a reload.
func (s *Server) Reload(*config.Config) error { return nil }

// Drain stops accepting connections. Open connections are still served.
func (s *Server) Drain() { s.listener.Close() }

// Wait returns at once, since each request ends within requestTimeout.
func (s *Server) Wait() {}

// authenticate asks the kernel for the caller's user id. It returns the id and
// reports whether that user may send requests.
func authenticate(conn *net.UnixConn) (user uint32, isAllowed bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var credentials *syscall.Ucred
	var credentialsErr error
	err = raw.Control(func(descriptor uintptr) {
		credentials, credentialsErr = syscall.GetsockoptUcred(int(descriptor), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err != nil || credentialsErr != nil {
		return 0, false
	}
	return credentials.Uid, credentials.Uid == 0 || credentials.Uid == uint32(os.Getuid())
}

// serve answers the requests of a connection until the caller closes it, a line cannot be
// read, or a request exceeds requestTimeout.
func (s *Server) serve(conn *net.UnixConn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	write := func(response Response) error { return json.NewEncoder(conn).Encode(response) }
	if user, isAllowed := authenticate(conn); !isAllowed {
		s.env.Log().Warn("admin_caller_refused", "user", user)
		conn.SetDeadline(time.Now().Add(requestTimeout))
		write(Response{Error: "permission denied: only the gateway's own user and root may send requests", Remedy: "run the command as the gateway's own user"})
		return
	}
	for {
		conn.SetDeadline(time.Now().Add(requestTimeout))
		var request Request
		if err := readRequest(reader, &request); err != nil {
			if !errors.Is(err, errConnectionEnded) {
				write(Response{Error: err.Error(), Remedy: "send each request as one line of JSON of at most 2 MB"})
			}
			return
		}
		if err := write(s.handleInTurn(request)); err != nil {
			return
		}
	}
}

// Errors of readRequest.
var (
	errConnectionEnded = errors.New("the connection was closed or timed out")
	errRequestTooLong  = errors.New("the request is longer than " + strconv.Itoa(maxLineBytes) + " bytes")
)

// readRequest reads one line and decodes the request in it.
func readRequest(reader *bufio.Reader, request *Request) error {
	line, err := readLine(reader)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, request); err != nil {
		return fmt.Errorf("cannot decode the request: %w", err)
	}
	return nil
}

func readLine(reader *bufio.Reader) (line []byte, err error) {
	for {
		part, hasMore, err := reader.ReadLine()
		if err != nil {
			return nil, errConnectionEnded
		}
		line = append(line, part...)
		if len(line) > maxLineBytes {
			return nil, errRequestTooLong
		}
		if !hasMore {
			return line, nil
		}
	}
}

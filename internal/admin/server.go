// Package admin is the admin API for operators on this machine: a Unix socket that takes requests, a line of JSON each, and answers each with
// one. Requests are steps of changes of the routes (package route/rollout) and questions about the fleet; the package decides nothing. Only the
// gateway's own user and root may call: the socket's mode says so, and the kernel is asked who calls.
//
// It is bounded by maxConnections at once, maxLineBytes a line and callTimeout for each line.
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

// Services are the parts of a gateway that requests are about. What is nil is off.
type Services struct {
	Routes    *rollout.Controller
	Fleet     *membership.Fleet
	Limits    *gossip.Gossiper
	Broadcast *driver.Driver
}

// Server owns the socket and its connections, each with a goroutine.
type Server struct {
	env      env.Environment
	services Services
	listener net.Listener
	slots    chan struct{} // an element for each connection
}

// Open listens on a path. Run must follow.
func Open(e env.Environment, path string, services Services) (*Server, error) {
	listener, err := env.ListenUnix(path, socketMode)
	if err != nil {
		return nil, err
	}
	return &Server{e, services, listener, make(chan struct{}, maxConnections)}, nil
}

// Run serves until the lifetime ends or Drain is called.
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
			conn.Close() // the operators' own tools call one at a time
		}
	}
}

// PrepareReload prepares nothing: no setting of the server can change.
func (s *Server) PrepareReload(*config.Config) (func(), error) { return func() {}, nil }

// Drain takes no more connections.
func (s *Server) Drain() { s.listener.Close() }

// Wait returns at once: a call is over within its time.
func (s *Server) Wait() {}

// authenticate asks the kernel who calls, and reports whether that user may.
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

// serve answers the requests of a connection until the caller closes it, a line cannot be read, or a call takes too long.
func (s *Server) serve(conn *net.UnixConn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	write := func(response Response) error { return json.NewEncoder(conn).Encode(response) }
	if user, isAllowed := authenticate(conn); !isAllowed {
		s.env.Log().Warn("admin_caller_refused", "user", user)
		conn.SetDeadline(time.Now().Add(requestTimeout))
		write(Response{Error: "this user may not", Remedy: "call as the gateway's own user"})
		return
	}
	for {
		conn.SetDeadline(time.Now().Add(requestTimeout))
		var request Request
		if err := readRequest(reader, &request); err != nil {
			if !errors.Is(err, errConnectionEnded) {
				write(Response{Error: err.Error(), Remedy: "one call of JSON a line, at most 2 MB"})
			}
			return
		}
		if err := write(s.Handle(request)); err != nil {
			return
		}
	}
}

// Errors of reading a request.
var (
	errConnectionEnded = errors.New("the caller has gone")
	errRequestTooLong  = errors.New("a call of more than " + strconv.Itoa(maxLineBytes) + " bytes")
)

// readRequest reads a line and decodes it.
func readRequest(reader *bufio.Reader, request *Request) error {
	line, err := readLine(reader)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(line, request); err != nil {
		return fmt.Errorf("the call cannot be read: %w", err)
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

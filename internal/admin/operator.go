// Package admin is the way in for operators on this machine: a Unix socket that takes steps of the routes (package route/steer) and
// questions about the fleet (package fleet/membership), a line of JSON each, and answers with one. Only the gateway's own user and root may call: the socket says so, and the kernel's word on who
// calls is checked again.
//
// Bounds: mostCalls connections at once, mostLine a line, callIn for each line. It decides nothing.
package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/gossip"
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/route/pools"
	"foldslip/internal/route/rollout"
)

const (
	maxConnections = 8
	maxLineBytes   = 2 << 20
	callTimeout    = 5 * time.Second
	socketMode     = 0o600
)

// Request is what an operator asks for.
type Request struct {
	Command  string              `json:"do"`             // propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast
	Name     string              `json:"name,omitempty"` // of the gateway to explain, with fleet
	Version  uint64              `json:"no,omitempty"`
	Parent   uint64              `json:"parent,omitempty"` // 0: the one in force
	Author   string              `json:"author,omitempty"`
	Reason   string              `json:"reason,omitempty"`
	Share    float64             `json:"share,omitempty"`
	WithinMS int64               `json:"within_ms,omitempty"`
	Config   *config.RouteConfig `json:"config,omitempty"`
	Load     []pools.LoadSample  `json:"load,omitempty"`
}

// Response is what became of it.
type Response struct {
	Step      *change.Step         `json:"step,omitempty"`
	History   []change.VersionInfo `json:"history,omitempty"`
	Active    *change.Active       `json:"force,omitempty"`
	Text      []byte               `json:"text,omitempty"`
	Impact    *pools.Impact        `json:"move,omitempty"`
	Problems  []pools.Problem      `json:"faults,omitempty"`
	Fleet     *membership.Report   `json:"fleet,omitempty"`
	Limits    []limits.Report      `json:"limits,omitempty"`
	Broadcast *driver.Report       `json:"broadcast,omitempty"`
	Error     string               `json:"error,omitempty"`
	Remedy    string               `json:"remedy,omitempty"`
}

// Server is the socket.
type Server struct {
	env      env.Environment
	services Services
	listener net.Listener
	slots    chan struct{} // has room for those at once
}

// Services are the parts of a gateway that operators call for; what is nil is off.
type Services struct {
	Routes    *rollout.Controller
	Fleet     *membership.Fleet
	Limits    *gossip.Gossiper
	Broadcast *driver.Driver
}

// Open listens on a path, for some parts.
func Open(g env.Environment, path string, of Services) (*Server, error) {
	l, err := env.ListenUnix(path, socketMode)
	if err != nil {
		return nil, err
	}
	return &Server{g, of, l, make(chan struct{}, maxConnections)}, nil
}

// Run serves until life ends.
func (o *Server) Run(life *env.Lifetime) error {
	defer life.OnEnd(func() { o.listener.Close() })()
	for {
		conn, err := o.listener.Accept()
		if err != nil {
			if life.Ended() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			o.env.Log().Warn("operator_accept_failed", "text", err.Error())
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case o.slots <- struct{}{}:
			go func() {
				o.serve(conn.(*net.UnixConn))
				<-o.slots
			}()
		default:
			conn.Close() // the operators' own tools come one at a time
		}
	}
}

// PrepareReload has nothing that changes at SIGHUP.
func (o *Server) PrepareReload(*config.Config) (func(), error) { return func() {}, nil }

// Drain takes no more calls.
func (o *Server) Drain() { o.listener.Close() }

// Wait waits for nothing: a call is over within its time.
func (o *Server) Wait() {}

// authenticate asks the kernel who calls.
func authenticate(conn *net.UnixConn) (user uint32, ok bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var cred *syscall.Ucred
	var bad error
	if err := raw.Control(func(fd uintptr) {
		cred, bad = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil || bad != nil {
		return 0, false
	}
	return cred.Uid, cred.Uid == 0 || cred.Uid == uint32(os.Getuid())
}

func (o *Server) serve(conn *net.UnixConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	write := func(a Response) error { return json.NewEncoder(conn).Encode(a) }
	if user, ok := authenticate(conn); !ok {
		o.env.Log().Warn("operator_refused", "user", user)
		conn.SetDeadline(time.Now().Add(callTimeout))
		write(Response{Error: "this user may not", Remedy: "call as the gateway's own user"})
		return
	}
	for {
		conn.SetDeadline(time.Now().Add(callTimeout))
		var c Request
		if err := readRequest(in, &c); err != nil {
			if !errors.Is(err, errCallerGone) {
				write(Response{Error: err.Error(), Remedy: "one call of JSON a line, at most 2 MB"})
			}
			return
		}
		if err := write(o.Handle(c)); err != nil {
			return
		}
	}
}

var errCallerGone = errors.New("the caller has gone")

// readRequest reads a line.
func readRequest(in *bufio.Reader, c *Request) error {
	var line []byte
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return errCallerGone
		}
		if line = append(line, part...); len(line) > maxLineBytes {
			return fmt.Errorf("a call of more than %d bytes", maxLineBytes)
		}
		if !more {
			break
		}
	}
	if err := json.Unmarshal(line, c); err != nil {
		return fmt.Errorf("the call cannot be read: %w", err)
	}
	return nil
}

// Handle carries a call out.
func (o *Server) Handle(c Request) Response {
	if c.Command == "fleet" {
		if o.services.Fleet == nil {
			return Response{Error: "this gateway knows no fleet", Remedy: "set fleet in its settings, and call at fleet.socket"}
		}
		r, err := o.services.Fleet.Report(true, c.Name)
		if err != nil {
			return Response{Error: err.Error(), Remedy: "see foldslip fleet members"}
		}
		return Response{Fleet: &r}
	}
	if c.Command == "limits" {
		if o.services.Limits == nil {
			return Response{Error: "this gateway shares no limits with a fleet", Remedy: "set fleet and routing in its settings, and call at fleet.socket"}
		}
		return Response{Limits: o.services.Limits.LimitReports()}
	}
	if c.Command == "broadcast" {
		if o.services.Broadcast == nil {
			return Response{Error: "this gateway spreads no purges by broadcast", Remedy: "set fleet.broadcast in its settings, and call at fleet.socket"}
		}
		r := o.services.Broadcast.Report(c.Version)
		return Response{Broadcast: &r}
	}
	if o.services.Routes == nil {
		return Response{Error: "this gateway has no routes", Remedy: "set routing in its settings, and call at routing.socket"}
	}
	within := time.Duration(c.WithinMS) * time.Millisecond
	history, force := o.services.Routes.History()
	if c.Parent == 0 {
		c.Parent = force.Base
	}
	var step change.Step
	var err error
	switch {
	case c.Command == "history":
		return Response{History: history, Active: &force}
	case c.Command == "text":
		if text := o.services.Routes.Text(c.Version); text != nil {
			return Response{Text: text}
		}
		return Response{Error: fmt.Sprintf("version %d is not kept", c.Version), Remedy: "see history"}
	case (c.Command == "propose" || c.Command == "plan") && c.Config == nil:
		return Response{Error: "no configuration came with it", Remedy: "send one as config"}
	case c.Command == "plan":
		move, faults := o.services.Routes.Plan(*c.Config, c.Load)
		return Response{Impact: &move, Problems: faults}
	case c.Command == "propose":
		step, err = o.services.Routes.Propose(c.Parent, *c.Config, c.Author, c.Reason)
	case c.Command == "back":
		step, err = o.services.Routes.ProposeEarlier(c.Version, c.Author, c.Reason)
	case c.Command == "check":
		step, err = o.services.Routes.Check(c.Version)
	case c.Command == "stage":
		step, err = o.services.Routes.Stage(c.Version, c.Share, within)
	case c.Command == "apply":
		step, err = o.services.Routes.Apply(c.Version, within)
	case c.Command == "confirm":
		step, err = o.services.Routes.Confirm(c.Version)
	case c.Command == "undo":
		step, err = o.services.Routes.RollBack(c.Version, c.Reason)
	default:
		return Response{Error: fmt.Sprintf("%q is no step", c.Command), Remedy: "propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast"}
	}
	if err != nil {
		a := Response{Error: err.Error()}
		var f change.Error
		if errors.As(err, &f) {
			a.Error, a.Remedy = f.Text, f.Remedy
		}
		return a
	}
	step.Text = nil
	return Response{Step: &step}
}

// Send makes one call at a gateway's socket.
func Send(ctx context.Context, path string, c Request) (a Response, err error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * callTimeout))
	if err := json.NewEncoder(conn).Encode(c); err != nil {
		return a, err
	}
	return a, json.NewDecoder(conn).Decode(&a)
}

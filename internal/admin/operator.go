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
	mostCalls = 8
	mostLine  = 2 << 20
	callIn    = 5 * time.Second
	mode      = 0o600
)

// Call is what an operator asks for.
type Call struct {
	Do       string        `json:"do"`             // propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast
	Name     string        `json:"name,omitempty"` // of the gateway to explain, with fleet
	No       uint64        `json:"no,omitempty"`
	Parent   uint64        `json:"parent,omitempty"` // 0: the one in force
	Author   string        `json:"author,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	Share    float64       `json:"share,omitempty"`
	WithinMS int64         `json:"within_ms,omitempty"`
	Config   *pools.Config `json:"config,omitempty"`
	Load     []pools.Load  `json:"load,omitempty"`
}

// Answer is what became of it.
type Answer struct {
	Step      *change.Step       `json:"step,omitempty"`
	History   []change.Entry     `json:"history,omitempty"`
	Force     *change.Force      `json:"force,omitempty"`
	Text      []byte             `json:"text,omitempty"`
	Move      *pools.Move        `json:"move,omitempty"`
	Faults    []pools.Fault      `json:"faults,omitempty"`
	Fleet     *membership.Report `json:"fleet,omitempty"`
	Limits    []limits.Report    `json:"limits,omitempty"`
	Broadcast *driver.Report     `json:"broadcast,omitempty"`
	Error     string             `json:"error,omitempty"`
	Remedy    string             `json:"remedy,omitempty"`
}

// Operator is the socket.
type Operator struct {
	g        env.Ground
	of       Of
	listener net.Listener
	calls    chan struct{} // has room for those at once
}

// Of are the parts of a gateway that operators call for; what is nil is off.
type Of struct {
	Routes    *rollout.Steer
	Fleet     *membership.Fleet
	Limits    *gossip.Gossiper
	Broadcast *driver.Driver
}

// Open listens on a path, for some parts.
func Open(g env.Ground, path string, of Of) (*Operator, error) {
	l, err := env.ListenUnix(path, mode)
	if err != nil {
		return nil, err
	}
	return &Operator{g, of, l, make(chan struct{}, mostCalls)}, nil
}

// Run serves until life ends.
func (o *Operator) Run(life *env.Life) error {
	defer life.OnEnd(func() { o.listener.Close() })()
	for {
		conn, err := o.listener.Accept()
		if err != nil {
			if life.Over() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			o.g.Log().Warn("operator_accept_failed", "text", err.Error())
			time.Sleep(100 * time.Millisecond)
			continue
		}
		select {
		case o.calls <- struct{}{}:
			go func() {
				o.serve(conn.(*net.UnixConn))
				<-o.calls
			}()
		default:
			conn.Close() // the operators' own tools come one at a time
		}
	}
}

// Prepare has nothing that changes at SIGHUP.
func (o *Operator) Prepare(*config.Settings) (func(), error) { return func() {}, nil }

// Drain takes no more calls.
func (o *Operator) Drain() { o.listener.Close() }

// Wait waits for nothing: a call is over within its time.
func (o *Operator) Wait() {}

// allowed asks the kernel who calls.
func allowed(conn *net.UnixConn) (user uint32, ok bool) {
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

func (o *Operator) serve(conn *net.UnixConn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	write := func(a Answer) error { return json.NewEncoder(conn).Encode(a) }
	if user, ok := allowed(conn); !ok {
		o.g.Log().Warn("operator_refused", "user", user)
		conn.SetDeadline(time.Now().Add(callIn))
		write(Answer{Error: "this user may not", Remedy: "call as the gateway's own user"})
		return
	}
	for {
		conn.SetDeadline(time.Now().Add(callIn))
		var c Call
		if err := read(in, &c); err != nil {
			if !errors.Is(err, errOver) {
				write(Answer{Error: err.Error(), Remedy: "one call of JSON a line, at most 2 MB"})
			}
			return
		}
		if err := write(o.Do(c)); err != nil {
			return
		}
	}
}

var errOver = errors.New("the caller has gone")

// read reads a line.
func read(in *bufio.Reader, c *Call) error {
	var line []byte
	for {
		part, more, err := in.ReadLine()
		if err != nil {
			return errOver
		}
		if line = append(line, part...); len(line) > mostLine {
			return fmt.Errorf("a call of more than %d bytes", mostLine)
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

// Do carries a call out.
func (o *Operator) Do(c Call) Answer {
	if c.Do == "fleet" {
		if o.of.Fleet == nil {
			return Answer{Error: "this gateway knows no fleet", Remedy: "set fleet in its settings, and call at fleet.socket"}
		}
		r, err := o.of.Fleet.Report(true, c.Name)
		if err != nil {
			return Answer{Error: err.Error(), Remedy: "see foldslip fleet members"}
		}
		return Answer{Fleet: &r}
	}
	if c.Do == "limits" {
		if o.of.Limits == nil {
			return Answer{Error: "this gateway shares no limits with a fleet", Remedy: "set fleet and routing in its settings, and call at fleet.socket"}
		}
		return Answer{Limits: o.of.Limits.LimitReports()}
	}
	if c.Do == "broadcast" {
		if o.of.Broadcast == nil {
			return Answer{Error: "this gateway spreads no purges by broadcast", Remedy: "set fleet.broadcast in its settings, and call at fleet.socket"}
		}
		r := o.of.Broadcast.Report(c.No)
		return Answer{Broadcast: &r}
	}
	if o.of.Routes == nil {
		return Answer{Error: "this gateway has no routes", Remedy: "set routing in its settings, and call at routing.socket"}
	}
	within := time.Duration(c.WithinMS) * time.Millisecond
	history, force := o.of.Routes.History()
	if c.Parent == 0 {
		c.Parent = force.Base
	}
	var step change.Step
	var err error
	switch {
	case c.Do == "history":
		return Answer{History: history, Force: &force}
	case c.Do == "text":
		if text := o.of.Routes.Text(c.No); text != nil {
			return Answer{Text: text}
		}
		return Answer{Error: fmt.Sprintf("version %d is not kept", c.No), Remedy: "see history"}
	case (c.Do == "propose" || c.Do == "plan") && c.Config == nil:
		return Answer{Error: "no configuration came with it", Remedy: "send one as config"}
	case c.Do == "plan":
		move, faults := o.of.Routes.Plan(*c.Config, c.Load)
		return Answer{Move: &move, Faults: faults}
	case c.Do == "propose":
		step, err = o.of.Routes.Propose(c.Parent, *c.Config, c.Author, c.Reason)
	case c.Do == "back":
		step, err = o.of.Routes.Back(c.No, c.Author, c.Reason)
	case c.Do == "check":
		step, err = o.of.Routes.Check(c.No)
	case c.Do == "stage":
		step, err = o.of.Routes.Stage(c.No, c.Share, within)
	case c.Do == "apply":
		step, err = o.of.Routes.Apply(c.No, within)
	case c.Do == "confirm":
		step, err = o.of.Routes.Confirm(c.No)
	case c.Do == "undo":
		step, err = o.of.Routes.Undo(c.No, c.Reason)
	default:
		return Answer{Error: fmt.Sprintf("%q is no step", c.Do), Remedy: "propose, plan, check, stage, apply, confirm, undo, back, history, text; fleet, limits, broadcast"}
	}
	if err != nil {
		a := Answer{Error: err.Error()}
		var f change.Fault
		if errors.As(err, &f) {
			a.Error, a.Remedy = f.Text, f.Remedy
		}
		return a
	}
	step.Text = nil
	return Answer{Step: &step}
}

// Ask makes one call at a gateway's socket.
func Ask(ctx context.Context, path string, c Call) (a Answer, err error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", path)
	if err != nil {
		return a, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * callIn))
	if err := json.NewEncoder(conn).Encode(c); err != nil {
		return a, err
	}
	return a, json.NewDecoder(conn).Decode(&a)
}

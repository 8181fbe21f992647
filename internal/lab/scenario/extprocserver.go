package scenario

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/gateway"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// This file runs the gateway's external processor on the virtual clock. Streams and
// decisions are those of package extproc. Only the transport is simulated: plain text
// instead of gRPC, because the gRPC library has timers and goroutines of its own.

const (
	extprocPort      = "18200"
	endNoticeTimeout = 100 * time.Millisecond // for writing to the caller why its stream ends
	maxTextMessage   = 64 << 10               // bytes of a message on the plain text transport
)

// errTextMessage is returned for a message of the plain text transport whose phase is not a number.
var errTextMessage = errors.New("invalid message: the phase is not a number")

// extprocRoutes is the operator's configuration of the external processor: how a lookup is read from a request.
var extprocRoutes = []config.LookupRule{{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part",
	Group: "header:x-group", KB: "header:x-ram-kb", ID: "header:x-job-id", AllowMS: "header:x-allow-ms", Tag: "header:x-tag"}}

// extprocLimits are the limits of the external processor in all scenarios.
var extprocLimits = extproc.Limits{MaxStreams: 200, SilenceTimeout: 8 * time.Second, MessagesPerSecond: 400, BytesPerSecond: 200_000,
	Lookups: retry.Limits{MaxLookups: 256, MaxPerCaller: 200, ReturnTimeout: 300 * time.Millisecond, Retention: 5 * time.Second, MaxRecords: 1 << 16}}

// extprocServer is a gateway's external processor on the simulated transport. It owns the listener and the open
// connections from newExtprocServer until the end of Run.
type extprocServer struct {
	*extproc.Server
	environment env.Environment
	listener    net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]int // open connections, each with its number in the order of acceptance
	accepted    int              // number of connections accepted so far
	group       env.Group
	fault       extprocFault
	scenario    *Scenario
}

// newExtprocServer listens at an address and returns the external processor of a gateway. The plan's injected fault
// may change its limits and messages.
func newExtprocServer(in gateway.Dependencies, addr string, s *Scenario) (*extprocServer, error) {
	limits, fault := extprocLimits, extprocFaults[s.Plan.InjectedFault]
	if fault.limits != nil {
		fault.limits(&in, &limits)
	}
	table, err := route.Compile(extprocRoutes, in.Settings.Kinds)
	if err != nil {
		return nil, err
	}
	l, err := in.Environment.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &extprocServer{Server: extproc.New(extproc.Dependencies{Environment: in.Environment, Settings: in.Settings, Dispatcher: in.Dispatcher,
		Caches: in.Registry, Purges: in.Purges, Admission: in.Admission}, table, limits), environment: in.Environment, listener: l,
		conns: map[net.Conn]int{}, group: in.Environment.NewGroup(), fault: fault, scenario: s}, nil
}

// openStreams returns the number of open streams.
func (p *extprocServer) openStreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Run serves connections until the lifetime ends, then closes them in the order in which they were accepted.
func (p *extprocServer) Run(life *env.Lifetime) error {
	defer life.OnEnd(p.closeAll)()
	p.group.Go("accept", p.acceptAll)
	p.Server.Run(life)
	return p.group.Wait()
}

// closeAll closes the listener and all open connections in the order in which they were accepted.
func (p *extprocServer) closeAll() {
	p.listener.Close()
	p.mu.Lock()
	conns := slices.SortedFunc(maps.Keys(p.conns), func(a, b net.Conn) int { return p.conns[a] - p.conns[b] })
	p.mu.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

// acceptAll accepts and serves connections until the listener is closed.
func (p *extprocServer) acceptAll() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil
		}
		p.mu.Lock()
		p.accepted++
		p.conns[conn] = p.accepted
		p.mu.Unlock()
		p.group.Go("serve", func() error {
			p.serve(conn)
			return nil
		})
	}
}

// serve serves one connection, which carries one stream. It tells the caller if the server ends the stream.
func (p *extprocServer) serve(conn net.Conn) {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	err := p.Serve(&textStream{conn: conn, in: bufio.NewReader(conn), server: p}, host)
	var reason extproc.EndReason
	if errors.As(err, &reason) {
		conn.SetWriteDeadline(p.environment.Now().Add(endNoticeTimeout))
		fmt.Fprintf(conn, "E%d\n\n", reason)
	}
	conn.Close()
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
}

func (p *extprocServer) Reload(*config.Config) error { return nil }

// Drain closes the listener once no caller is about to request a lookup again. It does not wait.
func (p *extprocServer) Drain() {
	p.group.Go("drain", func() error {
		p.StopRetries()
		return p.listener.Close()
	})
}

// Wait waits until no lookups are open.
func (p *extprocServer) Wait() {
	for p.OpenLookups() > 0 {
		p.environment.NewNotifier().Wait(10 * time.Millisecond)
	}
}

// textStream is a stream on the plain text transport. A message is a line
// with the phase, one line for each header, and an empty line.
type textStream struct {
	conn   net.Conn
	in     *bufio.Reader
	server *extprocServer
}

// Receive reads a message of at most maxTextMessage bytes.
func (w *textStream) Receive() (extproc.Message, error) {
	first, err := w.in.ReadString('\n')
	if err != nil {
		return extproc.Message{}, err
	}
	phase, err := strconv.Atoi(strings.TrimSuffix(strings.TrimPrefix(first, "P"), "\n"))
	if err != nil {
		return extproc.Message{}, errTextMessage
	}
	m, fields := extproc.Message{Phase: extproc.Phase(phase), Size: len(first)}, []string(nil)
	for {
		line, err := w.in.ReadString('\n')
		if m.Size += len(line); err != nil || m.Size > maxTextMessage {
			return m, io.ErrUnexpectedEOF
		}
		if line == "\n" {
			break
		}
		fields = append(fields, line[:len(line)-1])
	}
	if w.server.fault.recv != nil {
		w.server.fault.recv(w.server.scenario, &m, fields)
	}
	m.Get = func(name string) (v string, n int) {
		for _, f := range fields {
			if k, x, _ := strings.Cut(f, ": "); k == name {
				if n++; n == 1 {
					v = x
				}
			}
		}
		return v, n
	}
	m.Method, _ = m.Get(":method")
	m.Path, _ = m.Get(":path")
	return m, nil
}

// Send writes a reply: "F" and the status of a final one, otherwise "C" and the phase that continues.
func (w *textStream) Send(r extproc.Reply) error {
	var b strings.Builder
	if r.Status != 0 {
		fmt.Fprintf(&b, "F%d\n", r.Status)
		if r.RetryAfter > 0 {
			fmt.Fprintf(&b, "x-wait-ms: %d\n", (r.RetryAfter+time.Millisecond-1)/time.Millisecond)
		}
	} else {
		fmt.Fprintf(&b, "C%d\n", r.Phase)
	}
	for _, f := range append(r.Headers, r.Decision...) {
		if f.Value != "" {
			fmt.Fprintf(&b, "%s: %s\n", f.Name, f.Value)
		}
	}
	text := b.String() + "\n"
	if w.server.fault.send != nil {
		text = w.server.fault.send(w.server.scenario, w.server.environment, r, text)
	}
	_, err := io.WriteString(w.conn, text)
	return err
}

// extprocFault is a fault that is injected into the external processor, at its transport or its limits.
type extprocFault struct {
	help   string
	limits func(in *gateway.Dependencies, limits *extproc.Limits)
	recv   func(s *Scenario, m *extproc.Message, fields []string)
	send   func(s *Scenario, e env.Environment, r extproc.Reply, text string) string
}

// extprocFaults are the faults that can be injected into the external processor, by name.
var extprocFaults = map[string]extprocFault{
	"door_reply_lost": {help: "a reply is not written", send: func(s *Scenario, _ env.Environment, _ extproc.Reply, text string) string {
		if s.randN(60) == 0 {
			return ""
		}
		return text
	}},
	"door_reply_twice": {help: "a reply is written twice", send: func(s *Scenario, _ env.Environment, _ extproc.Reply, text string) string {
		if s.randN(60) == 0 {
			return text + text
		}
		return text
	}},
	"door_end_kept_back": {help: "a rejection is delayed by 1.4 s, to near the deadline", send: func(s *Scenario, e env.Environment, r extproc.Reply, text string) string {
		if r.Status == 503 && r.RetryAfter > 0 {
			e.NewNotifier().Wait(1400 * time.Millisecond)
		}
		return text
	}},
	"door_purges_unheard": {help: "creation times of answers are not compared with purges", limits: func(in *gateway.Dependencies, _ *extproc.Limits) { in.Purges = nil }},
	"door_forgetful":      {help: "an ended lookup is forgotten at once", limits: func(_ *gateway.Dependencies, limits *extproc.Limits) { limits.Lookups.Retention = 1 }},
	"door_answer_never_ran": {help: "an attempt with an answer is taken for one that was shed", recv: func(s *Scenario, m *extproc.Message, fields []string) {
		for i, f := range fields {
			if f == "x-foldslip-end: hit" && s.randN(40) == 0 {
				fields[i] = "x-foldslip-end: shed"
			}
		}
	}},
	"door_wait_untold": {help: "a rejection has no retry time", send: func(_ *Scenario, _ env.Environment, r extproc.Reply, text string) string {
		return strings.ReplaceAll(text, "x-wait-ms", "x-wait")
	}},
	"door_other_cache": {help: "a decision has the address of another cache", send: func(s *Scenario, _ env.Environment, _ extproc.Reply, text string) string {
		if s.randN(40) > 0 {
			return text
		}
		return strings.Replace(text, "x-foldslip-addr: 10.1.0.1:", "x-foldslip-addr: 10.1.0.2:", 1)
	}},
}

// splitMessages calls each for the complete messages at the start of b, and returns the rest of b.
func splitMessages(b []byte, each func(first string, fields map[string]string)) []byte {
	for {
		i := strings.Index(string(b), "\n\n")
		if i < 0 {
			return b
		}
		lines := strings.Split(string(b[:i]), "\n")
		fields := map[string]string{}
		for _, l := range lines[1:] {
			k, v, _ := strings.Cut(l, ": ")
			fields[k] = v
		}
		b = b[i+2:]
		each(lines[0], fields)
	}
}

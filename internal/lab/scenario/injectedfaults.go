package scenario

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// injectedFault is a fault of the gateway itself, injected at its interfaces (its environment, or between executor and
// module) to prove that the checker sees it. None of this is in the gateway's own code.
type injectedFault struct {
	help   string
	inject func(d *Scenario, l *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment)
}

// InjectedFaults returns the names of the faults that can be injected.
func InjectedFaults() []string {
	return append(sortedKeys(injectedFaults), sortedKeys(extprocFaults)...)
}

// faultyEnvironment is a process's ground with some of it replaced.
type faultyEnvironment struct {
	env.Environment
	wrapConn          func(c env.Conn, dialled bool) env.Conn
	wrapTimer         func(t env.Timer) env.Timer
	wrapGroup         func(g env.Group) env.Group
	wrapSignals       func(hear func(env.Signal)) func(env.Signal)
	changeDescriptors func(n uint64) uint64
	changeFile        func(text []byte) []byte
}

func (g *faultyEnvironment) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	c, err := g.Environment.Dial(life, addr, within)
	if err == nil && g.wrapConn != nil {
		return g.wrapConn(c.(env.Conn), true), nil
	}
	return c, err
}

type faultyListener struct {
	net.Listener
	environment *faultyEnvironment
}

func (t faultyListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err == nil && t.environment.wrapConn != nil {
		return t.environment.wrapConn(c.(env.Conn), false), nil
	}
	return c, err
}

func (t faultyListener) SetDeadline(at time.Time) error {
	return t.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(at)
}

func (g *faultyEnvironment) Listen(addr string) (net.Listener, error) {
	l, err := g.Environment.Listen(addr)
	return faultyListener{l, g}, err
}

func (g *faultyEnvironment) AfterFunc(d time.Duration, f func()) env.Timer {
	t := g.Environment.AfterFunc(d, f)
	if g.wrapTimer != nil {
		return g.wrapTimer(t)
	}
	return t
}

func (g *faultyEnvironment) NewGroup() env.Group {
	if g.wrapGroup != nil {
		return g.wrapGroup(g.Environment.NewGroup())
	}
	return g.Environment.NewGroup()
}

func (g *faultyEnvironment) OnSignal(hear func(env.Signal)) func() {
	if g.wrapSignals != nil {
		hear = g.wrapSignals(hear)
	}
	return g.Environment.OnSignal(hear)
}

func (g *faultyEnvironment) ReadFile(path string) ([]byte, error) {
	text, err := g.Environment.ReadFile(path)
	if g.changeFile != nil {
		text = g.changeFile(text)
	}
	return text, err
}

func (g *faultyEnvironment) DescriptorLimit() uint64 {
	if g.changeDescriptors != nil {
		return g.changeDescriptors(g.Environment.DescriptorLimit())
	}
	return g.Environment.DescriptorLimit()
}

// faultyConn is a connection whose bytes or end are tampered with.
type faultyConn struct {
	env.Conn
	write     func(c env.Conn, b []byte) (int, error)
	read      func(b []byte) []byte // of the same length
	beforeEnd func()                // called before the peer's close is reported
	close     func(c env.Conn) error
}

func (w *faultyConn) Write(b []byte) (int, error) {
	if w.write != nil {
		return w.write(w.Conn, b)
	}
	return w.Conn.Write(b)
}

func (w *faultyConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 && w.read != nil {
		copy(b[:n], w.read(b[:n]))
	}
	if err != nil && w.beforeEnd != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		w.beforeEnd()
	}
	return n, err
}

func (w *faultyConn) Close() error {
	if w.close != nil {
		return w.close(w.Conn)
	}
	return w.Conn.Close()
}

// moduleInterceptor wraps the routing module: it passes every call on, except for those that a fault replaces.
type moduleInterceptor struct {
	dispatch.Router
	changeRows  func(rows []policy.Endpoint) []policy.Endpoint
	passPurge   func() bool // whether a purge is passed on
	passEnded   func() bool
	changeScope func(s *policy.Scope) *policy.Scope
}

func (t *moduleInterceptor) StartLookup(now policy.Micros, arrival policy.Arrival) *policy.Lookup {
	if t.changeScope != nil && arrival.Scope != nil {
		arrival.Scope = t.changeScope(arrival.Scope)
	}
	return t.Router.StartLookup(now, arrival)
}

func (t *moduleInterceptor) UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint) {
	if t.changeRows != nil {
		rows = t.changeRows(slices.Clone(rows))
	}
	t.Router.UpdateEndpoints(now, what, rows)
}

func (t *moduleInterceptor) ApplyPurge(now policy.Micros, name string, group int, ago policy.Micros) {
	if t.passPurge == nil || t.passPurge() {
		t.Router.ApplyPurge(now, name, group, ago)
	}
}

func (t *moduleInterceptor) AttemptEnded(now policy.Micros, lk *policy.Lookup, report policy.AttemptReport) {
	if t.passEnded == nil || t.passEnded() {
		t.Router.AttemptEnded(now, lk, report)
	}
}

// executorInterceptor wraps the module's executor: it passes every call on, except for those that a fault replaces.
type executorInterceptor struct {
	policy.Executor
	fetch  func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest)
	reject func(h policy.Executor, lk *policy.Lookup, in policy.Micros)
}

func (s *executorInterceptor) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	if s.fetch != nil {
		s.fetch(s.Executor, lk, request)
		return
	}
	s.Executor.Fetch(lk, request)
}

func (s *executorInterceptor) Reject(lk *policy.Lookup, in policy.Micros) {
	if s.reject != nil {
		s.reject(s.Executor, lk, in)
		return
	}
	s.Executor.Reject(lk, in)
}

// onAnswers plants at the connections of clients, for one answer in so many.
func onAnswers(one int, do func(d *Scenario, l *gatewayProcess, g env.Environment, c env.Conn, b []byte) (int, error)) func(*Scenario, *gatewayProcess) (
	dispatch.Interceptor, func(env.Environment) env.Environment) {
	return onConnections(func(d *Scenario, l *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
			if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && d.randN(one) == 0 {
				return do(d, l, g, c, b)
			}
			return c.Write(b)
		}}
	})
}

func onConnections(do func(d *Scenario, l *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn) func(*Scenario, *gatewayProcess) (
	dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Scenario, l *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			g := &faultyEnvironment{Environment: under}
			g.wrapConn = func(c env.Conn, dialled bool) env.Conn { return do(d, l, under, c, dialled) }
			return g
		}
	}
}

// delayClientClose plants that the end of a client's connection is heard late.
func delayClientClose(by time.Duration) func(*Scenario, *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return onConnections(func(_ *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, beforeEnd: func() { g.NewNotifier().Wait(by) }}
	})
}

func changeEnvironment(change func(d *Scenario, g *faultyEnvironment)) func(*Scenario, *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			g := &faultyEnvironment{Environment: under}
			change(d, g)
			return g
		}
	}
}

func interceptModule(change func(d *Scenario, l *gatewayProcess, t *moduleInterceptor)) func(*Scenario, *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Scenario, l *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			t := &moduleInterceptor{Router: start(h)}
			change(d, l, t)
			return t
		}, nil
	}
}

func interceptExecutor(change func(d *Scenario, s *executorInterceptor)) func(*Scenario, *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			s := &executorInterceptor{Executor: h}
			change(d, s)
			return start(s)
		}, nil
	}
}

type stuckTimer struct{ env.Timer }

func (stuckTimer) Stop() bool { return true }

type leakyGroup struct {
	env.Group
	scenario    *Scenario
	environment env.Environment
}

func (l leakyGroup) Go(name string, f func() error) {
	if name == "lookup" && l.scenario.randN(50) == 0 {
		l.environment.AfterFunc(0, func() { l.environment.NewNotifier().Wait(time.Hour) })
	}
	l.Group.Go(name, f)
}

var injectedFaults map[string]injectedFault

func init() {
	injectedFaults = map[string]injectedFault{
		"answer_lost": {"an answer is not written", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, _ env.Conn, b []byte) (int, error) {
			return len(b), nil
		})},
		"answer_twice": {"an answer is written twice", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
			c.Write(b)
			return c.Write(b)
		})},
		"answer_late": {"an answer is held up past its time", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, b []byte) (int, error) {
			g.NewNotifier().Wait(5100 * time.Millisecond)
			return c.Write(b)
		})},
		"answer_spoilt": {"a byte of an answer is changed", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
			b = slices.Clone(b)
			b[len(b)-1] ^= 1
			return c.Write(b)
		})},
		"answer_mixed": {"an answer brings another's bytes", func() func(*Scenario, *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
			return func(d *Scenario, l *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
				var last []byte
				return onAnswers(1, func(d *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
					was := last
					if last = slices.Clone(b); was != nil && bytes.HasPrefix(b, []byte("HTTP/1.1 200")) && d.randN(80) == 0 {
						c.Write(was)
						return len(b), nil
					}
					return c.Write(b)
				})(d, l)
			}
		}()},
		"nack_kept_back": {"a nack is written near the deadline", onConnections(func(d *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
			if dialled {
				return c
			}
			return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")) && bytes.Contains(b, []byte("X-Wait-Ms")) {
					g.NewNotifier().Wait(1200 * time.Millisecond)
				}
				return c.Write(b)
			}}
		})},
		"leave_unheard": {"that a client left is heard 1.5 s late", delayClientClose(1500 * time.Millisecond)},
		"leave_late":    {"that a client left is heard 0.2 s late", delayClientClose(200 * time.Millisecond)},
		"drain_unheard": {"a drain does not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, t *moduleInterceptor) {
			t.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].State == policy.Draining {
						rows[i].State = policy.Ready
					}
				}
				return rows
			}
		})},
		"gone_unheard": {"word that a cache has gone does not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, t *moduleInterceptor) {
			t.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				return slices.DeleteFunc(rows, func(r policy.Endpoint) bool { return r.State != policy.Ready })
			}
		})},
		"purge_unheard": {"recalls are read as of another object", onConnections(func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &faultyConn{Conn: c, read: func(b []byte) []byte {
				for _, old := range []string{`"item":"s`, `"item":"p`} {
					b = bytes.ReplaceAll(b, []byte(old), []byte(old[:len(old)-1]+"z"))
				}
				return b
			}}
		})},
		"purge_late": {"the bulletin is read three seconds late", onConnections(func(_ *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
			if !dialled || c.RemoteAddr().String()[:5] != "10.7." {
				return c
			}
			return &faultyConn{Conn: c, read: func(b []byte) []byte {
				if bytes.Contains(b, []byte("recall")) {
					g.NewNotifier().Wait(3 * time.Second)
				}
				return b
			}}
		})},
		"doubled_send": {"a side-effecting send goes out twice", interceptExecutor(func(_ *Scenario, s *executorInterceptor) {
			s.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.MaxAge == 0 && request.Rank == 0 && request.Mode == 0 {
					h.Fetch(lk, request)
				}
			}
		})},
		"two_at_once": {"an idempotent send goes out twice at once", interceptExecutor(func(d *Scenario, s *executorInterceptor) {
			s.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.Rank > 0 && d.randN(40) == 0 {
					h.Fetch(lk, request)
				}
			}
		})},
		"undo_unsaid": {"a send that is given up is not undone", onConnections(func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, dialled bool) env.Conn {
			return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("undo ")) {
					return len(b), nil
				}
				return c.Write(b)
			}}
		})},
		"cold_cache": {"the module is not told that a cache is cold", interceptModule(func(d *Scenario, l *gatewayProcess, t *moduleInterceptor) {
			t.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].Kind == 0 {
						rows[i].StartedAt = 0
					}
				}
				return rows
			}
		})},
		"cold_parent": {"the settings say that parents are warm at once", changeEnvironment(func(_ *Scenario, g *faultyEnvironment) {
			g.changeFile = func(text []byte) []byte {
				return bytes.Replace(text, []byte(`"parent_ramp":21000000`), []byte(`"parent_ramp":1`), 1)
			}
		})},
		"conn_leaked": {"a connection is not closed", onConnections(func(d *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &faultyConn{Conn: c, close: func(c env.Conn) error {
				if d.randN(20) == 0 {
					return nil
				}
				return c.Close()
			}}
		})},
		"timer_leaked": {"timers are not stopped", changeEnvironment(func(d *Scenario, g *faultyEnvironment) {
			g.wrapTimer = func(t env.Timer) env.Timer { return stuckTimer{t} }
		})},
		"goroutine_leaked": {"a goroutine stays", changeEnvironment(func(d *Scenario, g *faultyEnvironment) {
			g.wrapGroup = func(of env.Group) env.Group { return leakyGroup{of, d, g.Environment} }
		})},
		"ending_untold": {"the module is not told how a send ended", interceptModule(func(d *Scenario, _ *gatewayProcess, t *moduleInterceptor) {
			t.passEnded = func() bool { return d.randN(100) > 0 }
		})},
		"stop_unheard": {"SIGTERM is not heard", changeEnvironment(func(_ *Scenario, g *faultyEnvironment) {
			g.wrapSignals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) {
					if s != env.Terminate {
						hear(s)
					}
				}
			}
		})},
		"reread_ends": {"SIGHUP ends the gateway", changeEnvironment(func(_ *Scenario, g *faultyEnvironment) {
			g.wrapSignals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) { hear(env.Terminate) }
			}
		})},
		"scope_lost": {"a lookup's scope does not reach the module", interceptModule(func(d *Scenario, _ *gatewayProcess, t *moduleInterceptor) {
			t.changeScope = func(s *policy.Scope) *policy.Scope {
				if d.randN(30) == 0 {
					return nil
				}
				return s
			}
		})},
		"scope_mixed": {"a lookup has the scope of the one before it", interceptModule(func(_ *Scenario, _ *gatewayProcess, t *moduleInterceptor) {
			var last *policy.Scope
			t.changeScope = func(s *policy.Scope) *policy.Scope {
				was := last
				if last = s; was == nil {
					was = s
				}
				return was
			}
		})},
		"wait_untold": {"a nack does not say when to come back", interceptExecutor(func(_ *Scenario, s *executorInterceptor) {
			s.reject = func(h policy.Executor, lk *policy.Lookup, _ policy.Micros) { h.Reject(lk, 0) }
		})},
	}
}

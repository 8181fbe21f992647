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

// plant is a fault of the gateway itself, planted at its seams (its ground, or between facade and module) to prove that
// the referee sees it. Nothing of this is in the gateway's own code.
type plant struct {
	help string
	make func(d *Day, l *life) (dispatch.Interceptor, func(env.Environment) env.Environment)
}

// Plants are the names of the faults that can be planted.
func Plants() []string { return append(sorted(plants), sorted(doorPlants)...) }

// ground is a process's ground with some of it replaced.
type ground struct {
	env.Environment
	conn    func(c env.Conn, dialled bool) env.Conn
	timer   func(t env.Timer) env.Timer
	group   func(g env.Group) env.Group
	signals func(hear func(env.Signal)) func(env.Signal)
	fds     func(n uint64) uint64
	file    func(text []byte) []byte
}

func (g *ground) Dial(life *env.Lifetime, addr string, within time.Duration) (net.Conn, error) {
	c, err := g.Environment.Dial(life, addr, within)
	if err == nil && g.conn != nil {
		return g.conn(c.(env.Conn), true), nil
	}
	return c, err
}

type tampered struct {
	net.Listener
	g *ground
}

func (t tampered) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err == nil && t.g.conn != nil {
		return t.g.conn(c.(env.Conn), false), nil
	}
	return c, err
}

func (t tampered) SetDeadline(at time.Time) error {
	return t.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(at)
}

func (g *ground) Listen(addr string) (net.Listener, error) {
	l, err := g.Environment.Listen(addr)
	return tampered{l, g}, err
}

func (g *ground) AfterFunc(d time.Duration, f func()) env.Timer {
	t := g.Environment.AfterFunc(d, f)
	if g.timer != nil {
		return g.timer(t)
	}
	return t
}

func (g *ground) NewGroup() env.Group {
	if g.group != nil {
		return g.group(g.Environment.NewGroup())
	}
	return g.Environment.NewGroup()
}

func (g *ground) OnSignal(hear func(env.Signal)) func() {
	if g.signals != nil {
		hear = g.signals(hear)
	}
	return g.Environment.OnSignal(hear)
}

func (g *ground) ReadFile(path string) ([]byte, error) {
	text, err := g.Environment.ReadFile(path)
	if g.file != nil {
		text = g.file(text)
	}
	return text, err
}

func (g *ground) DescriptorLimit() uint64 {
	if g.fds != nil {
		return g.fds(g.Environment.DescriptorLimit())
	}
	return g.Environment.DescriptorLimit()
}

// wired is a connection whose bytes or end are tampered with.
type wired struct {
	env.Conn
	write func(c env.Conn, b []byte) (int, error)
	read  func(b []byte) []byte // of the same length
	ended func()                // before the far side's end is told
	close func(c env.Conn) error
}

func (w *wired) Write(b []byte) (int, error) {
	if w.write != nil {
		return w.write(w.Conn, b)
	}
	return w.Conn.Write(b)
}

func (w *wired) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if n > 0 && w.read != nil {
		copy(b[:n], w.read(b[:n]))
	}
	if err != nil && w.ended != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		w.ended()
	}
	return n, err
}

func (w *wired) Close() error {
	if w.close != nil {
		return w.close(w.Conn)
	}
	return w.Conn.Close()
}

// told stands before the module: it passes on what it is told, but for what a plant replaces.
type told struct {
	dispatch.Router
	rows   func(rows []policy.Endpoint) []policy.Endpoint
	purged func() bool // whether a purge is passed on
	ended  func() bool
	within func(s *policy.Scope) *policy.Scope
}

func (t *told) StartLookup(now policy.Micros, arrival policy.Arrival) *policy.Lookup {
	if t.within != nil && arrival.Scope != nil {
		arrival.Scope = t.within(arrival.Scope)
	}
	return t.Router.StartLookup(now, arrival)
}

func (t *told) UpdateEndpoints(now policy.Micros, what policy.UpdateKind, rows []policy.Endpoint) {
	if t.rows != nil {
		rows = t.rows(slices.Clone(rows))
	}
	t.Router.UpdateEndpoints(now, what, rows)
}

func (t *told) ApplyPurge(now policy.Micros, name string, group int, ago policy.Micros) {
	if t.purged == nil || t.purged() {
		t.Router.ApplyPurge(now, name, group, ago)
	}
}

func (t *told) AttemptEnded(now policy.Micros, lk *policy.Lookup, report policy.AttemptReport) {
	if t.ended == nil || t.ended() {
		t.Router.AttemptEnded(now, lk, report)
	}
}

// says stands before the facade: it does what the module asks for, but for what a plant replaces.
type says struct {
	policy.Executor
	fetch func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest)
	nack  func(h policy.Executor, lk *policy.Lookup, in policy.Micros)
}

func (s *says) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	if s.fetch != nil {
		s.fetch(s.Executor, lk, request)
		return
	}
	s.Executor.Fetch(lk, request)
}

func (s *says) Reject(lk *policy.Lookup, in policy.Micros) {
	if s.nack != nil {
		s.nack(s.Executor, lk, in)
		return
	}
	s.Executor.Reject(lk, in)
}

// onAnswers plants at the connections of clients, for one answer in so many.
func onAnswers(one int, do func(d *Day, l *life, g env.Environment, c env.Conn, b []byte) (int, error)) func(*Day, *life) (
	dispatch.Interceptor, func(env.Environment) env.Environment) {
	return onConns(func(d *Day, l *life, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &wired{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
			if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && d.chance(one) == 0 {
				return do(d, l, g, c, b)
			}
			return c.Write(b)
		}}
	})
}

func onConns(do func(d *Day, l *life, g env.Environment, c env.Conn, dialled bool) env.Conn) func(*Day, *life) (
	dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Day, l *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			g := &ground{Environment: under}
			g.conn = func(c env.Conn, dialled bool) env.Conn { return do(d, l, under, c, dialled) }
			return g
		}
	}
}

// leftLate plants that the end of a client's connection is heard late.
func leftLate(by time.Duration) func(*Day, *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return onConns(func(_ *Day, _ *life, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &wired{Conn: c, ended: func() { g.NewNotifier().Wait(by) }}
	})
}

func onGround(change func(d *Day, g *ground)) func(*Day, *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Day, _ *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			g := &ground{Environment: under}
			change(d, g)
			return g
		}
	}
}

func onTold(change func(d *Day, l *life, t *told)) func(*Day, *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Day, l *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			t := &told{Router: start(h)}
			change(d, l, t)
			return t
		}, nil
	}
}

func onSays(change func(d *Day, s *says)) func(*Day, *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	return func(d *Day, _ *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			s := &says{Executor: h}
			change(d, s)
			return start(s)
		}, nil
	}
}

type stuckTimer struct{ env.Timer }

func (stuckTimer) Stop() bool { return true }

type leakyGroup struct {
	env.Group
	d *Day
	g env.Environment
}

func (l leakyGroup) Go(name string, f func() error) {
	if name == "lookup" && l.d.chance(50) == 0 {
		l.g.AfterFunc(0, func() { l.g.NewNotifier().Wait(time.Hour) })
	}
	l.Group.Go(name, f)
}

var plants map[string]plant

func init() {
	plants = map[string]plant{
		"answer_lost": {"an answer is not written", onAnswers(60, func(_ *Day, _ *life, _ env.Environment, _ env.Conn, b []byte) (int, error) {
			return len(b), nil
		})},
		"answer_twice": {"an answer is written twice", onAnswers(60, func(_ *Day, _ *life, _ env.Environment, c env.Conn, b []byte) (int, error) {
			c.Write(b)
			return c.Write(b)
		})},
		"answer_late": {"an answer is held up past its time", onAnswers(60, func(_ *Day, _ *life, g env.Environment, c env.Conn, b []byte) (int, error) {
			g.NewNotifier().Wait(5100 * time.Millisecond)
			return c.Write(b)
		})},
		"answer_spoilt": {"a byte of an answer is changed", onAnswers(60, func(_ *Day, _ *life, _ env.Environment, c env.Conn, b []byte) (int, error) {
			b = slices.Clone(b)
			b[len(b)-1] ^= 1
			return c.Write(b)
		})},
		"answer_mixed": {"an answer brings another's bytes", func() func(*Day, *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
			return func(d *Day, l *life) (dispatch.Interceptor, func(env.Environment) env.Environment) {
				var last []byte
				return onAnswers(1, func(d *Day, _ *life, _ env.Environment, c env.Conn, b []byte) (int, error) {
					was := last
					if last = slices.Clone(b); was != nil && bytes.HasPrefix(b, []byte("HTTP/1.1 200")) && d.chance(80) == 0 {
						c.Write(was)
						return len(b), nil
					}
					return c.Write(b)
				})(d, l)
			}
		}()},
		"nack_kept_back": {"a nack is written near the deadline", onConns(func(d *Day, _ *life, g env.Environment, c env.Conn, dialled bool) env.Conn {
			if dialled {
				return c
			}
			return &wired{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")) && bytes.Contains(b, []byte("X-Wait-Ms")) {
					g.NewNotifier().Wait(1200 * time.Millisecond)
				}
				return c.Write(b)
			}}
		})},
		"leave_unheard": {"that a client left is heard 1.5 s late", leftLate(1500 * time.Millisecond)},
		"leave_late":    {"that a client left is heard 0.2 s late", leftLate(200 * time.Millisecond)},
		"drain_unheard": {"a drain does not reach the module", onTold(func(_ *Day, _ *life, t *told) {
			t.rows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].State == policy.Draining {
						rows[i].State = policy.Ready
					}
				}
				return rows
			}
		})},
		"gone_unheard": {"word that a cache has gone does not reach the module", onTold(func(_ *Day, _ *life, t *told) {
			t.rows = func(rows []policy.Endpoint) []policy.Endpoint {
				return slices.DeleteFunc(rows, func(r policy.Endpoint) bool { return r.State != policy.Ready })
			}
		})},
		"purge_unheard": {"recalls are read as of another object", onConns(func(_ *Day, _ *life, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &wired{Conn: c, read: func(b []byte) []byte {
				for _, old := range []string{`"item":"s`, `"item":"p`} {
					b = bytes.ReplaceAll(b, []byte(old), []byte(old[:len(old)-1]+"z"))
				}
				return b
			}}
		})},
		"purge_late": {"the bulletin is read three seconds late", onConns(func(_ *Day, _ *life, g env.Environment, c env.Conn, dialled bool) env.Conn {
			if !dialled || c.RemoteAddr().String()[:5] != "10.7." {
				return c
			}
			return &wired{Conn: c, read: func(b []byte) []byte {
				if bytes.Contains(b, []byte("recall")) {
					g.NewNotifier().Wait(3 * time.Second)
				}
				return b
			}}
		})},
		"doubled_send": {"a side-effecting send goes out twice", onSays(func(_ *Day, s *says) {
			s.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.MaxAge == 0 && request.Rank == 0 && request.Mode == 0 {
					h.Fetch(lk, request)
				}
			}
		})},
		"two_at_once": {"an idempotent send goes out twice at once", onSays(func(d *Day, s *says) {
			s.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.Rank > 0 && d.chance(40) == 0 {
					h.Fetch(lk, request)
				}
			}
		})},
		"undo_unsaid": {"a send that is given up is not undone", onConns(func(_ *Day, _ *life, _ env.Environment, c env.Conn, dialled bool) env.Conn {
			return &wired{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("undo ")) {
					return len(b), nil
				}
				return c.Write(b)
			}}
		})},
		"cold_cache": {"the module is not told that a cache is cold", onTold(func(d *Day, l *life, t *told) {
			t.rows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].Kind == 0 {
						rows[i].StartedAt = 0
					}
				}
				return rows
			}
		})},
		"cold_parent": {"the settings say that parents are warm at once", onGround(func(_ *Day, g *ground) {
			g.file = func(text []byte) []byte {
				return bytes.Replace(text, []byte(`"parent_ramp":21000000`), []byte(`"parent_ramp":1`), 1)
			}
		})},
		"conn_leaked": {"a connection is not closed", onConns(func(d *Day, _ *life, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &wired{Conn: c, close: func(c env.Conn) error {
				if d.chance(20) == 0 {
					return nil
				}
				return c.Close()
			}}
		})},
		"timer_leaked": {"timers are not stopped", onGround(func(d *Day, g *ground) {
			g.timer = func(t env.Timer) env.Timer { return stuckTimer{t} }
		})},
		"goroutine_leaked": {"a goroutine stays", onGround(func(d *Day, g *ground) {
			g.group = func(of env.Group) env.Group { return leakyGroup{of, d, g.Environment} }
		})},
		"ending_untold": {"the module is not told how a send ended", onTold(func(d *Day, _ *life, t *told) {
			t.ended = func() bool { return d.chance(100) > 0 }
		})},
		"stop_unheard": {"SIGTERM is not heard", onGround(func(_ *Day, g *ground) {
			g.signals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) {
					if s != env.Terminate {
						hear(s)
					}
				}
			}
		})},
		"reread_ends": {"SIGHUP ends the gateway", onGround(func(_ *Day, g *ground) {
			g.signals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) { hear(env.Terminate) }
			}
		})},
		"scope_lost": {"a lookup's scope does not reach the module", onTold(func(d *Day, _ *life, t *told) {
			t.within = func(s *policy.Scope) *policy.Scope {
				if d.chance(30) == 0 {
					return nil
				}
				return s
			}
		})},
		"scope_mixed": {"a lookup has the scope of the one before it", onTold(func(_ *Day, _ *life, t *told) {
			var last *policy.Scope
			t.within = func(s *policy.Scope) *policy.Scope {
				was := last
				if last = s; was == nil {
					was = s
				}
				return was
			}
		})},
		"wait_untold": {"a nack does not say when to come back", onSays(func(_ *Day, s *says) {
			s.nack = func(h policy.Executor, lk *policy.Lookup, _ policy.Micros) { h.Reject(lk, 0) }
		})},
	}
}

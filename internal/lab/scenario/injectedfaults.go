package scenario

import (
	"bytes"
	"maps"
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
	inject injection
}

// injection makes the interceptors of an injected fault for one process; either may be nil.
type injection func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment)

// InjectedFaults returns the names of the faults that can be injected.
func InjectedFaults() []string {
	return append(sortedKeys(injectedFaults), sortedKeys(extprocFaults)...)
}

// onAnswers injects into one in so many of the answers on connections of clients.
func onAnswers(one int, do func(s *Scenario, p *gatewayProcess, g env.Environment, c env.Conn, b []byte) (int, error)) injection {
	return onConnections(func(s *Scenario, p *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
			if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && s.randN(one) == 0 {
				return do(s, p, g, c, b)
			}
			return c.Write(b)
		}}
	})
}

func onConnections(do func(s *Scenario, p *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn) injection {
	return func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			e := &faultyEnvironment{Environment: under}
			e.wrapConn = func(c env.Conn, dialled bool) env.Conn { return do(s, p, under, c, dialled) }
			return e
		}
	}
}

// delayClientClose delays the report of the end of a client's connection.
func delayClientClose(by time.Duration) injection {
	return onConnections(func(_ *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, beforeEnd: func() { g.NewNotifier().Wait(by) }}
	})
}

func changeEnvironment(change func(s *Scenario, e *faultyEnvironment)) injection {
	return func(s *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(under env.Environment) env.Environment {
			e := &faultyEnvironment{Environment: under}
			change(s, e)
			return e
		}
	}
}

func interceptModule(change func(s *Scenario, p *gatewayProcess, i *moduleInterceptor)) injection {
	return func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			i := &moduleInterceptor{Router: start(h)}
			change(s, p, i)
			return i
		}, nil
	}
}

func interceptExecutor(change func(s *Scenario, i *executorInterceptor)) injection {
	return func(s *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(h policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			i := &executorInterceptor{Executor: h}
			change(s, i)
			return start(i)
		}, nil
	}
}

func (stuckTimer) Stop() bool { return true }

var injectedFaults map[string]injectedFault

func init() {
	injectedFaults = map[string]injectedFault{}
	for _, faults := range []map[string]injectedFault{injectedAnswerFaults(), injectedNotificationFaults(), injectedDiscoveryFaults(), injectedAttemptFaults(), injectedLeakFaults(), injectedRouteFaults()} {
		maps.Copy(injectedFaults, faults)
	}
}

// injectedAnswerFaults are wrong, late or missing answers to clients.
func injectedAnswerFaults() map[string]injectedFault {
	return map[string]injectedFault{
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
		"answer_mixed": {"an answer brings another's bytes", mixAnswers},
		"nack_kept_back": {"a nack is written near the deadline", onConnections(func(s *Scenario, _ *gatewayProcess, g env.Environment, c env.Conn, dialled bool) env.Conn {
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
		"wait_untold": {"a nack does not say when to come back", interceptExecutor(func(_ *Scenario, i *executorInterceptor) {
			i.reject = func(h policy.Executor, lk *policy.Lookup, _ policy.Micros) { h.Reject(lk, 0) }
		})},
	}
}

// injectedNotificationFaults are signals and ends of connections that the gateway misses.
func injectedNotificationFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"leave_unheard": {"that a client left is heard 1.5 s late", delayClientClose(1500 * time.Millisecond)},
		"leave_late":    {"that a client left is heard 0.2 s late", delayClientClose(200 * time.Millisecond)},
		"stop_unheard": {"SIGTERM is not heard", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.wrapSignals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) {
					if s != env.Terminate {
						hear(s)
					}
				}
			}
		})},
		"reread_ends": {"SIGHUP ends the gateway", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.wrapSignals = func(hear func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) { hear(env.Terminate) }
			}
		})},
	}
}

// injectedDiscoveryFaults are what discovery publishes and the module does not get.
func injectedDiscoveryFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"drain_unheard": {"a drain does not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].State == policy.Draining {
						rows[i].State = policy.Ready
					}
				}
				return rows
			}
		})},
		"gone_unheard": {"word that a cache has gone does not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
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
		"cold_cache": {"the module is not told that a cache is cold", interceptModule(func(s *Scenario, p *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].Kind == 0 {
						rows[i].StartedAt = 0
					}
				}
				return rows
			}
		})},
		"cold_parent": {"the settings say that parents are warm at once", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.changeFile = func(text []byte) []byte {
				return bytes.Replace(text, []byte(`"parent_ramp":21000000`), []byte(`"parent_ramp":1`), 1)
			}
		})},
	}
}

// injectedAttemptFaults are attempts that are sent or ended wrongly.
func injectedAttemptFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"doubled_send": {"a side-effecting send goes out twice", interceptExecutor(func(_ *Scenario, interceptor *executorInterceptor) {
			interceptor.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.MaxAge == 0 && request.Rank == 0 && request.Mode == 0 {
					h.Fetch(lk, request)
				}
			}
		})},
		"two_at_once": {"an idempotent send goes out twice at once", interceptExecutor(func(s *Scenario, interceptor *executorInterceptor) {
			interceptor.fetch = func(h policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				h.Fetch(lk, request)
				if request.Rank > 0 && s.randN(40) == 0 {
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
		"ending_untold": {"the module is not told how a send ended", interceptModule(func(s *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			i.passEnded = func() bool { return s.randN(100) > 0 }
		})},
	}
}

// injectedLeakFaults are resources that are not released.
func injectedLeakFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"conn_leaked": {"a connection is not closed", onConnections(func(s *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &faultyConn{Conn: c, close: func(c env.Conn) error {
				if s.randN(20) == 0 {
					return nil
				}
				return c.Close()
			}}
		})},
		"timer_leaked": {"timers are not stopped", changeEnvironment(func(s *Scenario, e *faultyEnvironment) {
			e.wrapTimer = func(t env.Timer) env.Timer { return stuckTimer{t} }
		})},
		"goroutine_leaked": {"a goroutine stays", changeEnvironment(func(s *Scenario, e *faultyEnvironment) {
			e.wrapGroup = func(of env.Group) env.Group { return leakyGroup{of, s, e.Environment} }
		})},
	}
}

// injectedRouteFaults are routes of lookups that the module gets wrong.
func injectedRouteFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"scope_lost": {"a lookup's scope does not reach the module", interceptModule(func(d *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			i.changeScope = func(s *policy.Scope) *policy.Scope {
				if d.randN(30) == 0 {
					return nil
				}
				return s
			}
		})},
		"scope_mixed": {"a lookup has the scope of the one before it", interceptModule(func(_ *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			var last *policy.Scope
			i.changeScope = func(s *policy.Scope) *policy.Scope {
				was := last
				if last = s; was == nil {
					was = s
				}
				return was
			}
		})},
	}
}

// mixAnswers writes, now and then, the answer before in place of an answer.
func mixAnswers(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	var last []byte
	return onAnswers(1, func(s *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
		before := last
		last = slices.Clone(b)
		if before != nil && bytes.HasPrefix(b, []byte("HTTP/1.1 200")) && s.randN(80) == 0 {
			c.Write(before)
			return len(b), nil
		}
		return c.Write(b)
	})(s, p)
}

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

// injectedFault is a fault of the gateway itself. It is injected at an interface of the gateway,
// either its environment or the interface between executor and module, to prove that the checker finds
// it. The gateway's own code contains none of it.
type injectedFault struct {
	help   string
	inject injection
}

// injection returns the interceptors of an injected fault for one process: one for the module
// and one for the environment. Either may be nil.
type injection func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment)

// InjectedFaults returns the names of the faults that can be injected.
func InjectedFaults() []string {
	return append(sortedKeys(injectedFaults), sortedKeys(extprocFaults)...)
}

// onAnswers returns an injection that calls do in place of the write of one
// in oneIn answers on the connections of clients.
func onAnswers(oneIn int, do func(s *Scenario, p *gatewayProcess, e env.Environment, c env.Conn, b []byte) (int, error)) injection {
	return onConnections(func(s *Scenario, p *gatewayProcess, e env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
			if bytes.HasPrefix(b, []byte("HTTP/1.1 ")) && s.randN(oneIn) == 0 {
				return do(s, p, e, c, b)
			}
			return c.Write(b)
		}}
	})
}

// onConnections returns an injection that wraps each connection of the gateway with do. dialled is true for connections
// that the gateway opened, and false for those that it accepted.
func onConnections(do func(s *Scenario, p *gatewayProcess, e env.Environment, c env.Conn, dialled bool) env.Conn) injection {
	return func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(inner env.Environment) env.Environment {
			e := &faultyEnvironment{Environment: inner}
			e.wrapConn = func(c env.Conn, dialled bool) env.Conn { return do(s, p, inner, c, dialled) }
			return e
		}
	}
}

// delayClientClose returns an injection that delays the report of the end of a client's connection.
func delayClientClose(delay time.Duration) injection {
	return onConnections(func(_ *Scenario, _ *gatewayProcess, e env.Environment, c env.Conn, dialled bool) env.Conn {
		if dialled {
			return c
		}
		return &faultyConn{Conn: c, beforeEnd: func() { e.NewNotifier().Wait(delay) }}
	})
}

// changeEnvironment returns an injection that changes the environment of the gateway.
func changeEnvironment(change func(s *Scenario, e *faultyEnvironment)) injection {
	return func(s *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return nil, func(inner env.Environment) env.Environment {
			e := &faultyEnvironment{Environment: inner}
			change(s, e)
			return e
		}
	}
}

// interceptModule returns an injection that changes calls to the module.
func interceptModule(change func(s *Scenario, p *gatewayProcess, i *moduleInterceptor)) injection {
	return func(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(executor policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			i := &moduleInterceptor{Router: start(executor)}
			change(s, p, i)
			return i
		}, nil
	}
}

// interceptExecutor returns an injection that changes calls of the module to its executor.
func interceptExecutor(change func(s *Scenario, i *executorInterceptor)) injection {
	return func(s *Scenario, _ *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
		return func(executor policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
			i := &executorInterceptor{Executor: executor}
			change(s, i)
			return start(i)
		}, nil
	}
}

// Stop reports that the timer was stopped, but does not stop it.
func (stuckTimer) Stop() bool { return true }

// injectedFaults holds the faults by name, except those of the external processor, which extprocFaults holds.
var injectedFaults map[string]injectedFault

func init() {
	injectedFaults = map[string]injectedFault{}
	for _, faults := range []map[string]injectedFault{injectedAnswerFaults(), injectedNotificationFaults(), injectedDiscoveryFaults(), injectedAttemptFaults(), injectedLeakFaults(), injectedRouteFaults()} {
		maps.Copy(injectedFaults, faults)
	}
}

// injectedAnswerFaults returns the faults in which answers to clients are wrong, late or missing.
func injectedAnswerFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"answer_lost": {"an answer is not written", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, _ env.Conn, b []byte) (int, error) {
			return len(b), nil
		})},
		"answer_twice": {"an answer is written twice", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
			c.Write(b)
			return c.Write(b)
		})},
		"answer_late": {"an answer is written 5.1 s late, past the deadline", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, e env.Environment, c env.Conn, b []byte) (int, error) {
			e.NewNotifier().Wait(5100 * time.Millisecond)
			return c.Write(b)
		})},
		"answer_spoilt": {"a byte of an answer is changed", onAnswers(60, func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
			b = slices.Clone(b)
			b[len(b)-1] ^= 1
			return c.Write(b)
		})},
		"answer_mixed": {"an answer has the bytes of the answer before it", mixAnswers},
		"nack_kept_back": {"a rejection is written 1.2 s late, near the deadline", onConnections(func(s *Scenario, _ *gatewayProcess, e env.Environment, c env.Conn, dialled bool) env.Conn {
			if dialled {
				return c
			}
			return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("HTTP/1.1 503 ")) && bytes.Contains(b, []byte("X-Wait-Ms")) {
					e.NewNotifier().Wait(1200 * time.Millisecond)
				}
				return c.Write(b)
			}}
		})},
		"wait_untold": {"a rejection does not say when to retry", interceptExecutor(func(_ *Scenario, i *executorInterceptor) {
			i.reject = func(executor policy.Executor, lk *policy.Lookup, _ policy.Micros) { executor.Reject(lk, 0) }
		})},
	}
}

// injectedNotificationFaults returns the faults in which the gateway misses a signal
// or learns too late of the end of a connection.
func injectedNotificationFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"leave_unheard": {"the end of a client's connection is reported 1.5 s late", delayClientClose(1500 * time.Millisecond)},
		"leave_late":    {"the end of a client's connection is reported 0.2 s late", delayClientClose(200 * time.Millisecond)},
		"stop_unheard": {"SIGTERM is ignored", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.wrapSignals = func(handler func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) {
					if s != env.Terminate {
						handler(s)
					}
				}
			}
		})},
		"reread_ends": {"SIGHUP terminates the gateway", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.wrapSignals = func(handler func(env.Signal)) func(env.Signal) {
				return func(s env.Signal) { handler(env.Terminate) }
			}
		})},
	}
}

// injectedDiscoveryFaults returns the faults in which the module does not learn what discovery or the settings say.
func injectedDiscoveryFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"drain_unheard": {"the drain of a cache does not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].State == policy.Draining {
						rows[i].State = policy.Ready
					}
				}
				return rows
			}
		})},
		"gone_unheard": {"drains and removals of caches do not reach the module", interceptModule(func(_ *Scenario, _ *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				return slices.DeleteFunc(rows, func(r policy.Endpoint) bool { return r.State != policy.Ready })
			}
		})},
		"purge_unheard": {"purges are read as purges of another object", onConnections(func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, _ bool) env.Conn {
			return &faultyConn{Conn: c, read: func(b []byte) []byte {
				for _, old := range []string{`"item":"s`, `"item":"p`} {
					b = bytes.ReplaceAll(b, []byte(old), []byte(old[:len(old)-1]+"z"))
				}
				return b
			}}
		})},
		"purge_late": {"purges are read from discovery 3 s late", onConnections(func(_ *Scenario, _ *gatewayProcess, e env.Environment, c env.Conn, dialled bool) env.Conn {
			if !dialled || c.RemoteAddr().String()[:5] != "10.7." {
				return c
			}
			return &faultyConn{Conn: c, read: func(b []byte) []byte {
				if bytes.Contains(b, []byte("recall")) {
					e.NewNotifier().Wait(3 * time.Second)
				}
				return b
			}}
		})},
		"cold_cache": {"the module does not learn that an edge has just started, cold", interceptModule(func(s *Scenario, p *gatewayProcess, interceptor *moduleInterceptor) {
			interceptor.changeRows = func(rows []policy.Endpoint) []policy.Endpoint {
				for i := range rows {
					if rows[i].Kind == 0 {
						rows[i].StartedAt = 0
					}
				}
				return rows
			}
		})},
		"cold_parent": {"the settings say that parents warm up at once", changeEnvironment(func(_ *Scenario, e *faultyEnvironment) {
			e.changeFile = func(text []byte) []byte {
				return bytes.Replace(text, []byte(`"parent_ramp":21000000`), []byte(`"parent_ramp":1`), 1)
			}
		})},
	}
}

// injectedAttemptFaults returns the faults in which attempts are sent or ended wrongly.
func injectedAttemptFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"doubled_send": {"an attempt with a side effect is sent twice", interceptExecutor(func(_ *Scenario, interceptor *executorInterceptor) {
			interceptor.fetch = func(executor policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				executor.Fetch(lk, request)
				if request.MaxAge == 0 && request.Rank == 0 && request.Mode == 0 {
					executor.Fetch(lk, request)
				}
			}
		})},
		"two_at_once": {"an idempotent attempt is sent twice at once", interceptExecutor(func(s *Scenario, interceptor *executorInterceptor) {
			interceptor.fetch = func(executor policy.Executor, lk *policy.Lookup, request policy.FetchRequest) {
				executor.Fetch(lk, request)
				if request.Rank > 0 && s.randN(40) == 0 {
					executor.Fetch(lk, request)
				}
			}
		})},
		"undo_unsaid": {"a cancelled attempt is not cancelled at its cache", onConnections(func(_ *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, dialled bool) env.Conn {
			return &faultyConn{Conn: c, write: func(c env.Conn, b []byte) (int, error) {
				if bytes.HasPrefix(b, []byte("undo ")) {
					return len(b), nil
				}
				return c.Write(b)
			}}
		})},
		"ending_untold": {"the outcome of an attempt does not reach the module", interceptModule(func(s *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			i.passEnded = func() bool { return s.randN(100) > 0 }
		})},
	}
}

// injectedLeakFaults returns the faults in which the gateway does not release a resource.
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
		"goroutine_leaked": {"a goroutine does not end", changeEnvironment(func(s *Scenario, e *faultyEnvironment) {
			e.wrapGroup = func(group env.Group) env.Group { return leakyGroup{group, s, e.Environment} }
		})},
	}
}

// injectedRouteFaults returns the faults in which the module receives a wrong scope for a lookup.
func injectedRouteFaults() map[string]injectedFault {
	return map[string]injectedFault{
		"scope_lost": {"a lookup's scope does not reach the module", interceptModule(func(s *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			i.changeScope = func(scope *policy.Scope) *policy.Scope {
				if s.randN(30) == 0 {
					return nil
				}
				return scope
			}
		})},
		"scope_mixed": {"a lookup has the scope of the lookup before it", interceptModule(func(_ *Scenario, _ *gatewayProcess, i *moduleInterceptor) {
			var last *policy.Scope
			i.changeScope = func(scope *policy.Scope) *policy.Scope {
				previous := last
				if last = scope; previous == nil {
					previous = scope
				}
				return previous
			}
		})},
	}
}

// mixAnswers writes the gateway's previous answer in place of one in 80 answers with status 200.
func mixAnswers(s *Scenario, p *gatewayProcess) (dispatch.Interceptor, func(env.Environment) env.Environment) {
	var last []byte
	return onAnswers(1, func(s *Scenario, _ *gatewayProcess, _ env.Environment, c env.Conn, b []byte) (int, error) {
		previous := last
		last = slices.Clone(b)
		if previous != nil && bytes.HasPrefix(b, []byte("HTTP/1.1 200")) && s.randN(80) == 0 {
			c.Write(previous)
			return len(b), nil
		}
		return c.Write(b)
	})(s, p)
}

// Package discovery receives the events of the discovery service: numbered changes of the endpoint list and purges.
// They arrive over one connection, which is opened again whenever it ends. Missing events, a silence or an invalid
// event end it. Each event is applied to the dispatcher, the registry of caches, the purge log and the stored endpoint
// list.
//
// A Watch owns the number of the last applied event and the connection. An event has at most maxEventBytes. The backoff
// between connections grows up to maxRetryDelay. A Watch lives as long as Watch.Run, whose goroutine owns it.
package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/warmstart"
)

const (
	maxEventBytes = 1 << 20
	dialTimeout   = 500 * time.Millisecond
	minRetryDelay = 50 * time.Millisecond // the first backoff, doubled up to maxRetryDelay
	maxRetryDelay = 800 * time.Millisecond

	// lineInterval is the maximum time between two lines of discovery.
	lineInterval = time.Second
	// A session ends after defaultSilenceTimeout without a line. The timeout is shorter if the
	// drain grace is short; see silenceTimeout.
	defaultSilenceTimeout = 2500 * time.Millisecond
	minSilenceTimeout     = lineInterval + 250*time.Millisecond
	maxSilenceTimeout     = 5 * time.Second
	maxSilenceDoublings   = 8
	// resyncTime is the time that a new session takes to deliver the missed events.
	resyncTime = 500 * time.Millisecond
)

// Config holds the dependencies of a Watch.
type Config struct {
	Environment env.Environment
	Addr        string // address of discovery
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
}

// Watch receives and applies the events of discovery. Set its exported fields before Run. SetAddr may be called at any
// time from any goroutine. Everything else is owned by the goroutine of Run.
type Watch struct {
	// LastEvent is the number of the last event that was applied, or skipped as invalid. A
	// session requests the events after it.
	LastEvent int64
	// Reconciler receives each event in addition to the dispatcher. It is nil if the gateway stores no endpoint list.
	Reconciler *warmstart.Reconciler
	// OnUpdate, if set, is called with each event before the dispatcher receives it. It must not block.
	OnUpdate func(endpoints.Update)
	// OnEvent, if set, is called with the number and the purges of each event after the
	// dispatcher has received it. It must not block.
	OnEvent func(number int64, purges []dispatch.Purge)
	// OnFirstList, if set, is called once, after the first complete list of a session has been applied.
	OnFirstList func()
	// Jitter, if set, returns a random retry delay of at most the given one.
	Jitter func(time.Duration) time.Duration

	env            env.Environment
	settings       *settings.Settings
	dispatcher     *dispatch.Dispatcher
	registry       *cacheregistry.Registry
	purges         *purgelog.Log
	unusable       unusableLines
	silentSessions int          // number of consecutive silence timeouts; a received line resets it
	wakeup         env.Notifier // notified when addrChanged is set and when the lifetime of Run ends

	mu          sync.Mutex
	addr        string
	session     *env.Lifetime // lifetime of the latest session; nil before the first one
	addrChanged bool          // SetAddr was called after the latest session began
}

// NewWatch returns a Watch that has applied no events.
func NewWatch(config Config) *Watch {
	return &Watch{
		env:        config.Environment,
		addr:       config.Addr,
		settings:   config.Settings,
		dispatcher: config.Dispatcher,
		registry:   config.Registry,
		purges:     config.Purges,
		wakeup:     config.Environment.NewNotifier(),
	}
}

// SetAddr sets the address of discovery and ends the current session. The next session requests the events after
// LastEvent at this address. If the address is unchanged, the new session delivers the events that were missed.
func (w *Watch) SetAddr(addr string) {
	w.mu.Lock()
	session := w.session
	w.addr = addr
	w.addrChanged = true
	w.mu.Unlock()
	w.wakeup.Notify()
	if session != nil {
		session.End()
	}
}

func (w *Watch) currentAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addr
}

// Run opens sessions with discovery, one after the other, until the lifetime ends.
func (w *Watch) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(w.wakeup.Notify)()
	for delay := minRetryDelay; ; {
		lastBefore := w.LastEvent
		age := w.follow(lifetime)
		if w.LastEvent > lastBefore || age > defaultSilenceTimeout {
			delay = minRetryDelay
		}
		pause := delay
		if w.Jitter != nil {
			pause = w.Jitter(delay)
		}
		addrChanged := w.waitRetry(lifetime, pause)
		if lifetime.Ended() {
			return nil
		}
		delay = min(2*delay, maxRetryDelay)
		if addrChanged {
			delay = minRetryDelay
		}
	}
}

// follow runs one session, logs its end and returns its duration.
func (w *Watch) follow(lifetime *env.Lifetime) (age time.Duration) {
	startedAt := w.env.Now()
	addr, session := w.beginSession(lifetime)
	reason := w.runSession(session, addr)
	if session.Ended() && !lifetime.Ended() {
		reason = "moved"
	}
	session.End()
	age = w.env.Now().Sub(startedAt)
	w.env.Log().Info("discovery_closed", "addr", addr, "reason", reason, "last", w.LastEvent, "age_ms", age.Milliseconds())
	return age
}

// beginSession returns the address to connect to and the lifetime of a new session. SetAddr ends this lifetime.
func (w *Watch) beginSession(lifetime *env.Lifetime) (addr string, session *env.Lifetime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addrChanged = false
	w.session = env.NewLifetime(lifetime)
	return w.addr, w.session
}

// waitRetry waits for the retry delay or until the lifetime ends. It returns true at once if SetAddr has
// been called since the latest session began.
func (w *Watch) waitRetry(lifetime *env.Lifetime, delay time.Duration) bool {
	for end := w.env.Now().Add(delay); !lifetime.Ended(); {
		w.mu.Lock()
		addrChanged := w.addrChanged
		w.mu.Unlock()
		if addrChanged || !w.wakeup.Wait(max(0, end.Sub(w.env.Now()))) {
			return addrChanged
		}
	}
	return false
}

// silenceTimeout returns the time after which a session without a complete line ends. A drain grace may start while the
// connection is dead, and the gateway does not know of the drain until the next session. With a short drain grace, the
// timeout is therefore so short that a resync fits into the rest of the grace. It cannot be shorter than
// minSilenceTimeout, because lines arrive only every second. The timeout doubles with each further consecutive silence
// timeout, so that the watch does not send endless requests to a slow discovery service.
func (w *Watch) silenceTimeout() time.Duration {
	if w.registry.Len() == 0 {
		// No cache is known that could drain. A gateway that starts without a list waits longer for the first byte of a
		// slow discovery service, because each new session would start that wait again.
		return maxSilenceTimeout
	}
	drainGrace := time.Duration(w.settings.DrainGrace) * time.Microsecond
	timeout := min(defaultSilenceTimeout, max(minSilenceTimeout, drainGrace-resyncTime))
	for range min(max(0, w.silentSessions-1), maxSilenceDoublings) {
		timeout = min(2*timeout, maxSilenceTimeout)
	}
	return timeout
}

// runSession requests the events after LastEvent and handles lines until the session ends. It
// returns the reason for the end.
func (w *Watch) runSession(session *env.Lifetime, addr string) (reason string) {
	conn, err := w.env.Dial(session, addr, dialTimeout)
	if err != nil {
		return "no_connection"
	}
	defer conn.Close()
	defer session.OnEnd(func() { conn.Close() })()
	w.unusable.beginSession()
	timeout := w.silenceTimeout()
	conn.SetDeadline(w.env.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, requestFormat, w.LastEvent); err != nil {
		return "write_failed"
	}
	var input linebuffer.Buffer
	for {
		line, _, isComplete := bytes.Cut(input.Bytes(), []byte("\n"))
		if !isComplete {
			if err := input.Fill(conn, maxEventBytes); err != nil {
				return w.readFailed(err, session)
			}
			continue
		}
		if reason := w.handleSessionLine(bytes.TrimSpace(line)); reason != "" {
			return reason
		}
		input.Discard(len(line) + 1)
		if w.silentSessions > 0 {
			w.silentSessions = 0
			timeout = w.silenceTimeout()
		}
		conn.SetReadDeadline(w.env.Now().Add(timeout))
	}
}

// handleSessionLine handles a line of a session. It returns a reason if the session must end. Missing events and
// restarted event numbers end the session. Any other invalid line ends it only the first time the line is received.
// If an identical line is received again, it is skipped but for the parts that are valid, and one event number may then
// be missing after it.
func (w *Watch) handleSessionLine(line []byte) (reason string) {
	err := w.handleLine(line, fromSession)
	if err == nil {
		return ""
	}
	w.env.Log().Warn("discovery_event_invalid", "error", err.Error(), "last", w.LastEvent)
	switch {
	case errors.Is(err, errGap):
		return "gap"
	case errors.Is(err, errRenumbered):
		return "renumbered"
	case !w.unusable.add(line, w.LastEvent):
		return "bad_line"
	}
	w.applyUsableParts(line)
	return ""
}

// readFailed returns the reason for the log after a read error, and counts the sessions that timed out.
func (w *Watch) readFailed(err error, session *env.Lifetime) (reason string) {
	var netErr net.Error
	switch {
	case session.Ended():
		return "stopping"
	case errors.Is(err, linebuffer.ErrTooLong):
		return "bad_line"
	case errors.As(err, &netErr) && netErr.Timeout():
		w.silentSessions++
		return "silent"
	}
	return "closed_by_discovery"
}

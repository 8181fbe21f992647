// Package discovery follows the discovery watch: numbered events that bring changes of the endpoint list and purges, over one connection
// that is opened anew after a gap, a silence or an event that cannot be used. It has each event take effect with the dispatcher, the
// registry of caches, the log of purges and the stored list.
//
// Bounds: maxEventBytes of an event; retries back off up to maxRetryDelay. One goroutine (Watch.Run) owns the watch.
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
	minRetryDelay = 50 * time.Millisecond // doubled up to maxRetryDelay
	maxRetryDelay = 800 * time.Millisecond

	// lineInterval is how often discovery sends a line at least.
	lineInterval = time.Second
	// A session without a line for defaultSilenceTimeout ends, or earlier where drains must be obeyed soon; see silenceTimeout.
	defaultSilenceTimeout = 2500 * time.Millisecond
	minSilenceTimeout     = lineInterval + 250*time.Millisecond
	maxSilenceTimeout     = 5 * time.Second
	maxSilenceDoublings   = 8
	// resyncTime is what a new session takes to bring what was missed.
	resyncTime = 500 * time.Millisecond
)

// Config is what a watch works with.
type Config struct {
	Environment env.Environment
	Addr        string // of discovery
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
}

// Watch follows the discovery watch. Set its exported fields before Run. SetAddr may be called at any time from any goroutine; all else
// belongs to the goroutine of Run.
type Watch struct {
	// LastEvent is the number of the last event held.
	LastEvent int64
	// Reconciler receives what events bring beside the dispatcher; nil where no list is stored.
	Reconciler *warmstart.Reconciler
	// OnUpdate, if set, is called with each event before the dispatcher receives it; it must not wait.
	OnUpdate func(endpoints.Update)
	// OnEvent, if set, is called with the number and the purges of each event once it is in effect; it must not wait.
	OnEvent func(number int64, purges []dispatch.Purge)
	// OnFirstList, if set, is called once the first complete list has come.
	OnFirstList func()
	// Jitter, if set, draws a random retry delay up to the one given.
	Jitter func(time.Duration) time.Duration

	env            env.Environment
	settings       *settings.Settings
	dispatcher     *dispatch.Dispatcher
	registry       *cacheregistry.Registry
	purges         *purgelog.Log
	unusable       unusableLines
	silentSessions int          // in a row, without a line
	wakeup         env.Notifier // addrChanged is set, or the watch ends

	mu          sync.Mutex
	addr        string
	session     *env.Lifetime // of the session under way; nil: none yet
	addrChanged bool          // the address has changed since the last session began
}

// NewWatch returns a watch that holds no event yet.
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

// SetAddr follows discovery at an address from now on, after the last event held. At the address in use it begins a new session, which
// brings what came meanwhile.
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

// Run keeps a session with discovery until the lifetime ends.
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

// follow runs one session and returns how long it was.
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

// beginSession returns the address to connect to and the lifetime of a session there, which SetAddr ends.
func (w *Watch) beginSession(lifetime *env.Lifetime) (addr string, session *env.Lifetime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addrChanged = false
	w.session = env.NewLifetime(lifetime)
	return w.addr, w.session
}

// waitRetry waits before the next session; true if the address has changed meanwhile.
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

// silenceTimeout is how long a session may bring no complete line. The time in which a drain must be obeyed runs while the watch is dead:
// where it is short, the silence is noticed so soon that a resync still fits into it, as far as lines that come every second allow that.
// The timeout doubles with each session in a row that brought no line, so that a discovery that is late is not asked without end.
func (w *Watch) silenceTimeout() time.Duration {
	if w.registry.Len() == 0 {
		// Nothing can drain yet: a start without a list waits for a discovery that is late with its first byte, and does not begin that
		// wait again and again.
		return maxSilenceTimeout
	}
	drainGrace := time.Duration(w.settings.DrainGrace) * time.Microsecond
	timeout := min(defaultSilenceTimeout, max(minSilenceTimeout, drainGrace-resyncTime))
	for range min(max(0, w.silentSessions-1), maxSilenceDoublings) {
		timeout = min(2*timeout, maxSilenceTimeout)
	}
	return timeout
}

// runSession asks for the events after the last one held, handles what comes until the connection ends, and returns why it did.
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

// handleSessionLine handles a line of a session; it returns a reason if the session must end. A line that cannot be used ends the session
// once; when it comes again alike it is passed over, and the number of an event may be missing after it.
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
	return ""
}

// readFailed says for the log why reading a session failed, and counts silent ones.
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

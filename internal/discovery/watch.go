// Package discovery receives the events of the discovery service: numbered changes of the endpoint list and purges.
// They arrive over a session, which is one connection. Missing events or an invalid event end it, and another session
// begins. Beside a session that is silent another one begins as well, but the silent one stays open for as long as
// discovery may take to deliver a line: a slow service would otherwise never be received. Each event is applied once, by
// the first session that delivers it, to the dispatcher, the registry of caches, the purge log and the stored endpoint
// list.
//
// A Watch owns the number of the last applied event and at most MaxSessions sessions, each with a goroutine. An event
// has at most maxEventBytes. The backoff between sessions grows up to maxRetryDelay. A Watch lives as long as
// Watch.Run, which ends all sessions.
package discovery

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
	"foldslip/internal/store/endpoints"
	"foldslip/internal/warmstart"
)

const (
	maxEventBytes = 1 << 20
	minRetryDelay = 50 * time.Millisecond // the first backoff, doubled up to maxRetryDelay
	maxRetryDelay = 800 * time.Millisecond
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
// time from any goroutine. LastEvent belongs to the sessions while Run runs.
type Watch struct {
	// LastEvent is the number of the last event that was applied, or skipped as invalid. A
	// session requests the events after it. While Run runs, mu guards it.
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

	env        env.Environment
	settings   *settings.Settings
	dispatcher *dispatch.Dispatcher
	registry   *cacheregistry.Registry
	purges     *purgelog.Log
	wakeup     env.Notifier // notified when the time of the next step of Run may have changed

	mu             sync.Mutex // guards the fields below; held while a line is applied
	addr           string
	unusable       unusableLines
	sessions       []*session // open sessions, oldest first
	deferred       []func()   // called by unlock
	silentSessions int        // number of sessions in a row that became silent; a line resets it
	openAt         time.Time  // when the next session begins; zero: when all sessions are overdue
	opensNow       bool       // the next session begins at once, whatever the others do
	wakesAt        time.Time  // when Run takes its next step, unless it is notified before
	retryDelay     time.Duration
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
		retryDelay: minRetryDelay,
	}
}

// SetAddr sets the address of discovery and begins a session there at once, even if the address is the current one.
// Sessions at another address that are connected have until deliveryTimeout to deliver what was written to them before,
// and end earlier when the new session has caught up. A session that is dialing the new address serves as the new one.
func (w *Watch) SetAddr(addr string) {
	w.mu.Lock()
	now := w.env.Now()
	w.addr = addr
	w.retryDelay = minRetryDelay
	w.opensNow = true
	for _, s := range slices.Clone(w.sessions) {
		switch {
		case s.addr == addr:
			s.expiresAt = time.Time{}
			w.opensNow = w.opensNow && s.isConnected
		case s.isConnected:
			s.move(now)
		default:
			w.endSession(s, "moved")
		}
	}
	w.unlock()
	w.wakeup.Notify()
}

// Run opens sessions with discovery until the lifetime ends, and ends them before it returns.
func (w *Watch) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(w.wakeup.Notify)()
	w.openFirst()
	sessions := w.env.NewGroup()
	for !lifetime.Ended() {
		opened, wait := w.step(lifetime)
		if opened == nil {
			w.wakeup.Wait(wait)
			continue
		}
		sessions.Go("discovery session", func() error {
			w.follow(opened)
			return nil
		})
	}
	return sessions.Wait()
}

// openFirst makes the first session begin at once.
func (w *Watch) openFirst() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.opensNow = true
}

// Sessions returns the number of open sessions.
func (w *Watch) Sessions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.sessions)
}

// follow runs a session until its end.
func (w *Watch) follow(s *session) {
	reason := w.runSession(s)
	w.mu.Lock()
	w.endSession(s, reason)
	w.unlock()
	w.wakeup.Notify()
}

// unlock releases mu and then does what was deferred while it was held: it closes connections and writes to the log.
func (w *Watch) unlock() {
	deferred := w.deferred
	w.deferred = nil
	w.mu.Unlock()
	for _, call := range deferred {
		call()
	}
}

// logLater writes to the log when mu is released.
func (w *Watch) logLater(level slog.Level, event string, keysAndValues ...any) {
	w.deferred = append(w.deferred, func() { w.env.Log().Log(context.Background(), level, event, keysAndValues...) })
}

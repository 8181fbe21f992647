package discovery

import (
	"log/slog"
	"slices"
	"time"

	"foldslip/internal/env"
)

const (
	// deliveryTimeout is the longest time that a line of discovery takes to arrive, by the protocol.
	deliveryTimeout = 7 * time.Second
	// lineInterval is the maximum time between two lines that discovery writes.
	lineInterval = time.Second
	// sessionTimeout is the time without a byte after which a session ends: the next line is written lineInterval after
	// the last one at the latest, and arrives within deliveryTimeout.
	sessionTimeout = lineInterval + deliveryTimeout + resyncTime
	// MaxSessions is the maximum number of sessions, and of their connections: two that wait for a slow discovery service,
	// and a new one.
	MaxSessions = 3

	// connectTimeout is the time after which a dial is overdue.
	connectTimeout = 500 * time.Millisecond
	// A line is overdue after defaultSilenceTimeout. The timeout is shorter if the drain grace is
	// short; see silenceTimeout.
	defaultSilenceTimeout = 2500 * time.Millisecond
	minSilenceTimeout     = lineInterval + 250*time.Millisecond
	maxSilenceTimeout     = 5 * time.Second
	maxSilenceDoublings   = 8
	// A line of longLineBytes holds many endpoints.
	longLineBytes = 4 << 10
	// resyncTime is the time that a new session takes to deliver the missed events.
	resyncTime = 500 * time.Millisecond
)

// step ends the sessions that have expired. It returns a new session if one is due, and otherwise the time until the
// next step.
func (w *Watch) step(lifetime *env.Lifetime) (opened *session, wait time.Duration) {
	w.mu.Lock()
	defer w.unlock()
	now := w.env.Now()
	for _, s := range slices.Clone(w.sessions) {
		if !now.Before(s.expiry()) {
			w.endSession(s, s.expiryReason())
		}
	}
	w.scheduleOpen(now)
	if w.opensNow || !w.openAt.IsZero() && !now.Before(w.openAt) {
		return w.open(lifetime, now), 0
	}
	w.wakesAt = w.nextStep()
	return nil, max(0, w.wakesAt.Sub(now))
}

// scheduleOpen sets openAt, after a backoff, when all sessions are overdue or there is none. It clears openAt if a
// session has delivered a line meanwhile.
func (w *Watch) scheduleOpen(now time.Time) {
	for _, s := range w.sessions {
		if !s.hasMoved() && !s.isOverdue && !now.Before(s.overdueAt) {
			w.noteOverdue(s, now)
		}
	}
	switch {
	case now.Before(w.sufficientUntil()):
		w.openAt = time.Time{}
	case w.openAt.IsZero():
		delay := w.retryDelay
		if w.Jitter != nil {
			delay = w.Jitter(delay)
		}
		w.openAt = now.Add(delay)
		w.retryDelay = min(2*w.retryDelay, maxRetryDelay)
	}
}

// sufficientUntil returns until when no further session is needed, unless a session ends: until all are overdue. A
// session that is receiving a large endpoint list is given one other beside it, and more only when the list stops
// arriving: each of them would request the list again.
func (w *Watch) sufficientUntil() (until time.Time) {
	for _, s := range w.sessions {
		if s.hasMoved() {
			continue
		}
		if s.overdueAt.After(until) {
			until = s.overdueAt
		}
		if next := s.activeAt.Add(lineInterval); s.partialBytes >= longLineBytes && len(w.sessions) > 1 && next.After(until) {
			until = next
		}
	}
	return until
}

// noteOverdue records that a session has become overdue.
func (w *Watch) noteOverdue(s *session, now time.Time) {
	s.isOverdue = true
	if s.isConnected {
		w.silentSessions++
	}
	w.noteProgress(s, now)
	w.logLater(slog.LevelInfo, "discovery_overdue", "addr", s.addr, "connected", s.isConnected, "last", w.LastEvent,
		"age_ms", now.Sub(s.startedAt).Milliseconds(), "sessions", len(w.sessions))
}

// noteProgress resets the backoff after a connection that lasted or during which an event was applied.
func (w *Watch) noteProgress(s *session, now time.Time) {
	if s.isConnected && (w.LastEvent > s.after || now.Sub(s.startedAt) > defaultSilenceTimeout) {
		w.retryDelay = minRetryDelay
	}
}

// open adds a session. If there are MaxSessions already, the newest one ends: the older ones have waited longer for a
// slow discovery service.
func (w *Watch) open(lifetime *env.Lifetime, now time.Time) *session {
	if len(w.sessions) == MaxSessions {
		newest := w.sessions[MaxSessions-1]
		w.endSession(newest, newest.expiryReason())
	}
	s := &session{
		addr:      w.addr,
		lifetime:  env.NewLifetime(lifetime),
		startedAt: now,
		activeAt:  now,
		overdueAt: now.Add(connectTimeout),
		after:     w.LastEvent,
		position:  w.LastEvent,
	}
	w.sessions = append(w.sessions, s)
	w.openAt = time.Time{}
	w.opensNow = false
	return s
}

// nextStep returns when the next session may be due or the next one expires.
func (w *Watch) nextStep() time.Time {
	next := w.openAt
	if next.IsZero() {
		next = w.sufficientUntil()
	}
	for _, s := range w.sessions {
		if expiry := s.expiry(); expiry.Before(next) {
			next = expiry
		}
	}
	return next
}

// lineReceived records that a session has delivered a line. A session that delivers lines in time makes newer sessions
// unnecessary that have delivered none. One that was overdue must first deliver another line in time: the line may be
// the last one of a dead connection.
func (w *Watch) lineReceived(s *session) {
	now := w.env.Now()
	wasOverdue := s.isOverdue
	s.hasDelivered = true
	s.isOverdue = false
	s.partialBytes = 0
	if s.hasMoved() {
		return
	}
	w.silentSessions = 0
	s.overdueAt = now.Add(w.silenceTimeout())
	if s.overdueAt.Before(w.wakesAt) { // the silence timeout has become shorter
		w.wakeup.Notify()
	}
	if wasOverdue {
		w.logLater(slog.LevelInfo, "discovery_recovered", "addr", s.addr, "last", w.LastEvent, "age_ms", now.Sub(s.startedAt).Milliseconds())
		return
	}
	if len(w.sessions) > 1 {
		w.endSessions("superseded", func(other *session) bool { return other.startedAt.After(s.startedAt) && !other.hasDelivered })
	}
}

// caughtUp records that discovery had written no event after LastEvent when it wrote a line of a session. Older
// sessions can then deliver no event that this one does not deliver.
func (w *Watch) caughtUp(s *session) {
	if len(w.sessions) > 1 && !s.hasMoved() {
		w.endSessions("superseded", func(other *session) bool { return other.startedAt.Before(s.startedAt) })
	}
}

// endSessions ends the sessions for which isEnded is true.
func (w *Watch) endSessions(reason string, isEnded func(*session) bool) {
	for _, s := range slices.Clone(w.sessions) {
		if isEnded(s) {
			w.endSession(s, reason)
		}
	}
}

// endSession removes a session and logs its end. It does nothing if the session has ended before. The caller releases mu
// by unlock.
func (w *Watch) endSession(s *session, reason string) {
	if s.hasEnded {
		return
	}
	now := w.env.Now()
	s.hasEnded = true
	w.sessions = slices.DeleteFunc(w.sessions, func(other *session) bool { return other == s })
	if !s.isOverdue {
		w.noteProgress(s, now)
	}
	w.deferred = append(w.deferred, s.lifetime.End)
	w.logLater(slog.LevelInfo, "discovery_closed", "addr", s.addr, "reason", reason, "last", w.LastEvent, "age_ms", now.Sub(s.startedAt).Milliseconds())
}

// silenceTimeout returns the time after which a line is overdue and another session begins. A drain grace may start while
// the connection is dead, and the gateway does not know of the drain until the next session. With a short drain grace,
// the timeout is therefore so short that a resync fits into the rest of the grace. It cannot be shorter than
// minSilenceTimeout, because lines arrive only every second. The timeout doubles with each further session in a row that
// becomes silent, so that the watch does not send endless requests to a slow discovery service.
func (w *Watch) silenceTimeout() time.Duration {
	if w.registry.Len() == 0 {
		return maxSilenceTimeout // no cache is known that could drain
	}
	drainGrace := time.Duration(w.settings.DrainGrace) * time.Microsecond
	timeout := min(defaultSilenceTimeout, max(minSilenceTimeout, drainGrace-resyncTime))
	for range min(max(0, w.silentSessions-1), maxSilenceDoublings) {
		timeout = min(2*timeout, maxSilenceTimeout)
	}
	return timeout
}

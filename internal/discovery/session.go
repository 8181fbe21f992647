package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/linebuffer"
)

// session is one connection to discovery, from the beginning of its dial. Watch.mu guards it.
type session struct {
	addr         string
	lifetime     *env.Lifetime // ends with the session, and closes the connection
	startedAt    time.Time
	activeAt     time.Time // when the session began, connected or last received a byte
	overdueAt    time.Time // when its connection or its next line is overdue
	expiresAt    time.Time // when a session that has moved ends at the latest; zero: its address is in use
	after        int64     // number of the last applied event when the session began
	position     int64     // number of the last event that the session has delivered; its request at first
	repeated     repeatedLines
	partialBytes int // bytes of the line that is arriving
	isConnected  bool
	hasDelivered bool // it has delivered a line
	isOverdue    bool // it was overdue and has delivered no line since
	hasEnded     bool
}

// move marks a session whose address is no longer used.
func (s *session) move(now time.Time) {
	if !s.hasMoved() {
		s.expiresAt = now.Add(deliveryTimeout)
	}
}

// hasMoved reports whether the address of discovery is another one now.
func (s *session) hasMoved() bool { return !s.expiresAt.IsZero() }

// advance records that the session has delivered an event, or that none up to its number is missing. It does nothing for
// events of the platform's configuration, which have no session.
func (s *session) advance(number int64) {
	if s != nil {
		s.position = max(s.position, number)
	}
}

// expiry returns when the session ends unless it receives something.
func (s *session) expiry() time.Time {
	expiry := s.activeAt.Add(sessionTimeout)
	if s.hasMoved() && s.expiresAt.Before(expiry) {
		return s.expiresAt
	}
	return expiry
}

// expiryReason returns the reason for the end of a session that has expired or makes room for another one.
func (s *session) expiryReason() string {
	switch {
	case s.hasMoved():
		return "moved"
	case s.isConnected:
		return "silent"
	}
	return "no_connection"
}

// runSession dials discovery, requests the events after LastEvent and handles lines until the session ends. It returns
// the reason for the end.
func (w *Watch) runSession(s *session) (reason string) {
	conn, err := w.env.Dial(s.lifetime, s.addr, sessionTimeout)
	if err != nil {
		return "no_connection"
	}
	defer conn.Close()
	defer s.lifetime.OnEnd(func() { conn.Close() })()
	if _, err := fmt.Fprintf(conn, requestFormat, w.connected(s)); err != nil {
		return "write_failed"
	}
	var input linebuffer.Buffer
	for {
		line, _, isComplete := bytes.Cut(input.Bytes(), []byte("\n"))
		if !isComplete {
			if err := input.Fill(conn, maxEventBytes); err != nil {
				return readFailed(err, s)
			}
			w.bytesReceived(s, len(input.Bytes()))
			continue
		}
		if reason := w.handleSessionLine(s, bytes.TrimSpace(line)); reason != "" {
			return reason
		}
		input.Discard(len(line) + 1)
	}
}

// connected records that a session is connected. It returns the number of the last event that the session need not
// deliver. Other sessions that are still dialing end: what they would deliver comes later.
func (w *Watch) connected(s *session) (after int64) {
	w.mu.Lock()
	defer w.unlock()
	if s.hasEnded {
		return w.LastEvent
	}
	now := w.env.Now()
	s.isConnected = true
	s.activeAt = now
	s.overdueAt = now.Add(w.silenceTimeout())
	s.isOverdue = false
	s.position = w.LastEvent
	w.endSessions("superseded", func(other *session) bool { return other != s && !other.isConnected })
	return w.LastEvent
}

// bytesReceived records that bytes have arrived in a session, and how many of them are not handled yet.
func (w *Watch) bytesReceived(s *session, unhandled int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.activeAt = w.env.Now()
	s.partialBytes = unhandled
}

// handleSessionLine handles a line of a session. It returns a reason if the session must end. Missing events and
// restarted event numbers end the session. Any other invalid line ends it only the first time the line is received.
// If an identical line is received again, it is skipped but for the parts that are valid, and one event number may then
// be missing after it.
func (w *Watch) handleSessionLine(s *session, line []byte) (reason string) {
	w.mu.Lock()
	defer w.unlock()
	if s.hasEnded {
		return "superseded"
	}
	if err := w.handleLine(line, s); err != nil {
		w.logLater(slog.LevelWarn, "discovery_event_invalid", "error", err.Error(), "last", w.LastEvent)
		switch {
		case errors.Is(err, errGap):
			return "gap"
		case errors.Is(err, errRenumbered):
			return "renumbered"
		case !w.unusable.add(line, w.LastEvent, s, w.env.Now()):
			return "bad_line"
		}
		w.applyUsableParts(line, s)
	}
	w.lineReceived(s)
	return ""
}

// readFailed returns the reason for the log after a read error.
func readFailed(err error, s *session) (reason string) {
	switch {
	case s.lifetime.Ended():
		return "stopping"
	case errors.Is(err, linebuffer.ErrTooLong):
		return "bad_line"
	}
	return "closed_by_discovery"
}

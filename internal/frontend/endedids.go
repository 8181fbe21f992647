package frontend

import (
	"net"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
)

// This file remembers the ids of ended lookups with side effects. A client whose connection breaks may send its lookup
// again under the same id, which must not run a second time (rule 2).

// longestDeadline returns the longest deadline of all object kinds. A client repeats a lookup while it waits for it, so an
// id is remembered for this time.
func longestDeadline(kinds []policy.ObjectKind) time.Duration {
	longest := time.Duration(0)
	for _, kind := range kinds {
		longest = max(longest, time.Duration(kind.Deadline)*time.Microsecond)
	}
	return longest
}

// openID opens the id of a lookup with side effects. It returns a response if the lookup is open, has run already or could
// not be remembered.
func (s *Server) openID(l *lookup) *textResponse {
	if s.settings.Router.Kinds[l.kind].Effect == policy.Idempotent {
		return nil
	}
	switch s.ended.Open(s.env.Now(), l.client, l.ID) {
	case retry.AlreadyOpen:
		return &textResponse{status: statusConflict, text: textOpenAlready}
	case retry.AlreadyRan:
		return &textResponse{status: statusConflict, text: "this lookup has ended already"}
	case retry.NoMemory:
		response := unavailable("too many lookups to remember")
		response.retryAfter = time.Duration(s.settings.Router.MaxRetryAfter) * time.Microsecond
		return response
	}
	l.hasOpenID = true
	return nil
}

// closeID closes the id of a lookup that has ended, or that was not submitted if end is StepRejected. A lookup that was
// rejected, or of which no attempt was started, has not run, or a repeat is harmless.
func (s *Server) closeID(l *lookup, end dispatch.StepKind) {
	if l.hasOpenID {
		l.hasOpenID = false
		s.ended.Close(s.env.Now(), l.client, l.ID, end != dispatch.StepRejected && l.HasAttempts())
	}
}

// clientAddress returns the address of a client without the port.
func clientAddress(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

package frontend

import (
	"foldslip/internal/admission"
)

// Constants exported for tests outside the package.
const (
	MaxPipelinedBytes  = maxPipelinedBytes
	ResponseWriteSlack = responseWriteSlack
)

// Admission returns the controller that bounds the open lookups and the reserved bytes.
func (s *Server) Admission() *admission.Controller { return s.admission }

// SetFull replaces the admission controller with one that allows limit lookups and limit bytes, and admits one lookup.
func (s *Server) SetFull(limit int) {
	s.admission = admission.NewController(s.env, limit, int64(limit))
	s.gate = s.admission.Gate(gateName, gateWeight)
	s.gate.TryAdmit()
}

// AcceptedCount returns the number of connections that have been accepted.
func (s *Server) AcceptedCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedCount
}

// HasEndingConn reports whether the server wants to close any of its connections.
func (s *Server) HasEndingConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isEnding() {
			return true
		}
	}
	return false
}

// HasBusyConn reports whether any connection has a request without a response.
func (s *Server) HasBusyConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		isBusy := c.isBusy
		c.mu.Unlock()
		if isBusy {
			return true
		}
	}
	return false
}

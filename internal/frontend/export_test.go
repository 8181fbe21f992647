package frontend

import (
	"foldslip/internal/admission"
)

// What tests outside the package look at or set.
const (
	MaxPipelinedBytes  = maxPipelinedBytes
	ResponseWriteSlack = responseWriteSlack
)

// Admission returns what bounds the lookups and their bytes.
func (s *Server) Admission() *admission.Controller { return s.admission }

// SetFull leaves capacity for so many lookups and bytes, with one lookup admitted already.
func (s *Server) SetFull(limit int) {
	s.admission = admission.NewController(s.env, limit, int64(limit))
	s.gate = s.admission.Gate(gateName, gateWeight)
	s.gate.TryAdmit()
}

// AcceptedCount returns how many connections have been accepted.
func (s *Server) AcceptedCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedCount
}

// HasEndingConn reports whether there is a connection that the server wants to end.
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

// HasBusyConn reports whether there is a connection with a request that has no response yet.
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

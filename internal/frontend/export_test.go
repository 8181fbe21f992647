package frontend

import (
	"foldslip/internal/admission"
)

// What tests outside the package look at or set.

const (
	MaxPipelinedBytes  = maxPipelinedBytes
	ResponseWriteSlack = responseWriteSlack
)

// Admission is what bounds the lookups and their bytes.
func (f *Server) Admission() *admission.Controller { return f.admission }

// SetFull leaves room for so many lookups and bytes, with one lookup admitted already.
func (f *Server) SetFull(limit int) {
	f.admission = admission.NewController(f.env, limit, int64(limit))
	f.gate = f.admission.Gate("clients", 1)
	f.gate.TryAdmit()
}

// AcceptedCount is how many connections have been accepted.
func (f *Server) AcceptedCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acceptedCount
}

// HasEndingConn tells whether there is a connection that the server wants to end.
func (f *Server) HasEndingConn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.isEnding() {
			return true
		}
	}
	return false
}

// HasBusyConn tells whether there is a connection with a lookup that has no answer yet.
func (f *Server) HasBusyConn() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		busy := c.busy
		c.mu.Unlock()
		if busy {
			return true
		}
	}
	return false
}

package extproc

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxCallers      = 1024 // remembered at once
	callerRetention = time.Minute

	// A caller that commits more faults (messages past its rate or too large, or out of order) opens no streams for blockTime, doubled each
	// time in a row. It is in a row within blockMemory of the last one.
	faultsPerSecond   = 20
	blockTime         = 500 * time.Millisecond
	maxBlockDoublings = 5
	blockMemory       = 10 * time.Second

	burstsPerSecond = 10 // that a rate is divided into: what a caller may send comes in no larger bursts
	minBurst        = 10
)

// What callers do against the contract, as Anomalies names it beside package retry's. The names stand in logs.
const (
	anomalyCallersFull         = "callers_full"
	anomalyStreamsFull         = "streams_full"
	anomalyRefusedWhileBlocked = "refused_while_barred"
	anomalyBlocked             = "barred"
	anomalyMessageRate         = "messages_past_rate"
	anomalyByteRate            = "bytes_past_rate"
	anomalyMessageTooLarge     = "message_too_large"
	anomalyPhaseOutOfOrder     = "phase_out_of_order"
	anomalyReportOutOfOrder    = "report_out_of_order"
	anomalyStreamSilent        = "stream_silent"
	anomalyObserveOnly         = "watched" // no fault: a message that is for others to see
	anomalyValidOtherCopy      = "valid_for_another_copy"
	anomalyCreationUnreported  = "birth_untold"
)

// caller is a proxy that has streams open, or had lately.
type caller struct {
	name              string
	streams           int
	messages          *rate.Limiter // nil: no limit
	bytes             *rate.Limiter // nil: no limit
	faults            *rate.Limiter
	blockedUntil      time.Time
	consecutiveBlocks int
	burstDropped      bool      // what it saved up while it was blocked
	idleSince         time.Time // since when it has no stream
}

// newLimiter limits a rate of events; nil if it is 0.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/burstsPerSecond)))
}

// acquireCaller finds or makes a caller and counts one more stream of it; nil if it or the Server has all that it may.
func (s *Server) acquireCaller(name string) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callers[name]
	if c == nil {
		if c = s.addCaller(name); c == nil {
			s.anomalies[anomalyCallersFull]++
			return nil
		}
	}
	if s.limits.MaxStreams > 0 && c.streams >= s.limits.MaxStreams {
		s.anomalies[anomalyStreamsFull]++
		return nil
	}
	c.streams++
	return c
}

// addCaller makes a caller, in place of idle ones if there are too many; nil if all are in use.
func (s *Server) addCaller(name string) *caller {
	now := s.Environment.Now()
	if len(s.callers) >= maxCallers {
		for _, other := range slices.Sorted(maps.Keys(s.callers)) {
			if c := s.callers[other]; c.streams == 0 && now.Sub(c.idleSince) > callerRetention {
				delete(s.callers, other)
			}
		}
	}
	if len(s.callers) >= maxCallers {
		return nil
	}
	c := &caller{
		name:     name,
		messages: newLimiter(s.limits.MessagesPerSecond),
		bytes:    newLimiter(s.limits.BytesPerSecond),
		faults:   newLimiter(faultsPerSecond),
	}
	s.callers[name] = c
	return c
}

func (s *Server) releaseCaller(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.streams--
	if c.streams == 0 {
		c.idleSince = s.Environment.Now()
	}
}

// AdmitsStream tells whether a caller may open a stream now, before anything is made for it.
func (s *Server) AdmitsStream(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Environment.Now()
	c := s.callers[name]
	if c == nil {
		return true
	}
	if !now.After(c.blockedUntil) {
		s.anomalies[anomalyRefusedWhileBlocked]++
		return false
	}
	if c.consecutiveBlocks > 0 && !c.burstDropped {
		c.dropBurst(now)
	}
	return true
}

// dropBurst takes what a caller's rate of messages saved up while it was blocked, so that no burst comes after the wait.
func (c *caller) dropBurst(now time.Time) {
	c.burstDropped = true
	if c.messages != nil {
		c.messages.AllowN(now, int(c.messages.TokensAt(now)))
	}
}

// chargeMessage counts a message of a caller against its rates; false, and a fault, if it is past them.
func (s *Server) chargeMessage(c *caller, size int) (ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Environment.Now()
	switch {
	case c.messages != nil && !c.messages.AllowN(now, 1):
		s.countFault(now, c, anomalyMessageRate)
		return false
	case c.bytes != nil && !c.bytes.AllowN(now, min(size, c.bytes.Burst())):
		s.countFault(now, c, anomalyByteRate)
		return false
	}
	return true
}

// countFault counts an anomaly as a caller's fault, under the lock, and blocks a caller that commits too many.
func (s *Server) countFault(now time.Time, c *caller, anomaly string) {
	s.anomalies[anomaly]++
	if c.faults.AllowN(now, 1) || !now.After(c.blockedUntil) {
		return
	}
	c.consecutiveBlocks++
	if now.Sub(c.blockedUntil) > blockMemory {
		c.consecutiveBlocks = 1
	}
	c.blockedUntil = now.Add(blockTime << min(c.consecutiveBlocks-1, maxBlockDoublings))
	c.burstDropped = false
	s.anomalies[anomalyBlocked]++
}

package extproc

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

const (
	maxCallers      = 1024        // callers remembered at the same time
	callerRetention = time.Minute // time without streams after which a caller may be evicted

	// A caller that commits faults at a rate above faultsPerSecond is blocked: it cannot open streams for
	// blockTime. Faults are messages above the caller's rates, messages that are too large, and messages out
	// of order. Each consecutive block lasts twice as long as the one before, with at most maxBlockDoublings
	// doublings. A block is consecutive if it starts within blockMemory after the end of the previous block.
	faultsPerSecond   = 20
	blockTime         = 500 * time.Millisecond
	maxBlockDoublings = 5
	blockMemory       = 10 * time.Second

	// A caller that ends streams before their first reply at a rate above brokenOffPerSecond is slowed for slowedTime.
	brokenOffPerSecond = 100
	slowedTime         = time.Second

	// The burst of a rate limit is the rate divided by burstsPerSecond, and
	// at least minBurst events. It bounds how much a caller may send at once.
	burstsPerSecond = 10
	minBurst        = 10
)

// Names under which Server.Anomalies counts deviations of callers from the contract, in addition to those of package
// retry. The names appear in logs.
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
	anomalyBrokenOff           = "broken_off"
	anomalyObserveOnly         = "watched" // allowed: a message that the caller sends for observation only
	anomalyValidOtherCopy      = "valid_for_another_copy"
	anomalyCreationUnreported  = "birth_untold"
)

// caller is the state of one proxy. It is kept while the proxy has open streams and for some time after.
type caller struct {
	name              string
	streams           int           // open streams
	messages          *rate.Limiter // nil: unlimited
	bytes             *rate.Limiter // nil: unlimited
	faults            *rate.Limiter
	blockedUntil      time.Time
	consecutiveBlocks int
	burstDropped      bool          // the message tokens accumulated during the last block have been discarded
	brokenOff         *rate.Limiter // of streams that the caller ends before their first reply
	slowedUntil       time.Time     // see Server.IsSlowed
	idleSince         time.Time     // when the last stream closed; valid while streams is 0
}

// newLimiter returns a limiter for a rate of events, or nil if the rate is 0, which means unlimited.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurst, int(perSecond/burstsPerSecond)))
}

// acquireCaller returns the caller of the given name and counts one more open stream for it. A caller that is not known
// is added. acquireCaller returns nil if the caller has MaxStreams open or if no caller can be added.
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
	if !s.mayOpenStream(c) {
		s.anomalies[anomalyStreamsFull]++
		return nil
	}
	c.streams++
	s.openStreams++
	return c
}

// mayOpenStream reports whether the limits of streams allow the caller one more. s.mu must be held.
func (s *Server) mayOpenStream(c *caller) bool {
	if s.limits.MaxStreams > 0 && c.streams >= s.limits.MaxStreams {
		return false
	}
	return s.limits.MaxTotalStreams <= 0 || c.streams < s.limits.MaxTotalStreams-s.openStreams
}

// addCaller adds a caller. If maxCallers are known, it first evicts those that have been idle for longer than
// callerRetention. It returns nil if there is still no room.
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

		brokenOff: newLimiter(brokenOffPerSecond),
	}
	s.callers[name] = c
	return c
}

func (s *Server) releaseCaller(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.streams--
	s.openStreams--
	if c.streams == 0 {
		c.idleSince = s.Environment.Now()
	}
}

// AdmitsStream reports whether a caller may open a stream now, which a blocked caller and one at its limit may not. It is meant to be called
// before resources are allocated for the stream.
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
	if !s.mayOpenStream(c) {
		s.anomalies[anomalyStreamsFull]++
		return false
	}
	if c.consecutiveBlocks > 0 && !c.burstDropped {
		c.dropBurst(now)
	}
	return true
}

// IsSlowed reports whether a caller has ended many streams before their first reply. Each of them costs the processor
// about as much as a lookup, without limit, since none stays open.
func (s *Server) IsSlowed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.callers[name]
	return c != nil && s.Environment.Now().Before(c.slowedUntil)
}

// countBrokenOff counts a stream that its caller ended before the first reply.
func (s *Server) countBrokenOff(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Environment.Now()
	if !c.brokenOff.AllowN(now, 1) {
		s.anomalies[anomalyBrokenOff]++
		c.slowedUntil = now.Add(slowedTime)
	}
}

// dropBurst discards the message tokens that accumulated while the caller was blocked, so that the caller cannot send a
// burst as soon as the block ends.
func (c *caller) dropBurst(now time.Time) {
	c.burstDropped = true
	if c.messages != nil {
		c.messages.AllowN(now, int(c.messages.TokensAt(now)))
	}
}

// chargeMessage charges a message of the given size in bytes to the caller's message rate and byte rate. It returns
// false and counts a fault if the message exceeds one of them.
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

// countFault counts an anomaly as a fault of the caller and blocks the caller if it commits faults at a rate above
// faultsPerSecond. s.mu must be held.
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

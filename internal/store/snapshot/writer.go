package snapshot

import (
	"time"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
)

// Run writes until the lifetime ends, and once more then. It closes the list.
func (s *Snapshotter) Run(lifetime *env.Lifetime) error {
	defer lifetime.OnEnd(s.wakeup.Notify)()
	defer s.log.Close()
	limiter := &tokenBucket{rate: s.limits.WritesPerSecond, tokens: maxWriteBurst, updatedAt: s.env.Now()}
	retries := retryState{delay: minRetryDelay}
	for {
		if !lifetime.Ended() {
			s.wakeup.Wait(-1)
		}
		if wait := limiter.reserve(s.env.Now()); wait > 0 && !lifetime.Ended() {
			s.pause(lifetime, wait)
		}
		isLast := lifetime.Ended()
		err := s.flush()
		s.logTransition(&retries, err)
		if isLast {
			return nil
		}
		if err != nil {
			s.pause(lifetime, retries.delay)
			retries.delay = min(2*retries.delay, maxRetryDelay)
			s.wakeup.Notify()
		}
	}
}

// retryState is what the writer remembers of failed writes.
type retryState struct {
	lastError string // the last one's text; "": the last write succeeded
	delay     time.Duration
}

// logTransition logs a write's result if it differs from that of the write before.
func (s *Snapshotter) logTransition(retries *retryState, err error) {
	switch {
	case err == nil && retries.lastError != "":
		s.env.Log().Info("list_write_recovered", "after", retries.lastError)
		*retries = retryState{delay: minRetryDelay}
	case err != nil && retries.lastError != err.Error():
		retries.lastError = err.Error()
		s.env.Log().Warn("list_write_failed", "error", retries.lastError, "retry_ms", retries.delay.Milliseconds())
	}
}

// pause waits for a duration or until the lifetime ends.
func (s *Snapshotter) pause(lifetime *env.Lifetime, duration time.Duration) {
	ended := s.env.NewNotifier()
	defer lifetime.OnEnd(ended.Notify)()
	ended.Wait(duration)
}

// batch is what goes to disk in one write: a snapshot of a state, or else updates.
type batch struct {
	state     *endpoints.State // nil: updates
	updates   [][]byte
	lastEvent int64
}

// flush writes what is pending. After an error the next write is a snapshot.
func (s *Snapshotter) flush() error {
	b, isEmpty := s.takeBatch()
	if isEmpty {
		return nil
	}
	err := s.writeBatch(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.requireSnapshot()
		return err
	}
	s.durableEvent = b.lastEvent
	return nil
}

// takeBatch takes what is pending, as a snapshot if one is due or the generation has grown past half of its bytes.
func (s *Snapshotter) takeBatch() (b batch, isEmpty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isSnapshot := s.snapshotDue || s.log.Size()+int64(s.pendingBytes) > max(minCompactionSize, s.limits.MaxBytes/2)
	if !isSnapshot && len(s.pending) == 0 {
		return b, true
	}
	b = batch{updates: s.pending, lastEvent: s.state.LastEvent}
	if isSnapshot {
		b.state = s.state.Clone()
	}
	s.pending = nil
	s.pendingBytes = 0
	s.snapshotDue = false
	return b, false
}

func (s *Snapshotter) writeBatch(b batch) error {
	if b.state == nil {
		return s.log.Append(b.updates...)
	}
	encoded, err := b.state.Snapshot()
	if err != nil {
		return err
	}
	if size := int64(len(encoded)); size > s.limits.MaxBytes {
		return &TooLargeError{Size: size, MaxSize: s.limits.MaxBytes}
	}
	return s.log.WriteSnapshot(encoded)
}

// tokenBucket allows so many writes a second, and bursts of maxWriteBurst.
type tokenBucket struct {
	rate      float64 // tokens a second; 0 or less: any number
	tokens    float64
	updatedAt time.Time
}

// reserve takes a token and returns how long to wait for it.
func (b *tokenBucket) reserve(now time.Time) time.Duration {
	b.tokens = min(maxWriteBurst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens--
	if b.tokens >= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

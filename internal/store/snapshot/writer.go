package snapshot

import (
	"time"

	"foldslip/internal/env"
	"foldslip/internal/store/endpoints"
)

// Run writes the pending updates until the lifetime ends. Then it writes once more and closes the list.
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

// retryState is the state that the writer retains between writes to handle errors.
type retryState struct {
	lastError string        // text of the last write's error; "" if that write succeeded
	delay     time.Duration // delay before the next write after an error
}

// logTransition logs the result of a write if it differs from the result of the previous write.
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

// batch is the content of one write. It is either a snapshot of a state or a list of updates.
type batch struct {
	state     *endpoints.State // nil if the batch is a list of updates
	updates   [][]byte
	lastEvent int64
}

// flush writes the pending updates, or a snapshot if one is due. After an error the next write is a snapshot.
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

// takeBatch removes the pending updates and returns them as the next batch. The batch is a snapshot instead if one is
// due, or if the updates would make the generation larger than both minCompactionSize and half of Limits.MaxBytes.
// isEmpty reports that there is nothing to write.
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

// tokenBucket limits the rate of writes and allows bursts of maxWriteBurst.
type tokenBucket struct {
	rate      float64 // tokens per second; 0 or less means unlimited
	tokens    float64
	updatedAt time.Time
}

// reserve takes a token and returns the time to wait until it is available.
func (b *tokenBucket) reserve(now time.Time) time.Duration {
	b.tokens = min(maxWriteBurst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	b.tokens--
	if b.tokens >= 0 || b.rate <= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}

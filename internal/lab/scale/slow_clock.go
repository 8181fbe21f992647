package scale

import (
	"net"
	"time"

	"foldslip/internal/env"
)

// SlowClock is a clock that runs slower than the machine's clock by a factor. Gateways on this clock, and the
// stand-in that publishes events by it, need less of the processor by that factor, so that more gateways fit on a
// machine. What each uses is divided by seconds of the slow clock. Delays of the machine and the network, such as a
// wake-up, appear shorter by the same factor.
type SlowClock struct {
	base   time.Time
	factor float64
}

// NewSlowClock returns a clock that showed the machine's time at an instant, which is given in Unix microseconds.
// Factors below 1 count as 1.
func NewSlowClock(unixMicro int64, factor float64) SlowClock {
	now := time.Now()
	return SlowClock{now.Add(-time.Duration(now.UnixMicro()-unixMicro) * time.Microsecond), max(1, factor)}
}

// Now returns the slow clock's time.
func (c SlowClock) Now() time.Time {
	if c.factor == 1 {
		return time.Now()
	}
	return c.base.Add(time.Duration(float64(time.Since(c.base)) / c.factor))
}

// realDuration converts a duration of the slow clock to one of the machine's clock. Durations of 0 and less mean no
// timeout and are returned as they are.
func (c SlowClock) realDuration(d time.Duration) time.Duration {
	if d <= 0 || c.factor == 1 {
		return d
	}
	return time.Duration(min(float64(d)*c.factor, float64(1<<62)))
}

// realTime returns the machine's time at which the slow clock shows a time. The zero time is returned as it is.
func (c SlowClock) realTime(t time.Time) time.Time {
	if t.IsZero() || c.factor == 1 {
		return t
	}
	return c.base.Add(time.Duration(float64(t.Sub(c.base)) * c.factor))
}

// slowNotifier is a notifier whose timeouts are durations of a slow clock.
type slowNotifier struct {
	env.Notifier
	clock SlowClock
}

func (n slowNotifier) Wait(timeout time.Duration) bool {
	return n.Notifier.Wait(n.clock.realDuration(timeout))
}

// slowConn is a connection whose deadlines are times of a slow clock.
type slowConn struct {
	net.Conn
	clock SlowClock
}

func (c *slowConn) SetDeadline(t time.Time) error { return c.Conn.SetDeadline(c.clock.realTime(t)) }
func (c *slowConn) SetReadDeadline(t time.Time) error {
	return c.Conn.SetReadDeadline(c.clock.realTime(t))
}
func (c *slowConn) SetWriteDeadline(t time.Time) error {
	return c.Conn.SetWriteDeadline(c.clock.realTime(t))
}

package scale

import (
	"net"
	"time"

	"foldslip/internal/env"
)

// SlowClock is a clock that runs slower than the machine's by a factor. Gateways on it, and the stand-in that publishes events by it,
// need only that fraction of the processor at a time, so that more of them fit on a machine; what each spends is counted against the
// slow clock's seconds. Delays of the machine and the network, such as a wake-up, appear shorter by the same factor.
type SlowClock struct {
	base   time.Time
	factor float64
}

// NewSlowClock makes a clock that was right at an instant of Unix time, in microseconds; factors below 1 count as 1.
func NewSlowClock(unixMicro int64, factor float64) SlowClock {
	now := time.Now()
	return SlowClock{now.Add(-time.Duration(now.UnixMicro()-unixMicro) * time.Microsecond), max(1, factor)}
}

// Now is the slow clock's time.
func (c SlowClock) Now() time.Time {
	if c.factor == 1 {
		return time.Now()
	}
	return c.base.Add(time.Duration(float64(time.Since(c.base)) / c.factor))
}

// realDuration is the machine's time for a duration of the slow clock; 0 and less, which mean no timeout, stay.
func (c SlowClock) realDuration(d time.Duration) time.Duration {
	if d <= 0 || c.factor == 1 {
		return d
	}
	return time.Duration(min(float64(d)*c.factor, float64(1<<62)))
}

// realTime is the machine's time at which the slow clock shows a time.
func (c SlowClock) realTime(t time.Time) time.Time {
	if t.IsZero() || c.factor == 1 {
		return t
	}
	return c.base.Add(time.Duration(float64(t.Sub(c.base)) * c.factor))
}

// slowNotifier is a notifier whose timeouts are the slow clock's.
type slowNotifier struct {
	env.Notifier
	clock SlowClock
}

func (n slowNotifier) Wait(timeout time.Duration) bool {
	return n.Notifier.Wait(n.clock.realDuration(timeout))
}

// slowConn is a connection whose deadlines are the slow clock's.
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

package scale

import (
	"net"
	"time"

	"foldslip/internal/env"
)

// SlowClock is a clock that runs k times slower than the machine's. Gateways on it, and the stand-in that tells them events by it, need
// only a k-th of the processor at a time, so that more of them fit on a machine than it could bear at its own pace; what each spends
// is counted against the slow clock's seconds. Waits of the network, such as a wake-up, come out k times shorter than they are.
type SlowClock struct {
	base   time.Time
	factor float64
}

// NewSlowClock makes a clock that was right at an instant of Unix time; k is 1 or more.
func NewSlowClock(unixMicro int64, k float64) SlowClock {
	now := time.Now()
	return SlowClock{now.Add(-time.Duration(now.UnixMicro()-unixMicro) * time.Microsecond), max(1, k)}
}

// Now is the slow clock's time.
func (p SlowClock) Now() time.Time {
	if p.factor == 1 {
		return time.Now()
	}
	return p.base.Add(time.Duration(float64(time.Since(p.base)) / p.factor))
}

// realDuration is how long a time of the slow clock takes; under 0 there is no end, as everywhere.
func (p SlowClock) realDuration(d time.Duration) time.Duration {
	if d <= 0 || p.factor == 1 {
		return d
	}
	return time.Duration(min(float64(d)*p.factor, float64(1<<62)))
}

// realTime is when the slow clock shows a time.
func (p SlowClock) realTime(t time.Time) time.Time {
	if t.IsZero() || p.factor == 1 {
		return t
	}
	return p.base.Add(time.Duration(float64(t.Sub(p.base)) * p.factor))
}

type slowNotifier struct {
	env.Notifier
	clock SlowClock
}

func (b slowNotifier) Wait(within time.Duration) bool {
	return b.Notifier.Wait(b.clock.realDuration(within))
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

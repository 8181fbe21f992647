package scale

import (
	"net"
	"time"

	"foldslip/internal/env"
)

// Pace is a clock that runs k times slower than the machine's. Gateways on it, and the stand-in that tells them events by it, need
// only a k-th of the processor at a time, so that more of them fit on a machine than it could bear at its own pace; what each spends
// is counted against the slow clock's seconds. Waits of the network, such as a wake-up, come out k times shorter than they are.
type Pace struct {
	base time.Time
	k    float64
}

// NewPace makes a clock that was right at an instant of Unix time; k is 1 or more.
func NewPace(unixMicro int64, k float64) Pace {
	now := time.Now()
	return Pace{now.Add(-time.Duration(now.UnixMicro()-unixMicro) * time.Microsecond), max(1, k)}
}

// Now is the slow clock's time.
func (p Pace) Now() time.Time {
	if p.k == 1 {
		return time.Now()
	}
	return p.base.Add(time.Duration(float64(time.Since(p.base)) / p.k))
}

// span is how long a time of the slow clock takes; under 0 there is no end, as everywhere.
func (p Pace) span(d time.Duration) time.Duration {
	if d <= 0 || p.k == 1 {
		return d
	}
	return time.Duration(min(float64(d)*p.k, float64(1<<62)))
}

// real is when the slow clock shows a time.
func (p Pace) real(t time.Time) time.Time {
	if t.IsZero() || p.k == 1 {
		return t
	}
	return p.base.Add(time.Duration(float64(t.Sub(p.base)) * p.k))
}

type slowNotifier struct {
	env.Notifier
	pace Pace
}

func (b slowNotifier) Wait(within time.Duration) bool { return b.Notifier.Wait(b.pace.span(within)) }

// slowConn is a connection whose deadlines are the slow clock's.
type slowConn struct {
	net.Conn
	pace Pace
}

func (c *slowConn) SetDeadline(t time.Time) error     { return c.Conn.SetDeadline(c.pace.real(t)) }
func (c *slowConn) SetReadDeadline(t time.Time) error { return c.Conn.SetReadDeadline(c.pace.real(t)) }
func (c *slowConn) SetWriteDeadline(t time.Time) error {
	return c.Conn.SetWriteDeadline(c.pace.real(t))
}

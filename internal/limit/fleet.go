package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// minFleetByteBurst is the smallest burst, in bytes, of a gateway's part of a fleet-wide byte rate. No object is larger,
// so any object fits into the bucket.
const minFleetByteBurst = 240_000

// Amounts are this gateway's parts of a fleet-wide limit.
type Amounts struct {
	LookupsPerSecond float64
	BytesPerSecond   float64
	MaxOpen          int
}

// Lease grants this gateway its parts of a fleet-wide limit until ExpiresAt. If no newer lease has been set by then, the
// fallback applies: a process that was paused must not continue to use what it had borrowed.
type Lease struct {
	Granted   Amounts
	Fallback  Amounts
	ExpiresAt time.Time
}

// Usage counts the requested and admitted lookups and bytes of a fleet-wide limit since its creation, and its open
// lookups.
type Usage struct {
	RequestedLookups uint64
	AdmittedLookups  uint64
	RequestedBytes   uint64
	AdmittedBytes    uint64
	RequestedOpen    int // open lookups, and those rejected with OpenExceeded since the previous call of Limit.Usage
	Open             int
}

func (u *Usage) request(bytes int) {
	u.RequestedLookups++
	u.RequestedBytes += uint64(max(0, bytes))
}

func (u *Usage) admit(bytes int) {
	u.AdmittedLookups++
	u.AdmittedBytes += uint64(max(0, bytes))
}

// fleetState is the additional state of a fleet-wide limit.
type fleetState struct {
	lease           Lease
	isExpired       bool // the lease has expired and its fallback applies
	usage           Usage
	rejectedForOpen int // lookups rejected with OpenExceeded since the last call of Usage
}

// setFleetSpec makes the limit fleet-wide or changes a fleet-wide limit. Its rates and MaxOpen admit nothing until a
// lease grants it. The retry ratio is not divided among gateways and applies at once.
func (l *Limit) setFleetSpec(now time.Time, spec Spec) {
	wasFleetWide := l.spec.FleetWide
	var lease Lease
	if wasFleetWide {
		lease = l.fleet.lease
	}
	lookups, bytes := l.lookups, l.bytes
	gatewaySpec := Spec{RetryRatio: spec.RetryRatio}
	l.setSpec(now, gatewaySpec)
	l.lookups = leasedBucket(lookups, wasFleetWide, spec.LookupsPerSecond)
	l.bytes = leasedBucket(bytes, wasFleetWide, spec.BytesPerSecond)
	l.spec = spec
	l.SetLease(now, lease)
}

// leasedBucket returns the token bucket of a fleet-wide rate, or nil if the rate is no limit. A bucket that was not
// fleet-wide is replaced by an empty one. Otherwise this process could admit a burst that an earlier process of the same
// gateway has already used.
func leasedBucket(before *rate.Limiter, wasFleetWide bool, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	if before == nil || !wasFleetWide {
		return rate.NewLimiter(0, 0)
	}
	return before
}

// SetLease sets the lease that this gateway admits lookups by. It does nothing if the limit is not fleet-wide.
func (l *Limit) SetLease(now time.Time, lease Lease) {
	if !l.spec.FleetWide {
		return
	}
	l.fleet.lease = lease
	l.fleet.isExpired = false
	l.setAmounts(now, lease.Granted)
}

// expireLease applies the lease's fallback if the lease has expired.
func (l *Limit) expireLease(now time.Time) {
	if !l.fleet.isExpired && !now.Before(l.fleet.lease.ExpiresAt) {
		l.fleet.isExpired = true
		l.setAmounts(now, l.fleet.lease.Fallback)
	}
}

func (l *Limit) setAmounts(now time.Time, amounts Amounts) {
	setRate(now, l.lookups, amounts.LookupsPerSecond, minLookupBurst)
	setRate(now, l.bytes, amounts.BytesPerSecond, minFleetByteBurst)
	l.quotas.Resize(openCapacity(l.spec, amounts.MaxOpen))
}

// setRate changes the rate and the burst of a bucket and keeps its tokens, up to the new burst.
func setRate(now time.Time, bucket *rate.Limiter, perSecond, minBurst float64) {
	if bucket == nil || float64(bucket.Limit()) == perSecond {
		return
	}
	burst := 0
	if perSecond > 0 {
		burst = int(max(minBurst, perSecond*BurstWindow.Seconds()))
	}
	bucket.SetLimitAt(now, rate.Limit(perSecond))
	bucket.SetBurstAt(now, burst)
}

// Usage returns the usage of a fleet-wide limit and restarts the count of lookups rejected with OpenExceeded. The usage
// is the basis of this gateway's demand when gateways lend each other parts of the limit.
func (l *Limit) Usage() Usage {
	usage := l.fleet.usage
	if l.spec.MaxOpen > 0 {
		usage.Open = l.Open()
	}
	usage.RequestedOpen = usage.Open + l.fleet.rejectedForOpen
	l.fleet.rejectedForOpen = 0
	return usage
}

package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// minFleetByteBurst is what a gateway's part of a fleet's byte rate may be over at once: no object is larger.
const minFleetByteBurst = 240_000

// Amounts are the parts of a fleet's limits that this gateway may admit.
type Amounts struct {
	LookupsPerSecond float64
	BytesPerSecond   float64
	MaxOpen          int
}

// Lease is what this gateway may admit until a time, and after it if no other lease has come by then: a process that stood still must not go
// on with what it had borrowed.
type Lease struct {
	Granted   Amounts
	Fallback  Amounts
	ExpiresAt time.Time
}

// Usage is what was requested and admitted of a fleet's limits since the limit was made, and what is open.
type Usage struct {
	RequestedLookups uint64
	AdmittedLookups  uint64
	RequestedBytes   uint64
	AdmittedBytes    uint64
	RequestedOpen    int // at once, now
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

// fleetState is what a limit of the whole fleet has beside the others.
type fleetState struct {
	lease           Lease
	isExpired       bool // the lease's fallback holds
	usage           Usage
	rejectedForOpen int // lookups, since Usage was called
}

// setFleetSpec changes to limits of the whole fleet: nothing is admitted before a lease grants it. Limits that are not the fleet's hold as
// they are.
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

// leasedBucket returns the bucket of a fleet's rate, nil for no limit. One that was not the fleet's is replaced by an empty one: what another
// process of this name used is not there again.
func leasedBucket(before *rate.Limiter, wasFleetWide bool, perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	if before == nil || !wasFleetWide {
		return rate.NewLimiter(0, 0)
	}
	return before
}

// SetLease sets what this gateway may admit. It does nothing for limits that are not the fleet's.
func (l *Limit) SetLease(now time.Time, lease Lease) {
	if !l.spec.FleetWide {
		return
	}
	l.fleet.lease = lease
	l.fleet.isExpired = false
	l.setAmounts(now, lease.Granted)
}

// expireLease changes to the lease's fallback when it has expired.
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

// setRate changes a bucket's rate and keeps its tokens.
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

// Usage returns what was requested and admitted, for those who share a fleet's limit.
func (l *Limit) Usage() Usage {
	usage := l.fleet.usage
	if l.spec.MaxOpen > 0 {
		usage.Open = l.Open()
	}
	usage.RequestedOpen = usage.Open + l.fleet.rejectedForOpen
	l.fleet.rejectedForOpen = 0
	return usage
}

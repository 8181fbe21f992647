// Package limit bounds what a pool, a route or a tenant may have: lookups and bytes a second, lookups open at once, and retries. It does no I/O
// and keeps no clock: time goes in, and whether a lookup is admitted or when to retry comes out. Nothing waits here. State is carried over from
// one configuration to the next where the limited thing is the same (Set.Carry), so that no change refills a bucket or forgets what is open.
//
// Nothing in it is safe for concurrent use; the rollout controller holds its lock. It is bounded by the configuration, one Limit for each
// thing that it names, and by admission.MaxClaimants for each.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foldslip/internal/admission"
)

// Spec is the limits of one thing. Zero is no limit.
type Spec struct {
	LookupsPerSecond float64
	BytesPerSecond   float64
	MaxOpen          int     // lookups open at once
	Adaptive         bool    // MaxOpen is a ceiling, and fewer are allowed as responses slow down
	RetryRatio       float64 // retries for each first attempt; below 0: none
	FleetWide        bool    // the rates and MaxOpen are of all gateways together; this one admits what a Lease grants
}

// Reason is why a lookup is rejected.
type Reason string

// Reasons are sent to clients and logged by these words.
const (
	Allowed            Reason = ""
	LookupRateExceeded Reason = "lookups_a_second"
	ByteRateExceeded   Reason = "bytes_a_second"
	OpenExceeded       Reason = "open"
	RetriesExceeded    Reason = "further_sends"
)

const (
	// BurstWindow is how long a second's worth may be saved up.
	BurstWindow = time.Second / 2

	minLookupBurst = 1
	minByteBurst   = 1 << 20

	defaultRetryAfter = 100 * time.Millisecond // for open lookups, where latency is not measured
	minRetryAfter     = time.Millisecond
)

// Limit is the state of one thing's limits.
type Limit struct {
	Name       string
	Rejections map[Reason]uint64

	spec     Spec
	lookups  *rate.Limiter     // nil: no limit
	bytes    *rate.Limiter     // nil: no limit
	quotas   *admission.Quotas // open lookups, divided among tenants; the same for the life of the limit, as permits go back to it
	adaptive *Adaptive         // nil: MaxOpen is fixed
	retries  *RetryBudget
	fleet    fleetState
}

// New returns the limit of a thing.
func New(now time.Time, name string, spec Spec) *Limit {
	l := &Limit{Name: name, Rejections: map[Reason]uint64{}, quotas: admission.NewQuotas(admission.Unlimited)}
	l.setSpec(now, spec)
	return l
}

// Spec returns the limits that hold.
func (l *Limit) Spec() Spec { return l.spec }

// Open returns how many lookups are open, also where they are not limited.
func (l *Limit) Open() int { return l.quotas.Open() }

// setSpec changes the limits and keeps what has been used.
func (l *Limit) setSpec(now time.Time, spec Spec) {
	if spec.FleetWide {
		l.setFleetSpec(now, spec)
		return
	}
	l.lookups = resizeBucket(now, l.lookups, spec.LookupsPerSecond, minLookupBurst)
	l.bytes = resizeBucket(now, l.bytes, spec.BytesPerSecond, minByteBurst)
	l.setMaxOpen(spec)
	l.setRetryRatio(spec.RetryRatio)
	l.spec = spec
}

func (l *Limit) setMaxOpen(spec Spec) {
	l.quotas.Resize(openCapacity(spec, spec.MaxOpen))
	switch {
	case !spec.Adaptive || spec.MaxOpen <= 0:
		l.adaptive = nil
	case l.adaptive == nil:
		l.adaptive = NewAdaptive(spec.MaxOpen)
	default:
		l.adaptive.SetCeiling(spec.MaxOpen)
	}
}

// openCapacity returns how many lookups may be open where a limit on them allows maxOpen now.
func openCapacity(spec Spec, maxOpen int) int {
	if spec.MaxOpen <= 0 {
		return admission.Unlimited
	}
	return maxOpen
}

func (l *Limit) setRetryRatio(ratio float64) {
	switch {
	case ratio == 0:
		l.retries = nil
	case l.retries == nil:
		l.retries = NewRetryBudget(max(0, ratio))
	default:
		l.retries.SetRatio(max(0, ratio))
	}
}

// resizeBucket returns a token bucket of another rate, nil for no limit. The part of the old one that had been used is used of the new one; one
// that could hold nothing (of a fleet's limit without a lease) counts as used up.
func resizeBucket(now time.Time, before *rate.Limiter, perSecond, minBurst float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	burst := int(max(minBurst, perSecond*BurstWindow.Seconds()))
	resized := rate.NewLimiter(rate.Limit(perSecond), burst)
	if before == nil {
		return resized
	}
	left := 0.0
	if before.Burst() > 0 {
		left = before.TokensAt(now) / float64(before.Burst())
	}
	if used := int(math.Ceil(float64(burst) * (1 - left))); used > 0 {
		resized.AllowN(now, min(burst, used))
	}
	return resized
}

// Permit is a lookup that was admitted. Release must be called at its end.
type Permit struct {
	limit      *Limit
	claimant   *admission.Claimant // of the limit's quotas; nil: it was released
	adaptive   *Adaptive           // that admitted it; nil: none did
	admittedAt time.Time
}

// Admit admits a lookup of a tenant. If it is rejected there is no permit, but a reason and the time after which to retry.
func (l *Limit) Admit(now time.Time, tenant string, weight float64, bytes int) (*Permit, Reason, time.Duration) {
	if l.spec.FleetWide {
		l.expireLease(now)
		l.fleet.usage.request(bytes)
	}
	permit := &Permit{limit: l, adaptive: l.adaptive, admittedAt: now}
	if !l.acquireOpen(now, permit, tenant, weight) {
		l.fleet.rejectedForOpen++
		return nil, l.reject(OpenExceeded), l.openRetryAfter()
	}
	if reason, retryAfter := l.takeTokens(now, bytes); reason != Allowed {
		permit.releaseOpen(now)
		return nil, l.reject(reason), retryAfter
	}
	if l.retries != nil {
		l.retries.RecordFirstAttempt(now)
	}
	if l.spec.FleetWide {
		l.fleet.usage.admit(bytes)
	}
	return permit, Allowed, 0
}

// acquireOpen takes one of the tenant's quota of open lookups.
func (l *Limit) acquireOpen(now time.Time, permit *Permit, tenant string, weight float64) bool {
	if l.adaptive != nil {
		l.quotas.Resize(l.adaptive.Limit())
	}
	permit.claimant = l.quotas.Claimant(now, tenant, weight)
	return l.quotas.TryAcquire(now, permit.claimant)
}

// takeTokens takes a lookup and its bytes from their buckets, both or neither.
func (l *Limit) takeTokens(now time.Time, bytes int) (Reason, time.Duration) {
	if l.bytes != nil && (l.bytes.Burst() == 0 || l.bytes.TokensAt(now) < float64(min(bytes, l.bytes.Burst()))) {
		return ByteRateExceeded, bucketRetryAfter(now, l.bytes, bytes)
	}
	if l.lookups != nil && !l.lookups.AllowN(now, 1) {
		return LookupRateExceeded, bucketRetryAfter(now, l.lookups, 1)
	}
	if l.bytes != nil {
		l.bytes.AllowN(now, min(bytes, l.bytes.Burst()))
	}
	return Allowed, 0
}

// bucketRetryAfter returns when a bucket will have so many tokens.
func bucketRetryAfter(now time.Time, bucket *rate.Limiter, tokens int) time.Duration {
	if bucket.Limit() <= 0 { // no lease has granted any of the fleet's limit
		return time.Second
	}
	missing := float64(min(tokens, bucket.Burst())) - bucket.TokensAt(now)
	return max(minRetryAfter, time.Duration(missing/float64(bucket.Limit())*float64(time.Second)))
}

// openRetryAfter returns when an open lookup is likely to have ended: after the recent latency.
func (l *Limit) openRetryAfter() time.Duration {
	if l.adaptive != nil {
		if latency := l.adaptive.Latency(); latency > 0 {
			return latency
		}
	}
	return defaultRetryAfter
}

func (l *Limit) reject(reason Reason) Reason {
	l.Rejections[reason]++
	return reason
}

// releaseOpen gives the open lookup back and reports whether it was held.
func (p *Permit) releaseOpen(now time.Time) bool {
	if p.claimant == nil {
		return false
	}
	p.limit.quotas.Release(now, p.claimant)
	p.claimant = nil
	return true
}

// Release ends the lookup: isSuccess if its response came, isOverload if it was late or failed for want of capacity. Only the first call counts.
func (p *Permit) Release(now time.Time, isSuccess, isOverload bool) {
	openLookups := p.limit.quotas.Open()
	if !p.releaseOpen(now) {
		return
	}
	if p.adaptive != nil && p.adaptive == p.limit.adaptive {
		p.adaptive.Observe(now, Sample{Latency: now.Sub(p.admittedAt), Open: openLookups, IsSuccess: isSuccess, IsOverload: isOverload})
	}
}

// AllowRetry reports, by Allowed, whether a lookup may send one more attempt now.
func (l *Limit) AllowRetry(now time.Time) Reason {
	if l.retries == nil {
		return Allowed
	}
	if l.spec.RetryRatio < 0 || !l.retries.TryTake(now) {
		return l.reject(RetriesExceeded)
	}
	return Allowed
}

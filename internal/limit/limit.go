// Package limit enforces the limits of pools, routes and tenants: lookups and bytes per second, concurrently open
// lookups, and retries. It does no I/O, reads no clock and never blocks. Callers pass in the time; the package returns
// whether a lookup is admitted and, if it is not, when to retry.
//
// Set.Carry carries the state of a limit over to the next configuration that has a limit of the same name. A change of
// the configuration therefore neither refills a token bucket nor loses count of open lookups.
//
// The package is not safe for concurrent use; the rollout controller calls it under its lock. Memory is bounded by the
// configuration, which has one Limit for each name, and by admission.MaxClaimants claimants for each Limit.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foldslip/internal/admission"
)

// Spec configures the limits of one pool, route or tenant. A zero field means no limit.
type Spec struct {
	LookupsPerSecond float64
	BytesPerSecond   float64
	MaxOpen          int     // concurrently open lookups
	Adaptive         bool    // MaxOpen is a ceiling; the limit in force falls as latency rises
	RetryRatio       float64 // retries per first attempt; below 0 none are allowed
	FleetWide        bool    // the rates and MaxOpen hold for all gateways together; a Lease grants this gateway its part
}

// Reason is the reason for which a lookup or a retry is rejected, or Allowed.
type Reason string

// The values of Reason are sent to clients and written to logs.
const (
	Allowed            Reason = ""
	LookupRateExceeded Reason = "lookups_a_second"
	ByteRateExceeded   Reason = "bytes_a_second"
	OpenExceeded       Reason = "open"
	RetriesExceeded    Reason = "further_sends"
)

const (
	// BurstWindow is the time over which a rate limit may accumulate tokens. It determines the burst.
	BurstWindow = time.Second / 2

	minLookupBurst = 1
	minByteBurst   = 1 << 20

	defaultRetryAfter = 100 * time.Millisecond // for OpenExceeded when no latency has been measured
	minRetryAfter     = time.Millisecond
)

// Limit is the state of the limits of one pool, route or tenant.
type Limit struct {
	Name       string
	Rejections map[Reason]uint64 // rejected lookups and retries by reason

	spec    Spec
	lookups *rate.Limiter // nil: no limit
	bytes   *rate.Limiter // nil: no limit
	// quotas divides the open lookups among tenants. It is never replaced, because permits are released into it.
	quotas   *admission.Quotas
	adaptive *Adaptive    // nil: MaxOpen is fixed
	retries  *RetryBudget // nil: no limit
	fleet    fleetState
}

// New returns a Limit with the given specification and full token buckets, or empty ones if the limit is fleet-wide.
func New(now time.Time, name string, spec Spec) *Limit {
	l := &Limit{Name: name, Rejections: map[Reason]uint64{}, quotas: admission.NewQuotas(admission.Unlimited)}
	l.setSpec(now, spec)
	return l
}

// Spec returns the present specification.
func (l *Limit) Spec() Spec { return l.spec }

// Open returns the number of open lookups. They are counted even if their number is not limited.
func (l *Limit) Open() int { return l.quotas.Open() }

// setSpec changes the limits. Tokens that have been used stay used, and open lookups stay counted.
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

// openCapacity returns maxOpen if the specification limits open lookups, and admission.Unlimited if it does not.
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

// resizeBucket returns a token bucket with the given rate, or nil if the rate is no limit. The new bucket is as full as
// the old one, in proportion to its burst. An old bucket of zero burst, which a fleet-wide limit without a lease has,
// counts as empty.
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

// Permit is held by an admitted lookup. The caller must call Release when the lookup ends.
type Permit struct {
	limit      *Limit
	claimant   *admission.Claimant // the tenant's claimant in limit.quotas; nil after the release
	adaptive   *Adaptive           // the adaptive limit in force at admission; nil: none
	admittedAt time.Time
}

// Admit requests admission for a lookup of a tenant. It returns a permit if the lookup is admitted. Otherwise it returns
// a nil permit, the reason for the rejection and the time after which to retry.
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

// acquireOpen acquires one open lookup from the tenant's quota and reports whether the quota allowed it.
func (l *Limit) acquireOpen(now time.Time, permit *Permit, tenant string, weight float64) bool {
	if l.adaptive != nil {
		l.quotas.Resize(l.adaptive.Limit())
	}
	permit.claimant = l.quotas.Claimant(now, tenant, weight)
	return l.quotas.TryAcquire(now, permit.claimant)
}

// takeTokens takes one lookup and its bytes from their token buckets. Bytes beyond the burst of their bucket are not
// charged. If either bucket has too few tokens, it takes nothing and returns the reason and the time after which to
// retry.
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

// bucketRetryAfter returns the time until the bucket holds the given number of tokens, or is full if its burst is
// smaller. The result is at least minRetryAfter, and one second if the bucket has no rate.
func bucketRetryAfter(now time.Time, bucket *rate.Limiter, tokens int) time.Duration {
	if bucket.Limit() <= 0 { // the limit is fleet-wide, and the lease grants nothing of its rate
		return time.Second
	}
	missing := float64(min(tokens, bucket.Burst())) - bucket.TokensAt(now)
	return max(minRetryAfter, time.Duration(missing/float64(bucket.Limit())*float64(time.Second)))
}

// openRetryAfter returns the time after which an open lookup has probably ended. That is the mean recent latency, or
// defaultRetryAfter if none has been measured.
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

// releaseOpen returns the open lookup to the tenant's quota. It reports false if it was released before.
func (p *Permit) releaseOpen(now time.Time) bool {
	if p.claimant == nil {
		return false
	}
	p.limit.quotas.Release(now, p.claimant)
	p.claimant = nil
	return true
}

// Release ends the lookup. isSuccess means that its response arrived. isOverload means that the lookup was late or
// failed for lack of capacity. Only the first call has an effect.
func (p *Permit) Release(now time.Time, isSuccess, isOverload bool) {
	openLookups := p.limit.quotas.Open()
	if !p.releaseOpen(now) {
		return
	}
	if p.adaptive != nil && p.adaptive == p.limit.adaptive {
		p.adaptive.Observe(now, Sample{Latency: now.Sub(p.admittedAt), Open: openLookups, IsSuccess: isSuccess, IsOverload: isOverload})
	}
}

// AllowRetry decides whether a lookup may send one more attempt now. Without a limit on retries it returns Allowed.
// Otherwise it takes one retry from the budget. It returns RetriesExceeded if none is left or RetryRatio is negative.
func (l *Limit) AllowRetry(now time.Time) Reason {
	if l.retries == nil {
		return Allowed
	}
	if l.spec.RetryRatio < 0 || !l.retries.TryTake(now) {
		return l.reject(RetriesExceeded)
	}
	return Allowed
}

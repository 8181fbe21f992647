// Package limit says how much a pool, a route or a tenant may have at once and in a second: lookups, bytes, sends in flight, and further
// sends. It does no I/O and keeps no clock: time goes in, and whether and when to come back comes out. What is refused is never held
// back. State is carried over from one configuration to the next where the thing is the same (Set.Carry), so that no change refills a
// bucket or forgets what is out.
//
// Owner: whoever admits, under its lock. Bounds: one record a named thing, told by the configuration; tenants as admission.MaxClaimants.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foldslip/internal/admission"
)

// Spec are the limits of one thing. Zero is no limit.
type Spec struct {
	LookupsPerSecond float64 // a second
	BytesPerSecond   float64 // a second
	MaxOpen          int     // lookups at once
	Adaptive         bool    // Open is a ceiling, and less is allowed as answers slow
	RetryRatio       float64 // further sends, as a part of first ones; below 0: none
	FleetWide        bool    // Lookups, Bytes and Open are of all gateways together; here goes what a Lease gives
}

// Amounts are the parts of a fleet's limit that may be let in here.
type Amounts struct {
	LookupsPerSecond, BytesPerSecond float64 // a second
	MaxOpen                          int
}

// Lease is what may be let in here until a time, and after it, if no other has come by then: a process that stood still must not go on
// with what it had borrowed.
type Lease struct {
	Granted, Fallback Amounts
	ExpiresAt         time.Time
}

// Usage is what lookups wanted and what was let in since the limit was made, and how many are in.
type Usage struct {
	RequestedLookups, AdmittedLookups uint64 // lookups
	RequestedBytes, AdmittedBytes     uint64
	RequestedOpen, Open               int // at once, now
}

// leastBytes is what a gateway's part of a fleet's limit of bytes may be over at once: an object is never larger.
const minFleetByteBurst = 240_000

// Burst is how long a second's worth may be saved up.
const BurstWindow = time.Second / 2

// Reason is why something is refused.
type Reason string

const (
	Allowed            Reason = ""
	LookupRateExceeded Reason = "lookups_a_second"
	ByteRateExceeded   Reason = "bytes_a_second"
	OpenExceeded       Reason = "open"
	RetriesExceeded    Reason = "further_sends"
)

// Limit is the state of one thing.
type Limit struct {
	Name            string
	spec            Spec
	lookups         *rate.Limiter
	bytes           *rate.Limiter
	quotas          *admission.Quotas
	adaptive        *Adaptive
	retries         *RetryBudget
	lease           Lease
	isLeaseExpired  bool // the lease is over, and what holds after it is in force
	usage           Usage
	rejectedForOpen int // lookups turned away for want of places since Use was asked
	Rejections      map[Reason]uint64
}

// New makes a thing's limit.
func New(now time.Time, name string, t Spec) *Limit {
	l := &Limit{Name: name, Rejections: map[Reason]uint64{}}
	l.setSpec(now, t)
	return l
}

// setSpec puts terms in place and keeps what has been used.
func (l *Limit) setSpec(now time.Time, t Spec) {
	if t.FleetWide {
		l.setFleetSpec(now, t)
		return
	}
	l.lookups, l.bytes = resizeBucket(now, l.lookups, t.LookupsPerSecond, 1), resizeBucket(now, l.bytes, t.BytesPerSecond, 1<<20)
	switch {
	case t.MaxOpen <= 0:
		l.quotas = nil
	case l.quotas == nil:
		l.quotas = admission.NewQuotas(t.MaxOpen)
	default:
		l.quotas.Resize(t.MaxOpen)
	}
	switch {
	case !t.Adaptive || t.MaxOpen <= 0:
		l.adaptive = nil
	case l.adaptive == nil:
		l.adaptive = NewAdaptive(t.MaxOpen)
	default:
		l.adaptive.SetCeiling(t.MaxOpen)
	}
	switch {
	case t.RetryRatio == 0:
		l.retries = nil
	case l.retries == nil:
		l.retries = NewRetryBudget(max(0, t.RetryRatio))
	default:
		l.retries.SetRatio(max(0, t.RetryRatio))
	}
	l.spec = t
}

// setFleetSpec puts terms of a whole fleet in place: nothing is let in before a lease says how much. What is not the fleet's stays.
func (l *Limit) setFleetSpec(now time.Time, t Spec) {
	own := t
	own.FleetWide, own.LookupsPerSecond, own.BytesPerSecond, own.MaxOpen, own.Adaptive = false, 0, 0, 0, false
	was, shared := l.lease, l.spec.FleetWide
	if !shared {
		was = Lease{}
	}
	lookups, bytes, open := l.lookups, l.bytes, l.quotas
	l.setSpec(now, own)
	empty := func(b *rate.Limiter, a float64) *rate.Limiter {
		if a <= 0 {
			return nil
		}
		if b == nil || !shared {
			b = rate.NewLimiter(0, 0) // empty: what another process of this name used up is not there again
		}
		return b
	}
	l.lookups, l.bytes = empty(lookups, t.LookupsPerSecond), empty(bytes, t.BytesPerSecond)
	if t.MaxOpen > 0 {
		if l.quotas = open; open == nil {
			l.quotas = admission.NewQuotas(0)
		}
	}
	l.spec = t
	l.SetLease(now, was)
}

// SetLease puts in place what may be let in here; for limits of the fleet only.
func (l *Limit) SetLease(now time.Time, lease Lease) {
	if !l.spec.FleetWide {
		return
	}
	l.lease, l.isLeaseExpired = lease, false
	l.setAmounts(now, lease.Granted)
}

func (l *Limit) setAmounts(now time.Time, a Amounts) {
	rated := func(b *rate.Limiter, r, least float64) {
		if b == nil || float64(b.Limit()) == r {
			return
		}
		burst := 0
		if r > 0 {
			burst = int(max(least, r*BurstWindow.Seconds()))
		}
		b.SetLimitAt(now, rate.Limit(r))
		b.SetBurstAt(now, burst)
	}
	rated(l.lookups, a.LookupsPerSecond, 1)
	rated(l.bytes, a.BytesPerSecond, minFleetByteBurst)
	if l.quotas != nil {
		l.quotas.Resize(a.MaxOpen)
	}
}

// Usage tells what was wanted, for who shares the fleet's limit out.
func (l *Limit) Usage() Usage {
	u := l.usage
	if l.quotas != nil {
		u.Open = l.quotas.Open()
	}
	u.RequestedOpen = u.Open + l.rejectedForOpen
	l.rejectedForOpen = 0
	return u
}

// Spec are those in place.
func (l *Limit) Spec() Spec { return l.spec }

// resizeBucket is a token bucket at a new rate: what had been used of the old one stays used.
func resizeBucket(now time.Time, was *rate.Limiter, a, least float64) *rate.Limiter {
	if a <= 0 {
		return nil
	}
	burst := int(max(least, a*BurstWindow.Seconds()))
	if was == nil {
		return rate.NewLimiter(rate.Limit(a), burst)
	}
	part := was.TokensAt(now) / float64(was.Burst())
	b := rate.NewLimiter(rate.Limit(a), burst)
	if spent := int(math.Ceil(float64(burst) * (1 - part))); spent > 0 {
		b.AllowN(now, min(burst, spent))
	}
	return b
}

// Permit is one lookup that was let in; it ends once.
type Permit struct {
	limit      *Limit
	claimant   *admission.Claimant
	admittedAt time.Time
}

// Admit lets a lookup of a tenant in, or says why not and when to come back.
func (l *Limit) Admit(now time.Time, tenant string, weight float64, bytes int) (*Permit, Reason, time.Duration) {
	t := &Permit{limit: l, admittedAt: now}
	if l.spec.FleetWide {
		if !l.isLeaseExpired && !now.Before(l.lease.ExpiresAt) {
			l.isLeaseExpired = true
			l.setAmounts(now, l.lease.Fallback)
		}
		l.usage.RequestedLookups++
		l.usage.RequestedBytes += uint64(max(0, bytes))
	}
	if l.quotas != nil {
		if l.adaptive != nil {
			l.quotas.Resize(l.adaptive.Limit())
		}
		if t.claimant = l.quotas.Claimant(now, tenant, weight); !l.quotas.TryAcquire(now, t.claimant) {
			l.rejectedForOpen++
			return nil, l.reject(OpenExceeded), l.retryAfter(now)
		}
	}
	back := func(r Reason, b *rate.Limiter, n int) (*Permit, Reason, time.Duration) {
		if t.claimant != nil {
			l.quotas.Release(now, t.claimant)
		}
		if b.Limit() <= 0 { // nothing of the fleet's limit is here yet
			return nil, l.reject(r), time.Second
		}
		missing := float64(min(n, b.Burst())) - b.TokensAt(now)
		return nil, l.reject(r), max(time.Millisecond, time.Duration(missing/float64(b.Limit())*float64(time.Second)))
	}
	if l.bytes != nil && (l.bytes.Burst() == 0 || l.bytes.TokensAt(now) < float64(min(bytes, l.bytes.Burst()))) {
		return back(ByteRateExceeded, l.bytes, bytes)
	}
	if l.lookups != nil && !l.lookups.AllowN(now, 1) {
		return back(LookupRateExceeded, l.lookups, 1)
	}
	if l.bytes != nil {
		l.bytes.AllowN(now, min(bytes, l.bytes.Burst()))
	}
	if l.retries != nil {
		l.retries.RecordFirstAttempt(now)
	}
	if l.spec.FleetWide {
		l.usage.AdmittedLookups++
		l.usage.AdmittedBytes += uint64(max(0, bytes))
	}
	return t, Allowed, 0
}

func (l *Limit) reject(r Reason) Reason {
	l.Rejections[r]++
	return r
}

// retryAfter is when a place may be free: as long as lookups take of late.
func (l *Limit) retryAfter(now time.Time) time.Duration {
	if l.adaptive != nil {
		if took := l.adaptive.Latency(); took > 0 {
			return took
		}
	}
	return 100 * time.Millisecond
}

// Release ends a lookup; good tells whether its answer came, bad whether it was late or failed for want of room.
func (t *Permit) Release(now time.Time, good, pressed bool) {
	if t.claimant != nil {
		t.limit.quotas.Release(now, t.claimant)
		t.claimant = nil
	}
	if t.limit.adaptive != nil {
		t.limit.adaptive.Observe(now, now.Sub(t.admittedAt), t.limit.quotas.Open()+1, good, pressed)
	}
}

// AllowRetry tells whether a further send of a lookup may go out now.
func (l *Limit) AllowRetry(now time.Time) Reason {
	if l.retries == nil {
		return Allowed
	}
	if l.spec.RetryRatio < 0 || !l.retries.TryTake(now) {
		return l.reject(RetriesExceeded)
	}
	return Allowed
}

// Open is how many lookups are in.
func (l *Limit) Open() int {
	if l.quotas == nil {
		return 0
	}
	return l.quotas.Open()
}

// Set is the limits of a configuration, by name.
type Set struct{ byName map[string]*Limit }

// NewSet makes the limits of the first configuration.
func NewSet(now time.Time, terms map[string]Spec) *Set { return (&Set{}).Carry(now, terms) }

// Carry makes the limits of the next configuration: a thing of the same name is the same thing. The set before it goes on for
// the tickets that it gave out; what leaves there leaves here too, since both have the one record.
func (s *Set) Carry(now time.Time, terms map[string]Spec) *Set {
	next := &Set{byName: make(map[string]*Limit, len(terms))}
	for name, t := range terms {
		if l := s.byName[name]; l != nil {
			l.setSpec(now, t)
			next.byName[name] = l
			continue
		}
		next.byName[name] = New(now, name, t)
	}
	return next
}

// EachFleetWide calls f for each limit of the fleet, by name.
func (s *Set) EachFleetWide(f func(name string, l *Limit)) {
	for name, l := range s.byName {
		if l.spec.FleetWide {
			f(name, l)
		}
	}
}

// Find is the limit of a name; nil: none.
func (s *Set) Find(name string) *Limit { return s.byName[name] }

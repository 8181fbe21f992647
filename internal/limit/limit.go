// Package limit says how much a pool, a route or a tenant may have at once and in a second: lookups, bytes, sends in flight, and further
// sends. It does no I/O and keeps no clock: time goes in, and whether and when to come back comes out. What is refused is never held
// back. State is carried over from one configuration to the next where the thing is the same (Set.Carry), so that no change refills a
// bucket or forgets what is out.
//
// Owner: whoever admits, under its lock. Bounds: one record a named thing, told by the configuration; tenants as memory.MostHolders.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"foldslip/internal/memory"
)

// Terms are the limits of one thing. Zero is no limit.
type Terms struct {
	Lookups  float64 // a second
	Bytes    float64 // a second
	Open     int     // lookups at once
	Adaptive bool    // Open is a ceiling, and less is allowed as answers slow
	Further  float64 // further sends, as a part of first ones; below 0: none
	Fleet    bool    // Lookups, Bytes and Open are of all gateways together; here goes what a Lease gives
}

// Amounts are the parts of a fleet's limit that may be let in here.
type Amounts struct {
	Lookups, Bytes float64 // a second
	Open           int
}

// Lease is what may be let in here until a time, and after it, if no other has come by then: a process that stood still must not go on
// with what it had borrowed.
type Lease struct {
	Now, Then Amounts
	Until     time.Time
}

// Use is what lookups wanted and what was let in since the limit was made, and how many are in.
type Use struct {
	Wanted, In           uint64 // lookups
	WantedBytes, InBytes uint64
	WantedOpen, Open     int // at once, now
}

// leastBytes is what a gateway's part of a fleet's limit of bytes may be over at once: an object is never larger.
const leastBytes = 240_000

// Burst is how long a second's worth may be saved up.
const Burst = time.Second / 2

// Reason is why something is refused.
type Reason string

const (
	Allowed   Reason = ""
	TooFast   Reason = "lookups_a_second"
	TooMuch   Reason = "bytes_a_second"
	TooMany   Reason = "open"
	NoFurther Reason = "further_sends"
)

// Limit is the state of one thing.
type Limit struct {
	Name    string
	terms   Terms
	lookups *rate.Limiter
	bytes   *rate.Limiter
	open    *memory.Shares
	adapts  *Adaptive
	further *Budget
	lease   Lease
	fell    bool // the lease is over, and what holds after it is in force
	use     Use
	turned  int // lookups turned away for want of places since Use was asked
	Refused map[Reason]uint64
}

// New makes a thing's limit.
func New(now time.Time, name string, t Terms) *Limit {
	l := &Limit{Name: name, Refused: map[Reason]uint64{}}
	l.set(now, t)
	return l
}

// set puts terms in place and keeps what has been used.
func (l *Limit) set(now time.Time, t Terms) {
	if t.Fleet {
		l.fleet(now, t)
		return
	}
	l.lookups, l.bytes = bucket(now, l.lookups, t.Lookups, 1), bucket(now, l.bytes, t.Bytes, 1<<20)
	switch {
	case t.Open <= 0:
		l.open = nil
	case l.open == nil:
		l.open = memory.NewShares(t.Open)
	default:
		l.open.Resize(t.Open)
	}
	switch {
	case !t.Adaptive || t.Open <= 0:
		l.adapts = nil
	case l.adapts == nil:
		l.adapts = NewAdaptive(t.Open)
	default:
		l.adapts.Ceiling(t.Open)
	}
	switch {
	case t.Further == 0:
		l.further = nil
	case l.further == nil:
		l.further = NewBudget(max(0, t.Further))
	default:
		l.further.Share(max(0, t.Further))
	}
	l.terms = t
}

// fleet puts terms of a whole fleet in place: nothing is let in before a lease says how much. What is not the fleet's stays.
func (l *Limit) fleet(now time.Time, t Terms) {
	own := t
	own.Fleet, own.Lookups, own.Bytes, own.Open, own.Adaptive = false, 0, 0, 0, false
	was, shared := l.lease, l.terms.Fleet
	if !shared {
		was = Lease{}
	}
	lookups, bytes, open := l.lookups, l.bytes, l.open
	l.set(now, own)
	empty := func(b *rate.Limiter, a float64) *rate.Limiter {
		if a <= 0 {
			return nil
		}
		if b == nil || !shared {
			b = rate.NewLimiter(0, 0) // empty: what another process of this name used up is not there again
		}
		return b
	}
	l.lookups, l.bytes = empty(lookups, t.Lookups), empty(bytes, t.Bytes)
	if t.Open > 0 {
		if l.open = open; open == nil {
			l.open = memory.NewShares(0)
		}
	}
	l.terms = t
	l.Lease(now, was)
}

// Lease puts in place what may be let in here; for limits of the fleet only.
func (l *Limit) Lease(now time.Time, lease Lease) {
	if !l.terms.Fleet {
		return
	}
	l.lease, l.fell = lease, false
	l.amounts(now, lease.Now)
}

func (l *Limit) amounts(now time.Time, a Amounts) {
	rated := func(b *rate.Limiter, r, least float64) {
		if b == nil || float64(b.Limit()) == r {
			return
		}
		burst := 0
		if r > 0 {
			burst = int(max(least, r*Burst.Seconds()))
		}
		b.SetLimitAt(now, rate.Limit(r))
		b.SetBurstAt(now, burst)
	}
	rated(l.lookups, a.Lookups, 1)
	rated(l.bytes, a.Bytes, leastBytes)
	if l.open != nil {
		l.open.Resize(a.Open)
	}
}

// Use tells what was wanted, for who shares the fleet's limit out.
func (l *Limit) Use() Use {
	u := l.use
	if l.open != nil {
		u.Open = l.open.Open()
	}
	u.WantedOpen = u.Open + l.turned
	l.turned = 0
	return u
}

// Terms are those in place.
func (l *Limit) Terms() Terms { return l.terms }

// bucket is a token bucket at a new rate: what had been used of the old one stays used.
func bucket(now time.Time, was *rate.Limiter, a, least float64) *rate.Limiter {
	if a <= 0 {
		return nil
	}
	burst := int(max(least, a*Burst.Seconds()))
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

// Ticket is one lookup that was let in; it ends once.
type Ticket struct {
	l     *Limit
	who   *memory.Holder
	began time.Time
}

// Enter lets a lookup of a tenant in, or says why not and when to come back.
func (l *Limit) Enter(now time.Time, tenant string, weight float64, bytes int) (*Ticket, Reason, time.Duration) {
	t := &Ticket{l: l, began: now}
	if l.terms.Fleet {
		if !l.fell && !now.Before(l.lease.Until) {
			l.fell = true
			l.amounts(now, l.lease.Then)
		}
		l.use.Wanted++
		l.use.WantedBytes += uint64(max(0, bytes))
	}
	if l.open != nil {
		if l.adapts != nil {
			l.open.Resize(l.adapts.Now())
		}
		if t.who = l.open.Holder(now, tenant, weight); !l.open.Enter(now, t.who) {
			l.turned++
			return nil, l.refuse(TooMany), l.after(now)
		}
	}
	back := func(r Reason, b *rate.Limiter, n int) (*Ticket, Reason, time.Duration) {
		if t.who != nil {
			l.open.Leave(now, t.who)
		}
		if b.Limit() <= 0 { // nothing of the fleet's limit is here yet
			return nil, l.refuse(r), time.Second
		}
		missing := float64(min(n, b.Burst())) - b.TokensAt(now)
		return nil, l.refuse(r), max(time.Millisecond, time.Duration(missing/float64(b.Limit())*float64(time.Second)))
	}
	if l.bytes != nil && (l.bytes.Burst() == 0 || l.bytes.TokensAt(now) < float64(min(bytes, l.bytes.Burst()))) {
		return back(TooMuch, l.bytes, bytes)
	}
	if l.lookups != nil && !l.lookups.AllowN(now, 1) {
		return back(TooFast, l.lookups, 1)
	}
	if l.bytes != nil {
		l.bytes.AllowN(now, min(bytes, l.bytes.Burst()))
	}
	if l.further != nil {
		l.further.First(now)
	}
	if l.terms.Fleet {
		l.use.In++
		l.use.InBytes += uint64(max(0, bytes))
	}
	return t, Allowed, 0
}

func (l *Limit) refuse(r Reason) Reason {
	l.Refused[r]++
	return r
}

// after is when a place may be free: as long as lookups take of late.
func (l *Limit) after(now time.Time) time.Duration {
	if l.adapts != nil {
		if took := l.adapts.Takes(); took > 0 {
			return took
		}
	}
	return 100 * time.Millisecond
}

// Leave ends a lookup; good tells whether its answer came, bad whether it was late or failed for want of room.
func (t *Ticket) Leave(now time.Time, good, pressed bool) {
	if t.who != nil {
		t.l.open.Leave(now, t.who)
		t.who = nil
	}
	if t.l.adapts != nil {
		t.l.adapts.Ended(now, now.Sub(t.began), t.l.open.Open()+1, good, pressed)
	}
}

// Further tells whether a further send of a lookup may go out now.
func (l *Limit) Further(now time.Time) Reason {
	if l.further == nil {
		return Allowed
	}
	if l.terms.Further < 0 || !l.further.Take(now) {
		return l.refuse(NoFurther)
	}
	return Allowed
}

// Open is how many lookups are in.
func (l *Limit) Open() int {
	if l.open == nil {
		return 0
	}
	return l.open.Open()
}

// Set is the limits of a configuration, by name.
type Set struct{ by map[string]*Limit }

// NewSet makes the limits of the first configuration.
func NewSet(now time.Time, terms map[string]Terms) *Set { return (&Set{}).Carry(now, terms) }

// Carry makes the limits of the next configuration: a thing of the same name is the same thing. The set before it goes on for
// the tickets that it gave out; what leaves there leaves here too, since both have the one record.
func (s *Set) Carry(now time.Time, terms map[string]Terms) *Set {
	next := &Set{by: make(map[string]*Limit, len(terms))}
	for name, t := range terms {
		if l := s.by[name]; l != nil {
			l.set(now, t)
			next.by[name] = l
			continue
		}
		next.by[name] = New(now, name, t)
	}
	return next
}

// Fleet calls f for each limit of the fleet, by name.
func (s *Set) Fleet(f func(name string, l *Limit)) {
	for name, l := range s.by {
		if l.terms.Fleet {
			f(name, l)
		}
	}
}

// Of is the limit of a name; nil: none.
func (s *Set) Of(name string) *Limit { return s.by[name] }

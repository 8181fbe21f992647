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

	"foldslip/memory"
)

// Terms are the limits of one thing. Zero is no limit.
type Terms struct {
	Lookups  float64 // a second
	Bytes    float64 // a second
	Open     int     // lookups at once
	Adaptive bool    // Open is a ceiling, and less is allowed as answers slow
	Further  float64 // further sends, as a part of first ones; below 0: none
}

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
	if l.open != nil {
		if l.adapts != nil {
			l.open.Resize(l.adapts.Now())
		}
		if t.who = l.open.Holder(now, tenant, weight); !l.open.Enter(now, t.who) {
			return nil, l.refuse(TooMany), l.after(now)
		}
	}
	back := func(r Reason, b *rate.Limiter, n int) (*Ticket, Reason, time.Duration) {
		if t.who != nil {
			l.open.Leave(now, t.who)
		}
		missing := float64(min(n, b.Burst())) - b.TokensAt(now)
		return nil, l.refuse(r), max(time.Millisecond, time.Duration(missing/float64(b.Limit())*float64(time.Second)))
	}
	if l.bytes != nil && l.bytes.TokensAt(now) < float64(min(bytes, l.bytes.Burst())) {
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

// Of is the limit of a name; nil: none.
func (s *Set) Of(name string) *Limit { return s.by[name] }

package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

// MaxClaimants is the number of claimants with quotas of their own. Beyond it, new names share one further claimant.
const MaxClaimants = 1024

const (
	demandHalfLife = time.Second      // half-life of a claimant's demand beyond its open lookups
	levelLifetime  = time.Millisecond // how long a computed fair level is used
	idleDemand     = 0.5              // demand, in lookups, below which a claimant without open lookups may be removed
)

// Unlimited is the capacity of Quotas that admit every lookup and only count the open ones.
const Unlimited = math.MaxInt

// overflowName is the name of the claimant that new claimants share once there are MaxClaimants.
const overflowName = "others"

// Quotas divides a capacity of open lookups among claimants by max-min fairness. A single claimant may
// use the whole capacity. Among several, the recent demand of each is met up to a common level times its
// weight. Above that level a claimant gets only capacity that no other claimant is entitled to, so that
// a flood of one claimant uses only idle capacity there. The demand of a new claimant grows with each
// rejection, until the capacity that others release goes to it.
type Quotas struct {
	capacity, open int
	claimants      []*Claimant
	level          float64 // fair level, computed at levelAt
	levelAt        time.Time
}

// Claimant is one party that opens lookups. It is owned by its Quotas.
type Claimant struct {
	Name      string
	Weight    float64
	Requested uint64 // lookups requested since the start
	Rejected  uint64 // requested lookups that were rejected
	open      int
	demand    float64 // maximum of recently wanted open lookups, as of demandAt
	demandAt  time.Time
}

// NewQuotas returns Quotas that divide a capacity of open lookups.
func NewQuotas(capacity int) *Quotas { return &Quotas{capacity: capacity} }

// Claimant returns the claimant with a name and adds it if there is none. When there are MaxClaimants,
// it first removes the idle ones, except the first claimant. If none is idle, it returns a claimant of
// weight 1 that all new claimants share.
func (q *Quotas) Claimant(now time.Time, name string, weight float64) *Claimant {
	if c := q.find(name); c != nil {
		return c
	}
	if len(q.claimants) >= MaxClaimants {
		q.removeIdle(now)
	}
	if len(q.claimants) >= MaxClaimants {
		if c := q.find(overflowName); c != nil {
			return c
		}
		name = overflowName
		weight = 1
	}
	c := &Claimant{Name: name, Weight: weight, demandAt: now}
	q.levelAt = time.Time{}
	q.claimants = append(q.claimants, c)
	return c
}

func (q *Quotas) find(name string) *Claimant {
	if i := slices.IndexFunc(q.claimants, func(c *Claimant) bool { return c.Name == name }); i >= 0 {
		return q.claimants[i]
	}
	return nil
}

func (q *Quotas) removeIdle(now time.Time) {
	permanent := q.claimants[0].Name // in a Controller, the claimant of the gateway's own clients
	q.claimants = slices.DeleteFunc(q.claimants, func(c *Claimant) bool {
		return c.open == 0 && c.currentDemand(now) < idleDemand && c.Name != permanent
	})
}

// TryAcquire opens a lookup of a claimant if its quota allows one more, and reports whether it did.
func (q *Quotas) TryAcquire(now time.Time, c *Claimant) bool {
	c.Requested++
	c.demand = max(c.currentDemand(now), float64(c.open+1))
	c.demandAt = now
	if q.admits(now, c) {
		c.open++
		q.open++
		return true
	}
	c.Rejected++
	c.demand = min(c.demand+1, float64(q.capacity))
	return false
}

// Release ends an open lookup of a claimant.
func (q *Quotas) Release(now time.Time, c *Claimant) {
	c.demand = c.currentDemand(now)
	c.demandAt = now
	c.open--
	q.open--
}

// Resize sets the capacity. If more lookups are open than the new capacity, none is admitted until enough have ended.
func (q *Quotas) Resize(capacity int) {
	if capacity != q.capacity {
		q.capacity = capacity
		q.levelAt = time.Time{}
	}
}

// Open returns the number of open lookups of all claimants.
func (q *Quotas) Open() int { return q.open }

// Open returns the number of open lookups of the claimant.
func (c *Claimant) Open() int { return c.open }

// currentDemand returns how many open lookups the claimant has wanted recently. Demand beyond its open
// lookups decays with demandHalfLife.
func (c *Claimant) currentDemand(now time.Time) float64 {
	open := float64(c.open)
	if c.demand <= open {
		return open
	}
	return open + (c.demand-open)*math.Exp2(-now.Sub(c.demandAt).Seconds()/demandHalfLife.Seconds())
}

// admits reports whether a claimant may open one more lookup. It may not if no capacity is free. A
// single claimant, or one of Quotas with unlimited capacity, may use all free capacity. One of several
// claimants may use any free capacity up to the fair level times its weight. Above that it may only use
// capacity that no other claimant is entitled to.
func (q *Quotas) admits(now time.Time, c *Claimant) bool {
	free := q.capacity - q.open
	switch {
	case free <= 0:
		return false
	case q.capacity == Unlimited || len(q.claimants) < 2:
		return true
	}
	if age := now.Sub(q.levelAt); age < 0 || age >= levelLifetime {
		q.level = q.fairLevel(now)
		q.levelAt = now
	}
	level := q.level
	if float64(c.open+1) <= level*c.Weight {
		return true
	}
	claims := 0.0
	for _, other := range q.claimants {
		if other != c {
			claims += max(0, math.Round(min(other.currentDemand(now), level*other.Weight))-float64(other.open))
		}
	}
	return float64(free) > claims
}

// fairLevel returns the number of open lookups that a claimant of weight 1 gets if its demand is higher.
// It is the level at which the demands, each limited to the level times the claimant's weight, add up to
// the capacity. It is infinite if the capacity meets all demands.
func (q *Quotas) fairLevel(now time.Time) float64 {
	left := float64(q.capacity)
	weights := 0.0
	demands := make([]float64, len(q.claimants))
	for i, c := range q.claimants {
		if demands[i] = c.currentDemand(now); demands[i] > 0 {
			weights += c.Weight
		}
	}
	for hasMet := true; hasMet && weights > 0; {
		hasMet = false
		for i, c := range q.claimants {
			if demands[i] > 0 && demands[i] <= left/weights*c.Weight {
				left -= demands[i]
				weights -= c.Weight
				demands[i] = 0
				hasMet = true
			}
		}
	}
	if weights <= 0 {
		return math.Inf(1)
	}
	return left / weights
}

// Each calls visit for each claimant, in the order of their names.
func (q *Quotas) Each(visit func(c *Claimant)) {
	sorted := slices.Clone(q.claimants)
	slices.SortFunc(sorted, func(a, b *Claimant) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range sorted {
		visit(c)
	}
}

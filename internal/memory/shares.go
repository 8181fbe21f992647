package memory

import (
	"math"
	"slices"
	"strings"
	"time"
)

// MostHolders is how many holders of places are told apart; past it the newcomers share one.
const MaxClaimants = 1024

// wantHalf is the span in which what a holder wanted beyond what it has is forgotten by half.
const demandHalfLife = time.Second

// levelKept is how long a level counts before it is found anew.
const levelLifetime = time.Millisecond

// Quotas divides places among holders (direct clients, each caller of another door). Nobody waits: a place is given at
// once or not at all. A holder alone may have all of them. Where there are several, what each wanted lately is filled up
// evenly by weight, as water fills vessels (max-min fairness); one over its part gets only what no other has a claim
// to. So a flood of one takes what is idle and no more, and a newcomer's claim grows with each refusal until places that
// the others give back are its own. It does no I/O and keeps no clock. Owner: Room, under its lock.
type Quotas struct {
	capacity, open int
	claimants      []*Claimant
	level          float64 // the level, at the time at
	levelAt        time.Time
}

// Claimant is one party that holds places.
type Claimant struct {
	Name      string
	Weight    float64
	Requested uint64 // places asked for, and of these Refused
	Rejected  uint64
	open      int
	demand    float64 // places at once, the most of late, at the time at
	demandAt  time.Time
}

// NewQuotas has so many places.
func NewQuotas(most int) *Quotas { return &Quotas{capacity: most} }

// Claimant finds a holder by name or makes it. Past MostHolders the idle go, and without any the name's party is that of all
// newcomers.
func (s *Quotas) Claimant(now time.Time, name string, weight float64) *Claimant {
	find := func(name string) *Claimant {
		if i := slices.IndexFunc(s.claimants, func(h *Claimant) bool { return h.Name == name }); i >= 0 {
			return s.claimants[i]
		}
		return nil
	}
	if h := find(name); h != nil {
		return h
	}
	if len(s.claimants) >= MaxClaimants {
		s.claimants = slices.DeleteFunc(s.claimants, func(h *Claimant) bool { return h.open == 0 && h.currentDemand(now) < 0.5 && h.Name != permanentName(s) })
	}
	if len(s.claimants) >= MaxClaimants {
		if h := find("others"); h != nil {
			return h
		}
		name, weight = "others", 1
	}
	h := &Claimant{Name: name, Weight: weight, demandAt: now}
	s.levelAt = time.Time{}
	s.claimants = append(s.claimants, h)
	return h
}

// permanentName is the name of the holder that is never dropped: the gateway's own clients.
func permanentName(s *Quotas) string { return s.claimants[0].Name }

// TryAcquire gives a place to a holder, or not.
func (s *Quotas) TryAcquire(now time.Time, h *Claimant) bool {
	h.Requested++
	h.demand, h.demandAt = max(h.currentDemand(now), float64(h.open+1)), now
	if s.admits(now, h) {
		h.open++
		s.open++
		return true
	}
	h.Rejected++
	h.demand = min(h.demand+1, float64(s.capacity))
	return false
}

// Release gives a place back.
func (s *Quotas) Release(now time.Time, h *Claimant) {
	h.demand, h.demandAt = h.currentDemand(now), now
	h.open--
	s.open--
}

// Resize sets how many places there are. Where more are taken, none is given until enough have come back.
func (s *Quotas) Resize(most int) {
	if most != s.capacity {
		s.capacity, s.levelAt = most, time.Time{}
	}
}

// Open is how many places are taken, and by a holder.
func (s *Quotas) Open() int { return s.open }

// Open is how many places it has.
func (h *Claimant) Open() int { return h.open }

// currentDemand is how many places the holder wanted at once of late.
func (h *Claimant) currentDemand(now time.Time) float64 {
	have := float64(h.open)
	if h.demand <= have {
		return have
	}
	return have + (h.demand-have)*math.Exp2(-now.Sub(h.demandAt).Seconds()/demandHalfLife.Seconds())
}

func (s *Quotas) admits(now time.Time, h *Claimant) bool {
	free := s.capacity - s.open
	switch {
	case free <= 0:
		return false
	case len(s.claimants) < 2:
		return true
	}
	if d := now.Sub(s.levelAt); d < 0 || d >= levelLifetime {
		s.level, s.levelAt = s.fairLevel(now), now
	}
	level := s.level
	if float64(h.open+1) <= level*h.Weight {
		return true
	}
	claims := 0.0
	for _, o := range s.claimants {
		if o != h {
			claims += max(0, math.Round(min(o.currentDemand(now), level*o.Weight))-float64(o.open))
		}
	}
	return float64(free) > claims
}

// fairLevel is how many places a holder of weight 1 gets where it wants more: what each wants, cut at the level by its weight, adds
// up to all places.
func (s *Quotas) fairLevel(now time.Time) float64 {
	left, weights := float64(s.capacity), 0.0
	wants := make([]float64, len(s.claimants))
	for i, h := range s.claimants {
		if wants[i] = h.currentDemand(now); wants[i] > 0 {
			weights += h.Weight
		}
	}
	for filled := true; filled && weights > 0; {
		filled = false
		for i, h := range s.claimants {
			if wants[i] > 0 && wants[i] <= left/weights*h.Weight {
				left, weights, filled = left-wants[i], weights-h.Weight, true
				wants[i] = 0
			}
		}
	}
	if weights <= 0 {
		return math.Inf(1)
	}
	return left / weights
}

// Each tells of each holder, by name.
func (s *Quotas) Each(see func(h *Claimant)) {
	all := slices.Clone(s.claimants)
	slices.SortFunc(all, func(a, b *Claimant) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range all {
		see(h)
	}
}

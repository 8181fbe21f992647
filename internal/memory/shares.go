package memory

import (
	"math"
	"slices"
	"strings"
	"time"
)

// MostHolders is how many holders of places are told apart; past it the newcomers share one.
const MostHolders = 1024

// wantHalf is the span in which what a holder wanted beyond what it has is forgotten by half.
const wantHalf = time.Second

// levelKept is how long a level counts before it is found anew.
const levelKept = time.Millisecond

// Shares divides places among holders (direct clients, each caller of another door). Nobody waits: a place is given at
// once or not at all. A holder alone may have all of them. Where there are several, what each wanted lately is filled up
// evenly by weight, as water fills vessels (max-min fairness); one over its part gets only what no other has a claim
// to. So a flood of one takes what is idle and no more, and a newcomer's claim grows with each refusal until places that
// the others give back are its own. It does no I/O and keeps no clock. Owner: Room, under its lock.
type Shares struct {
	most, open int
	holders    []*Holder
	filled     float64 // the level, at the time at
	at         time.Time
}

// Holder is one party that holds places.
type Holder struct {
	Name    string
	Weight  float64
	Asked   uint64 // places asked for, and of these Refused
	Refused uint64
	open    int
	want    float64 // places at once, the most of late, at the time at
	at      time.Time
}

// NewShares has so many places.
func NewShares(most int) *Shares { return &Shares{most: most} }

// Holder finds a holder by name or makes it. Past MostHolders the idle go, and without any the name's party is that of all
// newcomers.
func (s *Shares) Holder(now time.Time, name string, weight float64) *Holder {
	find := func(name string) *Holder {
		if i := slices.IndexFunc(s.holders, func(h *Holder) bool { return h.Name == name }); i >= 0 {
			return s.holders[i]
		}
		return nil
	}
	if h := find(name); h != nil {
		return h
	}
	if len(s.holders) >= MostHolders {
		s.holders = slices.DeleteFunc(s.holders, func(h *Holder) bool { return h.open == 0 && h.wants(now) < 0.5 && h.Name != first(s) })
	}
	if len(s.holders) >= MostHolders {
		if h := find("others"); h != nil {
			return h
		}
		name, weight = "others", 1
	}
	h := &Holder{Name: name, Weight: weight, at: now}
	s.at = time.Time{}
	s.holders = append(s.holders, h)
	return h
}

// first is the name of the holder that is never dropped: the gateway's own clients.
func first(s *Shares) string { return s.holders[0].Name }

// Enter gives a place to a holder, or not.
func (s *Shares) Enter(now time.Time, h *Holder) bool {
	h.Asked++
	h.want, h.at = max(h.wants(now), float64(h.open+1)), now
	if s.fits(now, h) {
		h.open++
		s.open++
		return true
	}
	h.Refused++
	h.want = min(h.want+1, float64(s.most))
	return false
}

// Leave gives a place back.
func (s *Shares) Leave(now time.Time, h *Holder) {
	h.want, h.at = h.wants(now), now
	h.open--
	s.open--
}

// Resize sets how many places there are. Where more are taken, none is given until enough have come back.
func (s *Shares) Resize(most int) {
	if most != s.most {
		s.most, s.at = most, time.Time{}
	}
}

// Open is how many places are taken, and by a holder.
func (s *Shares) Open() int { return s.open }

// Open is how many places it has.
func (h *Holder) Open() int { return h.open }

// wants is how many places the holder wanted at once of late.
func (h *Holder) wants(now time.Time) float64 {
	have := float64(h.open)
	if h.want <= have {
		return have
	}
	return have + (h.want-have)*math.Exp2(-now.Sub(h.at).Seconds()/wantHalf.Seconds())
}

func (s *Shares) fits(now time.Time, h *Holder) bool {
	free := s.most - s.open
	switch {
	case free <= 0:
		return false
	case len(s.holders) < 2:
		return true
	}
	if d := now.Sub(s.at); d < 0 || d >= levelKept {
		s.filled, s.at = s.level(now), now
	}
	level := s.filled
	if float64(h.open+1) <= level*h.Weight {
		return true
	}
	claims := 0.0
	for _, o := range s.holders {
		if o != h {
			claims += max(0, math.Round(min(o.wants(now), level*o.Weight))-float64(o.open))
		}
	}
	return float64(free) > claims
}

// level is how many places a holder of weight 1 gets where it wants more: what each wants, cut at the level by its weight, adds
// up to all places.
func (s *Shares) level(now time.Time) float64 {
	left, weights := float64(s.most), 0.0
	wants := make([]float64, len(s.holders))
	for i, h := range s.holders {
		if wants[i] = h.wants(now); wants[i] > 0 {
			weights += h.Weight
		}
	}
	for filled := true; filled && weights > 0; {
		filled = false
		for i, h := range s.holders {
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
func (s *Shares) Each(see func(h *Holder)) {
	all := slices.Clone(s.holders)
	slices.SortFunc(all, func(a, b *Holder) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range all {
		see(h)
	}
}

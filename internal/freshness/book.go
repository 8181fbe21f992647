package freshness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A cache that answers may have started anew since the list was kept. Hits tell a warm one: it finds what is asked for
	// about two and a half times as often as one that has just started and holds what was filled since, and so it misses
	// less than half as often. A parent is asked by many caches: one that has started anew soon finds half, a warm one
	// nearly all, so that a miss says most.
	hitSays, missSays             = 2.5, 0.4
	parentHitSays, parentMissSays = 1.5, 0.1

	hitsTell = 6 * time.Second // hits from later on say nothing

	mostOdds = 3.0  // before its first answer no entry is taken for warm by more than 3 to 1, however young the list
	warmOdds = 99.0 // from here on it is warm
	likeWarm = 10.0 // from here on it counts as one that was found warm, below 1/likeCold as one that started anew:
	likeCold = 5.0  // what happened to some has most likely happened to others
	mostLike = 9.0  // how far they count, either way
	wrongRow = 2    // so many broken sends in a row, with no answer before, prove an entry wrong
)

// Sight is what was seen of an entry by one send.
type Sight int

const (
	Found   Sight = iota // answered from a copy it held
	Fetched              // answered, and had no copy
	Word                 // answered otherwise: it is there
	Broken               // refused, reset, spoilt or silent
)

// Verdict is how far an entry is relied on from now on.
type Verdict struct {
	ID       string
	Standing Standing // one that is not Trusted counts as started when this process was
}

// Book follows the entries of one list from the start until the bulletin comes. Its owner is the goroutine that asks for
// verdicts; whoever calls it holds that owner's lock. It is bounded by the list.
type Book struct {
	list    List
	entries []*entry // by id
	by      map[string]*entry
	began   time.Time
}

type entry struct {
	id     string
	its    Entry
	parent bool
	odds   float64 // that it is warm, once it has answered
	broken int     // in a row, before the first answer
	told   Verdict
	said   bool
}

// NewBook opens a book on a list; the entries' ages are as of now.
func NewBook(list List, now time.Time) *Book {
	return &Book{list: list, by: map[string]*entry{}, began: now}
}

// Enter adds an entry, of an edge or a parent.
func (b *Book) Enter(id string, parent bool, its Entry) {
	if b.by[id] != nil {
		return
	}
	e := &entry{id: id, parent: parent, its: its}
	p := Holds(b.list, its.Age)
	e.odds = min(mostOdds, p/max(1e-9, 1-p))
	b.by[id] = e
	at, _ := slices.BinarySearchFunc(b.entries, e, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
	b.entries = slices.Insert(b.entries, at, e)
}

// Saw takes what a send showed of an entry.
func (b *Book) Saw(id string, what Sight, now time.Time) {
	e := b.by[id]
	if e == nil {
		return
	}
	if what == Broken {
		if e.broken++; e.broken >= wrongRow && !e.its.Right && !e.its.Wrong {
			e.its.Wrong = true
			b.list.Wrong++
		}
		return
	}
	if e.broken = 0; !e.its.Right {
		e.its.Right = true
		if b.list.Right++; e.its.Wrong { // it was slow to come
			e.its.Wrong = false
			b.list.Wrong--
		}
	}
	switch {
	case what == Found && e.parent:
		e.odds *= b.still(parentHitSays, now)
	case what == Found:
		e.odds *= b.still(hitSays, now)
	case what == Fetched && e.parent:
		e.odds *= parentMissSays
	case what == Fetched:
		e.odds *= missSays
	}
}

// still is what a hit says by now: less and less, since a cache that started anew fills up meanwhile.
func (b *Book) still(says float64, now time.Time) float64 {
	return 1 + (says-1)*max(0, 1-now.Sub(b.began).Seconds()/hitsTell.Seconds())
}

// Count is how many entries are relied on how far, and how many proved right and wrong.
func (b *Book) Count() (by [4]int, right, wrong int) {
	for _, e := range b.entries {
		by[e.told.Standing]++
	}
	return by, b.list.Right, b.list.Wrong
}

// Verdicts gives those that have changed since they were last asked for, by id; at first all. What a list says of one
// entry is worth less the more of its others proved wrong.
func (b *Book) Verdicts() (changed []Verdict) {
	warm, cold := 1.0, 1.0
	for _, e := range b.entries {
		if e.odds >= likeWarm {
			warm++
		} else if e.its.Right && e.odds <= 1/likeCold {
			cold++
		}
	}
	like := max(1/mostLike, min(mostLike, warm/cold))
	for _, e := range b.entries {
		v := Verdict{ID: e.id}
		v.Standing, _ = Weigh(b.list, e.its)
		if v.Standing == OnTrial && e.its.Right && (e.odds*like >= warmOdds || e.told.Standing == Trusted && e.said) {
			v.Standing = Trusted // and stays so
		}
		if e.said && v == e.told {
			continue
		}
		e.told, e.said = v, true
		changed = append(changed, v)
	}
	return changed
}

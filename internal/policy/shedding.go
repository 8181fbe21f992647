// Load shedding: which held lookup goes first, and which is given up.

package policy

import (
	"cmp"
	"slices"
)

const overloadAt = 40 * ms // the oldest held lookup has waited this long: overload

// pump sends on held lookups, most utility for their work first, and gives up at once those past helping.
func (r *Router) pump() {
	held, oldest, ahead, rate := r.held, Micros(0), 0.0, r.edgeCapacity*float64(len(r.edges))
	r.held = nil
	for _, lk := range held {
		oldest = max(oldest, r.now-lk.arrived)
	}
	if !r.overload && oldest > overloadAt || r.overload && oldest < overloadAt/4 {
		r.overload = !r.overload
		r.log("overload %v: oldest of %d held waited %d us", r.overload, len(held), oldest)
	}
	slices.SortStableFunc(held, func(a, b *Lookup) int { return cmp.Compare(b.density(), a.density()) })
	for _, lk := range held {
		slack := lk.budget - r.now - 20*ms - lk.kind.expects(r.now, lk)
		late := slack < 0 || r.overload && ahead > max(1, rate)*float64(slack)
		// Guards against slow sources: before a miss is given up, a copy within its grace will do.
		if lk.aged = late && !lk.aged && lk.missed != nil && lk.kind.Grace > 0; late && !lk.aged {
			r.giveUp(lk)
		} else if r.route(lk); lk.open == 0 {
			ahead += float64(lk.work)
		}
	}
}

// expects is how long the answer will take: for a fill the wait for the source, whatever the size, and as
// much more than its sending time as fills of late.
func (k *kind) expects(now Micros, lk *Lookup) Micros {
	if lk.missed == nil {
		return lk.work
	}
	took, work, waited := k.fillTook.read(now), k.fillWork.read(now), k.fillWait.read(now)
	stretch := max(1, (took-waited+float64(100*ms))/(work+float64(100*ms)))
	return Micros(waited/(k.fillN.read(now)+1) + float64(lk.work)*stretch)
}

// span is the latency budget as a time to take.
func (lk *Lookup) span() Micros {
	return min(lk.kind.Budget+Micros(lk.kind.Stretch*float64(lk.work)), lk.kind.GiveUp)
}

// density is utility for work; a client's repeat most likely comes too late for more than the late share.
func (lk *Lookup) density() float64 {
	utility := lk.kind.Utility
	if lk.repeat {
		utility *= lk.kind.LateUtility
	}
	return utility / float64(lk.work+10*ms)
}

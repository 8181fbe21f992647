package scale

import (
	"slices"
	"time"
)

// set is a set of gateways.
type set []uint64

func newSet(n int) set { return make(set, (n+63)/64) }

func (s set) has(i int) bool { return s[i>>6]>>(i&63)&1 != 0 }

// put sets one and tells whether that changed it.
func (s set) put(i int, in bool) bool {
	if s.has(i) == in {
		return false
	}
	s[i>>6] ^= 1 << (i & 63)
	return true
}

// sighting is a thing that the membership protocol tells: a gateway is gone, or is there. Each other gateway is told of it at a time of
// its own, so that lists differ for a while.
type sighting struct {
	at   time.Duration
	who  int32
	life int32 // of the gateway when it happened: a later start takes the place of it
	up   bool
	cut  int8 // 0: for all; 1, 2: for the gateways at that side of the cut (who is at the other)
}

// views stand in for the gateways' membership (SWIM): a crash is seen within Detect, each gateway at a time of its own in the second half
// of that; a start within Seen. A gateway that starts again sooner is not seen dead. A start begins with the list of another gateway, as
// memberlist's join gives it.
type views struct {
	r       *broadcastRun
	pending []sighting // of the last Detect and a turn, by time
}

const viewTurn = 250 * time.Millisecond // a gateway looks at its list so often (fleet/post's turn)

func (v *views) note(s sighting) {
	s.at = v.r.net.Now()
	v.pending = append(v.pending, s)
}

// forget drops what all gateways were told of.
func (v *views) forget(now time.Duration) {
	old, keep := 0, max(v.r.o.Detect, 2*v.r.o.Seen)+2*viewTurn
	for old < len(v.pending) && v.pending[old].at < now-keep {
		old++
	}
	if old > 0 {
		v.pending = slices.Delete(v.pending, 0, old)
	}
}

// mix is splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// part01 is a chance from 0 to 1 that depends on nothing but its arguments.
func part01(a, b, c uint64) float64 { return float64(mix(a^mix(b^mix(c)))>>11) / (1 << 53) }

// update brings a gateway's list from one time to another and tells whether it changed.
func (v *views) update(g *gateway, from, to time.Duration) (changed bool) {
	o := &v.r.o
	v.forget(to)
	for k := len(v.pending) - 1; k >= 0; k-- {
		s := &v.pending[k]
		least, span := o.Detect/2, o.Detect/2
		if s.up {
			least, span = o.Seen/2, o.Seen
		}
		if s.at+least > to || int(s.who) == g.i {
			continue
		}
		if s.cut != 0 && v.r.side(g.i) != s.cut {
			continue
		}
		at := s.at + least + time.Duration(float64(span)*part01(o.Seed, uint64(g.i)<<32|uint64(s.who), uint64(s.at)))
		if at <= from || at > to {
			continue
		}
		if up := v.r.net.Up(int(s.who)); s.cut == 0 && (s.up != up || s.life != v.r.all[s.who].life) {
			continue // the membership protocol's incarnation: a later word takes its place
		}
		if s.cut != 0 && s.up == v.r.cutNow() {
			continue
		}
		changed = g.view.put(int(s.who), s.up) || changed
	}
	return changed
}

// join gives a gateway that starts the list of another.
func (v *views) join(g *gateway) {
	clear(g.view)
	for k := range v.r.all {
		j := (g.i + 1 + k) % len(v.r.all)
		if o := v.r.all[j]; j != g.i && v.r.net.Up(j) && v.r.net.Open(g.i, j) && o.view != nil && o.joined {
			copy(g.view, o.view)
			break
		}
	}
	g.view.put(g.i, true)
	g.joined = true
}

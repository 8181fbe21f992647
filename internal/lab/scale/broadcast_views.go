package scale

import (
	"slices"
	"time"
)

// gatewaySet is a set of gateways, a bit each.
type gatewaySet []uint64

func newGatewaySet(n int) gatewaySet { return make(gatewaySet, (n+63)/64) }

func (s gatewaySet) has(i int) bool { return s[i>>6]>>(i&63)&1 != 0 }

// put adds or removes a gateway and reports whether that changed the set.
func (s gatewaySet) put(i int, member bool) bool {
	if s.has(i) == member {
		return false
	}
	s[i>>6] ^= 1 << (i & 63)
	return true
}

// membershipEvent is a change that the membership protocol reports: a gateway is down, or up. Each other gateway sees it at a time of
// its own, so that lists differ for a while.
type membershipEvent struct {
	at          time.Duration
	gateway     int32
	incarnation int32 // of the gateway at the time: a later start supersedes the event
	up          bool
	cutSide     int8 // 0: for all; 1, 2: for the gateways on that side of the cut
}

// views stands in for the gateways' membership (SWIM): a crash is seen within CrashSeenWithin, by each gateway at a time of its own in
// the second half of that; a start within StartSeenWithin. A gateway that starts again sooner is not seen dead. A gateway starts with
// the list of another one, as memberlist's join does.
type views struct {
	run     *broadcastRun
	pending []membershipEvent // that some gateway may not have seen, by time
}

const viewInterval = 250 * time.Millisecond // between updates of a gateway's list, as in fleet/gossip

// record adds an event of the present time.
func (v *views) record(s membershipEvent) {
	s.at = v.run.net.Now()
	v.pending = append(v.pending, s)
}

// prune drops events that all gateways have seen.
func (v *views) prune(now time.Duration) {
	old, keep := 0, max(v.run.options.CrashSeenWithin, 2*v.run.options.StartSeenWithin)+2*viewInterval
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

// hashUnit is a pseudo-random number from 0 to 1 that depends on its arguments alone.
func hashUnit(a, b, c uint64) float64 { return float64(mix(a^mix(b^mix(c)))>>11) / (1 << 53) }

// update applies the events that a gateway sees between two times, and reports whether its list changed.
func (v *views) update(g *gateway, from, to time.Duration) (changed bool) {
	o := &v.run.options
	v.prune(to)
	for k := len(v.pending) - 1; k >= 0; k-- {
		s := &v.pending[k]
		least, span := o.CrashSeenWithin/2, o.CrashSeenWithin/2
		if s.up {
			least, span = o.StartSeenWithin/2, o.StartSeenWithin
		}
		if s.at+least > to || int(s.gateway) == g.index {
			continue
		}
		if s.cutSide != 0 && v.run.side(g.index) != s.cutSide {
			continue
		}
		at := s.at + least + time.Duration(float64(span)*hashUnit(o.Seed, uint64(g.index)<<32|uint64(s.gateway), uint64(s.at)))
		if at <= from || at > to {
			continue
		}
		if up := v.run.net.IsUp(int(s.gateway)); s.cutSide == 0 && (s.up != up || s.incarnation != v.run.gateways[s.gateway].incarnation) {
			continue // superseded by a later start or crash
		}
		if s.cutSide != 0 && s.up == v.run.isCut() {
			continue
		}
		changed = g.view.put(int(s.gateway), s.up) || changed
	}
	return changed
}

// join gives a starting gateway the list of another that it can reach.
func (v *views) join(g *gateway) {
	clear(g.view)
	for k := range v.run.gateways {
		j := (g.index + 1 + k) % len(v.run.gateways)
		if o := v.run.gateways[j]; j != g.index && v.run.net.IsUp(j) && v.run.net.CanReach(g.index, j) && o.view != nil && o.joined {
			copy(g.view, o.view)
			break
		}
	}
	g.view.put(g.index, true)
	g.joined = true
}

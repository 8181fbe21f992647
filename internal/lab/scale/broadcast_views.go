package scale

import (
	"slices"
	"time"
)

// gatewaySet is a set of gateways with one bit for each.
type gatewaySet []uint64

func newGatewaySet(n int) gatewaySet { return make(gatewaySet, (n+63)/64) }

func (s gatewaySet) has(i int) bool { return s[i>>6]>>(i&63)&1 != 0 }

// put adds gateway i to the set or removes it, and reports whether the set changed.
func (s gatewaySet) put(i int, member bool) bool {
	if s.has(i) == member {
		return false
	}
	s[i>>6] ^= 1 << (i & 63)
	return true
}

// membershipEvent is a change that the membership protocol reports: a gateway went down or came up. Each other gateway
// sees the event at a time of its own, so that member lists differ for a while.
type membershipEvent struct {
	at          time.Duration
	gateway     int32
	incarnation int32 // incarnation of the gateway at the time of the event, which a later start supersedes
	up          bool
	cutSide     int8 // 0: all gateways see the event; 1 or 2: only the gateways on that side of the cut
}

// views simulates the membership protocol (SWIM) of all gateways. Each gateway sees a crash at a time of its own in the
// second half of CrashSeenWithin. It sees a start half to one and a half times StartSeenWithin after it. A gateway that
// restarts before others see its crash stays in their lists. A gateway that starts copies the list of another one, as a
// join of memberlist does.
type views struct {
	run     *broadcastRun
	pending []membershipEvent // events that some gateways may not have seen, in the order of time
}

const viewInterval = 250 * time.Millisecond // time between updates of a gateway's list, as in fleet/gossip

// record adds an event that happens now.
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

// mix is the hash function of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashUnit returns a pseudo-random number from 0 up to 1 that depends only on its arguments.
func hashUnit(a, b, c uint64) float64 { return float64(mix(a^mix(b^mix(c)))>>11) / (1 << 53) }

// update applies the events that a gateway sees after the time from, up to the time to, and reports whether its list
// changed.
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

// join copies the list of another gateway, one that it can reach, to a gateway that starts.
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

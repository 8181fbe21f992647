package scale

import (
	"encoding/binary"
	"fmt"

	"foldslip/fleet/broadcast"
)

// spreaders make a mechanism's part of a gateway.
var spreaders = map[string]func(g *gateway, now int64) spreader{"old": newOldSpread, "new": newNewSpread}

const mostShared = 64 // lists of the live that are kept for who has the same

func (r *broadcastRun) member(i int) broadcast.Member {
	p := r.places[i]
	return broadcast.Member{Name: r.names[i], Place: broadcast.Place{Region: fmt.Sprintf("r%02d", p.Region), Zone: fmt.Sprintf("z%02d", p.Zone), Site: fmt.Sprintf("s%03d", p.Site)}}
}

// members gives a list of the live; gateways that see the same share one, as no process of theirs would, so that 3,900 fit.
func (r *broadcastRun) members(view set) []broadcast.Member {
	key := r.key[:0]
	for _, word := range view {
		key = binary.LittleEndian.AppendUint64(key, word)
	}
	r.key = key
	if list, is := r.shared[string(key)]; is {
		return list
	}
	var list []broadcast.Member
	for i := range r.all {
		if view.has(i) {
			list = append(list, r.known[i])
		}
	}
	if len(r.shared) >= mostShared {
		clear(r.shared)
	}
	r.shared[string(key)] = list
	return list
}

// heads are the most loaded gateways: root, regions' heads, zones' heads.
func (r *broadcastRun) heads() [3][]int {
	var out [3][]int
	seen := [3]map[int]bool{{}, {}, {}}
	for i, p := range r.places {
		if !r.net.Up(i) {
			continue
		}
		for l, part := range []int{0, p.Region, p.Zone} {
			if !seen[l][part] {
				seen[l][part] = true
				out[l] = append(out[l], i)
			}
		}
	}
	return out
}

// roles name each gateway's place.
func (r *broadcastRun) roles() []string {
	out := make([]string, len(r.all))
	for i := range out {
		out[i] = "gateway"
		if r.watches(i) {
			out[i] = "told"
		}
	}
	return out
}

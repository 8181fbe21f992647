package scale

// spreaders make a mechanism's part of a gateway.
var spreaders = map[string]func(g *gateway, now int64) spreader{"old": newOldSpread}

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

package scale

import (
	"encoding/binary"
	"fmt"

	"foldslip/internal/fleet/broadcast"
)

// spreaders holds, by mechanism, the function that creates the spreader of a gateway.
var spreaders = map[string]func(g *gateway, now int64) spreader{"old": newPurgesyncSpreader, "new": newBroadcastSpreader}

const maxSharedLists = 64 // member lists that are kept for sharing

// member returns gateway i as a member of fleet/broadcast.
func (r *broadcastRun) member(i int) broadcast.Member {
	p := r.locations[i]
	return broadcast.Member{Name: r.names[i], Locality: broadcast.Locality{Region: fmt.Sprintf("r%02d", p.Region), Zone: fmt.Sprintf("z%02d", p.Zone), Site: fmt.Sprintf("s%03d", p.Site)}}
}

// members returns the member list of a view. Gateways with equal views share a list, so that the lists of 3,900
// gateways fit in memory. When maxSharedLists lists are kept, all of them are dropped before another one is added.
func (r *broadcastRun) members(view gatewaySet) []broadcast.Member {
	key := r.listKey[:0]
	for _, word := range view {
		key = binary.LittleEndian.AppendUint64(key, word)
	}
	r.listKey = key
	if list, ok := r.memberLists[string(key)]; ok {
		return list
	}
	var list []broadcast.Member
	// The list is in the order of the tree, so that the broadcast node does not copy it to sort it.
	for _, m := range r.sortedMembers {
		if view.has(r.indexByName[m.Name]) {
			list = append(list, m)
		}
	}
	if len(r.memberLists) >= maxSharedLists {
		clear(r.memberLists)
	}
	r.memberLists[string(key)] = list
	return list
}

// treeOrder returns the gateways that are up, in the order of the new mechanism's tree, and the level of each: 0 for
// the root, 1 for the head of a region, 2 for the head of a zone, 3 for the head of a site, 4 for any other gateway.
func (r *broadcastRun) treeOrder() (gateways []int, levels []int) {
	var list []broadcast.Member
	for i := range r.gateways {
		if r.net.IsUp(i) {
			list = append(list, r.allMembers[i])
		}
	}
	broadcast.SortMembers(list)
	for k, m := range list {
		level := 4
		if k == 0 {
			level = 0
		} else if before := list[k-1].Locality; before.Region != m.Locality.Region {
			level = 1
		} else if before.Zone != m.Locality.Zone {
			level = 2
		} else if before.Site != m.Locality.Site {
			level = 3
		}
		gateways = append(gateways, r.indexByName[m.Name])
		levels = append(levels, level)
	}
	return gateways, levels
}

// heads returns the root, the region heads and the zone heads of the tree over all live gateways. Sources are left out.
func (r *broadcastRun) heads() (out [3][]int) {
	gateways, levels := r.treeOrder()
	for k, level := range levels {
		if level < 3 && !r.protected.has(gateways[k]) {
			out[level] = append(out[level], gateways[k])
		}
	}
	return out
}

// roles returns the role of each gateway in the tree. A source has the role "told" instead, unless all gateways are
// sources.
func (r *broadcastRun) roles() []string {
	out := make([]string, len(r.gateways))
	gateways, levels := r.treeOrder()
	for k, i := range gateways {
		out[i] = [...]string{"root", "region head", "zone head", "site head", "other"}[levels[k]]
		if s, ok := r.gateways[i].spreader.(*broadcastSpreader); ok && levels[k] == 4 && len(s.node.Stats().Children) == 0 {
			out[i] = "leaf"
		}
	}
	if r.options.Source != "all" {
		for _, i := range r.sources {
			out[i] = "told"
		}
	}
	return out
}

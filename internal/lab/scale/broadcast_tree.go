package scale

import (
	"encoding/binary"
	"fmt"

	"foldslip/internal/fleet/broadcast"
)

// spreaders make a mechanism's part of a gateway.
var spreaders = map[string]func(g *gateway, now int64) spreader{"old": newPurgesyncSpreader, "new": newBroadcastSpreader}

const maxSharedLists = 64 // lists of the live that are kept for who has the same

func (r *broadcastRun) member(i int) broadcast.Member {
	p := r.locations[i]
	return broadcast.Member{Name: r.names[i], Locality: broadcast.Locality{Region: fmt.Sprintf("r%02d", p.Region), Zone: fmt.Sprintf("z%02d", p.Zone), Site: fmt.Sprintf("s%03d", p.Site)}}
}

// members gives a list of the live; gateways that see the same share one, as no process of theirs would, so that 3,900 fit.
func (r *broadcastRun) members(view gatewaySet) []broadcast.Member {
	key := r.listKey[:0]
	for _, word := range view {
		key = binary.LittleEndian.AppendUint64(key, word)
	}
	r.listKey = key
	if list, is := r.memberLists[string(key)]; is {
		return list
	}
	var list []broadcast.Member
	for _, m := range r.sortedMembers { // in the tree's order: a list that is not is copied
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

// treeOrder gives the gateways that are up in the order of the new mechanism's tree, and of each how high it stands: 0 the root, 1 a region's
// head, 2 a zone's, 3 a site's, 4 another.
func (r *broadcastRun) treeOrder() (who []int, level []int) {
	var list []broadcast.Member
	for i := range r.gateways {
		if r.net.IsUp(i) {
			list = append(list, r.allMembers[i])
		}
	}
	broadcast.SortMembers(list)
	for k, m := range list {
		l := 4
		if k == 0 {
			l = 0
		} else if before := list[k-1].Locality; before.Region != m.Locality.Region {
			l = 1
		} else if before.Zone != m.Locality.Zone {
			l = 2
		} else if before.Site != m.Locality.Site {
			l = 3
		}
		who, level = append(who, r.indexByName[m.Name]), append(level, l)
	}
	return who, level
}

// heads are the most loaded gateways by the true list of the live: root, regions' heads, zones' heads.
func (r *broadcastRun) heads() (out [3][]int) {
	who, level := r.treeOrder()
	for k, l := range level {
		if l < 3 && !r.protected.has(who[k]) {
			out[l] = append(out[l], who[k])
		}
	}
	return out
}

// roles name each gateway's place in the tree.
func (r *broadcastRun) roles() []string {
	out := make([]string, len(r.gateways))
	who, level := r.treeOrder()
	for k, i := range who {
		out[i] = [...]string{"root", "region head", "zone head", "site head", "other"}[level[k]]
		if s, is := r.gateways[i].spreader.(*broadcastSpreader); is && level[k] == 4 && len(s.node.Stats().Children) == 0 {
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

// Package scale measures what a gateway's control side costs at the size of the users' whole fleet, where a real process for each
// gateway does not fit on a machine. It has four parts.
//
// Net is a network on a virtual clock for pure modules (inputs and time in, actions out): one event queue, a latency for each pair of
// places, loss, cuts, kills, pauses, counts of each node. One goroutine owns a Net; runs at once are Nets of their own.
//
// Discovery is the stand-in for the users' discovery watch (their pages call it the bulletin) on loopback TCP: thousands of watches,
// each numbered from 1 at its gateway's start, with the events of the size.
//
// Hollow gateways are the real control code (the reader of the watch, the purges, the caches, the router) without its load, many to
// a process; kubemark is the published example. Real processes run beside them so that both are seen to cost the same.
//
// Broadcast plays the spreading of purges among gateways on Net, the old mechanism and the new one, under faults (cases.go), with lists
// of live gateways that differ for a while (views.go).
//
// Nothing of the gateway imports this package; cli/rigs and tests do.
package scale

import "fmt"

// Location is where a node stands. Sites, zones and regions are numbered through the whole fleet: a site is in one zone, a zone in one
// region.
type Location struct{ Site, Zone, Region int }

// The users' plan (issue 39).
const (
	FullGateways = 3900
	FullSites    = 300
	FullZones    = 25
	FullRegions  = 12
	FullCaches   = 1800
	FullControls = 14 // control machines
)

// Layout gives gateways their places: as many at a site as at any other, or one more; the same for sites in zones and zones in regions.
// It panics where a level has fewer than the one above it: such a fleet cannot be meant.
func Layout(gateways, sites, zones, regions int) []Location {
	if regions < 1 || zones < regions || sites < zones || gateways < sites {
		panic(fmt.Sprintf("scale.Layout: %d gateways, %d sites, %d zones, %d regions: each level needs one of the next at least", gateways, sites, zones, regions))
	}
	places := make([]Location, gateways)
	for i := range places {
		site := i * sites / gateways
		zone := site * zones / sites
		places[i] = Location{Site: site, Zone: zone, Region: zone * regions / zones}
	}
	return places
}

// ScaledLayout is a layout of the users' shape at another size: 13 gateways a site, 12 sites a zone, two zones a region, as near as it goes.
func ScaledLayout(gateways int) []Location {
	of := func(full int, most int) int { return min(most, max(1, gateways*full/FullGateways)) }
	sites := of(FullSites, gateways)
	zones := of(FullZones, sites)
	return Layout(gateways, sites, zones, of(FullRegions, zones))
}

// NodesWhere gives the nodes whose place is as asked.
func NodesWhere(places []Location, is func(Location) bool) (nodes []int) {
	for i, p := range places {
		if is(p) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

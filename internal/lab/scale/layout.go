// Package scale measures what a gateway's control side costs at the size of the users' whole fleet, where a real process for each
// gateway does not fit on a machine. It has four parts.
//
// Network is a network on a virtual clock for pure modules (inputs and time in, actions out): one event queue, a latency for each pair
// of locations, loss, cuts, kills, pauses and counters of each node. One goroutine owns a Network; concurrent runs each have their own.
//
// Discovery is a stand-in for the platform's discovery service on loopback TCP: thousands of watches, the events of each numbered from
// 1 at its gateway's start, at the rate of the whole fleet.
//
// A HollowGateway is the real control code (discovery watch, purges, caches, dispatcher) without traffic, many of them in a process, in
// the manner of kubemark. Real processes run beside them to show that both cost the same.
//
// Broadcast simulates how purges spread among gateways over a Network, by the old mechanism and the new one, under faults
// (broadcast_faults.go) and with member lists that differ for a while (broadcast_views.go).
//
// Nothing of the gateway imports this package; cli/rigcli and tests do.
package scale

import "fmt"

// Location is where a node runs. Sites, zones and regions are numbered through the whole fleet: a site is in one zone, a zone in one
// region.
type Location struct{ Site, Zone, Region int }

// Sizes of the whole fleet as planned (issue 39).
const (
	FullGateways = 3900
	FullSites    = 300
	FullZones    = 25
	FullRegions  = 12
	FullCaches   = 1800
	FullControls = 14 // control machines
)

// Layout spreads gateways evenly: as many at a site as at any other, or one more; the same for sites in zones and zones in regions.
// It panics if a level has fewer members than the one above it.
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

// ScaledLayout is the layout of the planned fleet at another size: 13 gateways a site, 12 sites a zone and two zones a region, as nearly as the size allows.
func ScaledLayout(gateways int) []Location {
	scaled := func(full, upper int) int { return min(upper, max(1, gateways*full/FullGateways)) }
	sites := scaled(FullSites, gateways)
	zones := scaled(FullZones, sites)
	return Layout(gateways, sites, zones, scaled(FullRegions, zones))
}

// NodesWhere gives the nodes whose location matches.
func NodesWhere(places []Location, is func(Location) bool) (nodes []int) {
	for i, p := range places {
		if is(p) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

// Package scale measures what the control code of a gateway costs at the size of the users' whole fleet. One machine
// cannot run a real process for each gateway of that fleet. The package has four parts.
//
// Network simulates a network on a virtual clock for pure modules, which receive inputs and the time and return
// actions. It has one event queue, a latency for each pair of locations, datagram loss, cuts, kills, pauses and
// counters for each node. One goroutine owns a Network. Concurrent runs each have their own. Constants in net.go bound
// its queues.
//
// Discovery stands in for the platform's discovery service on loopback TCP. It serves thousands of watches at the event
// rate of the whole fleet. The events of a watch are numbered from 1 at the start of its gateway.
//
// A HollowGateway runs the real control code (discovery watch, purges, caches, dispatcher) without traffic. A process
// holds many hollow gateways, as in kubemark. Real gateway processes run beside them to show that both cost the same.
//
// Broadcast simulates how purges spread among gateways over a Network, with the old mechanism or the new one. Faults
// are injected (broadcast_faults.go), and the member lists of the gateways differ for a while after each change
// (broadcast_views.go).
//
// The gateway does not import this package. Only cli/rigcli and tests import it.
package scale

import "fmt"

// Location is where a node runs. Sites, zones and regions are numbered across the whole fleet. A site is in one zone
// and a zone in one region.
type Location struct{ Site, Zone, Region int }

// Planned sizes of the whole fleet (issue 39).
const (
	FullGateways = 3900
	FullSites    = 300
	FullZones    = 25
	FullRegions  = 12
	FullCaches   = 1800
	FullControls = 14 // control machines
)

// Layout spreads gateways evenly over sites, sites over zones and zones over regions. The numbers of gateways at two
// sites differ by one at most, as do those of sites in two zones and of zones in two regions. Layout panics if there
// are fewer gateways than sites, fewer sites than zones, fewer zones than regions, or no region.
func Layout(gateways, sites, zones, regions int) []Location {
	if regions < 1 || zones < regions || sites < zones || gateways < sites {
		panic(fmt.Sprintf("scale.Layout: %d gateways, %d sites, %d zones, %d regions: expected gateways >= sites >= zones >= regions >= 1", gateways, sites, zones, regions))
	}
	locations := make([]Location, gateways)
	for i := range locations {
		site := i * sites / gateways
		zone := site * zones / sites
		locations[i] = Location{Site: site, Zone: zone, Region: zone * regions / zones}
	}
	return locations
}

// ScaledLayout returns the layout of the planned fleet at another size: 13 gateways a site, 12 sites a zone and two
// zones a region, as nearly as the size allows.
func ScaledLayout(gateways int) []Location {
	scaled := func(full, upper int) int { return min(upper, max(1, gateways*full/FullGateways)) }
	sites := scaled(FullSites, gateways)
	zones := scaled(FullZones, sites)
	return Layout(gateways, sites, zones, scaled(FullRegions, zones))
}

// NodesWhere returns the indexes of the nodes whose location matches.
func NodesWhere(locations []Location, matches func(Location) bool) (nodes []int) {
	for i, p := range locations {
		if matches(p) {
			nodes = append(nodes, i)
		}
	}
	return nodes
}

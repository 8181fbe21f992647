package scale

import (
	"math/rand/v2"
	"time"
)

// FaultSchedule schedules faults on a Network. The plan expects that 6 machines fail and 1,900 gateways restart each
// day, that more restart in releases, that a rack fails each week and a zone once a year, that regions are cut off
// from each other for an hour, and that a control machine is lost. Each method schedules its calls on the Network and
// returns. Times are those of the Network's clock.
type FaultSchedule struct {
	Net      *Network
	Gateways int // number of gateways, nodes 0 to Gateways-1; the nodes after them are control machines
	Rand     *rand.Rand
	// Kill and Start replace the Network's methods for gateways; nil: the Network's methods are used.
	Kill, Start func(i int)
}

// NewFaultSchedule returns a schedule whose random source is seeded with seed.
func NewFaultSchedule(n *Network, gateways int, seed uint64) *FaultSchedule {
	return &FaultSchedule{Net: n, Gateways: gateways, Rand: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

// GatewaysWhere returns the gateways whose location matches.
func (f *FaultSchedule) GatewaysWhere(match func(Location) bool) []int {
	return NodesWhere(f.Net.locations[:f.Gateways], match)
}

// NodesWhere returns the nodes of gateways and control machines whose location matches.
func (f *FaultSchedule) NodesWhere(match func(Location) bool) []int {
	return NodesWhere(f.Net.locations, match)
}

func (f *FaultSchedule) kill(nodes []int) {
	for _, i := range nodes {
		if i < f.Gateways && f.Kill != nil {
			f.Kill(i)
		} else {
			f.Net.Kill(i)
		}
	}
}

func (f *FaultSchedule) start(nodes []int) {
	for _, i := range nodes {
		if i < f.Gateways && f.Start != nil {
			f.Start(i)
		} else {
			f.Net.Start(i)
		}
	}
}

// TakeDown kills nodes at a time and starts them again after a downtime.
func (f *FaultSchedule) TakeDown(at, downtime time.Duration, nodes []int) {
	f.Net.Schedule(at, func() { f.kill(nodes) })
	f.Net.Schedule(at+downtime, func() { f.start(nodes) })
}

// FailRack takes down all gateways of a site at the same time.
func (f *FaultSchedule) FailRack(at, downtime time.Duration, site int) {
	f.TakeDown(at, downtime, f.GatewaysWhere(func(p Location) bool { return p.Site == site }))
}

// FailZone takes down all nodes of a zone at the same time, control machines included.
func (f *FaultSchedule) FailZone(at, downtime time.Duration, zone int) {
	f.TakeDown(at, downtime, f.NodesWhere(func(p Location) bool { return p.Zone == zone }))
}

// CutRegion cuts a region, including its control machines, off from all other regions for a duration.
func (f *FaultSchedule) CutRegion(at, duration time.Duration, region int) {
	var cut *Cut
	f.Net.Schedule(at, func() {
		cut = f.Net.Cut(f.NodesWhere(func(p Location) bool { return p.Region == region }), f.NodesWhere(func(p Location) bool { return p.Region != region }))
	})
	f.Net.Schedule(at+duration, func() { cut.Heal() })
}

// SplitRegions cuts all regions off from each other for a duration. It uses one cut for each region but the last.
func (f *FaultSchedule) SplitRegions(at, duration time.Duration) {
	var cuts []*Cut
	f.Net.Schedule(at, func() {
		for r := range f.Net.regions - 1 {
			cuts = append(cuts, f.Net.Cut(f.NodesWhere(func(p Location) bool { return p.Region == r }), f.NodesWhere(func(p Location) bool { return p.Region > r })))
		}
	})
	f.Net.Schedule(at+duration, func() {
		for _, c := range cuts {
			c.Heal()
		}
	})
}

// Release restarts a number of gateways site by site, at even intervals over a duration. Each is down for the time
// given.
func (f *FaultSchedule) Release(at, over, down time.Duration, count int) {
	count = min(count, f.Gateways)
	for k := range count {
		f.TakeDown(at+over*time.Duration(k)/time.Duration(count), down, []int{k * f.Gateways / count})
	}
}

// FailAtRates takes down single gateways at random times within a span, at the given rates per day. A failure lasts
// half an hour and a restart five seconds.
func (f *FaultSchedule) FailAtRates(at, span time.Duration, failures, restarts float64) {
	takeDownAtRate := func(perDay float64, down time.Duration) {
		if perDay <= 0 {
			return
		}
		gap := 24 * float64(time.Hour) / perDay
		for t := at + time.Duration(f.Rand.ExpFloat64()*gap); t < at+span; t += time.Duration(f.Rand.ExpFloat64() * gap) {
			f.TakeDown(t, down, []int{f.Rand.IntN(f.Gateways)})
		}
	}
	takeDownAtRate(failures, 30*time.Minute)
	takeDownAtRate(restarts, 5*time.Second)
}

// FailControlMachine takes down a control machine. Its gateways move their watches to other machines.
func (f *FaultSchedule) FailControlMachine(at, downtime time.Duration, machine int) {
	f.TakeDown(at, downtime, []int{f.Gateways + machine})
}

package scale

import (
	"math/rand/v2"
	"time"
)

// FaultSchedule plays what the users' plan names on a Net: 6 machines fail a day, 1,900 gateways are started anew a day and in releases, a rack
// fails each week, a zone once a year, regions lose each other for an hour, a control machine is lost. Each method puts its calls on the
// Net's queue and returns; the times are of the Net's clock.
type FaultSchedule struct {
	Net      *Network
	Gateways int // nodes 0 up to it; those after are control machines
	Rand     *rand.Rand
	// Kill and Start end and start a gateway; the Net's own if nil.
	Kill, Start func(i int)
}

// NewFaultSchedule makes one; its chance is seeded.
func NewFaultSchedule(n *Network, gateways int, seed uint64) *FaultSchedule {
	return &FaultSchedule{Net: n, Gateways: gateways, Rand: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

// GatewaysWhere names the gateways whose place is as asked.
func (f *FaultSchedule) GatewaysWhere(is func(Location) bool) []int {
	return NodesWhere(f.Net.locations[:f.Gateways], is)
}

// NodesWhere names gateways and control machines whose place is as asked.
func (f *FaultSchedule) NodesWhere(is func(Location) bool) []int {
	return NodesWhere(f.Net.locations, is)
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

// TakeDown kills nodes at a time and starts them after another.
func (f *FaultSchedule) TakeDown(at, after time.Duration, nodes []int) {
	f.Net.Schedule(at, func() { f.kill(nodes) })
	f.Net.Schedule(at+after, func() { f.start(nodes) })
}

// FailRack has all gateways of a site fail at once.
func (f *FaultSchedule) FailRack(at, after time.Duration, site int) {
	f.TakeDown(at, after, f.GatewaysWhere(func(p Location) bool { return p.Site == site }))
}

// FailZone has all of a zone fail at once, control machines too.
func (f *FaultSchedule) FailZone(at, after time.Duration, zone int) {
	f.TakeDown(at, after, f.NodesWhere(func(p Location) bool { return p.Zone == zone }))
}

// CutRegion cuts a region off from all others for a time; the control machines in it stay with it.
func (f *FaultSchedule) CutRegion(at, after time.Duration, region int) {
	var cut *Cut
	f.Net.Schedule(at, func() {
		cut = f.Net.Cut(f.NodesWhere(func(p Location) bool { return p.Region == region }), f.NodesWhere(func(p Location) bool { return p.Region != region }))
	})
	f.Net.Schedule(at+after, func() { cut.Heal() })
}

// SplitRegions cuts every region from every other for a time. Past 11 regions that is one cut for each but the last.
func (f *FaultSchedule) SplitRegions(at, after time.Duration) {
	var cuts []*Cut
	f.Net.Schedule(at, func() {
		for r := range f.Net.regions - 1 {
			cuts = append(cuts, f.Net.Cut(f.NodesWhere(func(p Location) bool { return p.Region == r }), f.NodesWhere(func(p Location) bool { return p.Region > r })))
		}
	})
	f.Net.Schedule(at+after, func() {
		for _, c := range cuts {
			c.Heal()
		}
	})
}

// Release starts so many gateways anew, evenly over a time and site after site, each down for a while.
func (f *FaultSchedule) Release(at, over, down time.Duration, many int) {
	many = min(many, f.Gateways)
	for k := range many {
		f.TakeDown(at+over*time.Duration(k)/time.Duration(many), down, []int{k * f.Gateways / many})
	}
}

// FailAtRates has single gateways fail and start anew at the rates of the plan, from a time for so long: failures for half an hour each,
// restarts for 5 s.
func (f *FaultSchedule) FailAtRates(at, span time.Duration, failures, restarts float64) {
	play := func(aDay float64, down time.Duration) {
		if aDay <= 0 {
			return
		}
		gap := 24 * float64(time.Hour) / aDay
		for t := at + time.Duration(f.Rand.ExpFloat64()*gap); t < at+span; t += time.Duration(f.Rand.ExpFloat64() * gap) {
			f.TakeDown(t, down, []int{f.Rand.IntN(f.Gateways)})
		}
	}
	play(failures, 30*time.Minute)
	play(restarts, 5*time.Second)
}

// FailControlMachine has a control machine fail: its watches move.
func (f *FaultSchedule) FailControlMachine(at, after time.Duration, machine int) {
	f.TakeDown(at, after, []int{f.Gateways + machine})
}

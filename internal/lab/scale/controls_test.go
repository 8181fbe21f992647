package scale

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var cutDuration = flag.Duration("scale.cut", 20*time.Second, "how long a region of the whole fleet is cut off; an hour is the plan's")

// watchingNode is a gateway that only follows its watch, and checks that events arrive in order.
type watchingNode struct {
	t           *testing.T
	received    int64
	hasReceived bool
}

func (*watchingNode) Datagram(time.Duration, int, []byte) {}
func (*watchingNode) TimerFired(time.Duration)            {}
func (n *watchingNode) EventsArrived(_ time.Duration, first, last int64) {
	if n.hasReceived && first != n.received+1 || last < first {
		n.t.Errorf("events %d to %d arrived after %d", first, last, n.received)
	}
	n.received, n.hasReceived = last, true
}

// watchedFleet is a fleet of gateways and control machines on a network, with its faults.
type watchedFleet struct {
	*Network
	*ControlMachines
	*FaultSchedule
	nodes []*watchingNode
}

// newSmallFleet starts 390 gateways at 30 sites, 5 zones and 3 regions with 4 control machines that publish 20 events a second.
func newSmallFleet(t *testing.T, o ControlOptions) *watchedFleet {
	t.Helper()
	return newWatchedFleet(t, Layout(390, 30, 5, 3), 4, 20, o)
}

// newWatchedFleet starts gateways and control machines that publish events at a rate a second from 5 s on.
func newWatchedFleet(t *testing.T, locations []Location, machines int, rate float64, o ControlOptions) *watchedFleet {
	t.Helper()
	o.Gateways, o.Machines = len(locations), machines
	w := &watchedFleet{nodes: make([]*watchingNode, len(locations))}
	w.Network = NewNetwork(1, WithControlMachines(locations, machines), DefaultLatency, func(i int) Node {
		if i >= len(locations) {
			return ControlMachine{}
		}
		w.nodes[i] = &watchingNode{t: t}
		return w.nodes[i]
	})
	for i := range locations {
		w.Network.Start(i)
	}
	w.ControlMachines = NewControlMachines(w.Network, o)
	w.FaultSchedule = NewFaultSchedule(w.Network, len(locations), 1)
	interval := time.Duration(float64(time.Second) / rate)
	var publish func()
	publish = func() {
		w.Publish()
		w.Network.Schedule(w.Network.Now()+interval, publish)
	}
	w.Network.Schedule(5*time.Second, publish)
	return w
}

// lagging gives the gateways that run and have not received an event.
func (w *watchedFleet) lagging(number int64) (gateways []int) {
	for i := range w.FaultSchedule.Gateways {
		if w.IsUp(i) && w.Received(i) < number {
			gateways = append(gateways, i)
		}
	}
	return gateways
}

// requireCaughtUp runs until a time and checks that all running gateways have received the events published up to lag before it.
func (w *watchedFleet) requireCaughtUp(t *testing.T, until, lag time.Duration) {
	t.Helper()
	w.Run(until - lag)
	number := w.LastEvent()
	w.Run(until)
	if lagging := w.lagging(number); len(lagging) > 0 {
		t.Errorf("at %v: %d gateways do not hold event %d of %v before, the first is %d with %d", until, len(lagging), number, lag, lagging[0], w.Received(lagging[0]))
	}
}

func TestEachWatchGetsEachEventInOrder(t *testing.T) {
	w := newSmallFleet(t, ControlOptions{})
	w.SetLoss(0.02)
	w.requireCaughtUp(t, 60*time.Second, time.Second)
	var slowest time.Duration
	for number := int64(1); number <= w.LastEvent()-20; number++ {
		slowest = max(slowest, w.LastArrival(number)-w.PublishedAt(number))
	}
	if slowest < 200*time.Millisecond || slowest > 800*time.Millisecond {
		t.Errorf("the slowest event was everywhere after %v; a loss costs 200 ms", slowest)
	}
	loads := w.Watches()
	if slices.Min(loads) < 80 || slices.Max(loads) > 131 {
		t.Errorf("watches of machines: %v", loads)
	}
	c, m := w.Counters(0), w.Counters(390)
	if want := int64(55 * 20 * (72 + 52)); c.StreamIn < want || c.StreamIn > want+270_000*104/100+60*64 || c.StreamOut < want/6 {
		t.Errorf("a gateway's watch brought %d bytes, %d of events, and took %d", c.StreamIn, want, c.StreamOut)
	}
	if m.StreamOut < 60*c.StreamIn {
		t.Errorf("a machine sent %d bytes, a gateway heard %d", m.StreamOut, c.StreamIn)
	}
}

func TestWatchesMoveOffLostControlMachine(t *testing.T) {
	w := newSmallFleet(t, ControlOptions{})
	w.FailControlMachine(20*time.Second, 60*time.Second, 2)
	w.Run(20 * time.Second)
	before := w.Watches()[2]
	w.Run(19 * time.Second)
	w.requireCaughtUp(t, 30*time.Second, time.Second) // 1 s to look, 2.5 s of silence, 0.5 s of dialling, and the backoff, twice at worst
	if w.Watches()[2] != 0 || w.Moves < int64(before) || before == 0 {
		t.Errorf("%d watches moved of %d, the lost machine has %v", w.Moves, before, w.Watches())
	}
	w.requireCaughtUp(t, 120*time.Second, time.Second)
}

func TestFullMachineRedirectsWatches(t *testing.T) {
	w := newSmallFleet(t, ControlOptions{MaxWatches: 130}) // a third of all: just enough with one lost
	w.FailControlMachine(10*time.Second, time.Hour, 1)
	w.requireCaughtUp(t, 40*time.Second, time.Second)
	if loads := w.Watches(); !slices.Equal(loads, []int{130, 0, 130, 130}) || w.Denied == 0 {
		t.Errorf("%v, %d denied", loads, w.Denied)
	}
}

func TestCutOffRegionGetsAllEventsAfterHeal(t *testing.T) {
	const cut = 3 * time.Minute // the hour of the plan takes minutes to simulate
	w := newSmallFleet(t, ControlOptions{CatchUpBytesPerSecond: 20_000, ListBytes: 1000})
	w.CutRegion(20*time.Second, cut, 2)
	cutOff := w.GatewaysWhere(func(p Location) bool { return p.Region == 2 })
	w.Run(20 * time.Second)
	at := w.LastEvent()
	w.Run(cut)
	if lagging := w.lagging(w.LastEvent() - 40); !slices.Equal(lagging, cutOff) {
		t.Errorf("%d are behind in the cut, expected the %d of the region", len(lagging), len(cutOff))
	}
	if held := w.Received(cutOff[0]); held < at-5 || held > at {
		t.Errorf("cut off at event %d, holds %d", at, held)
	}
	w.requireCaughtUp(t, 20*time.Second+cut+25*time.Second, 2*time.Second) // 3,600 events of 72 bytes at 20 KB/s are 13 s, and those published meanwhile
	if c := w.Counters(cutOff[0]); c.MaxInPerSecond > 3*maxCatchUpBytes/2 {
		t.Errorf("the catching up took %d bytes in a second; one turn is %d", c.MaxInPerSecond, maxCatchUpBytes)
	}
}

func TestAllRunningGatewaysCatchUpAfterEachFault(t *testing.T) {
	for name, play := range map[string]func(w *watchedFleet){
		"rack":          func(w *watchedFleet) { w.FailRack(20*time.Second, 30*time.Second, 7) },
		"zone":          func(w *watchedFleet) { w.FailZone(20*time.Second, 60*time.Second, 2) },
		"regions apart": func(w *watchedFleet) { w.SplitRegions(20*time.Second, 60*time.Second) },
		"release":       func(w *watchedFleet) { w.Release(20*time.Second, 60*time.Second, 5*time.Second, 190) },
		"daily rates":   func(w *watchedFleet) { w.FailAtRates(10*time.Second, 70*time.Second, 20_000, 100_000) },
		"paused gateway": func(w *watchedFleet) {
			w.Schedule(20*time.Second, func() { w.Pause(5) })
			w.Schedule(50*time.Second, func() { w.Resume(5) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSmallFleet(t, ControlOptions{})
			play(w)
			w.requireCaughtUp(t, 100*time.Second, time.Second)
			if w.LastEvent() < 1800 {
				t.Errorf("%d events", w.LastEvent())
			}
		})
	}
}

// The whole fleet at the plan's rates, with a zone that fails.
func TestFullFleetReceivesHundredPurgesPerSecond(t *testing.T) {
	w := newWatchedFleet(t, Layout(FullGateways, FullSites, FullZones, FullRegions), FullControls, 100, ControlOptions{})
	w.FailZone(10*time.Second, time.Minute, 3)
	w.requireCaughtUp(t, 15*time.Second, time.Second)
	var slowest time.Duration
	for number := int64(1); number <= w.LastEvent()-200; number++ {
		slowest = max(slowest, w.LastArrival(number)-w.PublishedAt(number))
	}
	t.Logf("%d events, the slowest everywhere after %v, %d steps", w.LastEvent(), slowest, w.Steps())
	if slowest > 4500*time.Millisecond {
		t.Errorf("an event took %v", slowest)
	}
}

// A region is cut off and healed, at the plan's size and rates, with the backlog sent at the budget of a gateway.
func TestFullFleetCatchesUpAfterRegionCut(t *testing.T) {
	const bytesPerSecond = 15 << 10
	w := newWatchedFleet(t, Layout(FullGateways, FullSites, FullZones, FullRegions), FullControls, 100, ControlOptions{BatchInterval: 100 * time.Millisecond, CatchUpBytesPerSecond: bytesPerSecond, ListBytes: 1000})
	w.CutRegion(10*time.Second, *cutDuration, 4)
	region := w.GatewaysWhere(func(p Location) bool { return p.Region == 4 })
	w.Run(10*time.Second + *cutDuration)
	missed := w.LastEvent() - w.Received(region[0])
	if missed < int64(cutDuration.Seconds()*95) {
		t.Fatalf("%d events behind after %v", missed, *cutDuration)
	}
	at := w.Now()
	for len(w.lagging(w.LastEvent()-200)) > 0 && w.Now() < at+2**cutDuration+time.Minute { // 2 s of events
		w.Run(w.Now() + time.Second)
	}
	elapsed := w.Now() - at
	c := w.Counters(region[0])
	t.Logf("%d events missed, caught up after %v, %d bytes in the worst second of a gateway, %d moves, %d steps", missed, elapsed, c.MaxInPerSecond, w.Moves, w.Steps())
	if limit := time.Duration(float64(*cutDuration)*0.95) + 15*time.Second; elapsed > limit { // 7.2 KB/s are missed and 7.2 KB/s come beside 15 KB/s
		t.Errorf("caught up only after %v", elapsed)
	}
}

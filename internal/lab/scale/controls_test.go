package scale

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var cutDuration = flag.Duration("scale.cut", 20*time.Second, "how long a region is cut off from the whole fleet; the plan says an hour")

// watchingNode is a gateway that only follows its watch and checks that events arrive in order.
type watchingNode struct {
	t           *testing.T
	received    int64
	hasReceived bool
}

func (*watchingNode) Datagram(time.Duration, int, []byte) {}
func (*watchingNode) TimerFired(time.Duration)            {}
func (n *watchingNode) EventsArrived(_ time.Duration, first, last int64) {
	if n.hasReceived && first != n.received+1 || last < first {
		n.t.Errorf("events %d to %d arrived after event %d, expected the next ones in order", first, last, n.received)
	}
	n.received, n.hasReceived = last, true
}

// watchedFleet is a fleet of gateways and control machines on a Network with a schedule of faults.
type watchedFleet struct {
	*Network
	*ControlMachines
	*FaultSchedule
	nodes []*watchingNode
}

// newSmallFleet starts 390 gateways at 30 sites in 5 zones and 3 regions, with 4 control machines that publish 20
// events a second.
func newSmallFleet(t *testing.T, o ControlOptions) *watchedFleet {
	t.Helper()
	return newWatchedFleet(t, Layout(390, 30, 5, 3), 4, 20, o)
}

// newWatchedFleet starts gateways and control machines. From 5 s on, events are published at the given rate per
// second.
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

// lagging returns the gateways that are up and have not received the event with the given number.
func (w *watchedFleet) lagging(number int64) (gateways []int) {
	for i := range w.FaultSchedule.Gateways {
		if w.IsUp(i) && w.Received(i) < number {
			gateways = append(gateways, i)
		}
	}
	return gateways
}

// requireCaughtUp runs until a time and checks that all gateways that are up then have received the events published
// up to lag before.
func (w *watchedFleet) requireCaughtUp(t *testing.T, until, lag time.Duration) {
	t.Helper()
	w.Run(until - lag)
	number := w.LastEvent()
	w.Run(until)
	if lagging := w.lagging(number); len(lagging) > 0 {
		t.Errorf("at %v: %d gateways lack event %d, which was published at least %v before; the first is gateway %d, whose last event is %d", until, len(lagging), number, lag, lagging[0], w.Received(lagging[0]))
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
		t.Errorf("the slowest event reached all gateways after %v, expected 200 to 800 ms (a loss delays an event by 200 ms)", slowest)
	}
	loads := w.Watches()
	if slices.Min(loads) < 80 || slices.Max(loads) > 131 {
		t.Errorf("watches per machine: %v, expected 80 to 131 on each", loads)
	}
	c, m := w.Counters(0), w.Counters(390)
	if want := int64(55 * 20 * (72 + 52)); c.StreamIn < want || c.StreamIn > want+270_000*104/100+60*64 || c.StreamOut < want/6 {
		t.Errorf("a gateway received %d bytes on its watch, expected %d of events and at most the list and heartbeats besides; it sent %d", c.StreamIn, want, c.StreamOut)
	}
	if m.StreamOut < 60*c.StreamIn {
		t.Errorf("a machine sent %d bytes and a gateway received %d, expected the machine to send at least 60 times as much", m.StreamOut, c.StreamIn)
	}
}

func TestWatchesMoveOffLostControlMachine(t *testing.T) {
	w := newSmallFleet(t, ControlOptions{})
	w.FailControlMachine(20*time.Second, 60*time.Second, 2)
	w.Run(20 * time.Second)
	before := w.Watches()[2]
	w.Run(19 * time.Second)
	w.requireCaughtUp(t, 30*time.Second, time.Second) // up to 1 s until the check, 2.5 s of silence, 0.5 s of dialing and the backoff, at worst twice
	if w.Watches()[2] != 0 || w.Moves < int64(before) || before == 0 {
		t.Errorf("%d watches moved, expected all %d of the lost machine; watches per machine: %v", w.Moves, before, w.Watches())
	}
	w.requireCaughtUp(t, 120*time.Second, time.Second)
}

func TestFullMachineRedirectsWatches(t *testing.T) {
	w := newSmallFleet(t, ControlOptions{MaxWatches: 130}) // a third of all watches: just enough if one machine is lost
	w.FailControlMachine(10*time.Second, time.Hour, 1)
	w.requireCaughtUp(t, 40*time.Second, time.Second)
	if loads := w.Watches(); !slices.Equal(loads, []int{130, 0, 130, 130}) || w.Denied == 0 {
		t.Errorf("watches per machine %v after %d denied requests, expected [130 0 130 130] after at least one", loads, w.Denied)
	}
}

func TestCutOffRegionGetsAllEventsAfterHeal(t *testing.T) {
	const cut = 3 * time.Minute // the plan's cut of an hour takes minutes to simulate
	w := newSmallFleet(t, ControlOptions{CatchUpBytesPerSecond: 20_000, ListBytes: 1000})
	w.CutRegion(20*time.Second, cut, 2)
	cutOff := w.GatewaysWhere(func(p Location) bool { return p.Region == 2 })
	w.Run(20 * time.Second)
	at := w.LastEvent()
	w.Run(cut)
	if lagging := w.lagging(w.LastEvent() - 40); !slices.Equal(lagging, cutOff) {
		t.Errorf("%d gateways are behind during the cut, expected exactly the %d gateways of the region", len(lagging), len(cutOff))
	}
	if held := w.Received(cutOff[0]); held < at-5 || held > at {
		t.Errorf("a gateway cut off at event %d has received up to event %d, expected at most 5 fewer", at, held)
	}
	w.requireCaughtUp(t, 20*time.Second+cut+25*time.Second, 2*time.Second) // 3,600 events of 72 bytes take 13 s at 20 KB/s; more are published meanwhile
	if c := w.Counters(cutOff[0]); c.MaxInPerSecond > 3*maxCatchUpBytes/2 {
		t.Errorf("a gateway that caught up received %d bytes in a second, expected at most 1.5 times a batch of %d", c.MaxInPerSecond, maxCatchUpBytes)
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
				t.Errorf("%d events published, expected at least 1800", w.LastEvent())
			}
		})
	}
}

// TestFullFleetReceivesHundredPurgesPerSecond runs a fleet of the planned size at the planned rate of purges while a
// zone fails.
func TestFullFleetReceivesHundredPurgesPerSecond(t *testing.T) {
	w := newWatchedFleet(t, Layout(FullGateways, FullSites, FullZones, FullRegions), FullControls, 100, ControlOptions{})
	w.FailZone(10*time.Second, time.Minute, 3)
	w.requireCaughtUp(t, 15*time.Second, time.Second)
	var slowest time.Duration
	for number := int64(1); number <= w.LastEvent()-200; number++ {
		slowest = max(slowest, w.LastArrival(number)-w.PublishedAt(number))
	}
	t.Logf("%d events, the slowest reached all gateways after %v, %d steps", w.LastEvent(), slowest, w.Steps())
	if slowest > 4500*time.Millisecond {
		t.Errorf("the slowest event reached all gateways after %v, expected at most 4.5 s", slowest)
	}
}

// TestFullFleetCatchesUpAfterRegionCut cuts a region off from a fleet of the planned size and rates, and heals the
// cut. The backlog is sent to each gateway at its budget of bytes per second.
func TestFullFleetCatchesUpAfterRegionCut(t *testing.T) {
	const bytesPerSecond = 15 << 10
	w := newWatchedFleet(t, Layout(FullGateways, FullSites, FullZones, FullRegions), FullControls, 100, ControlOptions{BatchInterval: 100 * time.Millisecond, CatchUpBytesPerSecond: bytesPerSecond, ListBytes: 1000})
	w.CutRegion(10*time.Second, *cutDuration, 4)
	region := w.GatewaysWhere(func(p Location) bool { return p.Region == 4 })
	w.Run(10*time.Second + *cutDuration)
	missed := w.LastEvent() - w.Received(region[0])
	if missed < int64(cutDuration.Seconds()*95) {
		t.Fatalf("a gateway is %d events behind after a cut of %v, expected at least 95 for each second", missed, *cutDuration)
	}
	at := w.Now()
	for len(w.lagging(w.LastEvent()-200)) > 0 && w.Now() < at+2**cutDuration+time.Minute { // 200 events are those of 2 s
		w.Run(w.Now() + time.Second)
	}
	elapsed := w.Now() - at
	c := w.Counters(region[0])
	t.Logf("%d events missed, caught up after %v, %d bytes in the busiest second of a gateway, %d moves, %d steps", missed, elapsed, c.MaxInPerSecond, w.Moves, w.Steps())
	if limit := time.Duration(float64(*cutDuration)*0.95) + 15*time.Second; elapsed > limit { // a gateway misses 7.2 KB/s during the cut; afterwards it receives 15 KB/s, of which new events take 7.2 KB/s
		t.Errorf("caught up after %v, expected at most %v", elapsed, limit)
	}
}

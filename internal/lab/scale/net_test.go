package scale

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestLayoutSpreadsGatewaysEvenly(t *testing.T) {
	locations := Layout(FullGateways, FullSites, FullZones, FullRegions)
	sites, zones, regions := map[int]int{}, map[int]int{}, map[int]int{}
	zoneOf, regionOf := map[int]int{}, map[int]int{}
	for _, p := range locations {
		sites[p.Site]++
		zones[p.Zone]++
		regions[p.Region]++
		if z, ok := zoneOf[p.Site]; ok && z != p.Zone {
			t.Fatalf("site %d is in zones %d and %d", p.Site, z, p.Zone)
		}
		if r, ok := regionOf[p.Zone]; ok && r != p.Region {
			t.Fatalf("zone %d is in regions %d and %d", p.Zone, r, p.Region)
		}
		zoneOf[p.Site], regionOf[p.Zone] = p.Zone, p.Region
	}
	if len(sites) != FullSites || len(zones) != FullZones || len(regions) != FullRegions {
		t.Fatalf("layout has %d sites, %d zones and %d regions, want those of the whole fleet", len(sites), len(zones), len(regions))
	}
	for s, n := range sites {
		if n != 13 {
			t.Errorf("site %d has %d gateways, want 13", s, n)
		}
	}
	for z, n := range zones {
		if n != 156 {
			t.Errorf("zone %d has %d gateways, want 156", z, n)
		}
	}
	for _, n := range []int{1, 2, 12, 13, 50, 200, 1000, 2000} {
		if got := len(ScaledLayout(n)); got != n {
			t.Errorf("ScaledLayout(%d) has %d gateways", n, got)
		}
	}
}

// recorder is a node that records the datagrams it receives and the times at which its timer fires.
type recorder struct {
	net         *Network
	index       int
	got         []string
	timersFired []time.Duration
	reply       bool
}

func (r *recorder) Datagram(now time.Duration, from int, b []byte) {
	r.got = append(r.got, fmt.Sprintf("%v %d %s", now, from, b))
	if r.reply {
		r.net.Send(r.index, from, []byte("re: "+string(b)))
	}
}
func (r *recorder) TimerFired(now time.Duration) { r.timersFired = append(r.timersFired, now) }

// newRecorderNetwork creates a network of started recorders, with latencies that have no jitter.
func newRecorderNetwork(locations []Location) (*Network, []*recorder) {
	latency := DefaultLatency
	latency.Jitter = 0
	all := make([]*recorder, len(locations))
	var n *Network
	n = NewNetwork(1, locations, latency, func(i int) Node {
		all[i] = &recorder{net: n, index: i}
		return all[i]
	})
	for i := range locations {
		n.Start(i)
	}
	n.Run(0)
	return n, all
}

func TestLatencyFollowsNearestSharedLocation(t *testing.T) {
	locations := []Location{{0, 0, 0}, {0, 0, 0}, {1, 0, 0}, {2, 1, 0}, {3, 2, 1}, {4, 3, 2}, {5, 4, 3}, {6, 5, 4}}
	n, all := newRecorderNetwork(locations)
	for to := 1; to < len(locations); to++ {
		n.Send(0, to, []byte("x"))
	}
	n.Run(time.Second)
	// The five regions form a ring.
	for to, want := range map[int]string{1: "250µs", 2: "1ms", 3: "4ms", 4: "30ms", 5: "45ms", 6: "45ms", 7: "30ms"} {
		if !slices.Equal(all[to].got, []string{want + " 0 x"}) {
			t.Errorf("node %d received %q, want one datagram after %s", to, all[to].got, want)
		}
	}
}

func TestDatagramBytesIncludeHeadersOnBothSides(t *testing.T) {
	n, all := newRecorderNetwork(Layout(2, 1, 1, 1))
	all[1].reply = true
	n.Send(0, 1, make([]byte, 100))
	n.Send(0, 1, make([]byte, MaxDatagram+1))
	n.Run(time.Second)
	n.Send(0, 1, make([]byte, 10))
	n.Run(2 * time.Second)
	a, b := n.Counters(0), n.Counters(1)
	if want := (Counters{Out: 2, In: 2, BytesOut: 110 + 56, BytesIn: 118 + 56, MaxOutPerSecond: 128, MaxInPerSecond: 132, Refused: 1}); a != want {
		t.Errorf("counters of the sender: %+v, want %+v", a, want)
	}
	if want := (Counters{Out: 2, In: 2, BytesOut: 118 + 56, BytesIn: 110 + 56, MaxOutPerSecond: 132, MaxInPerSecond: 128}); b != want {
		t.Errorf("counters of the receiver: %+v, want %+v", b, want)
	}
}

func TestCutBlocksBothDirectionsUntilHealed(t *testing.T) {
	n, all := newRecorderNetwork(Layout(3, 3, 3, 3))
	one, two := n.Cut([]int{0}, []int{1, 2}), n.Cut([]int{0}, []int{1})
	send := func() (got [3]int) {
		for _, r := range all {
			r.got = nil
		}
		for from := range 3 {
			for to := range 3 {
				if from != to {
					n.Send(from, to, []byte("x"))
				}
			}
		}
		n.Run(n.Now() + time.Second)
		for i, r := range all {
			got[i] = len(r.got)
		}
		return got
	}
	if got := send(); got != [3]int{0, 1, 1} {
		t.Errorf("with both cuts the nodes received %v datagrams, want 0, 1 and 1", got)
	}
	one.Heal()
	if got := send(); got != [3]int{1, 1, 2} {
		t.Errorf("with one cut the nodes received %v datagrams, want 1, 1 and 2", got)
	}
	two.Heal()
	if got := send(); got != [3]int{2, 2, 2} {
		t.Errorf("after both heals the nodes received %v datagrams, want 2 each", got)
	}
	n.Send(0, 1, []byte("x"))
	n.Run(n.Now() + time.Millisecond)
	n.Cut([]int{0}, []int{1})
	all[1].got = nil
	n.Run(n.Now() + time.Second)
	if len(all[1].got) != 0 || n.Counters(0).Lost != 4 {
		t.Errorf("datagram in flight at the start of a cut: received %v, %d datagrams lost, want none received and 4 lost", all[1].got, n.Counters(0).Lost)
	}
}

func TestKilledNodeReceivesNothingAndRestartsEmpty(t *testing.T) {
	n, all := newRecorderNetwork(Layout(2, 1, 1, 1))
	killed := all[1]
	n.SetTimer(1, 5*time.Second)
	n.Kill(1)
	n.Send(0, 1, []byte("lost"))
	n.Send(1, 0, []byte("never sent"))
	n.Run(time.Second)
	n.Start(1)
	n.Send(0, 1, []byte("heard"))
	n.Run(10 * time.Second)
	if len(killed.got) != 0 || len(killed.timersFired) != 1 || len(all[0].got) != 0 {
		t.Errorf("killed program received %q and its timer fired at %v; its peer received %q", killed.got, killed.timersFired, all[0].got)
	}
	if all[1] == killed || len(all[1].got) != 1 || !slices.Equal(all[1].timersFired, []time.Duration{time.Second}) || n.Counters(0).Lost != 1 {
		t.Errorf("new program received %q and its timer fired at %v; %d datagrams lost, want 1", all[1].got, all[1].timersFired, n.Counters(0).Lost)
	}
}

func TestPausedNodeReceivesQueuedDatagramsOnResume(t *testing.T) {
	n, all := newRecorderNetwork(Layout(2, 1, 1, 1))
	n.SetTimer(1, time.Second)
	n.Pause(1)
	const sent = 300
	for i := range sent {
		n.Send(0, 1, append(binary.BigEndian.AppendUint32(nil, uint32(i)), make([]byte, 996)...))
		n.Run(n.Now() + time.Millisecond)
	}
	n.Run(10 * time.Second)
	n.Send(1, 0, []byte("a paused node sends nothing"))
	if len(all[1].got) != 0 || len(all[1].timersFired) != 1 {
		t.Fatal("a paused node received datagrams or its timer fired")
	}
	n.Resume(1)
	n.Run(11 * time.Second)
	queued := maxInboxBytes / 1028
	if len(all[1].got) != queued || n.Counters(0).Lost != int64(sent-queued) || len(all[0].got) != 0 {
		t.Errorf("node received %d and lost %d of %d datagrams; its peer received %d", len(all[1].got), n.Counters(0).Lost, sent, len(all[0].got))
	}
	if !slices.Equal(all[1].timersFired, []time.Duration{0, 10 * time.Second}) {
		t.Errorf("timer fired at %v, want 0s and 10s", all[1].timersFired)
	}
}

func TestLastTimerSettingWins(t *testing.T) {
	n, all := newRecorderNetwork(Layout(1, 1, 1, 1))
	all[0].timersFired = nil
	n.SetTimer(0, 5*time.Second)
	n.SetTimer(0, 2*time.Second)
	n.SetTimer(0, 3*time.Second)
	n.Run(4 * time.Second)
	n.SetTimer(0, 5*time.Second)
	n.Run(6 * time.Second)
	n.SetTimer(0, 7*time.Second)
	n.SetTimer(0, never)
	n.Run(8 * time.Second)
	if want := []time.Duration{3 * time.Second, 5 * time.Second}; !slices.Equal(all[0].timersFired, want) {
		t.Errorf("timer fired at %v, want %v", all[0].timersFired, want)
	}
}

func TestScheduledCallsRunInOrder(t *testing.T) {
	n, _ := newRecorderNetwork(Layout(1, 1, 1, 1))
	var got []int
	for _, at := range []int{3, 1, 2, 1} {
		n.Schedule(time.Duration(at)*time.Second, func() { got = append(got, at) })
	}
	n.Run(2 * time.Second)
	n.Schedule(0, func() { got = append(got, 0) })
	n.Run(5 * time.Second)
	if !slices.Equal(got, []int{1, 1, 2, 0, 3}) {
		t.Errorf("calls ran in the order %v, want 1, 1, 2, 0, 3", got)
	}
}

// randomSender is a node that sends to pseudo-random peers at a fixed interval and hashes the datagrams it receives.
type randomSender struct {
	net    *Network
	index  int
	every  time.Duration
	digest uint64
	buf    [120]byte
}

func (n *randomSender) Datagram(now time.Duration, from int, b []byte) {
	n.digest = (n.digest ^ uint64(now) ^ uint64(from)<<48 ^ uint64(len(b))<<40) * 0x9e3779b97f4a7c15
}
func (n *randomSender) TimerFired(now time.Duration) {
	x := (uint64(n.index)*0x9e3779b97f4a7c15 + uint64(now)) * 0xbf58476d1ce4e5b9
	n.net.Send(n.index, int(x>>33)%n.net.Nodes(), n.buf[:])
	n.net.SetTimer(n.index, now+n.every)
}

func newRandomSenderNetwork(seed uint64, nodes int, every time.Duration) (*Network, func() uint64) {
	all := make([]*randomSender, nodes)
	var n *Network
	n = NewNetwork(seed, ScaledLayout(nodes), DefaultLatency, func(i int) Node {
		all[i] = &randomSender{net: n, index: i, every: every}
		return all[i]
	})
	for i := range nodes {
		n.Start(i)
	}
	return n, func() (sum uint64) {
		for _, node := range all {
			sum = sum*31 + node.digest
		}
		return sum
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	play := func(seed uint64) uint64 {
		n, digest := newRandomSenderNetwork(seed, 200, 50*time.Millisecond)
		n.SetLoss(0.1)
		n.SetDuplication(0.05)
		n.Schedule(2*time.Second, func() { n.Kill(7); n.Pause(8); n.Cut([]int{1, 2}, []int{3}) })
		n.Schedule(4*time.Second, func() { n.Start(7); n.Resume(8) })
		n.Run(6 * time.Second)
		return digest()
	}
	a, b, other := play(1), play(1), play(2)
	if a != b || a == other {
		t.Errorf("digests %x and %x with seed 1, want them equal; %x with seed 2, want another one", a, b, other)
	}
}

func TestLossMatchesProbability(t *testing.T) {
	n, _ := newRandomSenderNetwork(3, 100, 10*time.Millisecond)
	n.SetLoss(0.1)
	n.SetDuplication(0.2)
	n.Run(10 * time.Second)
	var out, in, lost int64
	for i := range n.Nodes() {
		c := n.Counters(i)
		out, in, lost = out+c.Out, in+c.In, lost+c.Lost
	}
	if share := float64(lost) / float64(out); share < 0.095 || share > 0.105 {
		t.Errorf("share %.3f of the datagrams lost, want 0.095 to 0.105", share)
	}
	if share := float64(in) / float64(out-lost); share < 1.19 || share > 1.21 {
		t.Errorf("%.3f deliveries of each datagram that was not lost, want 1.19 to 1.21", share)
	}
}

// BenchmarkSecondOfFullFleet measures the real time of one virtual second of the whole fleet, in which some 100,000
// datagrams are sent.
func BenchmarkSecondOfFullFleet(b *testing.B) {
	n, _ := newRandomSenderNetwork(1, FullGateways, 39*time.Millisecond)
	n.Run(time.Second)
	var before int64
	for i := range n.Nodes() {
		before += n.Counters(i).Out
	}
	for b.Loop() {
		n.Run(n.Now() + time.Second)
	}
	var after int64
	for i := range n.Nodes() {
		after += n.Counters(i).Out
	}
	b.ReportMetric(float64(after-before)/float64(b.N), "datagrams/op")
}

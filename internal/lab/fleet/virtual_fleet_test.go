package fleet

import (
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/env"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// VirtualFleet is a fleet of gateways that exchange messages over a Network, for use with
// testing/synctest. Its methods must be called from one goroutine.
type VirtualFleet struct {
	Links       *Links
	Network     *Network
	Log         *slog.Logger // logger of the gateways that are started after it is set
	base        membership.Settings
	seeds       int // number of gateways whose addresses each gateway gets as seeds
	names       []string
	byName      map[string]*gateway
	FalseDeaths int        // changes of views that marked a running and reachable gateway dead
	mu          sync.Mutex // guards FalseDeaths, and the fields of gateways while gateways run
}

// gateway is one gateway of a VirtualFleet, over all of its starts.
type gateway struct {
	name, addr    string
	announcedName string            // name that it announces to the fleet; empty: its own name
	fleet         *membership.Fleet // nil: the gateway does not run
	stop          chan struct{}     // closed to end fleet
	ended         chan struct{}     // closed when fleet has ended
	counts        *transport.Counts
	directory     env.Directory // where it stores its members; nil: it stores none
}

// NewVirtualFleet returns a fleet of size gateways. No gateway runs yet. The caller must call Close.
func NewVirtualFleet(size int, seed uint64, base membership.Settings) *VirtualFleet {
	links := NewLinks(seed)
	v := &VirtualFleet{
		Links:   links,
		Network: NewNetwork(links),
		Log:     slog.New(slog.DiscardHandler),
		base:    base,
		seeds:   defaultSeeds,
		byName:  map[string]*gateway{},
	}
	for i := range size {
		name := fmt.Sprintf("n%d", i+1)
		addr := fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255)
		v.names = append(v.names, name)
		v.byName[name] = &gateway{name: name, addr: addr, counts: &transport.Counts{}}
	}
	return v
}

// DefaultSettings returns the default settings of config.Fleet.
func DefaultSettings() membership.Settings {
	return membership.Settings{
		MaxMembers:     1024,
		ProbeInterval:  time.Second,
		ProbeTimeout:   500 * time.Millisecond,
		GossipInterval: 200 * time.Millisecond,
		ReapAfter:      time.Hour,
		SettleAfter:    time.Second,
		RejoinInterval: 5 * time.Second,
	}
}

// Start starts gateways. A gateway that runs already is an error.
func (v *VirtualFleet) Start(names ...string) error {
	for _, name := range names {
		if err := v.startGateway(v.byName[name]); err != nil {
			return err
		}
	}
	return nil
}

func (v *VirtualFleet) startGateway(g *gateway) error {
	if g.fleet != nil {
		return &GatewayError{g.name, ErrRunning}
	}
	settings := v.base
	settings.Name = g.name
	settings.Advertise = g.addr
	if g.announcedName != "" {
		settings.Name = g.announcedName
	}
	for _, seed := range v.names[:min(v.seeds, len(v.names))] {
		settings.Seeds = append(settings.Seeds, v.byName[seed].addr)
	}
	counts := &transport.Counts{}
	g.counts = counts
	dependencies := membership.Dependencies{
		Log:             v.Log.With("on", g.name),
		Now:             time.Now,
		TransportCounts: counts,
		OpenTransport:   func() (memberlist.Transport, error) { return v.Network.Open(g.name, g.addr, counts) },
		OnChange:        func(change view.Change, _ time.Time) { v.countFalseDeath(g.name, change) },
	}
	if g.directory != nil {
		var err error
		if dependencies.Store, err = membership.OpenMemberStore(g.directory, g.name, settings.MaxMembers); err != nil {
			return err
		}
	}
	fleet, err := membership.New(settings, dependencies)
	if err != nil {
		return err
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	v.mu.Lock()
	g.fleet = fleet
	g.stop = stop
	g.ended = ended
	v.mu.Unlock()
	go func() {
		defer close(ended)
		fleet.Run(stop)
	}()
	return nil
}

// countFalseDeath increments FalseDeaths if a change of the observer's view marks a gateway dead that
// runs and whose link with the observer is open in both directions.
func (v *VirtualFleet) countFalseDeath(observer string, change view.Change) {
	if change.To != view.Dead || !v.Links.IsOpen(observer, change.Name) {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byName[change.Name].fleet != nil {
		v.FalseDeaths++
	}
}

// Kill ends gateways at once. The other gateways receive no message about it.
func (v *VirtualFleet) Kill(names ...string) {
	for _, name := range names {
		g := v.byName[name]
		v.Network.CloseAddress(g.addr)
		v.endGateway(g)
	}
}

// Stop makes gateways leave the fleet gracefully, one after the other, and waits until they have ended.
func (v *VirtualFleet) Stop(names ...string) {
	for _, name := range names {
		g := v.byName[name]
		v.endGateway(g)
		<-g.ended
	}
}

// Restart kills gateways, waits until they have ended and starts them again.
func (v *VirtualFleet) Restart(names ...string) error {
	v.Kill(names...)
	for _, name := range names {
		<-v.byName[name].ended
	}
	return v.Start(names...)
}

// endGateway tells a gateway to end, if it runs, and does not wait for the end.
func (v *VirtualFleet) endGateway(g *gateway) {
	v.mu.Lock()
	fleet := g.fleet
	g.fleet = nil
	v.mu.Unlock()
	if fleet != nil {
		close(g.stop)
	}
}

// Add adds a gateway that does not run. Methods that cover the whole fleet, except Close, ignore it
// unless its name is appended to names. announcedName is the name that it announces to the fleet; if
// it is empty, it announces its own name.
func (v *VirtualFleet) Add(name, announcedName string) {
	addr := fmt.Sprintf("10.9.9.%d:7946", len(v.byName)%250+1)
	v.byName[name] = &gateway{name: name, announcedName: announcedName, addr: addr, counts: &transport.Counts{}}
}

// SetDirectory sets the directory in which a gateway stores its members from its next start on.
func (v *VirtualFleet) SetDirectory(name string, directory env.Directory) {
	v.byName[name].directory = directory
}

// Running returns the names of the gateways that run.
func (v *VirtualFleet) Running() (names []string) {
	for _, name := range v.names {
		if v.byName[name].fleet != nil {
			names = append(names, name)
		}
	}
	return names
}

// Agreement compares the views of the running gateways. agreed reports whether the live members of each view are the
// gateways that run on its side of the links. settled reports whether the views agree and each gateway has settled.
func (v *VirtualFleet) Agreement() (agreed, settled bool) {
	settled = true
	running := v.Running()
	sides := [][]string{running}
	if v.Links.HasFaults() {
		sides = v.Links.Partitions(running)
	}
	for _, side := range sides {
		var digest uint32
		for i, name := range side {
			state := v.byName[name].fleet.State()
			if i == 0 {
				digest = state.Digest
				if !maps.Equal(nameSet(v.byName[name].fleet.LiveNames()), nameSet(side)) {
					return false, false
				}
			}
			if state.Live != len(side) || state.Digest != digest {
				return false, false
			}
			settled = settled && state.Settled
		}
	}
	return true, settled
}

// WaitForAgreement waits until the views agree or, with untilSettled, until all gateways have also
// settled. ok is false if that takes longer than timeout. took is the time that it waited.
func (v *VirtualFleet) WaitForAgreement(untilSettled bool, timeout time.Duration) (took time.Duration, ok bool) {
	for began := time.Now(); ; time.Sleep(viewInterval) {
		agreed, settled := v.Agreement()
		took = time.Since(began)
		if agreed && (!untilSettled || settled) {
			return took, true
		}
		if took > timeout {
			return took, false
		}
	}
}

// Traffic returns what a running gateway has sent since its start, as the mean over all running
// gateways: the number of datagrams, and the bytes of datagrams and streams.
func (v *VirtualFleet) Traffic() (packets, bytes float64) {
	running := v.Running()
	for _, name := range running {
		counts := v.byName[name].counts
		packets += float64(counts.PacketsOut.Load())
		bytes += float64(counts.BytesOut.Load() + counts.StreamBytes.Load())
	}
	gateways := float64(max(1, len(running)))
	return packets / gateways, bytes / gateways
}

// Fleet returns a gateway's membership, or nil if the gateway does not run.
func (v *VirtualFleet) Fleet(name string) *membership.Fleet { return v.byName[name].fleet }

// Close kills all gateways and waits until they have ended.
func (v *VirtualFleet) Close() {
	for _, g := range v.byName {
		if g.fleet != nil {
			v.Kill(g.name)
		}
	}
	for _, g := range v.byName {
		if g.ended != nil {
			<-g.ended
		}
	}
	// Streams to killed gateways end at their deadlines. synctest requires that all goroutines have ended.
	time.Sleep(time.Minute)
}

// HasFaults reports whether any link has a fault.
func (l *Links) HasFaults() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.faults) > 0
}

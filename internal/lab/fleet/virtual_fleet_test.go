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

// VirtualFleet is a fleet on a Network, for use with testing/synctest. Its methods are for one goroutine.
type VirtualFleet struct {
	Links       *Links
	Network     *Network
	Log         *slog.Logger // of gateways that are started from now on
	base        membership.Settings
	seeds       int // the first gateways, whose addresses the others start with
	names       []string
	byName      map[string]*gateway
	FalseDeaths int        // views that marked a gateway dead that ran and could be reached
	mu          sync.Mutex // guards FalseDeaths and the gateways' fields while they run
}

type gateway struct {
	name, addr    string
	announcedName string            // empty: its own
	fleet         *membership.Fleet // nil: does not run
	stop          chan struct{}
	ended         chan struct{}
	counts        *transport.Counts
	directory     env.Directory // nil: keeps no members
}

// NewVirtualFleet returns a fleet of size gateways, none of which runs. The caller must call Close.
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

// DefaultSettings are the default settings of config.Fleet.
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

// Start starts gateways that don't run.
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

// countFalseDeath counts a change of a gateway's view if it marks dead a gateway that runs and can be reached.
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

// Kill ends gateways without a message to the others.
func (v *VirtualFleet) Kill(names ...string) {
	for _, name := range names {
		g := v.byName[name]
		v.Network.CloseAddress(g.addr)
		v.endGateway(g)
	}
}

// Stop makes gateways leave the fleet, and waits until they have ended.
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

func (v *VirtualFleet) endGateway(g *gateway) {
	v.mu.Lock()
	fleet := g.fleet
	g.fleet = nil
	v.mu.Unlock()
	if fleet != nil {
		close(g.stop)
	}
}

// Add adds a gateway that does not run and is not among the fleet's names. announcedName is the name that it announces; empty: its own.
func (v *VirtualFleet) Add(name, announcedName string) {
	addr := fmt.Sprintf("10.9.9.%d:7946", len(v.byName)%250+1)
	v.byName[name] = &gateway{name: name, announcedName: announcedName, addr: addr, counts: &transport.Counts{}}
}

// SetDirectory sets where a gateway keeps its members.
func (v *VirtualFleet) SetDirectory(name string, directory env.Directory) {
	v.byName[name].directory = directory
}

// Running are the names of the gateways that run.
func (v *VirtualFleet) Running() (names []string) {
	for _, name := range v.names {
		if v.byName[name].fleet != nil {
			names = append(names, name)
		}
	}
	return names
}

// Agreement reports whether the live members of each running gateway are those that run on its side of the links (agreed), and
// whether each has also settled (settled).
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

// WaitForAgreement waits for agreement, or until all gateways have settled, for at most timeout, and returns how long it took.
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

// Traffic is what running gateways have sent since they started, the mean of one.
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

// Fleet is a gateway's membership; nil if it does not run.
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
	time.Sleep(time.Minute) // streams to killed gateways end at their deadlines: synctest requires that no goroutine is left
}

// HasFaults reports whether any link has a fault.
func (l *Links) HasFaults() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.faults) > 0
}

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

// VirtualFleet is a fleet on a Net.
type VirtualFleet struct {
	Links       *Links
	Network     *Network
	Log         *slog.Logger
	base        membership.Settings
	seeds       int
	names       []string
	byName      map[string]*gateway
	FalseDeaths int // deaths told of gateways that ran and could be reached
	mu          sync.Mutex
}

type gateway struct {
	name, addr    string
	announcedName string            // the name it claims, where that is another's
	fleet         *membership.Fleet // nil: does not run
	stop          chan struct{}
	ended         chan struct{}
	counts        *transport.Counts
	directory     env.Directory // nil: keeps nothing
}

// NewVirtualFleet makes a fleet of so many gateways, none of which runs.
func NewVirtualFleet(n int, seed uint64, base membership.Settings) *VirtualFleet {
	links := NewLinks(seed)
	v := &VirtualFleet{Links: links, Network: NewNetwork(links), Log: slog.New(slog.DiscardHandler), base: base, seeds: 3, byName: map[string]*gateway{}}
	for i := range n {
		name := fmt.Sprintf("n%d", i+1)
		v.names = append(v.names, name)
		v.byName[name] = &gateway{name: name, addr: fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255), counts: &transport.Counts{}}
	}
	return v
}

// DefaultSettings are the usual settings (config.Fleet) for the rig's virtual fleets.
func DefaultSettings() membership.Settings {
	return membership.Settings{MaxMembers: 1024, ProbeInterval: time.Second, ProbeTimeout: 500 * time.Millisecond, GossipInterval: 200 * time.Millisecond,
		ReapAfter: time.Hour, SettleAfter: time.Second, RejoinInterval: 5 * time.Second}
}

// Start starts gateways.
func (v *VirtualFleet) Start(names ...string) error {
	for _, name := range names {
		g := v.byName[name]
		if g.fleet != nil {
			return fmt.Errorf("%s runs already", name)
		}
		set := v.base
		set.Name, set.Advertise = name, g.addr
		if g.announcedName != "" {
			set.Name = g.announcedName
		}
		for _, seed := range v.names[:min(v.seeds, len(v.names))] {
			set.Seeds = append(set.Seeds, v.byName[seed].addr)
		}
		g.counts = &transport.Counts{}
		parts := membership.Dependencies{Log: v.Log.With("on", name), Now: time.Now, TransportCounts: g.counts,
			OpenTransport: func() (memberlist.Transport, error) { return v.Network.Open(name, g.addr, g.counts) },
			OnChange: func(c view.Change, _ time.Time) {
				if c.To == view.Dead && v.Links.IsOpen(name, c.Name) {
					v.mu.Lock()
					if v.byName[c.Name].fleet != nil {
						v.FalseDeaths++
					}
					v.mu.Unlock()
				}
			}}
		if g.directory != nil {
			var err error
			if parts.Store, err = membership.OpenMemberStore(g.directory, name, set.MaxMembers); err != nil {
				return err
			}
		}
		f, err := membership.New(set, parts)
		if err != nil {
			return err
		}
		v.mu.Lock()
		g.fleet, g.stop, g.ended = f, make(chan struct{}), make(chan struct{})
		v.mu.Unlock()
		go func(g *gateway, stop, ended chan struct{}) {
			defer close(ended)
			f.Run(stop)
		}(g, g.stop, g.ended)
	}
	return nil
}

// Kill takes gateways away without a word.
func (v *VirtualFleet) Kill(names ...string) {
	for _, name := range names {
		g := v.byName[name]
		v.Network.Unplug(g.addr)
		v.endGateway(g)
	}
}

// Stop lets gateways leave, and waits until they have.
func (v *VirtualFleet) Stop(names ...string) {
	for _, name := range names {
		g := v.byName[name]
		v.endGateway(g)
		<-g.ended
	}
}

func (v *VirtualFleet) endGateway(g *gateway) {
	v.mu.Lock()
	was := g.fleet
	g.fleet = nil
	v.mu.Unlock()
	if was != nil {
		close(g.stop)
	}
}

// Add adds a gateway beside the others, that does not run yet; as is the name that it claims, if not its own.
func (v *VirtualFleet) Add(name, as string) {
	v.byName[name] = &gateway{name: name, announcedName: as, addr: fmt.Sprintf("10.9.9.%d:7946", len(v.byName)%250+1), counts: &transport.Counts{}}
}

// SetDirectory gives a gateway a disk for whom it knew.
func (v *VirtualFleet) SetDirectory(name string, disk env.Directory) { v.byName[name].directory = disk }

// Running are the names of gateways that run.
func (v *VirtualFleet) Running() (names []string) {
	for _, name := range v.names {
		if v.byName[name].fleet != nil {
			names = append(names, name)
		}
	}
	return names
}

// Agreement tells whether all running gateways see what is: live members are those that run on their side of the links; told also that
// each has settled on one set a side.
func (v *VirtualFleet) Agreement() (agree, told bool) {
	agree, told = true, true
	running := v.Running()
	sides := [][]string{running}
	if v.Links.HasFaults() {
		sides = v.Links.Partitions(running)
	}
	for _, side := range sides {
		var digest uint32
		for i, name := range side {
			s := v.byName[name].fleet.State()
			if i == 0 {
				digest = s.Digest
				if agree = agree && maps.Equal(asSet(v.byName[name].fleet.LiveNames()), asSet(side)); !agree {
					return false, false
				}
			}
			if s.Live != len(side) || s.Digest != digest {
				return false, false
			}
			told = told && s.Settled
		}
	}
	return agree, told
}

func asSet(names []string) map[string]bool {
	out := map[string]bool{}
	for _, n := range names {
		out[n] = true
	}
	return out
}

// WaitForAgreement waits for agreement, at most so long, and tells how long it took; told: until each said that it settled.
func (v *VirtualFleet) WaitForAgreement(told bool, within time.Duration) (time.Duration, bool) {
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		agree, all := v.Agreement()
		if agree && (!told || all) {
			return time.Since(began), true
		}
		if time.Since(began) > within {
			return time.Since(began), false
		}
	}
}

// Traffic is what running gateways sent so far: datagrams, bytes, streams; the mean of one.
func (v *VirtualFleet) Traffic() (packets, bytes, streams float64) {
	running := v.Running()
	for _, name := range running {
		c := v.byName[name].counts
		packets += float64(c.PacketsOut.Load())
		bytes += float64(c.BytesOut.Load() + c.StreamBytes.Load())
		streams += float64(c.StreamsOut.Load())
	}
	n := float64(max(1, len(running)))
	return packets / n, bytes / n, streams / n
}

// Fleet is a running gateway; nil if it does not run.
func (v *VirtualFleet) Fleet(name string) *membership.Fleet { return v.byName[name].fleet }

// Close ends all gateways.
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
	time.Sleep(time.Minute) // streams to who was killed run into their deadlines: nothing may be left when the story ends
}

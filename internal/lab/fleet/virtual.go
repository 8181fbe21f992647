package fleet

import (
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/env"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// Network carries the detector's messages between gateways of one process, as the links say. With testing/synctest its time is virtual:
// the very code of fleet/membership and of the detector, hundreds of gateways, hours in seconds. It stands in for Relay there.
type Network struct {
	links *Links
	mu    sync.Mutex
	ports map[string]*port // by address
}

// NewNetwork makes a network over links.
func NewNetwork(links *Links) *Network { return &Network{links: links, ports: map[string]*port{}} }

const linkLatency = 200 * time.Microsecond // one way, where links have no fault

// port is a gateway's transport. It implements memberlist.NodeAwareTransport.
type port struct {
	network *Network
	name    string
	addr    *net.UDPAddr
	counts  *transport.Counts
	packets chan *memberlist.Packet
	streams chan net.Conn
	mu      sync.Mutex
	closed  bool
}

// Open gives a gateway's transport at an address that nobody has open.
func (n *Network) Open(name, addr string, counts *transport.Counts) (memberlist.Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ports[addr] != nil {
		return nil, fmt.Errorf("%s: address already in use", addr)
	}
	p := &port{network: n, name: name, addr: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)), counts: counts,
		packets: make(chan *memberlist.Packet, 512), streams: make(chan net.Conn, 32)}
	n.ports[addr] = p
	return p, nil
}

func (n *Network) portAt(addr string) *port {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ports[addr]
}

// Unplug takes the transport away at once, as a kill does.
func (n *Network) Unplug(addr string) {
	if p := n.portAt(addr); p != nil {
		p.Shutdown()
	}
}

func (p *port) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.addr.IP, p.addr.Port, nil
}

func (p *port) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return p.WriteTo(b, a.Addr)
}

func (p *port) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return p.DialTimeout(a.Addr, within)
}

func (p *port) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *port) StreamCh() <-chan net.Conn           { return p.streams }

func (p *port) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	to := p.network.portAt(addr)
	if p.isClosed() {
		return now, net.ErrClosed
	}
	p.counts.PacketsOut.Add(1)
	p.counts.BytesOut.Add(uint64(len(b)))
	if to == nil {
		return now, nil
	}
	lost, takes := p.network.links.Transfer(p.name, to.name, len(b), false)
	if lost {
		return now, nil
	}
	text := slices.Clone(b)
	time.AfterFunc(linkLatency+takes, func() { to.receive(text, p.addr) })
	return now, nil
}

func (p *port) receive(text []byte, from net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	select {
	case p.packets <- &memberlist.Packet{Buf: text, From: from, Timestamp: time.Now()}:
		p.counts.PacketsIn.Add(1)
		p.counts.BytesIn.Add(uint64(len(text)))
	default:
		p.counts.Dropped.Add(1)
	}
}

var errRefused = errors.New("connection refused")

func (p *port) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	p.counts.StreamsOut.Add(1)
	to := p.network.portAt(addr)
	if to != nil && !p.network.links.IsOpen(p.name, to.name) {
		time.Sleep(within)
		p.counts.StreamsFailed.Add(1)
		return nil, fmt.Errorf("%s: i/o timeout", addr)
	}
	time.Sleep(2 * linkLatency)
	if to == nil || to.isClosed() {
		p.counts.StreamsFailed.Add(1)
		return nil, errRefused
	}
	here, there := net.Pipe()
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.closed {
		return nil, errRefused
	}
	select {
	case to.streams <- &pipeEnd{there, to.counts, p.addr}:
		to.counts.StreamsIn.Add(1)
	default:
		here.Close()
	}
	return &pipeEnd{here, p.counts, to.addr}, nil
}

type pipeEnd struct {
	net.Conn
	counts *transport.Counts
	remote net.Addr
}

func (e *pipeEnd) RemoteAddr() net.Addr { return e.remote }

func (e *pipeEnd) Write(b []byte) (int, error) {
	n, err := e.Conn.Write(b)
	e.counts.StreamBytes.Add(uint64(n))
	return n, err
}

func (p *port) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *port) Shutdown() error {
	p.mu.Lock()
	p.closed = true
	for len(p.streams) > 0 { // nobody takes them any more
		(<-p.streams).Close()
	}
	p.mu.Unlock()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.ports[p.addr.String()] == p {
		delete(p.network.ports, p.addr.String())
	}
	return nil
}

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

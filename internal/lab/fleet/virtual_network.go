package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/transport"
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

package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/transport"
)

const (
	virtualLatency     = 200 * time.Microsecond // one-way latency, to which the delay of a link fault is added
	virtualPacketQueue = 512                    // datagrams queued at a gateway; further ones are dropped
	virtualStreamQueue = 32                     // streams queued at a gateway; further ones are closed
)

// errConnectionRefused is returned by a dial to an address at which no transport is open.
var errConnectionRefused = errors.New("connection refused")

// Network carries the messages of the failure detector between gateways of one process, with the faults of Links.
// It takes the place of Relay. With testing/synctest its time is virtual. The code of fleet/membership and of the
// detector is the same as in a real fleet, but hundreds of gateways run for hours of virtual time within seconds.
type Network struct {
	links      *Links
	mu         sync.Mutex
	transports map[string]*virtualTransport // open transports, by address
}

// NewNetwork returns a network without transports that applies the faults of links.
func NewNetwork(links *Links) *Network {
	return &Network{links: links, transports: map[string]*virtualTransport{}}
}

// virtualTransport is a gateway's transport on a Network. It implements memberlist.NodeAwareTransport.
type virtualTransport struct {
	network *Network
	name    string
	addr    *net.UDPAddr
	counts  *transport.Counts
	packets chan *memberlist.Packet
	streams chan net.Conn
	mu      sync.Mutex
	closed  bool
}

var _ memberlist.NodeAwareTransport = (*virtualTransport)(nil)

// Open opens a gateway's transport at an address. The error wraps syscall.EADDRINUSE if a transport is open there.
func (n *Network) Open(name, addr string, counts *transport.Counts) (memberlist.Transport, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.transports[addr] != nil {
		return nil, fmt.Errorf("%s: %w", addr, syscall.EADDRINUSE)
	}
	p := &virtualTransport{
		network: n,
		name:    name,
		addr:    net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)),
		counts:  counts,
		packets: make(chan *memberlist.Packet, virtualPacketQueue),
		streams: make(chan net.Conn, virtualStreamQueue),
	}
	n.transports[addr] = p
	return p, nil
}

// transportAt returns the open transport at an address, or nil.
func (n *Network) transportAt(addr string) *virtualTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.transports[addr]
}

// CloseAddress closes the transport at an address, if one is open. Messages in flight to it are lost,
// as when a process is killed.
func (n *Network) CloseAddress(addr string) {
	if p := n.transportAt(addr); p != nil {
		p.Shutdown()
	}
}

func (p *virtualTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return p.addr.IP, p.addr.Port, nil
}

func (p *virtualTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return p.WriteTo(b, a.Addr)
}

func (p *virtualTransport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return p.DialTimeout(a.Addr, timeout)
}

func (p *virtualTransport) PacketCh() <-chan *memberlist.Packet { return p.packets }
func (p *virtualTransport) StreamCh() <-chan net.Conn           { return p.streams }

func (p *virtualTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	to := p.network.transportAt(addr)
	if p.isClosed() {
		return now, net.ErrClosed
	}
	p.counts.PacketsOut.Add(1)
	p.counts.BytesOut.Add(uint64(len(b)))
	if to == nil {
		return now, nil
	}
	lost, delay := p.network.links.Transfer(p.name, to.name, len(b), false)
	if lost {
		return now, nil
	}
	datagram := slices.Clone(b)
	time.AfterFunc(virtualLatency+delay, func() { to.receive(datagram, p.addr) })
	return now, nil
}

func (p *virtualTransport) receive(datagram []byte, from net.Addr) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	select {
	case p.packets <- &memberlist.Packet{Buf: datagram, From: from, Timestamp: time.Now()}:
		p.counts.PacketsIn.Add(1)
		p.counts.BytesIn.Add(uint64(len(datagram)))
	default:
		p.counts.Dropped.Add(1)
	}
}

func (p *virtualTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	p.counts.StreamsOut.Add(1)
	to := p.network.transportAt(addr)
	if to != nil && !p.network.links.IsOpen(p.name, to.name) {
		time.Sleep(timeout)
		p.counts.StreamsFailed.Add(1)
		return nil, fmt.Errorf("%s: %w", addr, os.ErrDeadlineExceeded)
	}
	time.Sleep(2 * virtualLatency)
	if to == nil || to.isClosed() {
		p.counts.StreamsFailed.Add(1)
		return nil, errConnectionRefused
	}
	local, remote := net.Pipe()
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.closed {
		return nil, errConnectionRefused
	}
	select {
	case to.streams <- &countedPipe{remote, to.counts, p.addr}:
		to.counts.StreamsIn.Add(1)
	default:
		local.Close()
	}
	return &countedPipe{local, p.counts, to.addr}, nil
}

func (p *virtualTransport) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Shutdown closes the transport and the streams in its queue, and frees the address.
func (p *virtualTransport) Shutdown() error {
	p.mu.Lock()
	p.closed = true
	for len(p.streams) > 0 {
		(<-p.streams).Close()
	}
	p.mu.Unlock()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.transports[p.addr.String()] == p {
		delete(p.network.transports, p.addr.String())
	}
	return nil
}

// countedPipe is one end of a stream. It counts the bytes that are written to it.
type countedPipe struct {
	net.Conn
	counts *transport.Counts
	remote net.Addr
}

func (c *countedPipe) RemoteAddr() net.Addr { return c.remote }

func (c *countedPipe) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.StreamBytes.Add(uint64(n))
	return n, err
}

package fleet

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards datagrams and streams between gateways, and streams from gateways to the stub
// servers, with the faults of Links. Each gateway has a public listener of the relay, whose address
// is the one that other gateways know. The relay forwards what arrives there from another gateway's
// own address to the listener's gateway, subject to the faults of the link. The receiver sees the
// public address of the sender as the source. The relay changes no rule of the kernel's network.
//
// The relay holds at most maxDatagramsInFlight delayed datagrams and maxStreams streams. It drops datagrams and closes
// streams beyond these bounds.
type Relay struct {
	links       *Links
	mu          sync.Mutex // guards listeners and byTarget
	listeners   map[listenerKey]*relayListener
	byTarget    map[netip.Addr]*relayListener // public listeners by the IP address of their gateway's own listener
	inFlight    atomic.Int64                  // delayed datagrams
	openStreams atomic.Int64
	maxStreams  int64
	done        chan struct{}
	wait        sync.WaitGroup
}

const (
	maxDatagramsInFlight = 20_000
	maxDatagramBytes     = 65536
	readBufferBytes      = 4 << 20          // kernel's receive buffer of one datagram listener
	cutTimeout           = 10 * time.Second // how long a stream over a cut link stays open and silent
	relayDialTimeout     = 2 * time.Second
	acceptErrorPause     = 10 * time.Millisecond // from a failed accept to the next one
	copyBufferBytes      = 16 << 10
)

// listenerKey identifies a listener. A private listener serves
// the gateway named from. A public listener has an empty from.
type listenerKey struct{ from, to string }

// relayListener is a listener of the relay for traffic to one target.
type relayListener struct {
	name   string         // name of the target
	target netip.AddrPort // address at which the target listens
	public netip.AddrPort // address at which the relay listens
	udp    *net.UDPConn   // nil: a private listener
	tcp    *net.TCPListener
}

// streamRoute is the route of one stream through the relay.
type streamRoute struct {
	from, to string
	source   *net.TCPAddr // address that the target sees; nil: chosen by the kernel
	target   netip.AddrPort
}

// NewRelay returns a relay with the faults of links, for at most
// maxStreams concurrent streams. The caller must call Close.
func NewRelay(links *Links, maxStreams int) *Relay {
	return &Relay{
		links:      links,
		maxStreams: int64(maxStreams),
		listeners:  map[listenerKey]*relayListener{},
		byTarget:   map[netip.Addr]*relayListener{},
		done:       make(chan struct{}),
	}
}

// Add opens a gateway's public listener and forwards what arrives
// there to target. No other gateway may have the IP address of target.
func (r *Relay) Add(name string, public, target netip.AddrPort) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(public))
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(public))
	if err != nil {
		udp.Close()
		return err
	}
	udp.SetReadBuffer(readBufferBytes)
	listener := &relayListener{name: name, target: target, public: public, udp: udp, tcp: tcp}
	r.mu.Lock()
	r.listeners[listenerKey{to: name}] = listener
	r.byTarget[target.Addr()] = listener
	r.mu.Unlock()
	r.wait.Go(func() { r.relayDatagrams(listener) })
	r.wait.Go(func() { r.relayStreams(listener) })
	return nil
}

// AddPrivate opens a listener for the streams of the gateway named from to the target named to. The faults of the links
// between the two apply to these streams.
func (r *Relay) AddPrivate(from, to string, private, target netip.AddrPort) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(private))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners[listenerKey{from, to}] = &relayListener{name: to, target: target, public: private, tcp: tcp}
	r.mu.Unlock()
	r.wait.Go(func() {
		for {
			conn, err := tcp.AcceptTCP()
			if err != nil {
				return
			}
			r.openStream(conn, streamRoute{from: from, to: to, target: target})
		}
	})
	return nil
}

// sender returns the public listener of the gateway with the given own address, or nil if no gateway has it.
func (r *Relay) sender(address netip.Addr) *relayListener {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byTarget[address.Unmap()]
}

func (r *Relay) relayDatagrams(to *relayListener) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, source, err := to.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if from := r.sender(source.Addr()); from != nil {
			r.forwardDatagram(from, to, buffer[:size])
		}
	}
}

// forwardDatagram forwards a datagram, at once or after the delay
// of the link, or drops it. It keeps no reference to datagram.
func (r *Relay) forwardDatagram(from, to *relayListener, datagram []byte) {
	lost, delay := r.links.Transfer(from.name, to.name, len(datagram), false)
	if lost || r.inFlight.Load() >= maxDatagramsInFlight {
		return
	}
	if delay == 0 {
		from.udp.WriteToUDPAddrPort(datagram, to.target)
		return
	}
	delayed := append([]byte(nil), datagram...)
	r.inFlight.Add(1)
	time.AfterFunc(delay, func() {
		defer r.inFlight.Add(-1)
		if !r.links.IsCut(from.name, to.name) {
			from.udp.WriteToUDPAddrPort(delayed, to.target)
		}
	})
}

func (r *Relay) relayStreams(to *relayListener) {
	for {
		conn, err := to.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptErrorPause)
			continue
		}
		from := r.sender(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from == nil {
			conn.Close()
			continue
		}
		source := &net.TCPAddr{IP: from.public.Addr().AsSlice()}
		r.openStream(conn, streamRoute{from: from.name, to: to.name, source: source, target: to.target})
	}
}

// openStream relays an accepted stream in a new goroutine, or closes the stream if maxStreams are open.
func (r *Relay) openStream(conn *net.TCPConn, route streamRoute) {
	if r.openStreams.Load() >= r.maxStreams {
		conn.Close()
		return
	}
	r.openStreams.Add(1)
	r.wait.Go(func() {
		defer r.openStreams.Add(-1)
		r.pipe(conn, route)
	})
}

// pipe relays a stream in both directions until it ends or the relay is closed, and then closes both connections.
func (r *Relay) pipe(client *net.TCPConn, route streamRoute) {
	if !r.links.IsOpen(route.from, route.to) { // the first byte or the answer to it would be lost
		r.holdSilent(client)
		return
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
	if route.source != nil {
		dialer.LocalAddr = route.source
	}
	conn, err := dialer.Dial("tcp", route.target.String())
	if err != nil {
		client.SetLinger(0) // the client gets a reset, as from a port without a listener
		client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { r.copyStream(client, server, route.from, route.to) })
	both.Go(func() { r.copyStream(server, client, route.to, route.from) })
	copied := make(chan struct{})
	go func() {
		both.Wait()
		close(copied)
	}()
	select {
	case <-copied:
	case <-r.done:
	}
	client.Close()
	server.Close()
	<-copied
}

// copyStream copies bytes in one direction until the stream ends. Once the link is cut, it holds the stream open and
// silent for cutTimeout and then closes it.
func (r *Relay) copyStream(in, out *net.TCPConn, from, to string) {
	buffer := make([]byte, copyBufferBytes)
	for {
		size, err := in.Read(buffer)
		if size > 0 {
			cut, delay := r.links.Transfer(from, to, size, true)
			if cut {
				r.holdSilent(in)
				out.Close()
				return
			}
			time.Sleep(delay)
			if _, err := out.Write(buffer[:size]); err != nil {
				in.Close()
				return
			}
		}
		if err != nil {
			out.CloseWrite()
			return
		}
	}
}

// holdSilent keeps a stream open and silent for cutTimeout, as a cut
// link would, and then closes it. Closing the relay ends the wait.
func (r *Relay) holdSilent(conn net.Conn) {
	timer := time.NewTimer(cutTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
	}
	conn.Close()
}

// Close closes all listeners and streams of the relay and waits until its goroutines have ended.
func (r *Relay) Close() {
	close(r.done)
	r.mu.Lock()
	for _, listener := range r.listeners {
		if listener.udp != nil {
			listener.udp.Close()
		}
		listener.tcp.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

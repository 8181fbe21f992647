package fleet

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay carries datagrams and streams between gateways, and from gateways to the stub servers, with the faults of Links. Each gateway
// has a public listener of the relay, whose address the others know. What arrives there from another gateway's own address is
// forwarded to the gateway as the links say, from the sender's public address. No rule of the kernel's network is changed.
//
// Bounds: maxDatagramsInFlight delayed datagrams and maxStreams streams; what comes beyond them is dropped or closed.
type Relay struct {
	links       *Links
	mu          sync.Mutex // guards listeners and byTarget
	listeners   map[listenerKey]*relayListener
	byTarget    map[netip.Addr]*relayListener // public listeners by the gateway's own address
	inFlight    atomic.Int64                  // delayed datagrams
	openStreams atomic.Int64
	maxStreams  int64
	done        chan struct{}
	wait        sync.WaitGroup
}

const (
	maxDatagramsInFlight = 20_000
	maxDatagramBytes     = 65536
	readBufferBytes      = 4 << 20          // the kernel's, of one listener
	cutTimeout           = 10 * time.Second // a stream into a cut stays open and silent so long
	relayDialTimeout     = 2 * time.Second
	acceptErrorPause     = 10 * time.Millisecond // before the next accept
	copyBufferBytes      = 16 << 10
)

// listenerKey names a listener: private ones are of one gateway, public ones have no from.
type listenerKey struct{ from, to string }

// relayListener is where the relay listens for traffic to one target.
type relayListener struct {
	name   string         // of the target
	target netip.AddrPort // where the target listens
	public netip.AddrPort // the relay's address
	udp    *net.UDPConn   // nil: private
	tcp    *net.TCPListener
}

// streamRoute is the way of one stream through the relay.
type streamRoute struct {
	from, to string
	source   *net.TCPAddr // address that the target sees; nil: any
	target   netip.AddrPort
}

// NewRelay returns a relay over links, for at most maxStreams streams at once. The caller must call Close.
func NewRelay(links *Links, maxStreams int) *Relay {
	return &Relay{
		links:      links,
		maxStreams: int64(maxStreams),
		listeners:  map[listenerKey]*relayListener{},
		byTarget:   map[netip.Addr]*relayListener{},
		done:       make(chan struct{}),
	}
}

// Add opens a gateway's public listener. What arrives there is forwarded to target, whose address no other gateway shares.
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

// AddPrivate opens a listener for the streams of one gateway to a target, with the faults of the links from it to the target's name.
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

// sender is the public listener of the gateway whose own address that is; nil: nobody's.
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

// forwardDatagram sends a datagram on, at once or after the delay of the link, or drops it. It keeps no reference to datagram.
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

// openStream relays an accepted stream in a goroutine of its own, or closes it if too many are open.
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

// pipe relays a stream in both directions until it ends, and closes it.
func (r *Relay) pipe(client *net.TCPConn, route streamRoute) {
	if !r.links.IsOpen(route.from, route.to) { // neither the first byte nor the answer to it would come through
		r.holdSilent(client)
		return
	}
	dialer := net.Dialer{Timeout: relayDialTimeout}
	if route.source != nil {
		dialer.LocalAddr = route.source
	}
	conn, err := dialer.Dial("tcp", route.target.String())
	if err != nil {
		client.SetLinger(0) // nobody listens there: the client gets a reset
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

// copyStream moves bytes in one direction; at a cut it holds the stream open and silent, then ends it.
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

// holdSilent keeps a stream open and silent for cutTimeout, as one into a cut is, and closes it.
func (r *Relay) holdSilent(conn net.Conn) {
	timer := time.NewTimer(cutTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.done:
	}
	conn.Close()
}

// Close ends the relay and waits until all of its goroutines have ended.
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

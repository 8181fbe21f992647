// Package transport carries the messages of the failure detector between gateways. It implements the Transport
// interface of hashicorp/memberlist with datagrams and streams at one address. It replaces the transport of that
// library for three reasons: it binds each dialled stream to the gateway's own IP address, so that firewalls and the
// fault relay of lab/fleet can identify the gateway that opens the stream; it counts the traffic; and it enforces
// bounds.
//
// At most maxQueuedPackets received datagrams are queued, and at most maxOpenStreams accepted streams are open.
// Datagrams and streams beyond these bounds are dropped, as a network would drop them, and counted.
package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	maxQueuedPackets = 512
	maxOpenStreams   = 32
	maxPacketBytes   = 65536
	// readBufferBytes is the size of the kernel's receive buffer for datagrams. The buffer holds a burst that arrives
	// during a pause of the process, so that the burst is not lost.
	readBufferBytes = 1 << 20
	errorRetryDelay = 50 * time.Millisecond // wait after a read or accept error that may be temporary
	deliverTimeout  = time.Second           // longest wait for the detector to receive an accepted stream
)

// Counts holds counters of traffic since the process started. Transports that are opened one after the other may share
// it.
type Counts struct {
	PacketsIn, PacketsOut atomic.Uint64
	BytesIn, BytesOut     atomic.Uint64 // payload of datagrams, without headers
	StreamsIn, StreamsOut atomic.Uint64
	StreamsFailed         atomic.Uint64 // outgoing streams that could not be opened
	StreamBytes           atomic.Uint64 // bytes in both directions
	Dropped               atomic.Uint64 // datagrams and streams beyond a bound
}

// Transport sends and receives at one open address. It implements memberlist.Transport. It owns its sockets and two
// goroutines, all of which Shutdown ends.
type Transport struct {
	log       *slog.Logger
	udp       *net.UDPConn
	tcp       *net.TCPListener
	advertise netip.AddrPort
	counts    *Counts

	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{} // holds one element for each open accepted stream
	closed      atomic.Bool
	goroutines  sync.WaitGroup
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)

// Listen opens a listen address for datagrams and streams and returns a Transport for it. The address consists of an IP
// address and a port above 0. Other gateways use the advertised address.
func Listen(listen, advertise netip.AddrPort, counts *Counts, log *slog.Logger) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, listenError(err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		udp.Close()
		return nil, listenError(err)
	}
	udp.SetReadBuffer(readBufferBytes) // the kernel may allow less, so an error is ignored
	t := &Transport{
		log:         log,
		udp:         udp,
		tcp:         tcp,
		advertise:   advertise,
		counts:      counts,
		packets:     make(chan *memberlist.Packet, maxQueuedPackets),
		streams:     make(chan net.Conn),
		streamSlots: make(chan struct{}, maxOpenStreams),
	}
	t.goroutines.Add(2)
	go t.readPackets()
	go t.acceptStreams()
	return t, nil
}

func listenError(err error) error {
	return fmt.Errorf("fleet.listen: %w; expected a free address and port of this machine", err)
}

func (t *Transport) readPackets() {
	defer t.goroutines.Done()
	buffer := make([]byte, maxPacketBytes)
	for {
		n, from, err := t.udp.ReadFromUDP(buffer)
		receivedAt := time.Now()
		if err != nil {
			if t.isShutdown(err) {
				return
			}
			t.log.Warn("fleet_read_failed", "text", err.Error())
			time.Sleep(errorRetryDelay)
			continue
		}
		if n == 0 {
			continue
		}
		t.counts.PacketsIn.Add(1)
		t.counts.BytesIn.Add(uint64(n))
		select {
		case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), buffer[:n]...), From: from, Timestamp: receivedAt}:
		default:
			t.counts.Dropped.Add(1)
		}
	}
}

func (t *Transport) acceptStreams() {
	defer t.goroutines.Done()
	for {
		conn, err := t.tcp.AcceptTCP()
		if err != nil {
			if t.isShutdown(err) {
				return
			}
			t.log.Warn("fleet_accept_failed", "text", err.Error())
			time.Sleep(errorRetryDelay)
			continue
		}
		t.deliverStream(conn)
	}
}

// deliverStream passes an accepted stream to the detector. It closes the stream if maxOpenStreams streams are open, or
// if the detector does not receive it within deliverTimeout.
func (t *Transport) deliverStream(conn net.Conn) {
	select {
	case t.streamSlots <- struct{}{}:
	default:
		t.counts.Dropped.Add(1)
		conn.Close()
		return
	}
	t.counts.StreamsIn.Add(1)
	accepted := &stream{Conn: conn, counts: t.counts, release: func() { <-t.streamSlots }}
	select {
	case t.streams <- accepted:
	case <-time.After(deliverTimeout): // the detector is stopping
		accepted.Close()
	}
}

// isShutdown reports whether an error is the result of Shutdown.
func (t *Transport) isShutdown(err error) bool {
	return t.closed.Load() || errors.Is(err, net.ErrClosed)
}

// stream counts the bytes of a connection and releases its slot on the first Close.
type stream struct {
	net.Conn
	counts      *Counts
	releaseOnce sync.Once
	release     func()
}

// Read reads from the connection and counts the bytes.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

// Close closes the stream. It may be called more than once.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.releaseOnce.Do(s.release)
	return err
}

// FinalAdvertiseAddr returns the address that other gateways use. It ignores the address that the detector was
// configured with.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IP(t.advertise.Addr().AsSlice()), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram to an address and returns the time at which it was sent.
func (t *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteToUDPAddrPort(b, to)
	t.counts.PacketsOut.Add(1)
	t.counts.BytesOut.Add(uint64(len(b)))
	return time.Now(), err
}

// WriteToAddress sends a datagram to the address of a named gateway. The name is ignored.
func (t *Transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, to.Addr)
}

// PacketCh returns the channel of received datagrams.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream from this gateway's own IP address.
func (t *Transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	local := t.udp.LocalAddr().(*net.UDPAddr)
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: local.IP}}
	conn, err := dialer.DialContext(context.Background(), "tcp", addr)
	t.counts.StreamsOut.Add(1)
	if err != nil {
		t.counts.StreamsFailed.Add(1)
		return nil, err
	}
	return &stream{Conn: conn, counts: t.counts, release: func() {}}, nil
}

// DialAddressTimeout opens a stream to the address of a named gateway. The name is ignored.
func (t *Transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(to.Addr, timeout)
}

// StreamCh returns the channel of accepted streams.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the sockets and waits for the goroutines to end.
func (t *Transport) Shutdown() error {
	t.closed.Store(true)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.goroutines.Wait()
	return err
}

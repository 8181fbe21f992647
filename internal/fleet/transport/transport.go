// Package transport carries the failure detector's messages between gateways: datagrams and streams at one address, as the interface
// Transport of hashicorp/memberlist asks. In place of the library's own transport it binds each dialled stream to the gateway's own
// address too, so that firewalls (and the fault relay of lab/fleet) can tell who opens it, counts what goes by, and holds bounds.
//
// Bounds: maxQueuedPackets datagrams that wait and maxOpenStreams accepted streams; what comes beyond them is dropped and counted, as a
// network would.
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
	// readBufferBytes is the kernel's buffer of datagrams, so that a burst during a pause of the process is not lost for nothing.
	readBufferBytes = 1 << 20
	errorRetryDelay = 50 * time.Millisecond // after an error that may pass
	deliverTimeout  = time.Second           // for an accepted stream that nobody takes
)

// Counts are traffic since the process started. They may serve several Transports, one after the other.
type Counts struct {
	PacketsIn, PacketsOut atomic.Uint64
	BytesIn, BytesOut     atomic.Uint64 // of datagrams, without headers
	StreamsIn, StreamsOut atomic.Uint64
	StreamsFailed         atomic.Uint64 // that could not be opened
	StreamBytes           atomic.Uint64 // of both directions
	Dropped               atomic.Uint64 // datagrams and streams beyond a bound
}

// Transport is one open address; it implements memberlist.Transport. It owns its sockets and two goroutines, which Shutdown ends.
type Transport struct {
	log       *slog.Logger
	udp       *net.UDPConn
	tcp       *net.TCPListener
	advertise netip.AddrPort
	counts    *Counts

	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{} // one taken by each accepted stream
	closed      atomic.Bool
	goroutines  sync.WaitGroup
}

var _ memberlist.NodeAwareTransport = (*Transport)(nil)

// Listen opens an address, an IP and a port above 0, for datagrams and streams; the others use the advertised one.
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
	udp.SetReadBuffer(readBufferBytes) // best effort: the kernel may allow less
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
	return fmt.Errorf("fleet.listen: %w; name a free address and port of this machine", err)
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

// deliverStream gives an accepted stream to the detector, or closes it at the bound or where nobody takes it.
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
	case <-time.After(deliverTimeout): // the detector is being stopped
		accepted.Close()
	}
}

// isShutdown reports whether an error comes of Shutdown.
func (t *Transport) isShutdown(err error) bool {
	return t.closed.Load() || errors.Is(err, net.ErrClosed)
}

// stream counts bytes, and gives its slot back at its first Close.
type stream struct {
	net.Conn
	counts      *Counts
	releaseOnce sync.Once
	release     func()
}

// Read reads and counts.
func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

// Write writes and counts.
func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

// Close closes the stream; it may be called again.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.releaseOnce.Do(s.release)
	return err
}

// FinalAdvertiseAddr returns the address that others use, whatever the detector was given.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IP(t.advertise.Addr().AsSlice()), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram to an address, and returns when.
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

// WriteToAddress sends a datagram to a named gateway; the address alone counts.
func (t *Transport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, to.Addr)
}

// PacketCh returns the channel of received datagrams.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream from this gateway's own address.
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

// DialAddressTimeout opens a stream to a named gateway; the address alone counts.
func (t *Transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(to.Addr, timeout)
}

// StreamCh returns the channel of accepted streams.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the address and waits for the goroutines.
func (t *Transport) Shutdown() error {
	t.closed.Store(true)
	err := errors.Join(t.udp.Close(), t.tcp.Close())
	t.goroutines.Wait()
	return err
}

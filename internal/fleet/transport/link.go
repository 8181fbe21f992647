// Package transport carries the detector's messages between gateways: datagrams and streams at one address, as memberlist's Transport
// interface asks (hashicorp/memberlist, transport.go). In place of the library's own transport it binds every dialled stream to
// the gateway's own address too, so that firewalls (and the fault relay of lab/fleet) can tell who calls, counts what goes by,
// and holds bounds: mostPackets datagrams that wait, mostStreams streams let in at once; what comes past them is dropped and
// counted, as a network would.
//
// Owner: package fleet/membership, which opens one for each start of the detector; Shutdown ends its two goroutines.
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
	readBufferBytes  = 1 << 20 // of datagrams, so that a burst while the process stands still is not lost for nothing
	errorPause       = 50 * time.Millisecond
)

// Counts are what went by since the process started. One may serve several Links, one after the other.
type Counts struct {
	PacketsIn, PacketsOut, BytesIn, BytesOut          atomic.Uint64 // datagrams, and their bytes without heads
	StreamsIn, StreamsOut, StreamBytes, StreamsFailed atomic.Uint64 // streams; bytes of both directions
	Dropped                                           atomic.Uint64 // by a bound
}

// Transport is one open address.
type Transport struct {
	log         *slog.Logger
	udp         *net.UDPConn
	tcp         *net.TCPListener
	advertise   netip.AddrPort
	counts      *Counts
	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{} // has room for streams let in
	closed      atomic.Bool
	goroutines  sync.WaitGroup
}

// Listen listens for datagrams and streams at an address, an IP and a port above 0; others are told advertise.
func Listen(listen, advertise netip.AddrPort, counts *Counts, log *slog.Logger) (*Transport, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w; name a free address and port of this machine", err)
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen))
	if err != nil {
		udp.Close()
		return nil, fmt.Errorf("fleet.listen: %w; name a free address and port of this machine", err)
	}
	udp.SetReadBuffer(readBufferBytes) // best effort: the kernel may allow less
	l := &Transport{log: log, udp: udp, tcp: tcp, advertise: advertise, counts: counts,
		packets: make(chan *memberlist.Packet, maxQueuedPackets), streams: make(chan net.Conn), streamSlots: make(chan struct{}, maxOpenStreams)}
	l.goroutines.Add(2)
	go l.readPackets()
	go l.acceptStreams()
	return l, nil
}

func (l *Transport) readPackets() {
	defer l.goroutines.Done()
	buf := make([]byte, maxPacketBytes)
	for {
		n, from, err := l.udp.ReadFromUDP(buf)
		at := time.Now()
		if err != nil {
			if l.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			l.log.Warn("fleet_read_failed", "text", err.Error())
			time.Sleep(errorPause)
			continue
		}
		if n == 0 {
			continue
		}
		l.counts.PacketsIn.Add(1)
		l.counts.BytesIn.Add(uint64(n))
		select {
		case l.packets <- &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: at}:
		default:
			l.counts.Dropped.Add(1)
		}
	}
}

func (l *Transport) acceptStreams() {
	defer l.goroutines.Done()
	for {
		conn, err := l.tcp.AcceptTCP()
		if err != nil {
			if l.closed.Load() || errors.Is(err, net.ErrClosed) {
				return
			}
			l.log.Warn("fleet_accept_failed", "text", err.Error())
			time.Sleep(errorPause)
			continue
		}
		select {
		case l.streamSlots <- struct{}{}:
		default:
			l.counts.Dropped.Add(1)
			conn.Close()
			continue
		}
		l.counts.StreamsIn.Add(1)
		s := &stream{Conn: conn, counts: l.counts, release: func() { <-l.streamSlots }}
		select {
		case l.streams <- s:
		case <-time.After(time.Second): // the detector takes no more: it is being stopped
			s.Close()
		}
	}
}

// stream counts bytes, and gives its place back at its first Close.
type stream struct {
	net.Conn
	counts      *Counts
	releaseOnce sync.Once
	release     func()
}

func (s *stream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.counts.StreamBytes.Add(uint64(max(0, n)))
	return n, err
}

func (s *stream) Close() error {
	err := s.Conn.Close()
	s.releaseOnce.Do(s.release)
	return err
}

// FinalAdvertiseAddr is the address that others are told, whatever the detector was given.
func (l *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IP(l.advertise.Addr().AsSlice()), int(l.advertise.Port()), nil
}

// WriteTo sends a datagram.
func (l *Transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = l.udp.WriteToUDPAddrPort(b, to)
	l.counts.PacketsOut.Add(1)
	l.counts.BytesOut.Add(uint64(len(b)))
	return time.Now(), err
}

// WriteToAddress sends a datagram to a named gateway; the address alone counts.
func (l *Transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return l.WriteTo(b, a.Addr)
}

// PacketCh gives datagrams as they come.
func (l *Transport) PacketCh() <-chan *memberlist.Packet { return l.packets }

// DialTimeout opens a stream from this gateway's own address.
func (l *Transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	own := l.udp.LocalAddr().(*net.UDPAddr)
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: own.IP}}
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	l.counts.StreamsOut.Add(1)
	if err != nil {
		l.counts.StreamsFailed.Add(1)
		return nil, err
	}
	return &stream{Conn: conn, counts: l.counts, release: func() {}}, nil
}

// DialAddressTimeout opens a stream to a named gateway; the address alone counts.
func (l *Transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	return l.DialTimeout(a.Addr, within)
}

// StreamCh gives streams as they come.
func (l *Transport) StreamCh() <-chan net.Conn { return l.streams }

// Shutdown closes the address and waits for its goroutines.
func (l *Transport) Shutdown() error {
	l.closed.Store(true)
	err := errors.Join(l.udp.Close(), l.tcp.Close())
	l.goroutines.Wait()
	return err
}

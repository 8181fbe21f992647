package fleet

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Relay is the fault relay: each party has a door of its own on loopback, under which the others know it; datagrams and streams
// that come to the door from another party's own address go on to the party as the links say, and look as if they came from the
// sender's door. What is between them is ours alone: no rule of the kernel's is touched.
//
// Bounds: mostFlying datagrams under way, and as many streams as it is made for; past them the oldest habit of networks: dropped.
type Relay struct {
	links       *Links
	mu          sync.Mutex
	listeners   map[string]*relayListener
	byTarget    map[netip.Addr]string // party by its own address
	inFlight    atomic.Int64
	openStreams atomic.Int64
	maxStreams  int64 // streams at once
	done        chan struct{}
	wait        sync.WaitGroup
	Lost        atomic.Int64 // datagrams lost by a fault
	Forwarded   atomic.Int64
}

const (
	maxDatagramsInFlight = 20_000
	cutTimeout           = 10 * time.Second // a stream into a cut is held so long, as nobody answers its bytes
	copyBuffer           = 16 << 10
)

type relayListener struct {
	name   string
	target netip.AddrPort // where the party listens
	public netip.AddrPort
	udp    *net.UDPConn
	tcp    *net.TCPListener
}

// NewRelay makes a relay over links, for at most so many streams at once.
func NewRelay(links *Links, mostStreams int) *Relay {
	return &Relay{links: links, maxStreams: int64(mostStreams), listeners: map[string]*relayListener{}, byTarget: map[netip.Addr]string{}, done: make(chan struct{})}
}

// Add opens a party's door; what comes there goes on to the party's own address, which no other party shares.
func (r *Relay) Add(name string, door, own netip.AddrPort) error {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(door))
	if err != nil {
		return err
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(door))
	if err != nil {
		udp.Close()
		return err
	}
	udp.SetReadBuffer(4 << 20)
	d := &relayListener{name, own, door, udp, tcp}
	r.mu.Lock()
	r.listeners[name] = d
	r.byTarget[own.Addr()] = name
	r.mu.Unlock()
	r.wait.Add(2)
	go r.relayDatagrams(d)
	go r.relayStreams(d)
	return nil
}

// sender is the party whose own address that is.
func (r *Relay) sender(at netip.Addr) *relayListener {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listeners[r.byTarget[at.Unmap()]]
}

func (r *Relay) relayDatagrams(to *relayListener) {
	defer r.wait.Done()
	buf := make([]byte, 65536)
	for {
		n, at, err := to.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := r.sender(at.Addr())
		if from == nil {
			continue
		}
		lost, takes := r.links.Transfer(from.name, to.name, n, false)
		if lost || r.inFlight.Load() >= maxDatagramsInFlight {
			r.Lost.Add(1)
			continue
		}
		r.Forwarded.Add(1)
		if takes == 0 {
			from.udp.WriteToUDPAddrPort(buf[:n], to.target)
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		r.inFlight.Add(1)
		time.AfterFunc(takes, func() {
			defer r.inFlight.Add(-1)
			if !r.links.IsCut(from.name, to.name) {
				from.udp.WriteToUDPAddrPort(text, to.target)
			}
		})
	}
}

func (r *Relay) relayStreams(to *relayListener) {
	defer r.wait.Done()
	for {
		conn, err := to.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		from := r.sender(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from == nil || r.openStreams.Load() >= r.maxStreams {
			conn.Close()
			continue
		}
		r.openStreams.Add(1)
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			defer r.openStreams.Add(-1)
			r.pipe(conn, from.name, to.name, &net.TCPAddr{IP: from.public.Addr().AsSlice()}, to.target)
		}()
	}
}

// AddPrivate opens a further door to an address, for one party alone: what it sends there goes on as the links from it to the other say.
func (r *Relay) AddPrivate(from, to string, door, own netip.AddrPort) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(door))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listeners[from+" "+to] = &relayListener{name: to, tcp: tcp}
	r.mu.Unlock()
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		for {
			conn, err := tcp.AcceptTCP()
			if err != nil {
				return
			}
			if r.openStreams.Load() >= r.maxStreams {
				conn.Close()
				continue
			}
			r.openStreams.Add(1)
			r.wait.Add(1)
			go func() {
				defer r.wait.Done()
				defer r.openStreams.Add(-1)
				r.pipe(conn, from, to, nil, own)
			}()
		}
	}()
	return nil
}

// holdSilent keeps a stream open and silent, as one into a cut is.
func (r *Relay) holdSilent(conn net.Conn) {
	late := time.NewTimer(cutTimeout)
	defer late.Stop()
	select {
	case <-late.C:
	case <-r.done:
	}
	conn.Close()
}

func (r *Relay) pipe(in *net.TCPConn, from, to string, as *net.TCPAddr, own netip.AddrPort) {
	if !r.links.IsOpen(from, to) { // neither its first word nor the answer to it would come through
		r.holdSilent(in)
		return
	}
	d := net.Dialer{Timeout: 2 * time.Second}
	if as != nil {
		d.LocalAddr = as
	}
	out, err := d.Dial("tcp", own.String())
	if err != nil {
		in.SetLinger(0) // nobody listens there: the caller is to hear so
		in.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.copyStream(in, out.(*net.TCPConn), from, to) }()
	go func() { defer both.Done(); r.copyStream(out.(*net.TCPConn), in, to, from) }()
	done := make(chan struct{})
	go func() { both.Wait(); close(done) }()
	select {
	case <-done:
	case <-r.done:
	}
	in.Close()
	out.Close()
	<-done
}

// copyStream moves bytes one way; into a cut it holds still.
func (r *Relay) copyStream(in, out *net.TCPConn, from, to string) {
	buf := make([]byte, copyBuffer)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			cut, takes := r.links.Transfer(from, to, n, true)
			if cut {
				r.holdSilent(in)
				out.Close()
				return
			}
			time.Sleep(takes)
			if _, err := out.Write(buf[:n]); err != nil {
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

// Close ends the relay and waits for it.
func (r *Relay) Close() {
	close(r.done)
	r.mu.Lock()
	for _, d := range r.listeners {
		if d.udp != nil {
			d.udp.Close()
		}
		d.tcp.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

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
	links  *Links
	mu     sync.Mutex
	doors  map[string]*relayDoor
	byOwn  map[netip.Addr]string // party by its own address
	flying atomic.Int64
	pipes  atomic.Int64
	most   int64 // streams at once
	over   chan struct{}
	wait   sync.WaitGroup
	Lost   atomic.Int64 // datagrams lost by a fault
	Moved  atomic.Int64
}

const (
	mostFlying = 20_000
	stall      = 10 * time.Second // a stream into a cut is held so long, as nobody answers its bytes
	chunk      = 16 << 10
)

type relayDoor struct {
	name string
	own  netip.AddrPort // where the party listens
	door netip.AddrPort
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// NewRelay makes a relay over links, for at most so many streams at once.
func NewRelay(links *Links, mostStreams int) *Relay {
	return &Relay{links: links, most: int64(mostStreams), doors: map[string]*relayDoor{}, byOwn: map[netip.Addr]string{}, over: make(chan struct{})}
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
	d := &relayDoor{name, own, door, udp, tcp}
	r.mu.Lock()
	r.doors[name] = d
	r.byOwn[own.Addr()] = name
	r.mu.Unlock()
	r.wait.Add(2)
	go r.datagrams(d)
	go r.streams(d)
	return nil
}

// from is the party whose own address that is.
func (r *Relay) from(at netip.Addr) *relayDoor {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doors[r.byOwn[at.Unmap()]]
}

func (r *Relay) datagrams(to *relayDoor) {
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
		from := r.from(at.Addr())
		if from == nil {
			continue
		}
		lost, takes := r.links.Fate(from.name, to.name, n, false)
		if lost || r.flying.Load() >= mostFlying {
			r.Lost.Add(1)
			continue
		}
		r.Moved.Add(1)
		if takes == 0 {
			from.udp.WriteToUDPAddrPort(buf[:n], to.own)
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		r.flying.Add(1)
		time.AfterFunc(takes, func() {
			defer r.flying.Add(-1)
			if !r.links.Cut(from.name, to.name) {
				from.udp.WriteToUDPAddrPort(text, to.own)
			}
		})
	}
}

func (r *Relay) streams(to *relayDoor) {
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
		from := r.from(conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from == nil || r.pipes.Load() >= r.most {
			conn.Close()
			continue
		}
		r.pipes.Add(1)
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			defer r.pipes.Add(-1)
			r.pipe(conn, from.name, to.name, &net.TCPAddr{IP: from.door.Addr().AsSlice()}, to.own)
		}()
	}
}

// Front opens a further door to an address, for one party alone: what it sends there goes on as the links from it to the other say.
func (r *Relay) Front(from, to string, door, own netip.AddrPort) error {
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(door))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.doors[from+" "+to] = &relayDoor{name: to, tcp: tcp}
	r.mu.Unlock()
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		for {
			conn, err := tcp.AcceptTCP()
			if err != nil {
				return
			}
			if r.pipes.Load() >= r.most {
				conn.Close()
				continue
			}
			r.pipes.Add(1)
			r.wait.Add(1)
			go func() {
				defer r.wait.Done()
				defer r.pipes.Add(-1)
				r.pipe(conn, from, to, nil, own)
			}()
		}
	}()
	return nil
}

// hold keeps a stream open and silent, as one into a cut is.
func (r *Relay) hold(conn net.Conn) {
	late := time.NewTimer(stall)
	defer late.Stop()
	select {
	case <-late.C:
	case <-r.over:
	}
	conn.Close()
}

func (r *Relay) pipe(in *net.TCPConn, from, to string, as *net.TCPAddr, own netip.AddrPort) {
	if !r.links.Open(from, to) { // neither its first word nor the answer to it would come through
		r.hold(in)
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
	go func() { defer both.Done(); r.pump(in, out.(*net.TCPConn), from, to) }()
	go func() { defer both.Done(); r.pump(out.(*net.TCPConn), in, to, from) }()
	done := make(chan struct{})
	go func() { both.Wait(); close(done) }()
	select {
	case <-done:
	case <-r.over:
	}
	in.Close()
	out.Close()
	<-done
}

// pump moves bytes one way; into a cut it holds still.
func (r *Relay) pump(in, out *net.TCPConn, from, to string) {
	buf := make([]byte, chunk)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			cut, takes := r.links.Fate(from, to, n, true)
			if cut {
				r.hold(in)
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
	close(r.over)
	r.mu.Lock()
	for _, d := range r.doors {
		if d.udp != nil {
			d.udp.Close()
		}
		d.tcp.Close()
	}
	r.mu.Unlock()
	r.wait.Wait()
}

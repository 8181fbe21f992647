package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"foldslip/example/standin"
)

const (
	requestTimeout   = 5 * time.Second // for the line "after N" that begins a watch
	maxRequestBytes  = 64              // bytes of that line
	writeTimeout     = 5 * time.Second // for a write to a watcher; a slower one is dropped
	maxWriteBytes    = 64 << 10        // bytes of one write, and of the buffer of each watch
	defaultHeartbeat = time.Second     // between lines with only the last number
	maxWatches       = 8192            // gateways
	maxBatchEvents   = 64              // events looked up under the lock at once
)

// Discovery is a stand-in for the discovery service of the whole fleet: one listener on loopback, one watch a gateway, events numbered
// from 1 at each start of each gateway. A gateway is identified by the address that it dials, 127.64.x.y, so that programs that only
// have an address in their configuration can use it too; the listener is bound to the loopback device.
//
// Its methods are safe for concurrent use. Bounds: Gateways watches, each with one goroutine and one buffer of 64 KB at most, and
// KeepEvents events for watchers that return. A watcher that lacks older ones is dropped and counted, as is one that reads nothing for
// writeTimeout.
type Discovery struct {
	listener   net.Listener
	port       uint16
	wait       sync.WaitGroup
	heartbeat  time.Duration
	handshakes chan struct{} // a slot for each connection whose request has not been read

	mu            sync.Mutex
	maxEvents     int
	members       []standin.Endpoint
	indexByID     map[string]int // index in members by id
	encodedList   []byte         // the list as an event without its number; nil: to be encoded
	firstPosition int64          // position of events[0]; positions go on over all starts, numbers are a gateway's own
	events        [][]byte       // events without their numbers
	watchers      []*watcher
	isRefused     func(gateway int) bool // nil: none
	closed        bool
}

// watcher is the state of one gateway's watch, over all its connections.
type watcher struct {
	joined       bool
	basePosition int64  // position of the event that is its number 1
	listEvent    []byte // event 1, where it comes over the watch
	conn         net.Conn
	wakeup       chan struct{}
	counts       WatchCounts
}

// WatchCounts are of one gateway's watch since the stand-in was started. Bytes are payload; see TCPOverhead.
type WatchCounts struct {
	BytesOut, Writes, Events   atomic.Int64
	BytesIn, Connects          atomic.Int64
	DroppedBehind, DroppedSlow atomic.Int64 // times that it was dropped
}

// DiscoveryOptions configure a stand-in.
type DiscoveryOptions struct {
	Gateways   int // 1 to 8192
	KeepEvents int // events kept for watchers that return; 65,536 if 0 (ten minutes of 100 a second)
	Members    []standin.Endpoint
	Heartbeat  time.Duration // between lines with only the last number; a second if 0
}

// NewDiscovery starts a stand-in on a free port; Close ends it. Its error is an *OptionError or that of the listener.
func NewDiscovery(o DiscoveryOptions) (*Discovery, error) {
	if o.Gateways < 1 || o.Gateways > maxWatches {
		return nil, newOptionError("Gateways", "%d gateways watch, expected 1 to %d", o.Gateways, maxWatches)
	}
	if o.KeepEvents <= 0 {
		o.KeepEvents = 65536
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = defaultHeartbeat
	}
	onLoopback := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, "lo")
		}); e != nil {
			return e
		}
		return err
	}}
	l, err := onLoopback.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{listener: l, port: l.Addr().(*net.TCPAddr).AddrPort().Port(), maxEvents: o.KeepEvents, heartbeat: o.Heartbeat, members: slices.Clone(o.Members), indexByID: map[string]int{},
		firstPosition: 1, watchers: make([]*watcher, o.Gateways), handshakes: make(chan struct{}, 256)}
	for i, m := range d.members {
		d.indexByID[m.ID] = i
	}
	for i := range d.watchers {
		d.watchers[i] = &watcher{wakeup: make(chan struct{}, 1)}
	}
	d.wait.Go(d.accept)
	return d, nil
}

// Addr is the address that a gateway has to dial.
func (d *Discovery) Addr(gateway int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 64, byte(gateway >> 8), byte(gateway)}), d.port).String()
}

// gatewayAt is the gateway of a dialled address; -1: none.
func (d *Discovery) gatewayAt(a net.Addr) int {
	t, ok := a.(*net.TCPAddr)
	if !ok {
		return -1
	}
	b := t.AddrPort().Addr().Unmap().As4()
	if i := int(b[2])<<8 | int(b[3]); b[0] == 127 && b[1] == 64 && i < len(d.watchers) {
		return i
	}
	return -1
}

// Join starts a gateway: its events are numbered from 1 again, and the first is the whole list. It returns the value of `known` in the
// gateway's configuration, and the position from which its numbers count. With listInConfig that value holds the list; otherwise the
// list is sent over the watch.
func (d *Discovery) Join(gateway int, listInConfig bool) (known json.RawMessage, base int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.watchers[gateway]
	w.disconnect()
	w.joined, w.basePosition, w.listEvent = true, d.lastPosition(), d.listUpdate()
	if !listInConfig {
		return json.RawMessage(`{"no":0,"items":[]}`), w.basePosition
	}
	return fmt.Appendf(nil, `{"no":1,"items":[{"no":1,%s]}`, w.listEvent), w.basePosition
}

// RemoveGateway ends a gateway's watch; it is refused until the gateway joins again.
func (d *Discovery) RemoveGateway(gateway int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers[gateway].joined = false
	d.watchers[gateway].disconnect()
}

// disconnect closes the watch's connection. The lock is held.
func (w *watcher) disconnect() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
		w.notify()
	}
}

func (w *watcher) notify() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// listUpdate is the whole list as an event, shared by all that join before it changes. The lock is held.
func (d *Discovery) listUpdate() []byte {
	if d.encodedList == nil {
		d.encodedList = []byte(standin.EndpointList(true, d.members...)[1:])
	}
	return d.encodedList
}

// lastPosition is the position of the last event. The lock is held.
func (d *Discovery) lastPosition() int64 { return d.firstPosition + int64(len(d.events)) - 1 }

// Last is the position of the last event published.
func (d *Discovery) Last() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastPosition()
}

// Purge publishes a purge of an object, or of a group if the object is empty, and returns its position.
func (d *Discovery) Purge(object string, group int, issued time.Time) int64 {
	var b []byte
	if object != "" {
		b = fmt.Appendf(nil, `"recall":{"item":%q,"issued":%d}}`, object, issued.UnixMilli())
	} else {
		b = fmt.Appendf(nil, `"recall":{"lot":%d,"issued":%d}}`, group, issued.UnixMilli())
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.publish(b)
}

// Change publishes changed, new or removed members of the list, and returns the event's position.
func (d *Discovery) Change(members ...standin.Endpoint) int64 {
	b := []byte(standin.EndpointList(false, members...)[1:])
	d.mu.Lock()
	defer d.mu.Unlock()
	d.encodedList = nil
	for _, m := range members {
		i, known := d.indexByID[m.ID]
		switch {
		case m.Phase == "removed" && known:
			d.members = slices.Delete(d.members, i, i+1)
			delete(d.indexByID, m.ID)
			for id, j := range d.indexByID {
				if j > i {
					d.indexByID[id] = j - 1
				}
			}
		case m.Phase == "removed":
		case known:
			d.members[i] = m
		default:
			d.indexByID[m.ID] = len(d.members)
			d.members = append(d.members, m)
		}
	}
	return d.publish(b)
}

// memberAt is a member of the present list by index, modulo its length.
func (d *Discovery) memberAt(i int) standin.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[i%len(d.members)]
}

// publish adds an event and wakes all watches. The lock is held.
func (d *Discovery) publish(event []byte) int64 {
	d.events = append(d.events, event)
	if len(d.events) >= 2*d.maxEvents { // at twice the bound, so that each event is copied once
		dropped := len(d.events) - d.maxEvents
		d.firstPosition += int64(dropped)
		d.events = append([][]byte(nil), d.events[dropped:]...)
	}
	for _, w := range d.watchers {
		if w.conn != nil {
			w.notify()
		}
	}
	return d.lastPosition()
}

// RefuseWatches ends the watches of some gateways and refuses them until it is called again, as if their control machine were lost or
// they were cut off. Nil refuses none.
func (d *Discovery) RefuseWatches(isRefused func(gateway int) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isRefused = isRefused
	for i, w := range d.watchers {
		if isRefused != nil && isRefused(i) {
			w.disconnect()
		}
	}
}

// Watching is the number of gateways that have a watch.
func (d *Discovery) Watching() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range d.watchers {
		if w.conn != nil {
			n++
		}
	}
	return n
}

// Counts returns the counters of a gateway's watch, which go on counting.
func (d *Discovery) Counts(gateway int) *WatchCounts { return &d.watchers[gateway].counts }

// Close ends all watches and waits for their goroutines.
func (d *Discovery) Close() {
	d.listener.Close()
	d.mu.Lock()
	d.closed = true
	for _, w := range d.watchers {
		w.joined = false
		w.disconnect()
	}
	d.mu.Unlock()
	d.wait.Wait()
}

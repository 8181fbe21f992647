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
	requestTimeout   = 5 * time.Second // for a watcher to send its request, the line "after N"
	maxRequestBytes  = 64              // length of a request
	writeTimeout     = 5 * time.Second // for one write to a watcher; a watcher that takes longer is dropped
	maxWriteBytes    = 64 << 10        // bytes of one write, and of the buffer that is kept for each watch
	defaultHeartbeat = time.Second     // between heartbeats, which are lines with only the number of the last event
	maxWatches       = 8192            // limit of Gateways
	maxBatchEvents   = 64              // events copied at once while the lock is held
)

// Discovery is a stand-in for the discovery service of the whole fleet. It has one listener and serves one watch to
// each gateway. The events of a gateway are numbered from 1 at each of its starts. The address that a gateway dials,
// 127.64.x.y, identifies the gateway, so that programs which have only an address in their configuration can use the
// stand-in too. The listener is bound to the loopback device.
//
// Its methods are safe for concurrent use. It serves at most Gateways watches, each with one goroutine and one buffer
// of at most 64 KB. It keeps at least KeepEvents events, and fewer than twice as many, for watchers that reconnect. A
// watcher that needs older events is dropped and counted, as is one that reads nothing for writeTimeout.
type Discovery struct {
	listener   net.Listener
	port       uint16
	wait       sync.WaitGroup
	heartbeat  time.Duration
	handshakes chan struct{} // holds a slot for each connection whose request has not been read

	mu            sync.Mutex
	maxEvents     int
	members       []standin.Endpoint
	indexByID     map[string]int // index in members by endpoint ID
	encodedList   []byte         // the whole list as an encoded event without its number; nil: not encoded since it changed
	firstPosition int64          // position of events[0]; positions count the events of the stand-in, numbers those of one gateway's start
	events        [][]byte       // encoded events without their numbers
	watchers      []*watcher
	isRefused     func(gateway int) bool // reports whether a gateway's watches are refused; nil: none are
	closed        bool
}

// watcher is the state of one gateway's watch over all its connections.
type watcher struct {
	joined       bool
	basePosition int64         // position that corresponds to the gateway's event number 1
	listEvent    []byte        // event number 1, the whole list, for a gateway that receives it over the watch
	conn         net.Conn      // nil: not connected
	wakeup       chan struct{} // signals new events or the end of the connection
	counts       WatchCounts
}

// WatchCounts counts the traffic of one gateway's watch since the stand-in was started. Bytes are payload only;
// TCPOverhead estimates the bytes with headers.
type WatchCounts struct {
	BytesOut, Writes, Events   atomic.Int64
	BytesIn, Connects          atomic.Int64
	DroppedBehind, DroppedSlow atomic.Int64 // times that the watch was dropped for needing events no longer kept, and for reading too slowly
}

// DiscoveryOptions configures a stand-in.
type DiscoveryOptions struct {
	Gateways   int                // number of gateways, 1 to 8192
	KeepEvents int                // events kept for watchers that reconnect; 65,536 if 0, which is ten minutes of 100 events a second
	Members    []standin.Endpoint // the endpoint list at the start
	Heartbeat  time.Duration      // between lines with only the number of the last event; a second if 0
}

// NewDiscovery starts a stand-in on a free port. Close stops it. The error is an *OptionError or that of the
// listener.
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

// Addr returns the address that a gateway must dial.
func (d *Discovery) Addr(gateway int) string {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 64, byte(gateway >> 8), byte(gateway)}), d.port).String()
}

// gatewayAt returns the gateway that a dialed address identifies; -1: none.
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

// Join registers the start of a gateway. The gateway's events are numbered from 1 again, and the first is the whole
// list. Join returns the value of `known` for the gateway's configuration, and the position that corresponds to event
// number 1. If listInConfig is set, the value holds the list. Otherwise the list is sent over the watch.
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

// RemoveGateway ends a gateway's watch and refuses new ones until the gateway joins again.
func (d *Discovery) RemoveGateway(gateway int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watchers[gateway].joined = false
	d.watchers[gateway].disconnect()
}

// disconnect closes the watch's connection, if it has one. The caller holds the Discovery's lock.
func (w *watcher) disconnect() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
		w.notify()
	}
}

// notify wakes the goroutine that serves the watch.
func (w *watcher) notify() {
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// listUpdate returns the whole list as an encoded event. All gateways that join before the list changes share it. The
// caller holds the lock.
func (d *Discovery) listUpdate() []byte {
	if d.encodedList == nil {
		d.encodedList = []byte(standin.EndpointList(true, d.members...)[1:])
	}
	return d.encodedList
}

// lastPosition returns the position of the last event published. The caller holds the lock.
func (d *Discovery) lastPosition() int64 { return d.firstPosition + int64(len(d.events)) - 1 }

// Last returns the position of the last event published.
func (d *Discovery) Last() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastPosition()
}

// Purge publishes a purge of an object, or of a group if object is empty, and returns the position of the event.
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

// Change publishes members of the list that have changed, are new or were removed, and returns the position of the
// event.
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

// memberAt returns the member of the current list at an index, which is taken modulo the list's length.
func (d *Discovery) memberAt(i int) standin.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[i%len(d.members)]
}

// publish appends an event, wakes all watches and returns the position of the event. The caller holds the lock.
func (d *Discovery) publish(event []byte) int64 {
	d.events = append(d.events, event)
	if len(d.events) >= 2*d.maxEvents { // drop old events only at twice the bound, so that each event is copied at most once
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

// RefuseWatches ends the watches of the gateways for which isRefused is true, and refuses new ones until it is called
// again. This simulates the loss of their control machine or a cut of the network. Nil refuses none.
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

// Watching returns the number of gateways that have a connected watch.
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

// Counts returns the counters of a gateway's watch. They continue to change.
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

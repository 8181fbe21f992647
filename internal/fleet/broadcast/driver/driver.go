// Package driver runs the broadcast of purges (package fleet/broadcast, which decides) over the fleet's datagrams: purges of this
// gateway's own discovery watch and datagrams of peers go in, datagrams go out, and purges that a peer sent first are handed on to be
// applied.
//
// A datagram of the broadcast begins with the byte broadcast.Kind; eight bytes of the sender's key (view.NameKey) follow, as the fleet's
// datagrams do not name their sender, then the frame.
//
// One goroutine, Run, does all the work; HandleMessage and RecordPurges only queue and never wait. Bounds: maxQueuedFrames datagrams of at
// most maxDatagramBytes and maxQueuedPurges purges of the own watch wait, past them new ones are dropped and counted: the repair of the
// broadcast finds them, and purges of the own watch are applied without it. The latest maxLatest purges that were applied here are kept
// for reports, some 100 KB. A Driver lives as long as its gateway.
package driver

import (
	"encoding/binary"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/view"
)

const (
	maxQueuedFrames  = 1024
	maxDatagramBytes = 1400
	maxQueuedPurges  = 4096
	headerSize       = 1 + 8
	viewInterval     = 200 * time.Millisecond // at which the view is checked for changes
	minTurnInterval  = time.Millisecond
)

// Fleet is the part of fleet membership that a Driver uses.
type Fleet interface {
	// Send sends a datagram to a member.
	Send(to string, b []byte) error
	// LiveIDs returns the live members and the version of the view that they are of.
	LiveIDs() ([]view.ID, uint64)
	// Version returns the present version of the view.
	Version() uint64
}

// Counts are since the process started.
type Counts struct {
	Received         uint64 `json:"taken_in"`     // datagrams of peers
	BytesIn          uint64 `json:"bytes_in"`     // of them, without the headers of UDP and IP
	Sent             uint64 `json:"sent_out"`     // datagrams
	BytesOut         uint64 `json:"bytes_out"`    // of them
	SendFailures     uint64 `json:"not_sent"`     // datagrams whose peer is no longer live, or that the transport refused
	Dropped          uint64 `json:"full"`         // datagrams, as too many waited or they were too long
	UnknownSenders   uint64 `json:"unknown"`      // datagrams of a sender that is not live in this view
	Unreadable       uint64 `json:"unreadable"`   // datagrams
	OwnPurgesDropped uint64 `json:"own_dropped"`  // purges of the own watch, as too many waited; they were applied all the same
	LearnedFromPeers uint64 `json:"peers_first"`  // purges that a peer sent before the own watch did
	BehindPeriods    uint64 `json:"behind_times"` // times that the mode became behind
}

// Driver runs the broadcast of one gateway. Its methods are safe for concurrent use, except SetFleet.
type Driver struct {
	self      string
	locality  broadcast.Locality
	fleet     Fleet
	onPurges  func([]broadcast.Purge)
	log       *slog.Logger
	startedAt time.Time
	wakeup    chan struct{} // something is queued

	// Run's goroutine alone uses these.
	viewVersion uint64 // of the members that the node has
	hasView     bool   // the node has members

	mu        sync.Mutex // never held over I/O, nor over a log line
	node      *broadcast.Node
	queue     [][]byte
	ownPurges []broadcast.Purge // queued
	peerNames map[uint64]string // live peers, by key
	counts    Counts
	lag       lagDetector
	applied   appliedLog
}

// New makes a Driver. It calls onPurges with purges that a peer sent first, on Run's goroutine. wall is the machine's clock, for the age
// of purges. stamp seeds all random choices, and must differ at each start of a process and between gateways: peers know batches by it,
// and would take those of a new process under an old stamp for ones that they have.
func New(self string, place view.Locality, onPurges func([]broadcast.Purge), log *slog.Logger, stamp uint64, wall func() time.Time) *Driver {
	d := &Driver{
		self:      self,
		locality:  broadcast.Locality{Region: place.Region, Zone: place.Zone, Site: place.Site},
		onPurges:  onPurges,
		log:       log,
		startedAt: time.Now(),
		wakeup:    make(chan struct{}, 1),
		peerNames: map[uint64]string{},
	}
	settings := broadcast.DefaultSettings
	settings.StartUnixMillis = wall().UnixMilli()
	rng := rand.New(rand.NewPCG(stamp, 0x62726f6164636173))
	d.node = broadcast.New(settings, broadcast.Member{Name: self, Locality: d.locality}, stamp, rng, d.now())
	return d
}

// SetFleet sets the fleet to send to. It must be called before Run.
func (d *Driver) SetFleet(fleet Fleet) { d.fleet = fleet }

// now is the time in microseconds since New, never 0.
func (d *Driver) now() int64 { return time.Since(d.startedAt).Microseconds() + 1 }

// IsBroadcast reports whether a datagram of the fleet is one of the broadcast.
func IsBroadcast(b []byte) bool { return len(b) > 0 && b[0] == broadcast.Kind }

// HandleMessage queues a datagram of a peer; it keeps no reference to b.
func (d *Driver) HandleMessage(b []byte) {
	d.mu.Lock()
	if len(d.queue) >= maxQueuedFrames || len(b) > maxDatagramBytes {
		d.counts.Dropped++
	} else {
		d.queue = append(d.queue, slices.Clone(b))
	}
	d.mu.Unlock()
	d.signal()
}

// RecordPurges queues purges of the own discovery watch, which the caller applies.
func (d *Driver) RecordPurges(purges []broadcast.Purge) {
	if len(purges) == 0 {
		return
	}
	d.mu.Lock()
	queued := min(len(purges), max(0, maxQueuedPurges-len(d.ownPurges)))
	d.counts.OwnPurgesDropped += uint64(len(purges) - queued)
	d.ownPurges = append(d.ownPurges, purges[:queued]...)
	d.applied.add(purges, false, d.now()) // those that are not queued too
	d.mu.Unlock()
	d.signal()
}

func (d *Driver) signal() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// Run does the work until stop is closed.
func (d *Driver) Run(stop <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-d.wakeup:
		case <-timer.C:
		}
		result := d.turn()
		if len(result.learned) > 0 {
			d.onPurges(result.learned)
			d.mu.Lock()
			d.applied.add(result.learned, true, d.now())
			d.mu.Unlock()
		}
		d.send(result.messages)
		if result.logLine != nil {
			result.logLine()
		}
		timer.Reset(result.nextTurn)
	}
}

// message is a datagram to be sent to a peer.
type message struct {
	to       string
	datagram []byte
}

// turnResult is what a turn leaves to be done without the lock.
type turnResult struct {
	learned  []broadcast.Purge // to be applied
	messages []message
	logLine  func() // nil: none
	nextTurn time.Duration
}

// turn hands all that is queued to the node and collects what is to be done.
func (d *Driver) turn() (result turnResult) {
	version := d.fleet.Version()
	var live []view.ID
	if !d.hasView || version != d.viewVersion {
		live, version = d.fleet.LiveIDs()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if live != nil {
		d.setMembers(live, version)
	}
	now := d.now()
	result.learned = d.handleQueued(now)
	d.node.Step(now)
	result.messages = d.takeMessages()
	d.counts.LearnedFromPeers += uint64(len(result.learned))
	result.logLine = d.updateMode(now)
	// Bounded before it is converted to nanoseconds: the node's "never" would overflow.
	micros := min(viewInterval.Microseconds(), d.node.Next()-now)
	result.nextTurn = max(minTurnInterval, time.Duration(micros)*time.Microsecond)
	return result
}

// setMembers tells the node who is live; mu is held.
func (d *Driver) setMembers(live []view.ID, version uint64) {
	d.hasView = true
	d.viewVersion = version
	clear(d.peerNames)
	members := make([]broadcast.Member, 0, len(live))
	for _, id := range live {
		locality := broadcast.Locality{Region: id.Locality.Region, Zone: id.Locality.Zone, Site: id.Locality.Site}
		members = append(members, broadcast.Member{Name: id.Name, Locality: locality})
		if id.Name != d.self {
			d.peerNames[view.NameKey(id.Name)] = id.Name
		}
	}
	d.node.SetMembers(members, d.now())
}

// handleQueued hands queued purges and datagrams to the node and returns the purges that are new here; mu is held.
func (d *Driver) handleQueued(now int64) (learned []broadcast.Purge) {
	ownPurges := d.ownPurges
	queue := d.queue
	d.ownPurges = nil
	d.queue = nil
	if len(ownPurges) > 0 {
		d.node.RecordOwn(ownPurges, now)
	}
	for _, b := range queue {
		learned = append(learned, d.handleDatagram(b, now)...)
	}
	return learned
}

// handleDatagram hands one datagram to the node and returns the purges that are new here; mu is held. What cannot be read is counted and
// not logged: a peer that sends such datagrams would fill the log.
func (d *Driver) handleDatagram(b []byte, now int64) []broadcast.Purge {
	if len(b) <= headerSize || b[0] != broadcast.Kind {
		d.counts.Unreadable++
		return nil
	}
	from := d.peerNames[binary.LittleEndian.Uint64(b[1:])]
	if from == "" {
		d.counts.UnknownSenders++
		return nil
	}
	d.counts.Received++
	d.counts.BytesIn += uint64(len(b))
	learned, err := d.node.HandleFrame(from, b[headerSize:], now)
	if err != nil {
		d.counts.Unreadable++
	}
	return learned
}

// takeMessages returns the node's frames as datagrams; mu is held.
func (d *Driver) takeMessages() (messages []message) {
	for _, m := range d.node.TakeMessages() {
		datagram := binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.NameKey(d.self))
		messages = append(messages, message{m.To, append(datagram, m.Frame...)})
	}
	return messages
}

// send sends datagrams. One that cannot be sent is repaired like one that was lost.
func (d *Driver) send(messages []message) {
	var sent, bytes, failed uint64
	for _, m := range messages {
		if err := d.fleet.Send(m.to, m.datagram); err != nil {
			failed++
			continue
		}
		sent++
		bytes += uint64(len(m.datagram))
	}
	d.mu.Lock()
	d.counts.Sent += sent
	d.counts.BytesOut += bytes
	d.counts.SendFailures += failed
	d.mu.Unlock()
}

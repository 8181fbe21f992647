// Package driver runs the purge broadcast of package fleet/broadcast over the fleet's datagrams. Package broadcast
// makes the decisions. The driver passes the purges of this gateway's own discovery watch and the datagrams of peers
// to the broadcast. The driver sends the datagrams that the broadcast produces, and it hands on the purges that a
// peer sent first, so that they are applied.
//
// A broadcast datagram consists of the byte broadcast.Kind, eight bytes with the key of the sender (view.NameKey) and
// the frame. It carries the key because the fleet's datagrams do not name their sender.
//
// One goroutine, Run, does all the work. HandleMessage and RecordPurges only add to a queue and never wait for I/O.
//
// At most maxQueuedFrames datagrams of at most maxDatagramBytes each are queued, and at most maxQueuedPurges purges
// of the own watch. Further ones are dropped and counted. The repair of the broadcast recovers the content of dropped
// datagrams, and the gateway applies the purges of its own watch without the broadcast. A Driver keeps the latest
// maxLatest applied purges for reports, about 100 KB. It lives as long as its gateway.
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
	viewInterval     = 200 * time.Millisecond // the view is checked for changes at least this often
	minTurnInterval  = time.Millisecond
)

// Fleet is the part of fleet membership that a Driver uses.
type Fleet interface {
	// Send sends a datagram to a member.
	Send(to string, b []byte) error
	// LiveIDs returns the live members and the version of the view that lists them.
	LiveIDs() ([]view.ID, uint64)
	// Version returns the current version of the view.
	Version() uint64
}

// Counts holds the counters of a driver since its process started.
type Counts struct {
	Received         uint64 `json:"taken_in"`     // datagrams from live peers
	BytesIn          uint64 `json:"bytes_in"`     // bytes received, without the headers of UDP and IP
	Sent             uint64 `json:"sent_out"`     // datagrams sent
	BytesOut         uint64 `json:"bytes_out"`    // bytes sent, without the headers of UDP and IP
	SendFailures     uint64 `json:"not_sent"`     // unsent datagrams: peer no longer live, or refused by the transport
	Dropped          uint64 `json:"full"`         // datagrams dropped because they were too long or the queue was full
	UnknownSenders   uint64 `json:"unknown"`      // datagrams whose sender is not live in this gateway's view
	Unreadable       uint64 `json:"unreadable"`   // datagrams that could not be read
	OwnPurgesDropped uint64 `json:"own_dropped"`  // the own watch's purges not queued (queue full); still applied
	LearnedFromPeers uint64 `json:"peers_first"`  // purges that a peer sent before the own watch brought them
	BehindPeriods    uint64 `json:"behind_times"` // times the mode changed to behind
}

// Driver runs the broadcast of one gateway. All its methods except SetFleet are safe for concurrent use.
type Driver struct {
	self      string
	locality  broadcast.Locality
	fleet     Fleet
	onPurges  func([]broadcast.Purge)
	log       *slog.Logger
	startedAt time.Time
	wakeup    chan struct{} // signals that something is queued

	// The following fields are used by Run's goroutine only.
	viewVersion uint64 // version of the view that the node's members come from
	hasView     bool   // whether the node has been given members

	mu        sync.Mutex // never held during I/O or logging
	node      *broadcast.Node
	queue     [][]byte          // datagrams that wait for the next turn
	ownPurges []broadcast.Purge // purges of the own watch that wait for the next turn
	peerNames map[uint64]string // names of live peers by view.NameKey
	counts    Counts
	lag       lagDetector
	applied   appliedLog
}

// New returns a Driver for the gateway self at place. Run's goroutine calls onPurges with the purges that a peer sent
// first. wall returns the machine's wall-clock time, from which the age of purges is computed. stamp seeds all random
// choices. It must differ between gateways and at each start of a process: peers identify batches by it, and would
// mistake the batches of a new process under an old stamp for batches that they already have.
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

// SetFleet sets the fleet that the driver sends to. It must be called before Run.
func (d *Driver) SetFleet(fleet Fleet) { d.fleet = fleet }

// now returns the time since New in microseconds. It is never 0.
func (d *Driver) now() int64 { return time.Since(d.startedAt).Microseconds() + 1 }

// IsBroadcast reports whether a fleet datagram belongs to the broadcast.
func IsBroadcast(b []byte) bool { return len(b) > 0 && b[0] == broadcast.Kind }

// HandleMessage queues a datagram from a peer. It keeps no reference to b.
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

// RecordPurges queues purges that this gateway's own discovery watch brought. The caller applies them.
func (d *Driver) RecordPurges(purges []broadcast.Purge) {
	if len(purges) == 0 {
		return
	}
	d.mu.Lock()
	queued := min(len(purges), max(0, maxQueuedPurges-len(d.ownPurges)))
	d.counts.OwnPurgesDropped += uint64(len(purges) - queued)
	d.ownPurges = append(d.ownPurges, purges[:queued]...)
	d.applied.add(purges, false, d.now()) // includes those that were not queued: the caller applies all
	d.mu.Unlock()
	d.signal()
}

func (d *Driver) signal() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// Run processes queued purges and datagrams, steps the broadcast and sends its datagrams until stop is closed.
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

// message is a datagram for a peer.
type message struct {
	to       string
	datagram []byte
}

// turnResult is the work that a turn leaves to be done after it has released mu.
type turnResult struct {
	learned  []broadcast.Purge // purges to apply
	messages []message
	logLine  func()        // logs a change of the mode; nil if there was none
	nextTurn time.Duration // time until the next turn
}

// turn passes everything that is queued to the node, steps the node, and returns the resulting work.
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
	// The bound is applied before the conversion to nanoseconds, which would overflow for the node's "never".
	micros := min(viewInterval.Microseconds(), d.node.Next()-now)
	result.nextTurn = max(minTurnInterval, time.Duration(micros)*time.Microsecond)
	return result
}

// setMembers passes the live members to the node and rebuilds peerNames. The caller holds mu.
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

// handleQueued passes the queued purges and datagrams to the node. It returns the purges from peers that this gateway
// did not know. The caller holds mu.
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

// handleDatagram passes a datagram to the node and returns the purges in it that this gateway did not know. An
// unreadable datagram is counted and not logged, because a peer that sends many of them would fill the log. The
// caller holds mu.
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

// takeMessages returns the frames that the node wants to send, as datagrams. The caller holds mu.
func (d *Driver) takeMessages() (messages []message) {
	for _, m := range d.node.TakeMessages() {
		datagram := binary.LittleEndian.AppendUint64([]byte{broadcast.Kind}, view.NameKey(d.self))
		messages = append(messages, message{m.To, append(datagram, m.Frame...)})
	}
	return messages
}

// send sends datagrams. A datagram that cannot be sent is recovered by repair, like one that is lost in transit.
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

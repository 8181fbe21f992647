package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"time"
	"unique"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/view"
)

// Fleet is each of memberlist's delegates.
var (
	_ memberlist.Delegate         = (*Fleet)(nil)
	_ memberlist.EventDelegate    = (*Fleet)(nil)
	_ memberlist.PingDelegate     = (*Fleet)(nil)
	_ memberlist.AliveDelegate    = (*Fleet)(nil)
	_ memberlist.ConflictDelegate = (*Fleet)(nil)
)

// ErrNotLive reports that a gateway is no live member of this one's view.
var ErrNotLive = errors.New("no live member")

// Reasons why a gateway is refused, beside those of the view.
const (
	refusedVersion view.Refusal = "version"
	refusedName    view.Refusal = "name"
)

const (
	maxConflictNames  = 256        // whose last log line is remembered
	conflictLogMicros = 60_000_000 // between log lines about one name
	minRTTMicros      = 1          // the histogram has no 0
)

// refusedError is why a gateway is refused; the detector logs it.
type refusedError struct{ reason view.Refusal }

func (e refusedError) Error() string { return "refused: " + string(e.reason) }

// NodeMeta returns what this gateway sends about itself with the detector's messages; memberlist's Delegate.
func (f *Fleet) NodeMeta(limit int) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return metadata{f.self.Incarnation, f.leaving, f.self.Locality}.append(nil)
}

// NotifyMsg takes a datagram of a peer: a heartbeat frame or a leave notice that rode on gossip, a request to refute, or a message that
// another package sent by Send; memberlist's Delegate.
func (f *Fleet) NotifyMsg(b []byte) {
	switch {
	case len(b) == 1 && b[0] == refuteRequestKind:
		f.mu.Lock()
		f.refuteRequested = true
		f.mu.Unlock()
	case len(b) > 0 && b[0] == view.LeaveNoticeKind:
		f.mergeLeaveNotice(b)
	case len(b) > 0 && b[0] != view.Kind:
		if f.deps.OnMessage != nil {
			f.deps.OnMessage(b)
		}
	default:
		f.mergeHeartbeat(b)
	}
}

// Send sends a datagram to a live member; it may be lost, late or arrive twice. Its first byte tells the receiver which package it is
// for, and is not view.Kind. The error is ErrNotLive or the transport's.
func (f *Fleet) Send(to string, b []byte) error {
	f.mu.Lock()
	member, known := f.view.Get(to)
	sender := f.sender
	f.mu.Unlock()
	if !known || !member.State.IsLive() || sender == nil {
		return fmt.Errorf("send to %s: %w", to, ErrNotLive)
	}
	return sender.SendToAddress(memberlist.Address{Addr: member.Addr, Name: to}, b)
}

// mergeHeartbeat takes a heartbeat frame of a peer.
func (f *Fleet) mergeHeartbeat(b []byte) {
	if len(b) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, err := f.view.MergeHeartbeat(b, f.now())
	if err != nil {
		f.counts.UnreadableHeartbeats++
		return
	}
	f.recordChanges(changes)
}

// GetBroadcasts puts leave notices on gossip, and a heartbeat frame for a while after the view changed; memberlist's Delegate. At rest
// frames ride on acks alone.
func (f *Fleet) GetBroadcasts(overhead, limit int) (messages [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if notice := f.view.LeaveNotice(limit-overhead, leaveNoticeAge.Microseconds(), now); notice != nil {
		messages = append(messages, notice)
		limit -= len(notice) + overhead
	}
	if frame := f.gossipedHeartbeat(limit-overhead, now); frame != nil {
		messages = append(messages, frame)
	}
	return messages
}

// gossipedHeartbeat returns a heartbeat frame of at most limit bytes if one is due on gossip, else nil; mu is held.
func (f *Fleet) gossipedHeartbeat(limit int, now int64) []byte {
	if !f.view.ShouldGossip(now, minGossipAfterChange.Microseconds(), maxGossipAfterChange.Microseconds()) {
		return nil
	}
	if now-f.heartbeatGossipedAt < heartbeatInterval.Microseconds()/3 || limit <= 0 {
		return nil
	}
	f.heartbeatGossipedAt = now
	return f.view.HeartbeatFrame(limit, now)
}

// LocalState returns the heartbeat frame for an push/pull exchange of full states; memberlist's Delegate.
func (f *Fleet) LocalState(bool) []byte { return f.AckPayload() }

// MergeRemoteState takes the heartbeat frame of an push/pull exchange of full states; memberlist's Delegate.
func (f *Fleet) MergeRemoteState(b []byte, _ bool) { f.mergeHeartbeat(b) }

// AckPayload returns the heartbeat frame for the ack of a probe; memberlist's PingDelegate.
func (f *Fleet) AckPayload() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HeartbeatFrame(view.MaxFrameBytes, f.now())
}

// NotifyPingComplete takes the ack of a probe; memberlist's PingDelegate.
func (f *Fleet) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	f.recordAck(other.Name, rtt)
	f.mergeHeartbeat(payload)
}

func (f *Fleet) recordAck(name string, rtt time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rtt.RecordValue(min(max(minRTTMicros, rtt.Microseconds()), maxRTTMicros))
	now := f.now()
	f.recordChanges(f.view.RecordSeen(name, f.self.Name, now, now))
}

// NotifyAlive refuses gateways that can't be members, by an error; memberlist's AliveDelegate.
func (f *Fleet) NotifyAlive(peer *memberlist.Node) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer.Name == f.self.Name {
		return nil
	}
	reason := f.refusalOf(peer)
	if reason == "" {
		return nil
	}
	f.counts.Refused++
	now := f.now()
	if f.conflictLogDue(peer.Name, now) {
		if len(f.conflictLoggedAt) >= maxConflictNames {
			clear(f.conflictLoggedAt)
		}
		f.conflictLoggedAt[peer.Name] = now
		f.queueLog(slog.LevelWarn, "fleet_member_refused", "name", peer.Name, "addr", peer.Address(), "why", string(reason), "speaks", peer.DCur)
	}
	return refusedError{reason}
}

// refusalOf returns why a gateway can't be a member, "" if it can; mu is held.
func (f *Fleet) refusalOf(peer *memberlist.Node) view.Refusal {
	if _, err := parseMetadata(peer.Meta); err != nil || peer.DCur != ProtocolVersion {
		return refusedVersion
	}
	if len(peer.Name) == 0 || len(peer.Name) > maxNameBytes {
		return refusedName
	}
	return f.view.RefusalOf(peer.Name)
}

// conflictLogDue reports whether a refusal or conflict of a name is to be logged: once in conflictLogMicros; mu is held.
func (f *Fleet) conflictLogDue(name string, now int64) bool {
	loggedAt, logged := f.conflictLoggedAt[name]
	return !logged || now-loggedAt > conflictLogMicros
}

// viewID returns the process that a node of the detector is.
func viewID(node *memberlist.Node) view.ID {
	parsed, _ := parseMetadata(node.Meta) // NotifyAlive let no unreadable one in
	// Interned: hundreds of members share the strings of a locality.
	locality := unique.Make(parsed.locality).Value()
	return view.ID{Name: node.Name, Addr: node.Address(), Incarnation: parsed.incarnation, Locality: locality}
}

// NotifyJoin records the detector's report that a gateway is alive; memberlist's EventDelegate.
func (f *Fleet) NotifyJoin(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingDepartures, node.Name)
	f.recordChanges(f.view.Join(viewID(node), node.Name, f.now()))
}

// NotifyUpdate takes the new metadata of a gateway; memberlist's EventDelegate.
func (f *Fleet) NotifyUpdate(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.recordChanges(f.view.Update(viewID(node), now))
	if last, _ := parseMetadata(node.Meta); last.leaving {
		f.recordLeaving(node.Name, last.incarnation, now)
	}
}

// NotifyLeave records the detector's report that a gateway is dead or has left; memberlist's EventDelegate.
func (f *Fleet) NotifyLeave(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, _ := parseMetadata(node.Meta)
	f.recordDeparture(node.Name, last.leaving, f.now())
}

// NotifyConflict takes that a process at another address claims the name of a live member; memberlist's ConflictDelegate.
func (f *Fleet) NotifyConflict(existing, other *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.NameConflicts++
	parsed, err := parseMetadata(other.Meta)
	if err != nil {
		return
	}
	now := f.now()
	if existing.Name == f.self.Name {
		addr := net.JoinHostPort(other.Addr.String(), strconv.Itoa(int(other.Port)))
		f.claimant = claimant{addr: addr, incarnation: parsed.incarnation}
	}
	f.view.RecordNameConflict(existing.Name, other.Address(), now)
	if f.conflictLogDue(existing.Name, now) {
		f.conflictLoggedAt[existing.Name] = now
		f.queueLog(slog.LevelWarn, "fleet_name_conflict", "name", existing.Name, "held_by", existing.Address(), "claimed_by", other.Address())
	}
}

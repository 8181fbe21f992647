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

// Fleet implements memberlist's delegate interfaces.
var (
	_ memberlist.Delegate         = (*Fleet)(nil)
	_ memberlist.EventDelegate    = (*Fleet)(nil)
	_ memberlist.PingDelegate     = (*Fleet)(nil)
	_ memberlist.AliveDelegate    = (*Fleet)(nil)
	_ memberlist.ConflictDelegate = (*Fleet)(nil)
)

// ErrNotLive reports that a gateway is not a live member in this gateway's view.
var ErrNotLive = errors.New("not a live member")

// Reasons for refusing a gateway, in addition to those of package view.
const (
	refusedVersion view.Refusal = "version"
	refusedName    view.Refusal = "name"
)

const (
	maxConflictNames  = 256        // a refusal clears conflictLoggedAt once it holds this many names
	conflictLogMicros = 60_000_000 // shortest interval between two log lines about one name, in microseconds
	minRTTMicros      = 1          // lowest value of the round-trip time histogram, which cannot hold 0
)

// refusedError carries the reason for refusing a gateway. NotifyAlive returns it, and the detector logs it.
type refusedError struct{ reason view.Refusal }

func (e refusedError) Error() string { return "membership refused: " + string(e.reason) }

// NodeMeta implements memberlist.Delegate. It returns the metadata that
// this gateway sends about itself with the detector's messages.
func (f *Fleet) NodeMeta(limit int) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return metadata{f.self.Incarnation, f.leaving, f.self.Locality}.append(nil)
}

// NotifyMsg implements memberlist.Delegate. It handles a datagram from a peer: a heartbeat frame or a leave notice
// that was gossiped, a request to refute a suspicion, or a message that another package sent with Send.
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

// Send sends a datagram to a live member. The datagram may be lost, delayed or duplicated. Its first byte identifies
// the receiving package and must not be view.Kind. The error wraps ErrNotLive if the member is not live or the
// detector does not run; other errors come from the transport.
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

// mergeHeartbeat merges a peer's heartbeat frame into the view. It ignores an empty frame.
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

// GetBroadcasts implements memberlist.Delegate. It returns the messages to send with
// gossip: leave notices and, for a while after a change of the view, a heartbeat
// frame. At other times only acks and exchanges of full states carry heartbeat frames.
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

// gossipedHeartbeat returns a heartbeat frame of at most limit bytes if
// gossip is due to carry one, otherwise nil. The caller must hold mu.
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

// LocalState implements memberlist.Delegate. It returns the heartbeat
// frame for an exchange of full states (push/pull).
func (f *Fleet) LocalState(bool) []byte { return f.AckPayload() }

// MergeRemoteState implements memberlist.Delegate. It merges the heartbeat
// frame that a peer sent in an exchange of full states (push/pull).
func (f *Fleet) MergeRemoteState(b []byte, _ bool) { f.mergeHeartbeat(b) }

// AckPayload implements memberlist.PingDelegate. It returns the heartbeat frame to send with the ack of a probe.
func (f *Fleet) AckPayload() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HeartbeatFrame(view.MaxFrameBytes, f.now())
}

// NotifyPingComplete implements memberlist.PingDelegate. It records the
// ack of a probe and merges the heartbeat frame that came with it.
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

// NotifyAlive implements memberlist.AliveDelegate. It refuses a gateway
// that cannot be a member by returning an error.
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

// refusalOf returns the reason for refusing a gateway as a member, or "" if it is accepted. The caller must hold mu.
func (f *Fleet) refusalOf(peer *memberlist.Node) view.Refusal {
	if _, err := parseMetadata(peer.Meta); err != nil || peer.DCur != ProtocolVersion {
		return refusedVersion
	}
	if len(peer.Name) == 0 || len(peer.Name) > maxNameBytes {
		return refusedName
	}
	return f.view.RefusalOf(peer.Name)
}

// conflictLogDue reports whether to log a refusal or a conflict of a name. Each
// name is logged at most once every conflictLogMicros. The caller must hold mu.
func (f *Fleet) conflictLogDue(name string, now int64) bool {
	loggedAt, logged := f.conflictLoggedAt[name]
	return !logged || now-loggedAt > conflictLogMicros
}

// viewID returns the identity that the view uses for a node of the detector.
func viewID(node *memberlist.Node) view.ID {
	parsed, _ := parseMetadata(node.Meta) // NotifyAlive has refused nodes whose metadata is invalid
	// The locality is interned because hundreds of members share its strings.
	locality := unique.Make(parsed.locality).Value()
	return view.ID{Name: node.Name, Addr: node.Address(), Incarnation: parsed.incarnation, Locality: locality}
}

// NotifyJoin implements memberlist.EventDelegate. It records the detector's report that a gateway is alive.
func (f *Fleet) NotifyJoin(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pendingDepartures, node.Name)
	f.recordChanges(f.view.Join(viewID(node), node.Name, f.now()))
}

// NotifyUpdate implements memberlist.EventDelegate. It records a
// gateway's new metadata, which may announce that the gateway leaves.
func (f *Fleet) NotifyUpdate(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.recordChanges(f.view.Update(viewID(node), now))
	if last, _ := parseMetadata(node.Meta); last.leaving {
		f.recordLeaving(node.Name, last.incarnation, now)
	}
}

// NotifyLeave implements memberlist.EventDelegate. It records the
// detector's report that a gateway is dead or has left.
func (f *Fleet) NotifyLeave(node *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, _ := parseMetadata(node.Meta)
	f.recordDeparture(node.Name, last.leaving, f.now())
}

// NotifyConflict implements memberlist.ConflictDelegate. It records that
// a process at another address claims the name of a live member.
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

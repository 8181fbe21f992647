// What memberlist asks of a member and tells it: its delegates.

package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"
	"unique"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/view"
)

// NodeMeta is memberlist's Delegate.
func (f *Fleet) NodeMeta(limit int) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return metadata{f.self.Incarnation, f.leaving, f.self.Locality}.append(nil)
}

// NotifyMsg takes words that rode on gossip, and what another part of a peer sent to this one's; memberlist's Delegate.
func (f *Fleet) NotifyMsg(b []byte) {
	if len(b) == 1 && b[0] == refuteRequestKind {
		f.mu.Lock()
		f.refuteRequested = true
		f.mu.Unlock()
		return
	}
	if len(b) > 0 && b[0] != view.Kind {
		if f.deps.OnMessage != nil {
			f.deps.OnMessage(b)
		}
		return
	}
	f.mergeHeartbeat(b)
}

// Send brings a datagram to another part of a live member; it may be lost, late or come twice. Its first byte is not that of words.
func (f *Fleet) Send(to string, b []byte) error {
	f.mu.Lock()
	m, ok := f.view.Get(to)
	list := f.sender
	f.mu.Unlock()
	if !ok || !m.State.IsLive() || list == nil {
		return fmt.Errorf("%s is not live here", to)
	}
	return list.SendToAddress(memberlist.Address{Addr: m.Addr, Name: to}, b)
}

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

// GetBroadcasts puts words on gossip while the view is restless; memberlist's Delegate. At rest they ride on acks alone.
func (f *Fleet) GetBroadcasts(overhead, limit int) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if !f.view.ShouldGossip(now, micros(minGossipAfterChange), micros(maxGossipAfterChange)) || now-f.heartbeatAt < micros(heartbeatInterval)/3 || limit <= overhead {
		return nil
	}
	f.heartbeatAt = now
	if b := f.view.HeartbeatFrame(limit-overhead, now); b != nil {
		return [][]byte{b}
	}
	return nil
}

// LocalState is what rides on a whole exchange of states; memberlist's Delegate.
func (f *Fleet) LocalState(bool) []byte { return f.AckPayload() }

// MergeRemoteState takes it; memberlist's Delegate.
func (f *Fleet) MergeRemoteState(b []byte, _ bool) { f.mergeHeartbeat(b) }

// AckPayload is what rides on the answer to a probe; memberlist's PingDelegate.
func (f *Fleet) AckPayload() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.HeartbeatFrame(view.MaxFrameBytes, f.now())
}

// NotifyPingComplete is memberlist's PingDelegate: a probe was answered.
func (f *Fleet) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	f.mu.Lock()
	f.rtt.RecordValue(min(max(1, rtt.Microseconds()), 60_000_000))
	now := f.now()
	f.recordChanges(f.view.RecordSeen(other.Name, f.self.Name, now, now))
	f.mu.Unlock()
	f.mergeHeartbeat(payload)
}

// NotifyAlive refuses gateways that cannot be members; memberlist's AliveDelegate.
func (f *Fleet) NotifyAlive(peer *memberlist.Node) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer.Name == f.self.Name {
		return nil
	}
	why := ""
	if _, err := parseMetadata(peer.Meta); err != nil || peer.DCur != ProtocolVersion {
		why = "version"
	} else if len(peer.Name) == 0 || len(peer.Name) > maxNameBytes {
		why = "name"
	} else {
		why = string(f.view.RefusalOf(peer.Name))
	}
	if why == "" {
		return nil
	}
	f.counts.Refused++
	now := f.now()
	if last, told := f.conflictLoggedAt[peer.Name]; !told || now-last > 60_000_000 {
		if len(f.conflictLoggedAt) >= 256 {
			clear(f.conflictLoggedAt)
		}
		f.conflictLoggedAt[peer.Name] = now
		f.queueLog(slog.LevelWarn, "fleet_refused", "name", peer.Name, "addr", peer.Address(), "why", why, "speaks", peer.DCur)
	}
	return errors.New("refused: " + why)
}

func processOf(n *memberlist.Node) view.ID {
	m, _ := parseMetadata(n.Meta)                                                                                          // NotifyAlive let no other in
	return view.ID{Name: n.Name, Addr: n.Address(), Incarnation: m.incarnation, Locality: unique.Make(m.locality).Value()} // hundreds share a place's strings
}

// NotifyJoin is memberlist's EventDelegate.
func (f *Fleet) NotifyJoin(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordChanges(f.view.Join(processOf(n), n.Name, f.now()))
}

// NotifyUpdate is memberlist's EventDelegate.
func (f *Fleet) NotifyUpdate(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordChanges(f.view.Update(processOf(n), f.now()))
}

// NotifyLeave is memberlist's EventDelegate: a gateway is dead or has left.
func (f *Fleet) NotifyLeave(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := parseMetadata(n.Meta) // the last that it told of itself
	f.recordChanges(f.view.MarkGone(n.Name, m.leaving, f.now()))
}

// NotifyConflict is memberlist's ConflictDelegate: a name is claimed from another address while its holder lives.
func (f *Fleet) NotifyConflict(existing, other *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.NameConflicts++
	m, err := parseMetadata(other.Meta)
	if err != nil {
		return
	}
	now := f.now()
	if existing.Name == f.self.Name {
		f.claimantAddr, f.claimantIncarnation = net.JoinHostPort(other.Addr.String(), fmt.Sprint(other.Port)), m.incarnation
	}
	f.view.RecordNameConflict(existing.Name, other.Address(), now)
	if last, told := f.conflictLoggedAt[existing.Name]; !told || now-last > 60_000_000 {
		f.conflictLoggedAt[existing.Name] = now
		f.queueLog(slog.LevelWarn, "fleet_name_claimed", "name", existing.Name, "held_by", existing.Address(), "claimed_by", other.Address())
	}
}

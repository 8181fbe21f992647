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
	return meta{f.id.Stamp, f.leaving, f.id.Place}.append(nil)
}

// NotifyMsg takes words that rode on gossip, and what another part of a peer sent to this one's; memberlist's Delegate.
func (f *Fleet) NotifyMsg(b []byte) {
	if len(b) == 1 && b[0] == speakUp {
		f.mu.Lock()
		f.wanted = true
		f.mu.Unlock()
		return
	}
	if len(b) > 0 && b[0] != view.Form {
		if f.parts.Take != nil {
			f.parts.Take(b)
		}
		return
	}
	f.words(b)
}

// Send brings a datagram to another part of a live member; it may be lost, late or come twice. Its first byte is not that of words.
func (f *Fleet) Send(to string, b []byte) error {
	f.mu.Lock()
	m, ok := f.view.Get(to)
	list := f.sends
	f.mu.Unlock()
	if !ok || !m.State.Live() || list == nil {
		return fmt.Errorf("%s is not live here", to)
	}
	return list.SendToAddress(memberlist.Address{Addr: m.Addr, Name: to}, b)
}

func (f *Fleet) words(b []byte) {
	if len(b) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changes, err := f.view.Take(b, f.now())
	if err != nil {
		f.counts.BadWords++
		return
	}
	f.took(changes)
}

// GetBroadcasts puts words on gossip while the view is restless; memberlist's Delegate. At rest they ride on acks alone.
func (f *Fleet) GetBroadcasts(overhead, limit int) [][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if !f.view.Restless(now, us(restless), us(mostRestless)) || now-f.spoke < us(wordsEvery)/3 || limit <= overhead {
		return nil
	}
	f.spoke = now
	if b := f.view.Words(limit-overhead, now); b != nil {
		return [][]byte{b}
	}
	return nil
}

// LocalState is what rides on a whole exchange of states; memberlist's Delegate.
func (f *Fleet) LocalState(bool) []byte { return f.AckPayload() }

// MergeRemoteState takes it; memberlist's Delegate.
func (f *Fleet) MergeRemoteState(b []byte, _ bool) { f.words(b) }

// AckPayload is what rides on the answer to a probe; memberlist's PingDelegate.
func (f *Fleet) AckPayload() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view.Words(view.MostWords, f.now())
}

// NotifyPingComplete is memberlist's PingDelegate: a probe was answered.
func (f *Fleet) NotifyPingComplete(other *memberlist.Node, rtt time.Duration, payload []byte) {
	f.mu.Lock()
	f.rtt.RecordValue(min(max(1, rtt.Microseconds()), 60_000_000))
	now := f.now()
	f.took(f.view.Heard(other.Name, f.id.Name, now, now))
	f.mu.Unlock()
	f.words(payload)
}

// NotifyAlive refuses gateways that cannot be members; memberlist's AliveDelegate.
func (f *Fleet) NotifyAlive(peer *memberlist.Node) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer.Name == f.id.Name {
		return nil
	}
	why := ""
	if _, err := readMeta(peer.Meta); err != nil || peer.DCur != Speaks {
		why = "version"
	} else if len(peer.Name) == 0 || len(peer.Name) > mostName {
		why = "name"
	} else {
		why = string(f.view.Admits(peer.Name))
	}
	if why == "" {
		return nil
	}
	f.counts.Refused++
	now := f.now()
	if last, told := f.refused[peer.Name]; !told || now-last > 60_000_000 {
		if len(f.refused) >= 256 {
			clear(f.refused)
		}
		f.refused[peer.Name] = now
		f.say(slog.LevelWarn, "fleet_refused", "name", peer.Name, "addr", peer.Address(), "why", why, "speaks", peer.DCur)
	}
	return errors.New("refused: " + why)
}

func idOf(n *memberlist.Node) view.ID {
	m, _ := readMeta(n.Meta)                                                                             // NotifyAlive let no other in
	return view.ID{Name: n.Name, Addr: n.Address(), Stamp: m.stamp, Place: unique.Make(m.place).Value()} // hundreds share a place's strings
}

// NotifyJoin is memberlist's EventDelegate.
func (f *Fleet) NotifyJoin(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took(f.view.Join(idOf(n), n.Name, f.now()))
}

// NotifyUpdate is memberlist's EventDelegate.
func (f *Fleet) NotifyUpdate(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.took(f.view.Update(idOf(n), f.now()))
}

// NotifyLeave is memberlist's EventDelegate: a gateway is dead or has left.
func (f *Fleet) NotifyLeave(n *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := readMeta(n.Meta) // the last that it told of itself
	f.took(f.view.Gone(n.Name, m.leaving, f.now()))
}

// NotifyConflict is memberlist's ConflictDelegate: a name is claimed from another address while its holder lives.
func (f *Fleet) NotifyConflict(existing, other *memberlist.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Conflicts++
	m, err := readMeta(other.Meta)
	if err != nil {
		return
	}
	now := f.now()
	if existing.Name == f.id.Name {
		f.claimant, f.claimBy = net.JoinHostPort(other.Addr.String(), fmt.Sprint(other.Port)), m.stamp
	}
	f.view.Claimed(existing.Name, other.Address(), now)
	if last, told := f.refused[existing.Name]; !told || now-last > 60_000_000 {
		f.refused[existing.Name] = now
		f.say(slog.LevelWarn, "fleet_name_claimed", "name", existing.Name, "held_by", existing.Address(), "claimed_by", other.Address())
	}
}

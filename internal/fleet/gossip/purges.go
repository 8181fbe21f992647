package gossip

import (
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/purgesync"
)

// RecordPurges records the purges of an event of this gateway's own discovery watch. lastEvent is the number of the
// event.
func (g *Gossiper) RecordPurges(lastEvent int64, purges []purgesync.Purge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purges.RecordOwn(lastEvent, purges, g.now())
}

// handlePurgeFrame merges the purges of a frame. It answers a digest with the purges that the sender lacks. It drops
// and counts a malformed frame, a frame whose sender is not a live peer, and any frame if no purges are exchanged.
func (g *Gossiper) handlePurgeFrame(b []byte, now int64) []message {
	frame, err := purgesync.ParseFrame(b)
	from := g.peerNames[frame.SenderKey]
	if err != nil || from == "" || g.onPurges == nil {
		g.droppedMessages++
		return nil
	}
	g.learnedPurges = append(g.learnedPurges, g.purges.Merge(frame.Purges, now)...)
	if frame.IsDelta {
		return nil
	}
	missing := g.purges.Delta(frame.Digest)
	if len(missing) == 0 {
		return nil
	}
	delta := purgesync.Frame{SenderKey: limits.NameKey(g.self), IsDelta: true, Digest: g.purges.Digest(), Purges: missing}
	return []message{{from, delta.Append(nil)}}
}

// purgeDigests returns the digests that are due to be sent to peers.
func (g *Gossiper) purgeDigests(peers []string, now int64) (messages []message) {
	if g.onPurges == nil {
		return nil
	}
	for _, to := range g.purges.DigestTargets(peers, now) {
		digest := purgesync.Frame{SenderKey: limits.NameKey(g.self), Digest: g.purges.Digest()}
		messages = append(messages, message{to, digest.Append(nil)})
	}
	return messages
}

// applyLearnedPurges logs the purges that arrived from peers before this gateway's own discovery watch delivered them,
// and passes them to onPurges.
func (g *Gossiper) applyLearnedPurges() {
	g.mu.Lock()
	learned := g.learnedPurges
	g.learnedPurges = nil
	g.mu.Unlock()
	for _, purge := range learned {
		g.log.Info("fleet_purge", "no", purge.Event, "object", purge.Object, "group", purge.Group, "issued_ms", purge.Issued)
	}
	if len(learned) > 0 {
		g.onPurges(learned)
	}
}

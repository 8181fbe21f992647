package gossip

import (
	"foldslip/internal/fleet/limits"
	"foldslip/internal/fleet/purgesync"
)

// RecordPurges takes the purges of an event of this gateway's own discovery watch; lastEvent is its number.
func (g *Gossiper) RecordPurges(lastEvent int64, purges []purgesync.Purge) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.purges.RecordOwn(lastEvent, purges, g.now())
}

// handlePurgeFrame merges the purges of a frame and answers a digest with what its sender misses.
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

// purgeDigests returns the digests that are due to peers.
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

// applyLearnedPurges hands on what peers learned earlier than this gateway's own discovery watch.
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

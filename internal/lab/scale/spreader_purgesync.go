package scale

import (
	"math/rand/v2"

	"foldslip/internal/fleet/purgesync"
)

// Times of the old mechanism in microseconds, with the values that fleet/gossip sets.
const (
	purgesyncStepInterval   = 250_000
	purgesyncDigestInterval = 500_000
	purgesyncKeep           = 60_000_000
)

// purgesyncSpreader runs a replica of fleet/purgesync on the simulated network, with the schedule of fleet/gossip: a
// step every 0.25 s, digests to two gateways every 0.5 s, and a delta at once in answer to a digest.
type purgesyncSpreader struct {
	gateway    *gateway
	node       *purgesync.Replica
	nextStepAt int64
	received   uint64
}

func newPurgesyncSpreader(g *gateway, now int64) spreader {
	random := rand.New(rand.NewPCG(g.run.options.Seed, uint64(g.index)<<32|uint64(g.incarnation)))
	return &purgesyncSpreader{gateway: g, node: purgesync.New(purgesync.Settings{DigestInterval: purgesyncDigestInterval, KeepFor: purgesyncKeep}, random, now), nextStepAt: now + random.Int64N(purgesyncStepInterval)}
}

func (s *purgesyncSpreader) publish(last int64, numbers []int64, purges []watchPurge, now int64) {
	for k, p := range purges {
		s.node.RecordOwn(numbers[k], []purgesync.Purge{{Event: numbers[k], Object: p.Object, Group: p.Group, Issued: p.Issued}}, now)
	}
	s.node.RecordOwn(last, nil, now)
}

func (s *purgesyncSpreader) membersChanged(int64) {}

func (s *purgesyncSpreader) receive(from int, b []byte, now int64) (purges []watchPurge) {
	f, err := purgesync.ParseFrame(b)
	if err != nil || !s.gateway.view.has(from) {
		return nil
	}
	s.received += uint64(len(f.Purges))
	for _, p := range s.node.Merge(f.Purges, now) {
		purges = append(purges, watchPurge{p.Object, p.Group, p.Issued})
	}
	if f.IsDelta {
		return purges
	}
	if more := s.node.Delta(f.Digest); len(more) > 0 {
		s.gateway.send(from, purgesync.Frame{SenderKey: uint64(s.gateway.index), IsDelta: true, Digest: s.node.Digest(), Purges: more}.Append(nil))
	}
	return purges
}

func (s *purgesyncSpreader) step(now int64) {
	if now < s.nextStepAt {
		return
	}
	s.nextStepAt += purgesyncStepInterval
	r := s.gateway.run
	live := r.scratch[:0]
	for j, name := range r.names {
		if j != s.gateway.index && s.gateway.view.has(j) {
			live = append(live, name)
		}
	}
	r.scratch = live
	for _, to := range s.node.DigestTargets(live, now) {
		s.gateway.send(r.indexByName[to], purgesync.Frame{SenderKey: uint64(s.gateway.index), Digest: s.node.Digest()}.Append(nil))
	}
}

func (s *purgesyncSpreader) nextStep() int64 { return s.nextStepAt }
func (s *purgesyncSpreader) tally() Tally    { return Tally{BatchesReceived: s.received} }
func (s *purgesyncSpreader) isBehind() bool  { return false }

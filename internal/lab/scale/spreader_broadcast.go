package scale

import (
	"math/rand/v2"

	"foldslip/internal/fleet/broadcast"
)

// broadcastSpreader runs a node of fleet/broadcast on the simulated network.
type broadcastSpreader struct {
	gateway *gateway
	node    *broadcast.Node
}

func newBroadcastSpreader(g *gateway, now int64) spreader {
	r := g.run
	settings := broadcast.DefaultSettings
	if r.options.KeepPurges > 0 {
		settings.KeepFor = r.options.KeepPurges.Microseconds()
	}
	settings.StartUnixMillis = epochMillis - clockStart/1000 + int64(2*(hashUnit(r.options.Seed, uint64(g.index), 4)-0.5)*float64(r.options.ClockSkew.Milliseconds()))
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(g.index)<<32|uint64(g.incarnation)))
	incarnation := mix(r.options.Seed ^ uint64(g.index)<<32 ^ uint64(g.incarnation))
	return &broadcastSpreader{gateway: g, node: broadcast.New(settings, r.member(g.index), incarnation, random, now)}
}

func (s *broadcastSpreader) publish(_ int64, _ []int64, purges []watchPurge, now int64) {
	own := make([]broadcast.Purge, len(purges))
	for k, p := range purges {
		own[k] = broadcast.Purge(p)
	}
	s.node.RecordOwn(own, now)
	s.send()
}

func (s *broadcastSpreader) membersChanged(now int64) {
	s.node.SetMembers(s.gateway.run.members(s.gateway.view), now)
	s.send()
}

func (s *broadcastSpreader) receive(from int, b []byte, now int64) (purges []watchPurge) {
	received, err := s.node.HandleFrame(s.gateway.run.names[from], b, now)
	if err != nil {
		s.gateway.run.result.UnreadableFrames++
	}
	for _, p := range received {
		purges = append(purges, watchPurge(p))
	}
	s.send()
	return purges
}

func (s *broadcastSpreader) step(now int64) {
	s.node.Step(now)
	s.send()
}

// send sends the messages that the node has queued to their gateways.
func (s *broadcastSpreader) send() {
	for _, message := range s.node.TakeMessages() {
		s.gateway.send(s.gateway.run.indexByName[message.To], message.Frame)
	}
}

func (s *broadcastSpreader) nextStep() int64 { return s.node.Next() }
func (s *broadcastSpreader) isBehind() bool  { return s.node.Stats().Behind.Since != 0 }

func (s *broadcastSpreader) tally() Tally {
	a := s.node.Stats()
	return Tally{Batches: a.BatchesSent, Purges: a.PurgesSent, BatchesReceived: a.BatchesReceived, Duplicates: a.DuplicateBatches, Requests: a.RepairRequests, Repairs: a.Repairs, GivenUp: a.GivenUp, Reconciliations: a.ReconcilePasses,
		Unanswered: a.UnfinishedPasses, ReconciledPurges: a.PurgesReceived, Shed: a.Shed, RefusedRequests: a.RefusedRequests, NotBatched: a.NotBatched, NotKept: a.NotKept, Dropped: a.Dropped}
}

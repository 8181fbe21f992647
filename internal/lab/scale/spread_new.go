package scale

import (
	"math/rand/v2"

	"foldslip/internal/fleet/broadcast"
)

// newSpread is fleet/broadcast.
type newSpread struct {
	g    *gateway
	node *broadcast.Node
}

func newNewSpread(g *gateway, now int64) spreader {
	r := g.run
	set := broadcast.DefaultSettings
	if r.o.Keep > 0 {
		set.KeepFor = r.o.Keep.Microseconds()
	}
	set.StartUnixMillis = firstIssued - ground/1000 + int64(2*(part01(r.o.Seed, uint64(g.i), 4)-0.5)*float64(r.o.Skew.Milliseconds()))
	chance := rand.New(rand.NewPCG(r.o.Seed, uint64(g.i)<<32|uint64(g.life)))
	stamp := mix(r.o.Seed ^ uint64(g.i)<<32 ^ uint64(g.life))
	return &newSpread{g: g, node: broadcast.New(set, r.member(g.i), stamp, chance, now)}
}

func (s *newSpread) own(_ int64, _ []int64, purges []told, now int64) {
	own := make([]broadcast.Purge, len(purges))
	for k, p := range purges {
		own[k] = broadcast.Purge(p)
	}
	s.node.RecordOwn(own, now)
	s.send()
}

func (s *newSpread) see(now int64) {
	s.node.SetMembers(s.g.run.members(s.g.view), now)
	s.send()
}

func (s *newSpread) take(from int, b []byte, now int64) (heed []told) {
	got, err := s.node.HandleFrame(s.g.run.names[from], b, now)
	if err != nil {
		s.g.run.r.Unread++
	}
	for _, p := range got {
		heed = append(heed, told(p))
	}
	s.send()
	return heed
}

func (s *newSpread) step(now int64) {
	s.node.Step(now)
	s.send()
}

func (s *newSpread) send() {
	for _, l := range s.node.TakeMessages() {
		s.g.send(s.g.run.at[l.To], l.Frame)
	}
}

func (s *newSpread) next() int64  { return s.node.Next() }
func (s *newSpread) behind() bool { return s.node.Stats().Behind.Since != 0 }

func (s *newSpread) counts() Tally {
	a := s.node.Stats()
	return Tally{Batches: a.BatchesSent, Said: a.PurgesSent, Copies: a.BatchesReceived, Again: a.DuplicateBatches, Wants: a.RepairRequests, Repairs: a.Repairs, GivenUp: a.GivenUp, Passes: a.ReconcilePasses,
		Unanswered: a.UnfinishedPasses, Items: a.PurgesReceived, Shed: a.Shed, Refused: a.RefusedRequests, Unsaid: a.NotBatched, Unkept: a.NotKept, Dropped: a.Dropped}
}

package scale

import (
	"math/rand/v2"

	"foldslip/internal/fleet/purgesync"
)

// watchPurge is a purge as a discovery watch tells it.
type watchPurge struct {
	Object string // 16 hex digits; "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// spreader is a mechanism that spreads purges, one gateway's; times are in microseconds of the gateway's clock.
type spreader interface {
	// own takes what the own watch told: its last number, and purges with their numbers (rising, from 1 at the gateway's start).
	publish(last int64, numbers []int64, purges []watchPurge, now int64)
	// see takes the list of live gateways after it changed.
	membersChanged(now int64)
	// take takes a datagram of another gateway and gives what it brought that was not known.
	receive(from int, b []byte, now int64) []watchPurge
	// step does what is due.
	step(now int64)
	// next is when step wants to be called.
	nextStep() int64
	// counts are since the start; behind is whether the gateway knows that it lacks some.
	tally() Tally
	isBehind() bool
}

// Tally counts what a mechanism did, of all gateways and their starts. Of the old one there are Said, Purges in and Copies alone.
type Tally struct {
	Batches          uint64 `json:"batches"`    // of purges, said first
	Purges           uint64 `json:"said"`       // purges in them: more than there were where several gateways said one
	BatchesReceived  uint64 `json:"copies"`     // batches that came; old: purges that came
	Duplicates       uint64 `json:"again"`      // of them those that had come before
	Requests         uint64 `json:"wants"`      // frames that asked for batches
	Repairs          uint64 `json:"repairs"`    // batches sent again
	GivenUp          uint64 `json:"given_up"`   // batches left to reconciliation
	Reconciliations  uint64 `json:"passes"`     // of reconciliation
	Unanswered       uint64 `json:"unanswered"` // of them, not answered to the end
	ReconciledPurges uint64 `json:"items"`      // purges that reconciliation brought
	Shed             uint64 `json:"shed"`       // copies not sent on, out of the rate
	RefusedQuestions uint64 `json:"refused"`    // questions not answered, out of the rate
	Unannounced      uint64 `json:"unsaid"`     // purges of a watch left to reconciliation
	OutsideWindow    uint64 `json:"unkept"`     // purges too old or too new to keep
	Dropped          uint64 `json:"dropped"`    // kept ones that went for want of room
}

func (t *Tally) add(o Tally) {
	t.Batches += o.Batches
	t.Purges += o.Purges
	t.BatchesReceived += o.BatchesReceived
	t.Duplicates += o.Duplicates
	t.Requests += o.Requests
	t.Repairs += o.Repairs
	t.GivenUp += o.GivenUp
	t.Reconciliations += o.Reconciliations
	t.Unanswered += o.Unanswered
	t.ReconciledPurges += o.ReconciledPurges
	t.Shed += o.Shed
	t.RefusedQuestions += o.RefusedQuestions
	t.Unannounced += o.Unannounced
	t.OutsideWindow += o.OutsideWindow
	t.Dropped += o.Dropped
}

// The old mechanism's times, as fleet/post sets them (read there: they are not changed by runs).
const (
	purgesyncTurn           = 250_000
	purgesyncDigestInterval = 500_000
	purgesyncKeep           = 60_000_000
)

// purgesyncSpreader is fleet/verdict as fleet/post carries it: a turn each 0.25 s, hellos to two gateways each 0.5 s, answers at once.
type purgesyncSpreader struct {
	gateway  *gateway
	node     *purgesync.Replica
	nextTurn int64
	received uint64
}

func newPurgesyncSpreader(g *gateway, now int64) spreader {
	chance := rand.New(rand.NewPCG(g.run.options.Seed, uint64(g.index)<<32|uint64(g.incarnation)))
	return &purgesyncSpreader{gateway: g, node: purgesync.New(purgesync.Settings{DigestInterval: purgesyncDigestInterval, KeepFor: purgesyncKeep}, chance, now), nextTurn: now + chance.Int64N(purgesyncTurn)}
}

func (s *purgesyncSpreader) publish(last int64, numbers []int64, purges []watchPurge, now int64) {
	for k, p := range purges {
		s.node.RecordOwn(numbers[k], []purgesync.Purge{{Event: numbers[k], Object: p.Object, Group: p.Group, Issued: p.Issued}}, now)
	}
	s.node.RecordOwn(last, nil, now)
}

func (s *purgesyncSpreader) membersChanged(int64) {}

func (s *purgesyncSpreader) receive(from int, b []byte, now int64) (heed []watchPurge) {
	f, err := purgesync.ParseFrame(b)
	if err != nil || !s.gateway.view.has(from) {
		return nil
	}
	s.received += uint64(len(f.Purges))
	for _, p := range s.node.Merge(f.Purges, now) {
		heed = append(heed, watchPurge{p.Object, p.Group, p.Issued})
	}
	if f.IsDelta {
		return heed
	}
	if more := s.node.Delta(f.Digest); len(more) > 0 {
		s.gateway.send(from, purgesync.Frame{SenderKey: uint64(s.gateway.index), IsDelta: true, Digest: s.node.Digest(), Purges: more}.Append(nil))
	}
	return heed
}

func (s *purgesyncSpreader) step(now int64) {
	if now < s.nextTurn {
		return
	}
	s.nextTurn += purgesyncTurn
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

func (s *purgesyncSpreader) nextStep() int64 { return s.nextTurn }
func (s *purgesyncSpreader) tally() Tally    { return Tally{BatchesReceived: s.received} }
func (s *purgesyncSpreader) isBehind() bool  { return false }

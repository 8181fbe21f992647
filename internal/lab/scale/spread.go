package scale

import (
	"math/rand/v2"

	"foldslip/internal/fleet/purgesync"
)

// told is a purge as a discovery watch tells it.
type told struct {
	Object string // 16 hex digits; "": of a group
	Group  int64
	Issued int64 // Unix milliseconds
}

// spreader is a mechanism that spreads purges, one gateway's; times are in microseconds of the gateway's clock.
type spreader interface {
	// own takes what the own watch told: its last number, and purges with their numbers (rising, from 1 at the gateway's start).
	own(last int64, numbers []int64, purges []told, now int64)
	// see takes the list of live gateways after it changed.
	see(now int64)
	// take takes a datagram of another gateway and gives what it brought that was not known.
	take(from int, b []byte, now int64) []told
	// step does what is due.
	step(now int64)
	// next is when step wants to be called.
	next() int64
	// counts are since the start; behind is whether the gateway knows that it lacks some.
	counts() Tally
	behind() bool
}

// Tally counts what a mechanism did, of all gateways and their starts. Of the old one there are Said, Purges in and Copies alone.
type Tally struct {
	Batches    uint64 `json:"batches"`    // of purges, said first
	Said       uint64 `json:"said"`       // purges in them: more than there were where several gateways said one
	Copies     uint64 `json:"copies"`     // batches that came; old: purges that came
	Again      uint64 `json:"again"`      // of them those that had come before
	Wants      uint64 `json:"wants"`      // frames that asked for batches
	Repairs    uint64 `json:"repairs"`    // batches sent again
	GivenUp    uint64 `json:"given_up"`   // batches left to reconciliation
	Passes     uint64 `json:"passes"`     // of reconciliation
	Unanswered uint64 `json:"unanswered"` // of them, not answered to the end
	Items      uint64 `json:"items"`      // purges that reconciliation brought
	Shed       uint64 `json:"shed"`       // copies not sent on, out of the rate
	Refused    uint64 `json:"refused"`    // questions not answered, out of the rate
	Unsaid     uint64 `json:"unsaid"`     // purges of a watch left to reconciliation
	Unkept     uint64 `json:"unkept"`     // purges too old or too new to keep
	Dropped    uint64 `json:"dropped"`    // kept ones that went for want of room
}

func (t *Tally) add(o Tally) {
	t.Batches += o.Batches
	t.Said += o.Said
	t.Copies += o.Copies
	t.Again += o.Again
	t.Wants += o.Wants
	t.Repairs += o.Repairs
	t.GivenUp += o.GivenUp
	t.Passes += o.Passes
	t.Unanswered += o.Unanswered
	t.Items += o.Items
	t.Shed += o.Shed
	t.Refused += o.Refused
	t.Unsaid += o.Unsaid
	t.Unkept += o.Unkept
	t.Dropped += o.Dropped
}

// The old mechanism's times, as fleet/post sets them (read there: they are not changed by runs).
const (
	oldTurn  = 250_000
	oldHello = 500_000
	oldKeep  = 60_000_000
)

// oldSpread is fleet/verdict as fleet/post carries it: a turn each 0.25 s, hellos to two gateways each 0.5 s, answers at once.
type oldSpread struct {
	g    *gateway
	book *purgesync.Replica
	due  int64
	came uint64
}

func newOldSpread(g *gateway, now int64) spreader {
	chance := rand.New(rand.NewPCG(g.run.o.Seed, uint64(g.i)<<32|uint64(g.life)))
	return &oldSpread{g: g, book: purgesync.New(purgesync.Settings{DigestInterval: oldHello, KeepFor: oldKeep}, chance, now), due: now + chance.Int64N(oldTurn)}
}

func (s *oldSpread) own(last int64, numbers []int64, purges []told, now int64) {
	for k, p := range purges {
		s.book.RecordOwn(numbers[k], []purgesync.Purge{{Event: numbers[k], Object: p.Object, Group: p.Group, Issued: p.Issued}}, now)
	}
	s.book.RecordOwn(last, nil, now)
}

func (s *oldSpread) see(int64) {}

func (s *oldSpread) take(from int, b []byte, now int64) (heed []told) {
	f, err := purgesync.ParseFrame(b)
	if err != nil || !s.g.view.has(from) {
		return nil
	}
	s.came += uint64(len(f.Purges))
	for _, p := range s.book.Merge(f.Purges, now) {
		heed = append(heed, told{p.Object, p.Group, p.Issued})
	}
	if f.IsDelta {
		return heed
	}
	if more := s.book.Delta(f.Digest); len(more) > 0 {
		s.g.send(from, purgesync.Frame{SenderKey: uint64(s.g.i), IsDelta: true, Digest: s.book.Digest(), Purges: more}.Append(nil))
	}
	return heed
}

func (s *oldSpread) step(now int64) {
	if now < s.due {
		return
	}
	s.due += oldTurn
	r := s.g.run
	live := r.scratch[:0]
	for j, name := range r.names {
		if j != s.g.i && s.g.view.has(j) {
			live = append(live, name)
		}
	}
	r.scratch = live
	for _, to := range s.book.DigestTargets(live, now) {
		s.g.send(r.at[to], purgesync.Frame{SenderKey: uint64(s.g.i), Digest: s.book.Digest()}.Append(nil))
	}
}

func (s *oldSpread) next() int64   { return s.due }
func (s *oldSpread) counts() Tally { return Tally{Copies: s.came} }
func (s *oldSpread) behind() bool  { return false }

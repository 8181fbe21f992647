package broadcast

import "slices"

// Reconciliation brings what no batch brought: after a cut, a start, or a loss that repair gave up. Every few seconds a gateway tells one
// peer one sum of all that it keeps; where the peer's differs, it answers with the sums of minutes, and the gateway asks on: the seconds of
// a minute that differs, the purges of a second but those it has, newest first. Only who asks receives, so it is the one that spends its
// rate; who is asked answers as long as its own has room.
const (
	settle      = 5         // seconds of issue time that may still be under way
	quiet       = 300       // seconds that the span goes on in a silence; with Keep less than mostSums minutes
	margin      = 120       // seconds above the horizon that sums begin
	mostOpen    = 4         // requests without their answer
	answerWait  = 1_500_000 // then it is asked anew, and then the peer is given up
	mostAsks    = 2
	soon        = 300_000 // after a pass that brought something
	mostTodo    = 8192    // requests of a session
	mostAsked   = 16384   // of a session: a peer that never has enough of it is left
	askedItems  = 90      // purges a pull asks for, as far as sums tell
	listed      = 150     // own ids a pull lists
	mostSplit   = 12      // bits
	reserve     = 1200    // bytes of the rate that a request needs
	servesBelow = -2000   // debt at which no sums are answered any more
)

// request is an ask (a minute) or a pull (a second).
type request struct {
	minute bool
	of     pull
	due    int64
	tries  int
}

type session struct {
	peer   string
	last   int64 // time of the last answer, or of the start
	opened bool  // the first answer came
	todo   []request
	open   []request
	got    int
	asked  int
}

// horizon is the second before which purges are too old. The newest issue that was heard tells the time, or the own clock if that is
// earlier: a fast clock forgets nothing too early, a slow one keeps more.
func (n *Node) horizon(now int64) int64 {
	return max(0, (n.reference(now)-n.set.Keep/1000)/1000)
}

// reference is what is taken for now, in Unix milliseconds.
func (n *Node) reference(now int64) int64 {
	if n.set.Unix == 0 {
		return n.kept.newest
	}
	return min(n.kept.newest, n.set.Unix+now/1000)
}

// future is the issue in Unix milliseconds after which purges are not kept here, so not asked for either: a gateway whose clock is a day
// slow would ask for the same ones at each pass.
func (n *Node) future(now int64) int64 {
	if n.set.Unix == 0 {
		return mostIssued
	}
	return n.set.Unix + now/1000 + ahead
}

func ceilMinute(sec int64) int64 { return (sec + minute - 1) / minute * minute }

// compared is the span that sums are told of: up to what may still be under way. Where no newer purge comes, it goes on with time, for
// the last ones before a silence, which nothing that follows would show to be missing.
func (n *Node) compared(now int64) span {
	s := span{from: ceilMinute(n.horizon(now)) + margin}
	s.to = max(s.from, n.kept.newest/1000-settle+min(quiet, (now-n.newestAt)/1_000_000))
	return s
}

func (n *Node) stepReconcile(now int64) {
	if s := n.session; s != nil {
		for i := range s.open {
			if r := &s.open[i]; now >= r.due {
				if r.tries++; r.tries >= mostAsks {
					n.endSession(false, now)
					return
				}
				s.todo, s.open = append(s.todo, *r), slices.Delete(s.open, i, i+1)
				break
			}
		}
		if !s.opened && now-s.last >= answerWait {
			n.endSession(false, now)
			return
		}
		n.ask(now)
		return
	}
	if now < n.reconcileAt {
		return
	}
	peer := n.anyone(false)
	n.reconcileAt = now + n.set.Reconcile/2 + n.chance.Int64N(n.set.Reconcile)
	if peer == "" || n.credit(now) < reserve {
		return
	}
	n.session = &session{peer: peer, last: now}
	s := n.compared(now)
	n.stats.Passes++
	n.send(peer, writeSum(s, n.kept.of(s)), now)
}

// endSession ends a pass; whole: all that the peer had is here now.
func (n *Node) endSession(whole bool, now int64) {
	s := n.session
	n.session = nil
	if whole {
		n.doubt = 0
		n.differ = 0
	} else {
		n.stats.Unanswered++
	}
	if s.got > 0 || !whole && s.opened {
		n.reconcileAt = now + soon + n.chance.Int64N(soon)
	}
}

// ask sends requests as long as the rate has room for their answers.
func (n *Node) ask(now int64) {
	s := n.session
	if s.asked >= mostAsked {
		n.endSession(false, now)
		return
	}
	for len(s.open) < mostOpen && len(s.todo) > 0 && n.credit(now) >= int64(reserve*(1+len(s.open))) {
		r := s.todo[len(s.todo)-1]
		s.todo = s.todo[:len(s.todo)-1]
		r.due = now + answerWait
		s.asked++
		s.open = append(s.open, r)
		if r.minute {
			n.send(s.peer, writeAsk(r.of.second), now)
			continue
		}
		r.of.ids = nil
		for _, it := range n.kept.within(r.of.second, r.of.bits, r.of.prefix) {
			if len(r.of.ids) < mostIDs {
				r.of.ids = append(r.of.ids, uint32(it.id))
			}
		}
		n.send(s.peer, writePull(r.of), now)
	}
	n.differ = 0
	for _, r := range append(slices.Clip(s.todo), s.open...) {
		if r.minute {
			n.differ += minute
		} else {
			n.differ++
		}
	}
	if len(s.open) == 0 && len(s.todo) == 0 && s.opened {
		n.endSession(true, now)
	}
}

// takeSum answers the sum of a span with the sums of minutes; with none where it is the own one too.
func (n *Node) takeSum(from string, s span, of sum, now int64) {
	if n.credit(now) < servesBelow {
		n.stats.Refused++
		return
	}
	own := n.compared(now)
	if s.from >= n.horizon(now) && s.to >= s.from && own.to <= s.to+minute && n.kept.of(s) == of {
		n.send(from, writeSums(sums{from: s.from / minute * minute, step: minute}), now)
		return
	}
	first := max(s.from/minute*minute, ceilMinute(n.horizon(now)), ceilMinute(own.to)-mostSums*minute)
	answer := sums{from: first, step: minute}
	for sec := first; sec < own.to; sec += minute {
		answer.of = append(answer.of, n.kept.minutes[sec/minute])
	}
	n.send(from, trimSums(answer), now)
}

// trimSums leaves out the oldest until it fits a frame.
func trimSums(s sums) []byte {
	for {
		if b := writeSums(s); len(b) <= mostFrame {
			return b
		}
		s.from, s.of = s.from+s.step, s.of[1:]
	}
}

func (n *Node) takeAsk(from string, first int64, now int64) {
	if n.credit(now) < servesBelow {
		n.stats.Refused++
		return
	}
	answer := sums{from: first, step: 1}
	last := n.compared(now).to
	for sec := first; sec < min(first+minute, last); sec++ {
		answer.of = append(answer.of, n.kept.ofSecond(sec))
	}
	n.send(from, trimSums(answer), now)
}

func (n *Node) takeSums(from string, its sums, now int64) {
	s := n.session
	if s == nil || s.peer != from {
		return
	}
	if its.step == minute {
		if s.opened {
			return
		}
		s.opened = true
		horizon, future := n.horizon(now), n.future(now)
		for i, of := range its.of { // the newest is asked first: it is the last
			if sec := its.from + int64(i)*minute; of.count > 0 && sec >= horizon && sec*1000 <= future && n.kept.minutes[sec/minute] != of {
				s.todo = append(s.todo, request{minute: true, of: pull{second: sec}})
			}
		}
		s.last = now
		n.ask(now)
		return
	}
	// A trimmed answer begins later in its minute.
	i := slices.IndexFunc(s.open, func(r request) bool { return r.minute && r.of.second == its.from/minute*minute })
	if i < 0 {
		return
	}
	s.open, s.last = slices.Delete(s.open, i, i+1), now
	for i, of := range its.of {
		sec := its.from + int64(i)
		own := n.kept.ofSecond(sec)
		if own == of || of.count == 0 || sec*1000 > n.future(now) {
			continue
		}
		split := 0
		for split < mostSplit && (own.count>>split > listed || (max(of.count, own.count)-own.count)>>split > askedItems) {
			split++
		}
		for prefix := range uint32(1) << split {
			if len(s.todo) < mostTodo {
				s.todo = append(s.todo, request{of: pull{second: sec, bits: uint8(split), prefix: prefix}})
			}
		}
	}
	n.ask(now)
}

func (n *Node) takePull(from string, p pull, now int64) {
	if n.credit(now) < 0 {
		n.stats.Refused++
		return
	}
	known := map[uint32]bool{}
	for _, id := range p.ids {
		known[id] = true
	}
	var give []Purge
	whole := true
	for _, it := range n.kept.within(p.second, p.bits, p.prefix) {
		if known[uint32(it.id)] {
			continue
		}
		one := n.kept.purge(p.second, &it)
		if len(one.Object) > mostName {
			continue
		}
		if give = append(give, one); len(give) > mostPurges {
			whole = false
			break
		}
	}
	byIssue(give)
	frame, sent := writeItems(p, true, give)
	if !whole || sent < len(give) {
		frame, sent = writeItems(p, false, give)
	}
	n.stats.ItemsOut += uint64(sent)
	n.send(from, frame, now)
}

func (n *Node) takeItems(from string, of pull, whole bool, purges []Purge, now int64) (heed []Purge) {
	s := n.session
	if s == nil || s.peer != from {
		return nil
	}
	i := slices.IndexFunc(s.open, func(r request) bool {
		return !r.minute && r.of.second == of.second && r.of.bits == of.bits && r.of.prefix == of.prefix
	})
	if i < 0 {
		return nil
	}
	s.open, s.last = slices.Delete(s.open, i, i+1), now
	horizon := n.horizon(now)
	for _, p := range purges {
		if p.Issued/1000 == of.second && of.second >= horizon && n.keep(p, now) == fresh {
			delete(n.waiting, p)
			heed = append(heed, p)
		}
	}
	s.got += len(heed)
	n.stats.ItemsIn += uint64(len(heed))
	if !whole && of.bits < mostPrefix && len(s.todo) < mostTodo-1 {
		for half := range uint32(2) {
			s.todo = append(s.todo, request{of: pull{second: of.second, bits: of.bits + 1, prefix: of.prefix<<1 | half}})
		}
	}
	n.ask(now)
	return heed
}

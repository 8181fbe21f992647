package broadcast

import (
	"maps"
	"slices"
)

// Repair of batches. A gap in an origin's sequence is asked of the one it was seen from; haves tell of batches to those that no gap tells
// (the last before a rest, a subtree whose parent died). What was repaired goes along the tree as new.
const (
	window      = 24 // sequences after the contiguous ones, some 5 s of them; more are left to reconciliation
	jump        = 1024
	history     = 24         // batches before the first that is heard of are asked for: some 5 s
	mostOrigins = 4096       // followed; the idlest goes
	mostWanted  = 256        // batches asked for
	mostBatches = 512        // kept for repair, 1,100 bytes each at most
	mostTries   = 6          // then reconciliation has it
	mostPush    = 4          // batches pushed on one have
	batchLife   = 30_000_000 // a batch is kept for repair
	originLife  = 30_000_000 // an origin is followed after its last batch
	originRest  = 15_000_000 // after it an origin begins anew: nobody is to ask for batches that nobody keeps
	originTold  = 5_000_000  // and told in haves
	gapWait     = 60_000     // before a gap is asked: what was sent later may come earlier
	gapSpread   = 40_000
	crossing    = 200_000 // a want that comes so soon after the batch was sent crossed it
	pushWait    = 400_000 // what a child lacks so long after it was sent it is sent again
	repairDebt  = 2       // seconds of the rate: after reconciliation has stopped, and before batches are sent on no more
)

// againWait is how long a want waits for its batch: at first twice the longest way there and back, then more. With 5% lost one try in ten
// fails.
var againWait = [mostTries]int64{400_000, 400_000, 600_000, 800_000, 1_200_000, 2_000_000}

const againSpread = 100_000

// newsWait is before what a have told is asked for: heads of a subtree first, so that the others get it along the tree.
var newsWait = [...]struct{ wait, spread int64 }{root: {150_000, 50_000}, regionHead: {200_000, 100_000}, zoneHead: {250_000, 100_000},
	siteHead: {350_000, 150_000}, other: {500_000, 300_000}}

// origin is what is had of one gateway's batches.
type origin struct {
	top   uint64 // all up to it were had, or given up
	after uint64 // bit i: top+1+i was had
	known uint64 // the highest heard of
	news  int64  // time of the last
}

func (o *origin) had(seq uint64) bool {
	return seq <= o.top || seq <= o.top+window && o.after>>(seq-o.top-1)&1 == 1
}

// slide moves over what was had; gone are those passed over.
func (o *origin) slide(least uint64) (gone int) {
	for o.top < least || o.after&1 == 1 {
		if o.after&1 == 0 {
			gone++
		}
		o.top, o.after = o.top+1, o.after>>1
	}
	return gone
}

// mark notes one as had; gone are older ones that fell out of the window.
func (o *origin) mark(seq uint64) (gone int) {
	o.known = max(o.known, seq)
	if o.had(seq) {
		return 0
	}
	if seq > o.top+window {
		gone = o.slide(seq - window)
	}
	if seq > o.top {
		o.after |= 1 << (seq - o.top - 1)
	}
	return gone + o.slide(0)
}

// newsBeside is for news of a neighbour in the tree: longer than a batch that is on its way may take.
var newsBeside = struct{ wait, spread int64 }{150_000, 100_000}

type stored struct {
	frame []byte
	from  string // "": of this gateway
	at    int64  // had, and sent on
}

type wanted struct {
	id    batchID
	peer  string
	since int64
	due   int64
	tries int
}

// follow gives the state of an origin; a new one is followed from before a sequence on.
func (n *Node) follow(id uint64, seq uint64, now int64) *origin {
	o := n.origins[id]
	if o == nil {
		o = &origin{top: seq - min(seq, history)}
		if len(n.origins) >= mostOrigins {
			n.dropOrigin(n.idlest())
		}
		o.news = now
		n.origins[id] = o
	}
	return o
}

func (n *Node) idlest() (id uint64) {
	least := int64(1<<63 - 1)
	for other, o := range n.origins {
		if o.news < least || o.news == least && other < id {
			least, id = o.news, other
		}
	}
	return id
}

func (n *Node) dropOrigin(id uint64) {
	delete(n.origins, id)
	n.wants = slices.DeleteFunc(n.wants, func(w wanted) bool { return w.id.origin == id })
}

// mark notes a batch as had and asks for gaps before it.
func (n *Node) mark(id batchID, from string, now int64) (fresh bool) {
	o := n.follow(id.origin, id.seq, now)
	if o.had(id.seq) || id.seq > o.known+jump && o.known > 0 {
		return false
	}
	o.news = now
	n.lost(o.mark(id.seq), now)
	n.wants = slices.DeleteFunc(n.wants, func(w wanted) bool {
		return w.id == id || w.id.origin == id.origin && w.id.seq <= o.top
	})
	due := now + gapWait + n.chance.Int64N(gapSpread) // all in one frame
	for seq := o.top + 1; seq < id.seq; seq++ {
		if !o.had(seq) {
			n.want(batchID{id.origin, seq}, from, false, due, now)
		}
	}
	return true
}

// lost counts batches that reconciliation must bring.
func (n *Node) lost(batches int, now int64) {
	if batches > 0 {
		n.stats.GivenUp += uint64(batches)
		if n.doubt == 0 {
			n.doubt = now
		}
	}
}

// want asks for a batch later; a peer that says it has one wanted already is the next to be asked.
func (n *Node) want(id batchID, peer string, says bool, due, now int64) {
	i := slices.IndexFunc(n.wants, func(w wanted) bool { return w.id == id })
	if i < 0 && len(n.wants) < mostWanted {
		n.wants = append(n.wants, wanted{id: id, peer: peer, since: now, due: due})
	} else if i >= 0 && says && n.wants[i].tries > 0 {
		n.wants[i].peer = peer
	}
}

func (n *Node) stepWants(now int64) {
	ask := map[string][]batchID{}
	var order []string
	n.wants = slices.DeleteFunc(n.wants, func(w wanted) bool {
		if w.due > now || w.tries < mostTries {
			return false
		}
		if o := n.origins[w.id.origin]; o != nil { // the older ones of the origin are as hopeless
			n.lost(o.slide(w.id.seq), now)
		}
		return true
	})
	n.wants = slices.DeleteFunc(n.wants, func(w wanted) bool {
		o := n.origins[w.id.origin]
		return o == nil || o.had(w.id.seq)
	})
	others := [2]string{n.anyone(false), n.anyone(true)} // all that is asked again goes to one, in one frame
	spread := n.chance.Int64N(againSpread)
	for i := range n.wants {
		w := &n.wants[i]
		if w.due > now {
			continue
		}
		if w.peer == "" {
			w.peer = others[w.tries%2]
		}
		if ids := ask[w.peer]; len(ids) < mostWants && w.peer != "" {
			if ids == nil {
				order = append(order, w.peer)
			}
			ask[w.peer] = append(ids, w.id)
		}
		w.due = now + againWait[w.tries] + spread
		w.tries++
		w.peer = ""
	}
	for _, peer := range order {
		n.stats.Wants++
		n.send(peer, writeWant(ask[peer]), now)
	}
}

func (n *Node) takeWants(from string, ids []batchID, now int64) {
	for _, id := range ids {
		if s := n.log[id]; s != nil {
			if from != s.from && n.beside(from) && now-s.at < crossing {
				continue
			}
			n.repair(from, s, now)
		}
	}
}

// repair sends a batch again, if the debt is not too deep.
func (n *Node) repair(to string, s *stored, now int64) {
	if n.credit(now) < -repairDebt*n.set.Rate {
		n.stats.Refused++
		return
	}
	n.stats.Repairs++
	n.send(to, s.frame, now)
}

// stepHave tells the neighbours in the tree, and in turn one of the site and any one, what is had.
func (n *Node) stepHave(now int64) {
	all := make([]have, 0, mostHaves)
	for _, id := range sortedKeys(n.origins) {
		if o := n.origins[id]; now-o.news <= originTold && len(all) < mostHaves {
			all = append(all, have{id, o.top, o.after})
		}
	}
	n.turn++
	frame := writeHave(all)
	n.graft(now)
	for _, to := range n.neighbours() { // also with nothing to tell: it is a sign of life
		if to == n.tree.parent || n.turn%2 == 0 { // the others have more of them, and batches are signs too
			n.send(to, frame, now)
		}
	}
	if other := n.anyone(n.turn%4 < 2); other != "" && !n.beside(other) && len(all) > 0 {
		n.send(other, frame, now)
	}
}

func (n *Node) takeHaves(from string, all []have, now int64) {
	beside := n.beside(from)
	wait := newsWait[n.tree.tier]
	if beside {
		wait = newsBeside
	}
	due := now + wait.wait + n.chance.Int64N(wait.spread)
	for _, h := range all {
		its := origin{top: h.top, after: h.after}
		top := h.top
		for i := range uint64(window) {
			if h.after>>i&1 == 1 {
				top = h.top + 1 + i
			}
		}
		if top == 0 || top > mostSeq {
			continue
		}
		if h.origin == n.me && n.origins[n.me] == nil {
			continue
		}
		o := n.follow(h.origin, top, now)
		if h.origin != n.me && (o.known == 0 || top <= o.known+jump) {
			if top > o.known {
				o.known, o.news = top, now
			}
			if top > o.top+window { // so far behind: the newest of them
				n.lost(o.slide(top-window), now)
			}
			for seq := o.top + 1; seq <= top; seq++ {
				if !o.had(seq) && its.had(seq) {
					n.want(batchID{h.origin, seq}, from, true, due, now)
				}
			}
		}
		if !beside {
			continue
		}
		pushed := 0
		for seq := max(h.top+1, o.known-min(o.known, window)); seq <= min(o.known, h.top+window) && pushed < mostPush; seq++ {
			if s := n.log[batchID{h.origin, seq}]; s != nil && !its.had(seq) && now-s.at >= pushWait {
				n.repair(from, s, now)
				pushed++
			}
		}
	}
}

// store keeps a batch for repair.
func (n *Node) store(id batchID, frame []byte, from string, now int64) {
	if n.log[id] != nil {
		return
	}
	n.log[id] = &stored{frame, from, now}
	n.logged = append(n.logged, id)
	if len(n.logged) > mostBatches {
		n.unstore()
	}
}

func (n *Node) unstore() {
	delete(n.log, n.logged[0])
	n.logged[0] = batchID{}
	n.logged = n.logged[1:]
}

// sweep ends what is over.
func (n *Node) sweep(now int64) {
	for len(n.logged) > 0 && now-n.log[n.logged[0]].at > batchLife {
		n.unstore()
	}
	for _, id := range sortedKeys(n.origins) {
		if o := n.origins[id]; now-o.news > originLife && id != n.me {
			n.dropOrigin(id)
		}
	}
	n.kept.expire(n.horizon(now))
}

func sortedKeys(m map[uint64]*origin) []uint64 { return slices.Sorted(maps.Keys(m)) }

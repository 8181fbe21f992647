package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// extprocCaller is a stand-in for another proxy beside a gateway: it asks the gateway's external processor about each
// lookup, makes the request to the cache that it is answered, and reports the outcome. It is written from the contract
// in docs/external-processor.md only. Plans draw its faults.
type extprocCaller struct {
	scenario   *Scenario
	gateway    *gatewayActor
	host       *simenv.Host
	streams    map[*callerStream]bool
	generation int // it has been restarted so often
	// one in so many, 0 none:
	cancelOneIn, silentOneIn, duplicateOneIn, misreportOneIn, delayOneIn, malformedOneIn, lateRetryOneIn, stallOneIn int
	malformedCount                                                                                                   uint64
}

// callerStream is one lookup at a proxy.
type callerStream struct {
	caller        *extprocCaller
	generation    int
	lookup        *lookup
	end           *simenv.End
	written       []byte // written by the gateway and not a whole message
	received      []byte
	messageEnds   []int // bytes to be arrived at the gateway, for each message
	phases        []int
	sentBytes     int
	arrivedBytes  int
	owedSince     time.Duration // since when a reply is owed; -1: none
	decidedAt     time.Duration // when the decision that goes ahead was written
	finals        int
	ended         bool
	duplicate     bool // asked a second time by a caller that should not
	conn          *cacheConn
	attempt       *attempt
	request       *attemptRequest
	notModified   bool
	brokeContract bool // its caller did what the contract does not allow: no answer is owed by it
	retriedLate   bool // it asked again long after the answer to do so
}

func newExtprocCaller(d *Scenario, g *gatewayActor, no int) *extprocCaller {
	return &extprocCaller{scenario: d, gateway: g, host: d.sim.Host(fmt.Sprintf("10.0.%d.%d", 100+no, g.index+1), "gateways"), streams: map[*callerStream]bool{}}
}

func (p *extprocCaller) oneIn(in int) bool { return in > 0 && p.scenario.randN(in) == 0 }

// sendLookup brings a lookup of a client to the gateway's door.
func (p *extprocCaller) sendLookup(a *lookup) {
	if a.conn == nil {
		a.conn = &clientConn{clients: p.scenario.clients, gateway: p.gateway, process: a.process}
	}
	x := &callerStream{caller: p, lookup: a, generation: p.generation, owedSince: -1}
	p.openStream(x)
	if p.oneIn(p.duplicateOneIn) {
		p.scenario.after(time.Duration(p.scenario.randN(300))*time.Millisecond, func() {
			p.openStream(&callerStream{caller: p, lookup: a, generation: p.generation, owedSince: -1, duplicate: true})
		})
	}
}

func (p *extprocCaller) openStream(x *callerStream) {
	if x.generation != p.generation || x.lookup.process != p.gateway.current {
		x.fail("gateway gone")
		return
	}
	p.streams[x] = true
	x.end = p.host.Connect(p.gateway.ip+":"+extprocPort, x)
	e := x.end
	p.scenario.after(2*time.Second, func() {
		if e == x.end && !e.IsAccepted() && !x.ended {
			x.fail("no connection")
		}
	})
}

func (x *callerStream) Opened() {
	if x.lookup.process != x.caller.gateway.current || x.ended {
		x.fail("gateway gone")
		return
	}
	x.lookup.conn.end = x.end
	x.end.OnArrived = x.messageArrived
	d, a := x.caller.scenario, x.lookup
	head := func(id string) string {
		text := fmt.Sprintf(":method: GET\n:path: /call/%s/%s/part-%d\nx-job-id: %s\nx-allow-ms: %g\nx-group: %d\nx-ram-kb: %g\n",
			lookupKinds[a.kind].name, a.object, a.part, id, float64(max(0, a.deadline-x.elapsed())/time.Microsecond)/1000, a.group, partKB(a.object, a.part))
		if a.etag != "" {
			text += "x-tag: \"" + a.etag + "\"\n"
		}
		return text
	}
	if x.caller.oneIn(x.caller.malformedOneIn) { // what no caller should
		x.caller.malformedCount++
		odd := []string{"P4\n:status: 200\n\n", "P2\n\n", "P77\n\n", "garbage\n\n", "P1\nx: " + strings.Repeat("y", 70000) + "\n\n"}
		x.brokeContract = true
		x.end.Send([]byte(odd[d.randN(len(odd))]))
		if d.randN(2) == 0 {
			x.send(1, head(a.id))
			x.send(1, head(a.id))
		}
		d.after(time.Second, func() { x.fail("caller broke off") })
		return
	}
	x.end.Stalled = x.caller.oneIn(x.caller.stallOneIn)
	x.send(1, head(a.id))
	if x.caller.oneIn(x.caller.cancelOneIn) {
		d.after(time.Duration(d.randN(600))*time.Millisecond, func() { x.fail("client left") })
	}
}

// elapsed is how long the lookup has been at the gateway.
func (x *callerStream) elapsed() time.Duration {
	if x.lookup.receivedAt == 0 {
		return 0
	}
	return x.caller.scenario.sim.Now() - x.lookup.receivedAt
}

// send sends a message.
func (x *callerStream) send(phase int, fields string) {
	text := fmt.Sprintf("P%d\n%s\n", phase, fields)
	x.sentBytes += len(text)
	x.messageEnds, x.phases = append(x.messageEnds, x.sentBytes), append(x.phases, phase)
	x.end.Send([]byte(text))
}

// messageArrived is bytes at the gateway; a message that is whole there is owed a reply in time.
func (x *callerStream) messageArrived(b []byte) {
	d, a := x.caller.scenario, x.lookup
	x.arrivedBytes += len(b)
	for len(x.messageEnds) > 0 && x.messageEnds[0] <= x.arrivedBytes {
		phase := x.phases[0]
		x.messageEnds, x.phases = x.messageEnds[1:], x.phases[1:]
		if a.receivedAt == 0 {
			a.receivedAt = d.sim.Now()
			d.sim.Note(simenv.StepReceived, a.id, "", 0)
		}
		if phase == 4 && x.attempt != nil {
			d.checker.attemptEnded(x.attempt)
			x.conn.endAtCache(false)
		}
		x.owedSince = d.sim.Now()
		since := x.owedSince
		d.after(max(0, a.receivedAt+a.deadline-d.sim.Now())+socketSlack+time.Millisecond, func() {
			if x.owedSince == since && !x.ended && !a.process.ended && !x.brokeContract && !x.end.Stalled && x.end.IsAccepted() &&
				!(a.process.terminatedAt > 0 && since > a.process.terminatedAt+700*time.Millisecond) {
				d.checker.violated("rule 1", "%s owes a caller the answer to %s (%s), phase %d, for %v of %v", a.process.process.Name, a.id, lookupKinds[a.kind].name, phase,
					d.sim.Now()-since, a.deadline)
			}
		})
	}
}

// Written is what the gateway writes, on its wire: one reply to a message, and nothing after the final one.
func (x *callerStream) Written(n int, b []byte) {
	if n < 0 || x.ended {
		return
	}
	d := x.caller.scenario
	x.written = splitMessages(append(x.written, b...), func(first string, fields map[string]string) {
		if x.brokeContract {
			return
		}
		if strings.HasPrefix(first, "E") {
			return // the stream ends, and tells why
		}
		if x.owedSince < 0 || x.finals > 0 {
			d.checker.violated("rule 1", "%s tells %q on the stream of %s, which nothing is owed for", x.lookup.process.process.Name, first, x.lookup.id)
			return
		}
		x.owedSince = -1
		if first == "C1" {
			x.decidedAt = d.sim.Now()
			return
		}
		x.finals++
		if first == "C4" && x.attempt != nil && len(x.attempt.answers) > 0 {
			d.checker.checkForwardedAnswer(x.lookup, x.attempt.answers[len(x.attempt.answers)-1])
		}
		if strings.HasPrefix(first, "F") {
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			x.checkFinal(first[1:], fields["x-foldslip-again"] == "1", time.Duration(wait)*time.Millisecond)
		}
	})
}

// checkFinal checks a final answer as the gateway writes it.
func (x *callerStream) checkFinal(status string, again bool, wait time.Duration) {
	d, a := x.caller.scenario, x.lookup
	if again || x.duplicate || x.retriedLate || a.ended {
		return
	}
	now := d.sim.Now()
	code, _ := strconv.Atoi(status)
	k := lookupKinds[a.kind]
	budget := min(k.aim+time.Duration(k.stretch*float64(partWork(a.object, a.part))), k.deadline)
	idle := now - max(a.lastInFlight, a.receivedAt)
	out := false
	for _, s := range a.attempts {
		out = out || s.awaited
	}
	switch code {
	case 502, 503, 409:
		if !out && idle > 400*time.Millisecond && now-a.receivedAt > budget+300*time.Millisecond && now-a.receivedAt > a.deadline/2 {
			d.checker.violated("held back", "%s was answered %d after %v of %v at the door, with nothing out for it for %v", a.id, code, now-a.receivedAt,
				a.deadline, idle)
		}
		if code == 503 && wait <= 0 && len(a.attempts) > 0 {
			d.checker.violated("held back", "%s was nacked at the door without a time to come back", a.id)
		}
	default:
		d.checker.violated("rule 1", "%s was answered with status %d at the door", a.id, code)
	}
}

// Data is what reaches the proxy.
func (x *callerStream) Data(b []byte) {
	x.received = splitMessages(append(x.received, b...), func(first string, fields map[string]string) {
		if x.ended {
			return
		}
		switch {
		case first == "C1":
			x.decisionReceived(fields)
		case first == "C4":
			x.answerAccepted()
		case first[0] == 'F' && fields["x-foldslip-again"] == "1":
			x.retry()
		case first[0] == 'F':
			status, _ := strconv.Atoi(first[1:])
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			x.lookup.clientGone = x.lookup.clientGone || status == 409 // it goes on, or has ended, on another stream of a caller that asks twice
			x.close(first[1:])
			if x.lookup.onAnswer != nil && !x.duplicate {
				x.lookup.onAnswer(status, time.Duration(wait)*time.Millisecond)
			}
		default:
			x.fail("stream ended")
		}
	})
}

// decisionReceived is a decision: the send goes to its cache at once.
func (x *callerStream) decisionReceived(f map[string]string) {
	d, a := x.caller.scenario, x.lookup
	part := func(name string) int { n, _ := strconv.ParseFloat(f["x-foldslip-"+name], 64); return int(n) }
	ms, _ := strconv.ParseFloat(f["x-foldslip-wait-ms"], 64)
	wait := time.Duration(ms*1000) * time.Microsecond
	q := &attemptRequest{id: a.id, kind: lookupKinds[a.kind].name, kindIndex: a.kind, object: a.object, part: a.part, source: f["x-foldslip-source"],
		rank: part("rank"), maxAge: time.Duration(part("oldest-ms")) * time.Millisecond, mode: f["x-foldslip-mode"],
		timeout: wait, etag: a.etag, work: partWork(a.object, a.part)}
	c := d.byID[f["x-foldslip-cache"]]
	if c == nil || c.addr() != f["x-foldslip-addr"] {
		d.checker.violated("protocol", "%s names cache %q at %q", a.process.process.Name, f["x-foldslip-cache"], f["x-foldslip-addr"])
		return
	}
	x.conn = &cacheConn{cache: c, process: a.process, attemptID: a.id, deliver: x.cacheAnswered, onReset: func() { x.report("reset", nil, nil) }, requests: map[string]*attemptRequest{a.id: q}}
	q.conn, x.request = x.conn, q
	began := len(a.attempts)
	d.checker.attemptSent(x.conn, q, x.decidedAt)
	if len(a.attempts) == began {
		return // a rule is broken, or its gateway is gone
	}
	x.attempt = a.attempts[began]
	lag := d.callerLatency()
	if x.caller.oneIn(x.caller.delayOneIn) {
		lag = time.Duration(d.randN(1500)) * time.Millisecond
	}
	d.after(lag, func() {
		if x.attempt == nil || !x.attempt.inFlight {
			return
		}
		switch {
		case !d.sim.IsSplit("gateways", c.flavor+"s") && !c.host.Vanished && !c.up:
			x.report("unconnected", nil, nil)
			return
		case d.sim.IsSplit("gateways", c.flavor+"s") || c.host.Vanished:
		default:
			c.conns = append(c.conns, x.conn)
			c.checkColdLoad(a.process, meanWork[a.kind])
			c.handle(q)
		}
	})
	d.after(q.timeout, func() {
		if x.request == q && x.attempt != nil && x.attempt.inFlight {
			x.report("timeout", nil, nil)
		}
	})
}

// cacheAnswered is what the cache says to the send.
func (x *callerStream) cacheAnswered(q *attemptRequest, text string) {
	if x.request != q || x.attempt == nil || !x.attempt.inFlight {
		return
	}
	head, body, _ := strings.Cut(text, "\r\n")
	words := strings.Split(head, " ")
	fields := map[string]string{}
	for _, f := range strings.Split(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	x.caller.scenario.after(x.caller.scenario.callerLatency(), func() {
		if x.request == q && x.attempt != nil && x.attempt.inFlight {
			word := map[string]string{"HIT": "hit", "VALID": "valid", "NONE": "none", "SHED": "shed", "FAULT": "fault"}[words[1]]
			x.notModified = word == "valid"
			_ = body
			x.report(word, fields, q)
		}
	})
}

// report tells the gateway how the send ended.
func (x *callerStream) report(word string, f map[string]string, _ *attemptRequest) {
	p, d := x.caller, x.caller.scenario
	if x.request == nil || x.ended {
		return
	}
	x.request.ended = true
	x.attempt.inFlight = false
	x.conn.detach()
	if p.oneIn(p.silentOneIn) {
		x.brokeContract = true
		d.after(6*time.Second, func() { x.fail("caller says nothing") })
		return
	}
	if p.oneIn(p.misreportOneIn) && lookupKinds[x.lookup.kind].effect == "idempotent" {
		x.brokeContract = true
		word = []string{"hit", "fault", "reset", "shed", "nonsense", "late"}[d.randN(6)]
	}
	text := ":status: 200\nx-foldslip-end: " + word + "\n"
	for _, k := range [][2]string{{"note", "note"}, {"waited", "waited-ms"}, {"ver", "ver"}, {"born", "born"}} {
		if v := f[k[0]]; v != "" {
			text += "x-foldslip-" + k[1] + ": " + v + "\n"
		}
	}
	x.send(4, text)
}

// answerAccepted passes the answer on.
func (x *callerStream) answerAccepted() {
	a := x.lookup
	if x.attempt == nil || x.duplicate || x.brokeContract {
		x.close("odd")
		return
	}
	if n := len(x.attempt.answers); n > 0 {
		got := x.attempt.answers[n-1]
		status, body := 200, got.body(a.object+"/"+strconv.Itoa(a.part))
		if x.notModified {
			status = 304
		}
		x.caller.scenario.checker.checkSatisfied(a, status, body, got.version)
		if len(x.caller.scenario.clients.etags) < 4096 {
			x.caller.scenario.clients.etags[a.object+"/"+strconv.Itoa(a.part)] = got.version
		}
		x.close(strconv.Itoa(status))
		return
	}
	x.caller.scenario.checker.violated("rule 1", "%s accepts an answer to %s that no cache made", a.process.process.Name, a.id)
}

// retry asks once more under the same id, on a stream of its own.
func (x *callerStream) retry() {
	next := &callerStream{caller: x.caller, lookup: x.lookup, generation: x.generation, owedSince: -1, duplicate: x.duplicate}
	x.finish()
	wait := time.Duration(x.caller.scenario.randN(3)) * x.caller.scenario.callerLatency()
	if x.caller.oneIn(x.caller.lateRetryOneIn) {
		wait = time.Duration(x.caller.scenario.randN(800)) * time.Millisecond
		next.retriedLate = wait > 50*time.Millisecond
	}
	x.caller.scenario.after(wait, func() { x.caller.openStream(next) })
}

// finish ends the stream at this side; what it had is over.
func (x *callerStream) finish() {
	x.ended = true
	delete(x.caller.streams, x)
	if x.end != nil {
		x.end.Close()
	}
}

func (x *callerStream) close(why string) {
	x.finish()
	if !x.duplicate {
		x.lookup.conn.answeredAt = x.caller.scenario.sim.Now()
		x.caller.scenario.checker.lookupEnded(x.lookup, why)
	}
}

// fail breaks the stream off.
func (x *callerStream) fail(why string) {
	if x.ended {
		return
	}
	x.ended = true
	delete(x.caller.streams, x)
	if x.end != nil {
		x.end.Reset()
	}
	if x.request != nil {
		x.request.ended = true
	}
	if x.attempt != nil {
		x.caller.scenario.checker.attemptEnded(x.attempt)
		x.conn.detach()
	}
	if !x.duplicate {
		x.lookup.clientGone = true
		x.caller.scenario.checker.lookupEnded(x.lookup, why)
	}
}

func (x *callerStream) Closed(bool) {
	if !x.ended {
		x.fail("stream ended")
	}
}

// restart is a caller that dies and comes back: its streams break off, and it knows nothing of them.
func (p *extprocCaller) restart() {
	p.generation++
	for _, x := range p.orderedStreams() {
		x.fail("caller gone")
	}
}

// orderedStreams are its streams, in an order that does not change from run to run.
func (p *extprocCaller) orderedStreams() (all []*callerStream) {
	by := map[string]*callerStream{}
	for x := range p.streams {
		no := uint64(0)
		if x.end != nil {
			no = x.end.Number
		}
		by[fmt.Sprintf("%s %d %t", x.lookup.id, no, x.duplicate)] = x
	}
	for _, k := range sortedKeys(by) {
		all = append(all, by[k])
	}
	return all
}

// callerLatency is the time that a caller's send takes to its cache, and the answer back.
func (d *Scenario) callerLatency() time.Duration {
	if d.sim.Lockstep {
		return 0
	}
	return 300 * time.Microsecond
}

// flood asks at the gateway's door as another caller does that knows no measure.
func (p *extprocCaller) flood(asks int) {
	other := newExtprocCaller(p.scenario, p.gateway, 3)
	for i := range asks {
		p.scenario.after(time.Duration(i*4)*time.Millisecond, func() {
			l := p.gateway.current
			if l == nil || !l.ready || l.ended {
				return
			}
			a := &lookup{kind: 0, object: fmt.Sprintf("s%d", p.scenario.randN(60)), process: l, deadline: lookupKinds[0].deadline, id: fmt.Sprintf("%016x", p.scenario.sim.Rand.Uint64())}
			a.group = groupOf(a.object)
			p.scenario.checker.lookupSent(a)
			other.sendLookup(a)
		})
	}
}

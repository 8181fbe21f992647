package scenario

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/lab/simenv"
)

// extprocCaller simulates another proxy beside a gateway. It asks the gateway's external processor about
// each lookup, sends the request to the cache that the gateway chose, and reports the outcome. It is
// written only from the contract in docs/external-processor.md. Plans draw its faults.
type extprocCaller struct {
	scenario   *Scenario
	gateway    *gatewayActor
	host       *simenv.Host
	streams    map[*callerStream]bool
	generation int // number of restarts so far
	// Each field is the n of a fault that affects one stream, attempt or retry in n. 0 means none.
	cancelOneIn, silentOneIn, duplicateOneIn, misreportOneIn, delayOneIn, malformedOneIn, lateRetryOneIn, stallOneIn int
	malformedCount                                                                                                   uint64
}

// callerStream is a lookup at a proxy and its stream to the gateway's external processor.
type callerStream struct {
	caller        *extprocCaller
	generation    int
	lookup        *lookup
	end           *simenv.End
	written       []byte // bytes of an incomplete message that the gateway has written
	received      []byte
	messageEnds   []int         // by message not yet arrived: the stream offset at which it ends
	phases        []int         // phases of these messages
	sentBytes     int           // bytes sent to the gateway
	arrivedBytes  int           // of sentBytes, those that have reached the gateway
	owedSince     time.Duration // when the message arrived that the gateway has not replied to; -1: none
	decidedAt     time.Duration // when the gateway wrote its decision on an attempt
	finalReplies  int           // number of final replies that the gateway has written
	ended         bool
	duplicate     bool // a second stream for the lookup, which breaks the contract
	conn          *cacheConn
	attempt       *attempt
	request       *attemptRequest
	notModified   bool
	brokeContract bool // the caller broke the contract, so the gateway owes no answer
	retriedLate   bool // it retried more than 50 ms after the gateway asked for the retry
}

func newExtprocCaller(s *Scenario, g *gatewayActor, index int) *extprocCaller {
	return &extprocCaller{scenario: s, gateway: g, host: s.sim.Host(fmt.Sprintf("10.0.%d.%d", 100+index, g.index+1), groupGateways), streams: map[*callerStream]bool{}}
}

// oneIn draws whether a fault that affects one in n happens now.
func (caller *extprocCaller) oneIn(n int) bool { return n > 0 && caller.scenario.randN(n) == 0 }

// sendLookup opens a stream to the gateway's external processor for a
// lookup of a client, and sometimes a duplicate of it.
func (caller *extprocCaller) sendLookup(l *lookup) {
	if l.conn == nil {
		l.conn = &clientConn{clients: caller.scenario.clients, gateway: caller.gateway, process: l.process}
	}
	stream := &callerStream{caller: caller, lookup: l, generation: caller.generation, owedSince: -1}
	caller.openStream(stream)
	if caller.oneIn(caller.duplicateOneIn) {
		caller.scenario.after(time.Duration(caller.scenario.randN(300))*time.Millisecond, func() {
			caller.openStream(&callerStream{caller: caller, lookup: l, generation: caller.generation, owedSince: -1, duplicate: true})
		})
	}
}

// openStream connects a stream, which fails if the caller or the gateway
// has restarted or the connection is not accepted within 2 s.
func (caller *extprocCaller) openStream(stream *callerStream) {
	if stream.generation != caller.generation || stream.lookup.process != caller.gateway.current {
		stream.fail(outcomeGatewayGone)
		return
	}
	caller.streams[stream] = true
	stream.end = caller.host.Connect(caller.gateway.ip+":"+extprocPort, stream)
	e := stream.end
	caller.scenario.after(2*time.Second, func() {
		if e == stream.end && !e.IsAccepted() && !stream.ended {
			stream.fail("no connection")
		}
	})
}

// Opened sends the lookup's first message, or malformed messages.
func (stream *callerStream) Opened() {
	if stream.lookup.process != stream.caller.gateway.current || stream.ended {
		stream.fail(outcomeGatewayGone)
		return
	}
	stream.lookup.conn.end = stream.end
	stream.end.OnArrived = stream.messageArrived
	s, l := stream.caller.scenario, stream.lookup
	head := func(id string) string {
		text := fmt.Sprintf(":method: GET\n:path: /call/%s/%s/part-%d\nx-job-id: %s\nx-allow-ms: %g\nx-group: %d\nx-ram-kb: %g\n",
			lookupKinds[l.kind].name, l.object, l.part, id, float64(max(0, l.deadline-stream.elapsed())/time.Microsecond)/1000, l.group, partKB(l.object, l.part))
		if l.etag != "" {
			text += "x-tag: \"" + l.etag + "\"\n"
		}
		return text
	}
	if stream.caller.oneIn(stream.caller.malformedOneIn) { // messages that the contract does not allow
		stream.caller.malformedCount++
		malformed := []string{"P4\n:status: 200\n\n", "P2\n\n", "P77\n\n", "garbage\n\n", "P1\nx: " + strings.Repeat("y", 70000) + "\n\n"}
		stream.brokeContract = true
		stream.end.Send([]byte(malformed[s.randN(len(malformed))]))
		if s.randN(2) == 0 {
			stream.send(1, head(l.id))
			stream.send(1, head(l.id))
		}
		s.after(time.Second, func() { stream.fail("caller broke off") })
		return
	}
	stream.end.Stalled = stream.caller.oneIn(stream.caller.stallOneIn)
	stream.send(1, head(l.id))
	if stream.caller.oneIn(stream.caller.cancelOneIn) {
		s.after(time.Duration(s.randN(600))*time.Millisecond, func() { stream.fail("client left") })
	}
}

// elapsed returns the time since the lookup arrived at the gateway, or 0 before that.
func (stream *callerStream) elapsed() time.Duration {
	if stream.lookup.receivedAt == 0 {
		return 0
	}
	return stream.caller.scenario.sim.Now() - stream.lookup.receivedAt
}

// send sends a message of a phase with its header lines.
func (stream *callerStream) send(phase int, fields string) {
	text := fmt.Sprintf("P%d\n%s\n", phase, fields)
	stream.sentBytes += len(text)
	stream.messageEnds, stream.phases = append(stream.messageEnds, stream.sentBytes), append(stream.phases, phase)
	stream.end.Send([]byte(text))
}

// messageArrived is called with bytes that reach the gateway. The gateway must
// reply to each complete message before the lookup's deadline.
func (stream *callerStream) messageArrived(b []byte) {
	s, l := stream.caller.scenario, stream.lookup
	stream.arrivedBytes += len(b)
	for len(stream.messageEnds) > 0 && stream.messageEnds[0] <= stream.arrivedBytes {
		phase := stream.phases[0]
		stream.messageEnds, stream.phases = stream.messageEnds[1:], stream.phases[1:]
		if l.receivedAt == 0 {
			l.receivedAt = s.sim.Now()
			s.sim.RecordStep(simenv.StepReceived, l.id, "", 0)
		}
		if phase == 4 && stream.attempt != nil {
			s.checker.attemptEnded(stream.attempt)
			stream.conn.endAtCache(false)
		}
		stream.owedSince = s.sim.Now()
		since := stream.owedSince
		s.after(max(0, l.receivedAt+l.deadline-s.sim.Now())+socketSlack+time.Millisecond, func() {
			if stream.owedSince == since && !stream.ended && !l.process.ended && !stream.brokeContract && !stream.end.Stalled && stream.end.IsAccepted() &&
				!(l.process.terminatedAt > 0 && since > l.process.terminatedAt+700*time.Millisecond) {
				s.checker.violated("rule 1", "%s has not replied to a caller for %s (%s), phase %d, after %v (deadline %v)", l.process.process.Name, l.id, lookupKinds[l.kind].name, phase,
					s.sim.Now()-since, l.deadline)
			}
		})
	}
}

// Written checks what the gateway writes: at most one reply to each message, and nothing after the final reply.
func (stream *callerStream) Written(n int, b []byte) {
	if n < 0 || stream.ended {
		return
	}
	s := stream.caller.scenario
	stream.written = splitMessages(append(stream.written, b...), func(first string, fields map[string]string) {
		if stream.brokeContract {
			return
		}
		if strings.HasPrefix(first, "E") {
			return // the gateway ends the stream and gives a reason
		}
		if stream.owedSince < 0 || stream.finalReplies > 0 {
			s.checker.violated("rule 1", "%s wrote %q on the stream of %s, where no reply is due", stream.lookup.process.process.Name, first, stream.lookup.id)
			return
		}
		stream.owedSince = -1
		if first == "C1" {
			stream.decidedAt = s.sim.Now()
			return
		}
		stream.finalReplies++
		if first == "C4" && stream.attempt != nil && len(stream.attempt.answers) > 0 {
			s.checker.checkForwardedAnswer(stream.lookup, stream.attempt.answers[len(stream.attempt.answers)-1])
		}
		if strings.HasPrefix(first, "F") {
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			stream.checkFinal(first[1:], fields["x-foldslip-again"] == "1", time.Duration(wait)*time.Millisecond)
		}
	})
}

// checkFinal checks a final answer when the gateway writes it: its status, the retry time, and that the lookup was
// not held back without an attempt.
func (stream *callerStream) checkFinal(status string, again bool, wait time.Duration) {
	s, l := stream.caller.scenario, stream.lookup
	if again || stream.duplicate || stream.retriedLate || l.ended {
		return
	}
	now := s.sim.Now()
	code, _ := strconv.Atoi(status)
	lastBusy := max(l.lastInFlight, l.receivedAt)
	switch code {
	case 502, 503, 409:
		if l.isHeldBack(now, lastBusy) {
			s.checker.violated(ruleHeldBack, "%s was answered %d by the external processor after %v (deadline %v), with no attempt in flight for %v", l.id, code, now-l.receivedAt,
				l.deadline, now-lastBusy)
		}
		if code == 503 && wait <= 0 && len(l.attempts) > 0 {
			s.checker.violated("held back", "%s was rejected by the external processor without a retry time", l.id)
		}
	default:
		s.checker.violated("rule 1", "%s was answered with unexpected status %d by the external processor", l.id, code)
	}
}

// Data handles the gateway's replies when they reach the proxy.
func (stream *callerStream) Data(b []byte) {
	stream.received = splitMessages(append(stream.received, b...), func(first string, fields map[string]string) {
		if stream.ended {
			return
		}
		switch {
		case first == "C1":
			stream.decisionReceived(fields)
		case first == "C4":
			stream.answerAccepted()
		case first[0] == 'F' && fields["x-foldslip-again"] == "1":
			stream.retry()
		case first[0] == 'F':
			status, _ := strconv.Atoi(first[1:])
			wait, _ := strconv.Atoi(fields["x-wait-ms"])
			// A 409 means that a caller opened two streams and the lookup continues, or has ended, on the other one.
			stream.lookup.clientGone = stream.lookup.clientGone || status == 409
			stream.close(first[1:])
			if stream.lookup.onAnswer != nil && !stream.duplicate {
				stream.lookup.onAnswer(status, time.Duration(wait)*time.Millisecond)
			}
		default:
			stream.fail("stream ended")
		}
	})
}

// decisionReceived starts the attempt that the gateway decided on.
func (stream *callerStream) decisionReceived(fields map[string]string) {
	s, l := stream.caller.scenario, stream.lookup
	number := func(name string) int { n, _ := strconv.ParseFloat(fields["x-foldslip-"+name], 64); return int(n) }
	ms, _ := strconv.ParseFloat(fields["x-foldslip-wait-ms"], 64)
	wait := time.Duration(ms*1000) * time.Microsecond
	request := &attemptRequest{id: l.id, kind: lookupKinds[l.kind].name, kindIndex: l.kind, object: l.object, part: l.part, source: fields["x-foldslip-source"],
		rank: number("rank"), maxAge: time.Duration(number("oldest-ms")) * time.Millisecond, mode: fields["x-foldslip-mode"],
		timeout: wait, etag: l.etag, work: partWork(l.object, l.part)}
	c := s.byID[fields["x-foldslip-cache"]]
	if c == nil || c.addr() != fields["x-foldslip-addr"] {
		s.checker.violated("protocol", "%s names cache %q at address %q, which no cache has", l.process.process.Name, fields["x-foldslip-cache"], fields["x-foldslip-addr"])
		return
	}
	stream.conn = &cacheConn{cache: c, process: l.process, attemptID: l.id, deliver: stream.cacheAnswered, onReset: func() { stream.report("reset", nil, nil) }, requests: map[string]*attemptRequest{l.id: request}}
	request.conn, stream.request = stream.conn, request
	attemptsBefore := len(l.attempts)
	s.checker.attemptSent(stream.conn, request, stream.decidedAt)
	if len(l.attempts) == attemptsBefore {
		return // the attempt broke a rule, or the gateway has ended
	}
	stream.attempt = l.attempts[attemptsBefore]
	lag := s.callerLatency()
	if stream.caller.oneIn(stream.caller.delayOneIn) {
		lag = time.Duration(s.randN(1500)) * time.Millisecond
	}
	s.after(lag, func() {
		if stream.attempt == nil || !stream.attempt.inFlight {
			return
		}
		switch {
		case !s.sim.IsSplit(groupGateways, c.flavor+"s") && !c.host.Vanished && !c.up:
			stream.report("unconnected", nil, nil)
			return
		case s.sim.IsSplit(groupGateways, c.flavor+"s") || c.host.Vanished:
		default:
			c.conns = append(c.conns, stream.conn)
			c.checkColdLoad(l.process, meanWork[l.kind], s.sim.Now())
			c.handle(request)
		}
	})
	s.after(request.timeout, func() {
		if stream.request == request && stream.attempt != nil && stream.attempt.inFlight {
			stream.report("timeout", nil, nil)
		}
	})
}

// cacheAnswered handles the cache's answer to the attempt, and reports it to the gateway when it reaches the proxy.
func (stream *callerStream) cacheAnswered(request *attemptRequest, text string) {
	if stream.request != request || stream.attempt == nil || !stream.attempt.inFlight {
		return
	}
	head, body, _ := strings.Cut(text, "\r\n")
	words := strings.Split(head, " ")
	fields := map[string]string{}
	for _, f := range strings.Split(words[2], ",") {
		k, v, _ := strings.Cut(f, "=")
		fields[k] = v
	}
	stream.caller.scenario.after(stream.caller.scenario.callerLatency(), func() {
		if stream.request == request && stream.attempt != nil && stream.attempt.inFlight {
			word := map[string]string{"HIT": "hit", "VALID": "valid", "NONE": "none", "SHED": "shed", "FAULT": "fault"}[words[1]]
			stream.notModified = word == "valid"
			_ = body
			stream.report(word, fields, request)
		}
	})
}

// report ends the attempt and sends its outcome to the gateway,
// unless a fault suppresses the report or changes the outcome.
func (stream *callerStream) report(word string, fields map[string]string, _ *attemptRequest) {
	caller, s := stream.caller, stream.caller.scenario
	if stream.request == nil || stream.ended {
		return
	}
	stream.request.ended = true
	stream.attempt.inFlight = false
	stream.conn.detach()
	if caller.oneIn(caller.silentOneIn) {
		stream.brokeContract = true
		s.after(6*time.Second, func() { stream.fail("caller says nothing") })
		return
	}
	if caller.oneIn(caller.misreportOneIn) && lookupKinds[stream.lookup.kind].effect == "idempotent" {
		stream.brokeContract = true
		word = []string{"hit", "fault", "reset", "shed", "nonsense", "late"}[s.randN(6)]
	}
	text := ":status: 200\nx-foldslip-end: " + word + "\n"
	for _, k := range [][2]string{{"note", "note"}, {"waited", "waited-ms"}, {"ver", "ver"}, {"born", "born"}} {
		if v := fields[k[0]]; v != "" {
			text += "x-foldslip-" + k[1] + ": " + v + "\n"
		}
	}
	stream.send(4, text)
}

// answerAccepted forwards the answer that the gateway accepted to the client, and checks it.
func (stream *callerStream) answerAccepted() {
	l := stream.lookup
	if stream.attempt == nil || stream.duplicate || stream.brokeContract {
		stream.close("odd")
		return
	}
	if n := len(stream.attempt.answers); n > 0 {
		got := stream.attempt.answers[n-1]
		status := 200
		if stream.notModified {
			status = 304
		}
		stream.caller.scenario.checker.checkSatisfied(l, clientAnswer{status: status, etag: got.version, body: got.body(l.key())})
		if len(stream.caller.scenario.clients.etags) < 4096 {
			stream.caller.scenario.clients.etags[l.key()] = got.version
		}
		stream.close(strconv.Itoa(status))
		return
	}
	stream.caller.scenario.checker.violated("rule 1", "%s accepted an answer to %s that no cache sent", l.process.process.Name, l.id)
}

// retry sends the lookup again under the same id on a new stream, after a short delay, or
// after up to 800 ms with the fault caller_slow.
func (stream *callerStream) retry() {
	next := &callerStream{caller: stream.caller, lookup: stream.lookup, generation: stream.generation, owedSince: -1, duplicate: stream.duplicate}
	stream.finish()
	wait := time.Duration(stream.caller.scenario.randN(3)) * stream.caller.scenario.callerLatency()
	if stream.caller.oneIn(stream.caller.lateRetryOneIn) {
		wait = time.Duration(stream.caller.scenario.randN(800)) * time.Millisecond
		next.retriedLate = wait > 50*time.Millisecond
	}
	stream.caller.scenario.after(wait, func() { stream.caller.openStream(next) })
}

// finish closes the stream at the proxy's side.
func (stream *callerStream) finish() {
	stream.ended = true
	delete(stream.caller.streams, stream)
	if stream.end != nil {
		stream.end.Close()
	}
}

// close closes the stream and ends its lookup with an outcome.
func (stream *callerStream) close(why string) {
	stream.finish()
	if !stream.duplicate {
		stream.lookup.conn.answeredAt = stream.caller.scenario.sim.Now()
		stream.caller.scenario.checker.lookupEnded(stream.lookup, why)
	}
}

// fail resets the stream, gives up its attempt and ends its lookup with an outcome.
func (stream *callerStream) fail(why string) {
	if stream.ended {
		return
	}
	stream.ended = true
	delete(stream.caller.streams, stream)
	if stream.end != nil {
		stream.end.Reset()
	}
	if stream.request != nil {
		stream.request.ended = true
	}
	if stream.attempt != nil {
		stream.caller.scenario.checker.attemptEnded(stream.attempt)
		stream.conn.detach()
	}
	if !stream.duplicate {
		stream.lookup.clientGone = true
		stream.caller.scenario.checker.lookupEnded(stream.lookup, why)
	}
}

func (stream *callerStream) Closed(bool) {
	if !stream.ended {
		stream.fail("stream ended")
	}
}

// restart simulates a crash and restart of the caller. All its streams are reset and their state is lost.
func (caller *extprocCaller) restart() {
	caller.generation++
	for _, stream := range caller.orderedStreams() {
		stream.fail("caller gone")
	}
}

// orderedStreams returns the open streams in an order that is the same in every run.
func (caller *extprocCaller) orderedStreams() (all []*callerStream) {
	by := map[string]*callerStream{}
	for stream := range caller.streams {
		no := uint64(0)
		if stream.end != nil {
			no = stream.end.Number
		}
		by[fmt.Sprintf("%s %d %t", stream.lookup.id, no, stream.duplicate)] = stream
	}
	for _, k := range sortedKeys(by) {
		all = append(all, by[k])
	}
	return all
}

// callerLatency returns the network latency between a caller and a
// cache, in each direction. It is 0 in a differential run.
func (s *Scenario) callerLatency() time.Duration {
	if s.sim.Lockstep {
		return 0
	}
	return 300 * time.Microsecond
}

// flood sends lookups from another caller to the gateway, one every 4 ms, regardless of the replies.
func (caller *extprocCaller) flood(count int) {
	other := newExtprocCaller(caller.scenario, caller.gateway, 3)
	for i := range count {
		caller.scenario.after(time.Duration(i*4)*time.Millisecond, func() {
			p := caller.gateway.current
			if p == nil || !p.ready || p.ended {
				return
			}
			l := &lookup{kind: 0, object: fmt.Sprintf("s%d", caller.scenario.randN(60)), process: p, deadline: lookupKinds[0].deadline, id: fmt.Sprintf("%016x", caller.scenario.sim.Rand.Uint64())}
			l.group = groupOf(l.object)
			caller.scenario.checker.lookupSent(l)
			other.sendLookup(l)
		})
	}
}

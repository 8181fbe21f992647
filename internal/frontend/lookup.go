package frontend

import (
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/limit"
	"foldslip/internal/policy"
	"foldslip/internal/route/rollout"
	"foldslip/internal/upstream"
)

// textOpenAlready is the response to a lookup whose id is open.
const textOpenAlready = "this lookup is open already"

// lookup is a client's lookup from its request to its response.
type lookup struct {
	*upstream.Lookup
	request   Request
	kind      int
	ticket    *rollout.Ticket // nil: the server has no routes
	arrivedAt time.Time
	client    string // address of the client, without the port
	hasOpenID bool   // the id is open in Server.ended
}

// endTicket reports the lookup's result to its route.
func (l *lookup) endTicket(result dispatch.StepKind, isLate bool) {
	if l.ticket != nil {
		l.ticket.End(result == dispatch.StepSatisfied && !isLate, result == dispatch.StepRejected, isLate || result == dispatch.StepFailed)
	}
}

// startResponse answers a request. A request without a lookup is answered before startResponse returns; a lookup is
// answered by a goroutine of its own. The caller has taken the notification of responded. responded is notified again
// once the response is written.
func (c *clientConn) startResponse(request Request, arrivedAt time.Time) {
	closes := request.ClosesConn || c.isLastRequest()
	l, response := c.server.newLookup(request, arrivedAt)
	l.client = c.address
	if response == nil && c.mayBeGone {
		response = unavailable("too much sent ahead of its answer")
	}
	if response == nil {
		response = c.server.submit(l)
	}
	if response != nil {
		response.closes = response.closes || closes
		l.Release()
		c.queueText(*response)
		if response.closes {
			c.closeInput()
		}
		c.awaitNextRequest()
		c.responded.Notify()
		return
	}
	c.writeUnsent()
	c.mu.Lock()
	c.lookup = l
	c.mu.Unlock()
	c.server.group.Go("lookup", func() error {
		c.respond(l)
		l.Release()
		c.server.gate.Release()
		c.responded.Notify()
		return nil
	})
}

// newLookup returns a request's lookup. It also returns a response if no lookup is needed: for a ping, and for a
// request that cannot be a lookup.
func (s *Server) newLookup(request Request, arrivedAt time.Time) (*lookup, *textResponse) {
	kind, isKnown := s.kindByName[request.Kind]
	passThrough := isKnown && s.settings.Router.Kinds[kind].PassThrough
	var response *textResponse
	switch {
	case request.Method != methodGet && (request.Method != methodPut || request.IsPing || isKnown && !passThrough):
		response = &textResponse{status: statusMethodNotAllowed, text: "only GET is known, and PUT for an object kind that runs at the origin", closes: true}
	case request.IsPing:
		response = s.ping()
	case !isKnown:
		response = &textResponse{status: statusNotFound, text: "no such object kind"}
	case request.ID == "":
		response = &textResponse{status: statusBadRequest, text: "X-Job-Id is missing", closes: true}
	}
	if isKnown {
		request.TimeAllowed = s.timeAllowed(kind, request.TimeAllowed)
	}
	return &lookup{Lookup: upstream.NewLookup(request.Request, passThrough, s.admission), request: request, kind: kind, arrivedAt: arrivedAt}, response
}

// ping returns the response to a ping, which reports whether the gateway is ready.
func (s *Server) ping() *textResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReady {
		return &textResponse{status: statusOK, text: "ready"}
	}
	return unavailable("not ready")
}

// timeAllowed returns the time that the client allows, bounded by the deadline of the object kind. A negative time
// means that the client does not give one; the deadline then applies.
func (s *Server) timeAllowed(kind int, allowed time.Duration) time.Duration {
	maxAllowed := time.Duration(s.settings.Router.Kinds[kind].Deadline) * time.Microsecond
	if allowed < 0 || allowed > maxAllowed {
		return maxAllowed
	}
	return allowed
}

// submit opens a lookup unless it must not run again. It returns a response if the lookup is rejected, and nil otherwise.
// The caller releases the gate once a submitted lookup has ended.
func (s *Server) submit(l *lookup) *textResponse {
	if l.request.TimeAllowed <= 0 {
		return unavailable("no time left")
	}
	if response := s.openID(l); response != nil {
		return response
	}
	if response := s.open(l); response != nil {
		s.closeID(l, dispatch.StepRejected)
		return response
	}
	return nil
}

// open admits a lookup and submits it to the dispatcher. It returns a response if the lookup is rejected.
func (s *Server) open(l *lookup) *textResponse {
	if !s.gate.TryAdmit() {
		return unavailable("too many lookups")
	}
	var scope *policy.Scope
	if s.routes != nil {
		ticket, reason, retryAfter := s.routes.Admit(l.kind, l.Group, l.Object, l.request.SizeKB)
		if reason != limit.Allowed {
			s.gate.Release()
			response := unavailable("past a limit: " + string(reason))
			response.retryAfter = retryAfter
			return response
		}
		l.ticket = ticket
		scope = ticket.Scope()
	}
	l.Dispatched = s.dispatcher.Submit(dispatch.Request{
		ID:       l.ID,
		Kind:     l.kind,
		Object:   l.Object,
		Part:     l.Part,
		Group:    l.Group,
		SizeKB:   l.request.SizeKB,
		Deadline: l.arrivedAt.Add(l.request.TimeAllowed),
		Scope:    scope,
	})
	if l.Dispatched == nil {
		s.gate.Release()
		l.endTicket(dispatch.StepFailed, false)
		return &textResponse{status: statusConflict, text: textOpenAlready}
	}
	return nil
}

// respond carries out a lookup's steps until the lookup ends, and writes the response.
func (c *clientConn) respond(l *lookup) {
	s := c.server
	step := s.runSteps(l)
	s.pool.CancelAll(l.Lookup)
	s.closeID(l, step.Kind)
	isLate := s.env.Now().Sub(l.arrivedAt) > s.settings.LatencyBudget(l.kind, l.request.SizeKB)
	l.endTicket(step.Kind, isLate)
	closes := l.request.ClosesConn || c.isLastRequest()
	c.writeResult(l, step, closes)
	switch {
	case closes && step.Kind == dispatch.StepSatisfied:
		c.closeInput()
	case closes:
		// This response has no body and is sent at once, so that it needs no lingering close. A lookup that is given up
		// shortly before the platform kills the process must not keep its connection open until Server.Close.
		c.close(reasonLastResponse)
	}
	c.awaitNextRequest()
}

// runSteps carries out a lookup's steps and returns the step that ends the lookup.
func (s *Server) runSteps(l *lookup) dispatch.Step {
	for {
		step := s.dispatcher.WaitStep(l.Dispatched)
		switch step.Kind {
		case dispatch.StepFetch:
			s.pool.Start(l.Lookup, step)
		case dispatch.StepCancel:
			s.pool.CancelAttempt(l.Lookup, step.Attempt)
		default:
			return step
		}
	}
}

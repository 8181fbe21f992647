package extproc

import (
	"errors"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/limit"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// handleRequest handles the headers of a request. If the reply is known at once,
// it returns the reply and true. Otherwise the stream receives an answer later.
func (s *Server) handleRequest(st *stream, message Message) (reply Reply, ok bool) {
	arrivedAt := s.Environment.Now()
	request, err := s.currentTable().Match(message.Method, message.Path, message.Get)
	var invalid *route.RequestError
	if errors.As(err, &invalid) {
		return finalReply(invalid.Status, invalid.Text), true
	}
	maxAllowed := time.Duration(s.Settings.Router.Kinds[request.Kind].Deadline) * time.Microsecond
	if request.TimeAllowed < 0 || request.TimeAllowed > maxAllowed {
		request.TimeAllowed = maxAllowed
	}
	s.mu.Lock()
	lookup, commands, rejected := s.openLookup(st, message.Get, &request, arrivedAt)
	s.mu.Unlock()
	switch {
	case rejected != nil:
		s.release(rejected)
		return rejected.reply, true
	case lookup == nil: // no new lookup: commands hold the answer, if there is one
		s.apply(commands)
	default:
		s.deliverSteps(lookup)
	}
	return Reply{}, false
}

// rejection describes a lookup that was rejected on submission.
type rejection struct {
	reply  Reply
	quota  *admission.Gate // gate that admitted the lookup and is to be released; nil: none
	lookup *retry.Lookup   // lookup whose ticket is to be ended; nil: none
}

// release frees the quota and the ticket of a rejected lookup. s.mu must not be held.
func (s *Server) release(rejected *rejection) {
	if rejected.quota != nil {
		rejected.quota.Release()
	}
	if rejected.lookup != nil {
		s.endTicket(rejected.lookup, dispatch.StepFailed)
	}
}

// openLookup passes a request to the coordinator and submits a new lookup to the
// dispatcher. It returns the lookup if the request opened one, a rejection if the
// lookup was rejected, and otherwise the coordinator's commands. s.mu must be held.
func (s *Server) openLookup(st *stream, get route.Attributes, request *route.Lookup, arrivedAt time.Time) (*retry.Lookup, retry.Commands, *rejection) {
	// A known lookup is answered even if the request leaves it no time.
	if request.TimeAllowed <= 0 && !s.coordinator.Knows(&st.handle, request.ID) {
		return nil, retry.Commands{}, &rejection{reply: finalReply(503, textNoTime)}
	}
	deadline := arrivedAt.Add(request.TimeAllowed)
	lookup, commands := s.coordinator.Request(arrivedAt, &st.handle, request.ID, deadline)
	if lookup == nil {
		return nil, commands, nil
	}
	lookup.Object, lookup.Group, lookup.ETag = request.Object, request.Group, request.Tag
	lookup.Request, lookup.ArrivedAt = request, arrivedAt
	rejected := s.submit(st, lookup, deadline)
	if rejected != nil {
		s.coordinator.Discard(lookup)
		return nil, commands, rejected
	}
	s.tracer.LookupStarted(lookup, get)
	return lookup, commands, nil
}

// submit checks a lookup against its caller's admission quota and the limits of its route, and submits it to the
// dispatcher. It returns nil if the dispatcher accepted the lookup.
func (s *Server) submit(st *stream, lookup *retry.Lookup, deadline time.Time) *rejection {
	request := lookup.Request
	lookup.Quota = s.Admission.Gate(st.caller.name, s.limits.Weight)
	if !lookup.Quota.TryAdmit() {
		return &rejection{reply: s.fullReply(textFull)}
	}
	var scope *policy.Scope
	if s.Routes != nil {
		ticket, reason, retryAfter := s.Routes.Admit(request.Kind, request.Group, request.Object, request.KB)
		if reason != limit.Allowed {
			reply := finalReply(503, textPastLimit+string(reason))
			reply.RetryAfter = retryAfter
			return &rejection{reply: reply, quota: lookup.Quota}
		}
		lookup.Ticket, scope = ticket, ticket.Scope()
	}
	lookup.BeginHandling()
	defer lookup.EndHandling()
	lookup.Dispatched = s.Dispatcher.Submit(dispatch.Request{
		ID:       request.ID,
		Kind:     request.Kind,
		Object:   request.Object,
		Part:     request.Part,
		Group:    request.Group,
		SizeKB:   request.KB,
		Deadline: deadline,
		Scope:    scope,
		OnReady:  func() { s.notifyReady(lookup) },
	})
	if lookup.Dispatched == nil {
		return &rejection{reply: finalReply(409, textOpenElsewhere), quota: lookup.Quota, lookup: lookup}
	}
	return nil
}

// handleReport handles the headers of a response, which report how an attempt ended.
func (s *Server) handleReport(st *stream, message Message) {
	report := parseReport(message.Get)
	s.mu.Lock()
	lookup := s.coordinator.LookupOf(&st.handle)
	if lookup != nil && report.outcome == policy.OutcomeSatisfied {
		s.checkAnswer(st, lookup, &report)
	}
	commands := s.coordinator.ReportOutcome(&st.handle, report.outcome, report.detail, report.sourceWait)
	s.mu.Unlock()
	s.apply(commands)
}

// checkAnswer changes the report of an answer that its lookup cannot use. The frontend applies the same rules:
//   - A not-modified answer counts as an error if its ETag is not that of the client's copy, or if the client has no copy.
//   - An answer that was created before a purge in force counts as a timeout, because the attempt has run. So does an
//     answer without a creation time while a purge is in force.
//   - A pass-through answer without a creation time is accepted. It ran at the origin and is not a cached copy, so purges
//     do not apply to it.
func (s *Server) checkAnswer(st *stream, lookup *retry.Lookup, report *attemptReport) {
	if report.notModified && (report.etag != lookup.ETag || lookup.ETag == "") {
		s.anomalies[anomalyValidOtherCopy]++
		report.outcome = policy.OutcomeError
	}
	if s.Purges == nil {
		return
	}
	purgedAt, learnedAt := s.Purges.InForce(lookup.Object, lookup.Group)
	passThrough := s.Settings.Router.Kinds[lookup.Request.Kind].PassThrough
	switch {
	case purgedAt.IsZero():
	case report.createdAt.IsZero() && passThrough:
	case report.createdAt.IsZero():
		s.anomalies[anomalyCreationUnreported]++
		report.markLate()
	case report.createdAt.Before(purgedAt):
		s.Environment.Log().Warn("outdated_copy", "caller", st.caller.name, "older_ms", purgedAt.Sub(report.createdAt).Milliseconds(),
			"told_ms_ago", s.Environment.Now().Sub(learnedAt).Milliseconds())
		report.markLate()
	}
}

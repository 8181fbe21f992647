package simadapter

import (
	"fmt"
	"strconv"
	"strings"

	"foldslip/internal/policy"
)

// This file maps the names of the simulator's protocol to those of package policy. No other file contains names of the
// protocol. A message is one line that consists of its name and its values, separated by single spaces. "-" stands for an
// absent value. The numbers of outcomes, details and fetch modes are those of package policy.

// Lines that delimit a batch.
const (
	messageBatchStart = "MARK"
	messageBatchEnd   = "FLUSH"
	messageBatchDone  = "YIELD" // written by the adapter
)

// Events that the simulator sends.
const (
	messageStart         = "UP"
	messageStop          = "STOP"
	messageEndpoints     = "VIEW"  // followed by its rows
	messageEndpoint      = "CACHE" // one row of an endpoint update
	messageLookup        = "ASK"
	messageAttemptEnded  = "RESULT"
	messageClientGone    = "ABANDONED"
	messagePurge         = "SUPERSEDED"
	messageTimer         = "ELAPSED"
	messageProbeEnded    = "CHECK_RESULT" // ignored: the router sends no probes of its own
	messageGossip        = "MAIL"         // ignored: simulated routers exchange no messages
	messageStreamStarted = "UNDER_WAY"    // ignored: no deployment uses streaming
)

// Actions that a gateway writes.
const (
	messageFetch         = "SERVE_OR_FILL"
	messageCancelAttempt = "ABORT_ATTEMPT"
	messageReject        = "SAY_NO"
	messageFail          = "LOSE"
	messageSetTimer      = "WAKE_ME"
	messageSubscribe     = "WATCH"
	messageLog           = "WRITE_LOG"
	messageFault         = "INTERNAL_ERROR"
)

// readBatchStart reads the simulated time of a batch.
func readBatchStart(f *fields) policy.Micros { return f.micros("clock") }

// readStart reads the seed and the settings text of a gateway.
func readStart(f *fields) (seed uint64, settings string) {
	return f.seed("entropy"), f.rest("boot_info")
}

// readEndpointsHeader reads the kind of an endpoint update and the number of its rows.
func readEndpointsHeader(f *fields) (kind policy.UpdateKind, rows int) {
	f.int("generation")
	return f.updateKind("kind"), f.int("rows_in")
}

// readEndpoint reads one row of the endpoint list. It returns the name of the cache and leaves endpoint.Cache unset.
func readEndpoint(f *fields) (name string, endpoint policy.Endpoint) {
	name = f.text("cache")
	endpoint.Zone = f.int("dc")
	endpoint.Kind = f.int("sku")
	endpoint.Cell = f.int("cluster")
	endpoint.State = f.state("state")
	endpoint.Weight = f.float("power_hint")
	endpoint.StartedAt = f.micros("came_up")
	return name, endpoint
}

// readArrival reads the arrival of a lookup.
func readArrival(f *fields) (arrival policy.Arrival) {
	arrival.ID = f.text("job")
	arrival.IsWrite = f.bool("mutates")
	arrival.Group = f.int("set_no")
	arrival.Deadline = f.micros("deadline")
	arrival.Kind = f.int("profile")
	arrival.IsRepeat = f.bool("repeat")
	arrival.Object = f.optional("resource")
	arrival.SizeKB = f.float("kb")
	f.int("tenant")
	arrival.Part = f.int("piece")
	return arrival
}

// readReport reads the end of an attempt. It returns the id of the lookup and the report for the router.
func readReport(f *fields) (id string, report policy.AttemptReport) {
	id = f.text("job")
	report.Outcome = f.outcome("result")
	report.Detail = f.detail("remark")
	report.Latency = f.micros("took")
	report.Attempt = f.int("n")
	report.SourceWait = f.micros("source_wait")
	report.LookupEnded = f.bool("terminal")
	f.text("cache")
	f.floats("usage")
	return id, report
}

// readClientGone reads the id of a lookup whose client has disconnected.
func readClientGone(f *fields) (id string) { return f.text("job") }

// readPurge reads a purge of an object, or of a group if the object is empty.
func readPurge(f *fields) (object string, group int, age policy.Micros) {
	return f.optional("resource"), f.int("group"), f.micros("age")
}

// readTimer reads the token of a timer.
func readTimer(f *fields) (token int64) { return f.micros("mark") }

// skipProbe parses the end of a probe and discards it.
func skipProbe(f *fields) {
	f.micros("took")
	f.text("cache")
	f.outcome("result")
	f.floats("usage")
}

// writeAction writes one action of the gateway. An empty string is written as "-", which stands for an absent value.
func (g *gateway) writeAction(message string, values ...any) {
	fmt.Fprintf(g.out, "%s %s", message, g.name)
	for _, v := range values {
		if v == "" {
			v = "-"
		}
		fmt.Fprintf(g.out, " %v", v)
	}
	g.out.WriteByte('\n')
}

// Fetch writes the start of an attempt. It leaves out the request's
// SilenceTimeout, because the simulator closes silent connections by its own rule.
func (g *gateway) Fetch(lookup *policy.Lookup, request policy.FetchRequest) {
	g.lookups[lookup.ID].openAttempts++
	g.writeAction(messageFetch, lookup.ID, request.Rank, int(request.Mode), request.Source.Name, request.Cache.Name, request.Timeout, request.MaxAge)
}

// CancelAttempt writes the cancellation of an attempt.
func (g *gateway) CancelAttempt(lookup *policy.Lookup, attempt int) {
	g.writeAction(messageCancelAttempt, lookup.ID, attempt)
}

// Reject writes the rejection of a lookup.
func (g *gateway) Reject(lookup *policy.Lookup, retryAfter policy.Micros) {
	g.writeAction(messageReject, lookup.ID, retryAfter)
}

// Fail writes the failure of a lookup.
func (g *gateway) Fail(lookup *policy.Lookup) { g.writeAction(messageFail, lookup.ID) }

// SetTimer writes a request for a timer.
func (g *gateway) SetTimer(delay policy.Micros, token int64) {
	g.writeAction(messageSetTimer, delay, token)
}

// SubscribeEndpoints writes a request to start or to stop updates of the endpoint list.
func (g *gateway) SubscribeEndpoints(on bool) {
	if on {
		g.writeAction(messageSubscribe, 1)
	} else {
		g.writeAction(messageSubscribe, 0)
	}
}

// Log writes a line of the router's log.
func (g *gateway) Log(line string) { g.writeAction(messageLog, oneLine(line)) }

// reportFault writes the value of a panic in the router.
func (g *gateway) reportFault(fault any) { g.writeAction(messageFault, oneLine(fmt.Sprint(fault))) }

// oneLine replaces each run of white space, line ends among them, by one space and trims the text.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// rejectGateway records that an event names a gateway that has not been started.
func (f *fields) rejectGateway(name string) {
	f.fail(fmt.Sprintf("gateway %q has not been started", name))
}

// rejectKind records an object kind that the settings do not define.
func (f *fields) rejectKind(kind int) {
	f.fail(fmt.Sprintf("profile %d, expected a place in classes", kind))
}

// rejectID records a lookup id that is already in use.
func (f *fields) rejectID(id string) {
	f.fail(fmt.Sprintf("job %q is known already, expected a new one", id))
}

// settingsError adds the names of the message and the field to the error of a settings text.
func (f *fields) settingsError(err error) error {
	return fmt.Errorf("%s: boot_info: %w", f.message, err)
}

func (f *fields) outcome(field string) policy.AttemptOutcome {
	n := f.int(field)
	if f.err == nil && (n < int(policy.OutcomeSatisfied) || n > int(policy.OutcomeMiss)) {
		f.reject(field, strconv.Itoa(n), "an outcome from 1 to 9")
	}
	return policy.AttemptOutcome(n)
}

func (f *fields) detail(field string) policy.OutcomeDetail {
	n := f.int(field)
	if n > int(policy.DetailOriginFailed) {
		f.reject(field, strconv.Itoa(n), "a remark from 0 to 10")
	}
	return policy.OutcomeDetail(n)
}

func (f *fields) state(field string) policy.EndpointState {
	switch value := f.text(field); value {
	case "ready":
		return policy.Ready
	case "draining":
		return policy.Draining
	case "gone":
		return policy.Gone
	default:
		f.reject(field, value, "ready, draining or gone")
		return policy.Gone
	}
}

func (f *fields) updateKind(field string) policy.UpdateKind {
	switch value := f.text(field); value {
	case "delta":
		return policy.UpdateDelta
	case "full":
		return policy.UpdateFull
	case "cached":
		return policy.UpdateCached
	case "failed":
		return policy.UpdateFailed
	default:
		f.reject(field, value, "delta, full, cached or failed")
		return policy.UpdateFailed
	}
}

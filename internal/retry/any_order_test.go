package retry

import (
	"testing"

	"pgregory.net/rapid"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
)

// coordinatorModel plays callers and a router at random, and checks what the Coordinator does.
type coordinatorModel struct {
	coordinator *Coordinator
	now         int // milliseconds
	streams     []*Stream
	lookups     []*Lookup
	states      map[*Lookup]*modelLookup
	requested   map[*Stream]*Lookup // latest request of each stream
}

// modelLookup is what the model knows of a lookup.
type modelLookup struct {
	nextAttempt   int          // number of the router's next attempt
	open          map[int]bool // attempts that the router takes for open
	attemptStream *Stream      // whose caller makes an attempt
	ended         bool         // by the router
	answered      bool         // with its end
}

// apply carries out commands as the dispatcher and the callers do, and checks them.
func (m *coordinatorModel) apply(t *rapid.T, commands Commands) {
	for _, report := range commands.Reports {
		m.applyReport(t, report)
	}
	for _, lookup := range commands.Gone {
		m.states[lookup].ended = true
	}
	for _, answer := range commands.Answers {
		state := m.states[m.requested[answer.Stream]]
		switch answer.Kind {
		case AnswerAttempt:
			if state.answered || state.attemptStream != nil || !state.open[answer.Step.Attempt] {
				t.Fatalf("attempt %d is answered: lookup answered %v, an attempt out %v", answer.Step.Attempt, state.answered, state.attemptStream != nil)
			}
			state.attemptStream = answer.Stream
		case AnswerAccepted, AnswerReject, AnswerFail:
			if state != nil {
				state.answered = true
			}
		}
	}
}

func (m *coordinatorModel) applyReport(t *rapid.T, report Report) {
	state := m.states[report.Lookup]
	if !state.open[report.Attempt] {
		t.Fatalf("attempt %d ends twice or never started", report.Attempt)
	}
	delete(state.open, report.Attempt)
	state.attemptStream = nil
	if report.Outcome == policy.OutcomeSatisfied && !state.ended {
		state.ended = true
		m.apply(t, m.coordinator.ApplyStep(at(m.now), report.Lookup, dispatch.Step{Kind: dispatch.StepSatisfied, Attempt: report.Attempt}))
	}
}

// drawStream draws a stream, perhaps a new one.
func (m *coordinatorModel) drawStream(t *rapid.T, mayBeNew bool) *Stream {
	if len(m.streams) > 0 && (!mayBeNew || rapid.Bool().Draw(t, "old")) {
		return rapid.SampledFrom(m.streams).Draw(t, "stream")
	}
	if !mayBeNew {
		t.Skip()
	}
	stream := &Stream{Caller: rapid.SampledFrom([]string{"edge", "kiosk"}).Draw(t, "caller")}
	m.streams = append(m.streams, stream)
	return stream
}

// request has a caller request one of a few lookups.
func (m *coordinatorModel) request(t *rapid.T) {
	stream := m.drawStream(t, true)
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	if stream.lookup == nil {
		if known := m.coordinator.lookups[lookupKey(stream, id)]; known != nil {
			m.requested[stream] = known
		}
	}
	lookup, commands := m.coordinator.Request(at(m.now), stream, id, at(m.now+500))
	if lookup != nil {
		m.states[lookup] = &modelLookup{open: map[int]bool{}}
		m.requested[stream] = lookup
		m.lookups = append(m.lookups, lookup)
	}
	m.apply(t, commands)
}

// step has the router start an attempt or end a lookup.
func (m *coordinatorModel) step(t *rapid.T) {
	if len(m.lookups) == 0 {
		t.Skip()
	}
	lookup := rapid.SampledFrom(m.lookups).Draw(t, "lookup")
	state := m.states[lookup]
	if state.ended {
		t.Skip()
	}
	if len(state.open) > 0 || rapid.IntRange(0, 3).Draw(t, "end") == 0 {
		state.ended = true
		m.apply(t, m.coordinator.ApplyStep(at(m.now), lookup, dispatch.Step{Kind: dispatch.StepRejected}))
		return
	}
	attempt := state.nextAttempt
	state.open[attempt] = true
	state.nextAttempt++
	m.apply(t, m.coordinator.ApplyStep(at(m.now), lookup, fetch(attempt)))
}

// report has a caller report the end of an attempt, whether it makes one or not.
func (m *coordinatorModel) report(t *rapid.T) {
	stream := m.drawStream(t, false)
	outcome := rapid.SampledFrom([]policy.AttemptOutcome{policy.OutcomeSatisfied, policy.OutcomeMiss, policy.OutcomeError, 99}).Draw(t, "outcome")
	m.apply(t, m.coordinator.ReportOutcome(stream, outcome, policy.DetailNone, 0))
}

func (m *coordinatorModel) endStream(t *rapid.T) {
	m.apply(t, m.coordinator.StreamEnded(at(m.now), m.drawStream(t, false)))
}

func (m *coordinatorModel) advanceTime(t *rapid.T) {
	m.now += rapid.IntRange(1, 400).Draw(t, "ms")
	commands, _ := m.coordinator.Tick(at(m.now))
	m.apply(t, commands)
}

// checkBounds checks the counts and bounds of lookups.
func (m *coordinatorModel) checkBounds(t *rapid.T) {
	open := 0
	for _, lookup := range m.coordinator.lookups {
		if lookup.phase != phaseEnded {
			open++
		}
	}
	c := m.coordinator
	if open != c.openCount || len(c.lookups) > 2*testLimits.MaxLookups || c.ended.Len() > testLimits.MaxLookups {
		t.Fatalf("%d open, counted %d, %d known", open, c.openCount, len(c.lookups))
	}
}

// drain ends all streams and lookups and checks that all is freed.
func (m *coordinatorModel) drain(t *rapid.T) {
	c := m.coordinator
	for _, stream := range m.streams {
		m.apply(t, c.StreamEnded(at(m.now), stream))
	}
	for range 4 {
		m.now += 5000
		commands, _ := c.Tick(at(m.now))
		m.apply(t, commands)
		for _, lookup := range m.lookups {
			if state := m.states[lookup]; !state.ended && len(state.open) == 0 {
				state.ended = true
				m.apply(t, c.ApplyStep(at(m.now), lookup, dispatch.Step{Kind: dispatch.StepFailed}))
			}
		}
	}
	if c.openCount != 0 || len(c.lookups) != 0 || len(c.openByCaller) != 0 {
		t.Fatalf("%d open, %d known, %v", c.openCount, len(c.lookups), c.openByCaller)
	}
}

// Whatever callers and router do in whatever order: a lookup's attempts are answered one at a time, each ends once and by its number, none is
// answered after the end, the end is answered once to one stream, and all is freed.
func TestCoordinatorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &coordinatorModel{coordinator: New(testLimits), states: map[*Lookup]*modelLookup{}, requested: map[*Stream]*Lookup{}}
		t.Repeat(map[string]func(*rapid.T){
			"request":    m.request,
			"step":       m.step,
			"report":     m.report,
			"end stream": m.endStream,
			"time":       m.advanceTime,
			"":           m.checkBounds,
		})
		m.drain(t)
	})
}

package extproc

import (
	"errors"
	"io"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/retry"
)

// Transport is one stream of a caller, in whatever form it comes.
type Transport interface {
	// Recv waits for the next message; io.EOF where the caller has said its last.
	Receive() (Message, error)
	// Send may wait until the caller reads.
	Send(Reply) error
}

// stream is a stream of a caller: one request of its client, whose phases come in their order.
type stream struct {
	server       *Server
	caller       *caller
	handle       retry.Stream
	mu           sync.Mutex
	repliesReady env.Notifier // rung for the replying side
	queueSpace   env.Notifier // rung for the receiving side when replies have gone out
	replies      []Reply
	awaitedPhase Phase // that waits for the desk's word; 0: none
	earlyAnswer  *retry.Answer
	receiveErr   error // the receiving side has ended
	ended        bool  // the replying side has
	lastActivity time.Time
}

// ErrTooLarge is a message larger than a door takes; a Wire's Recv gives it.
var ErrMessageTooLarge = errors.New("a message is larger than this door takes")

// ErrFull is a stream more than its caller may have.
var ErrTooManyStreams = errors.New("too many streams of this caller")

// Serve serves one stream until either side ends it. What it had open is given up.
func (d *Server) Serve(w Transport, name string) error {
	c := d.enterCaller(name)
	if c == nil {
		return ErrTooManyStreams
	}
	st := &stream{server: d, caller: c, repliesReady: d.environment.NewNotifier(), queueSpace: d.environment.NewNotifier(), lastActivity: d.environment.Now()}
	st.handle = retry.Stream{Caller: name, Owner: st}
	defer d.leaveCaller(c)
	d.streams.Go("stream", func() error { // it ends with the wire, after Serve has returned
		st.receiveMessages(w)
		return nil
	})
	err := st.sendReplies(w)
	st.mu.Lock()
	st.ended = true
	st.mu.Unlock()
	st.queueSpace.Notify()
	d.mu.Lock()
	do := d.coordinator.StreamEnded(d.environment.Now(), &st.handle)
	d.mu.Unlock()
	d.apply(do)
	return err
}

// sendReplies sends what there is to say; it ends with the stream.
func (st *stream) sendReplies(w Transport) error {
	for {
		st.mu.Lock()
		if len(st.replies) > 0 {
			r := st.replies[0]
			st.replies = st.replies[1:]
			st.mu.Unlock()
			st.queueSpace.Notify()
			if r.End != NotEnded {
				return r.End
			}
			if err := w.Send(r); err != nil {
				return err
			}
			continue
		}
		failed, quiet := st.receiveErr, st.server.environment.Now().Sub(st.lastActivity)
		st.mu.Unlock()
		if failed != nil {
			if errors.Is(failed, io.EOF) {
				return nil
			}
			return failed
		}
		wait := time.Duration(-1)
		if silent := st.server.limits.SilenceTimeout; silent > 0 {
			if wait = silent - quiet; wait <= 0 {
				st.server.countAnomaly("stream_silent")
				return EndedSilent
			}
		}
		st.repliesReady.Wait(wait)
	}
}

// receiveMessages takes messages in and has each dealt with, up to the wire's end.
func (st *stream) receiveMessages(w Transport) {
	for {
		m, err := w.Receive()
		if err != nil {
			if errors.Is(err, ErrMessageTooLarge) {
				st.countFault("message_too_large")
			}
			st.mu.Lock()
			st.receiveErr = err
			st.mu.Unlock()
			st.repliesReady.Notify()
			return
		}
		if why := st.server.chargeMessage(st.caller, m.Size); why != "" {
			st.queueReply(Reply{End: EndedOverLimit})
			return
		}
		if m.ObserveOnly { // told for others to see: no reply, and nothing of it reaches the module
			st.server.countAnomaly("watched")
			st.noteActivity()
			continue
		}
		if !st.handleMessage(m) {
			return
		}
	}
}

// handleMessage deals with one message; false ends the receiving side.
func (st *stream) handleMessage(m Message) bool {
	st.mu.Lock()
	st.lastActivity = st.server.environment.Now()
	for len(st.replies) >= maxQueuedReplies && !st.ended { // the caller does not read: it is read no further either
		st.mu.Unlock()
		st.queueSpace.Wait(-1)
		st.mu.Lock()
	}
	if st.ended {
		st.mu.Unlock()
		return false
	}
	early, owed := st.earlyAnswer, st.awaitedPhase
	st.mu.Unlock()
	if owed != 0 && (m.Phase == RequestHeaders || m.Phase == ResponseHeaders) {
		st.countFault("phase_out_of_order")
		st.queueReply(Reply{End: EndedOutOfOrder})
		return false
	}
	switch m.Phase {
	case RequestHeaders:
		st.awaitAnswer(m.Phase)
		if r, told := st.server.handleRequest(st, m); told {
			st.answerAwaited(r)
		}
	case ResponseHeaders:
		if early != nil {
			r := st.server.replyFor(*early)
			r.Phase = m.Phase
			st.queueReply(r)
			return true
		}
		st.awaitAnswer(m.Phase)
		st.server.handleReport(st, m)
	default:
		st.queueReply(Reply{Phase: m.Phase})
	}
	return true
}

// awaitAnswer notes the phase that waits for the desk's word.
func (st *stream) awaitAnswer(p Phase) {
	st.mu.Lock()
	st.awaitedPhase = p
	st.mu.Unlock()
}

func (st *stream) noteActivity() {
	st.mu.Lock()
	st.lastActivity = st.server.environment.Now()
	st.mu.Unlock()
}

// answerAwaited answers what was owed.
func (st *stream) answerAwaited(r Reply) {
	st.mu.Lock()
	r.Phase, st.awaitedPhase = st.awaitedPhase, 0
	st.mu.Unlock()
	st.queueReply(r)
}

// receiveAnswer is the desk's word. One that answers nothing, an end while the caller is at its send, is kept for its report.
func (st *stream) receiveAnswer(say retry.Answer) {
	st.mu.Lock()
	if say.Kind == retry.AnswerOutOfOrder && st.earlyAnswer != nil { // a report that crossed the end hears the end
		say = *st.earlyAnswer
	}
	if say.Kind == retry.AnswerOutOfOrder {
		st.countFault("report_out_of_order")
	}
	if st.awaitedPhase == 0 {
		st.earlyAnswer = &say
		st.mu.Unlock()
		return
	}
	st.mu.Unlock()
	st.answerAwaited(st.server.replyFor(say))
}

func (st *stream) queueReply(r Reply) {
	st.mu.Lock()
	st.replies = append(st.replies, r)
	st.lastActivity = st.server.environment.Now()
	st.mu.Unlock()
	st.repliesReady.Notify()
}

func (st *stream) countFault(why string) {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	st.server.countFault(st.server.environment.Now(), st.caller, why)
}

func (d *Server) countAnomaly(what string) {
	d.mu.Lock()
	d.anomalies[what]++
	d.mu.Unlock()
}

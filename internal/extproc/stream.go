package extproc

import (
	"errors"
	"io"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/retry"
)

// maxQueuedReplies is the number of queued replies at which a stream reads
// no further messages, until its caller has read some of the replies.
const maxQueuedReplies = 8

// firstMessageTimeout bounds the time from the opening of a stream to the last byte of its first message.
const firstMessageTimeout = 2 * time.Second

// Transport is a caller's stream in a wire protocol.
type Transport interface {
	// Receive waits for the next message. It returns io.EOF after the caller's last message.
	Receive() (Message, error)
	// Send sends a reply. It may block until the caller reads.
	Send(Reply) error
}

// stream is a stream of a caller. It carries one request of the caller's client, whose phases arrive in order.
type stream struct {
	server       *Server
	caller       *caller
	handle       retry.Stream
	repliesReady env.Notifier // wakes sendReplies
	queueSpace   env.Notifier // wakes receiveMessages

	mu           sync.Mutex // guards the fields below
	replies      []Reply
	awaitedPhase Phase         // phase that awaits an answer of the coordinator; 0: none
	earlyAnswer  *retry.Answer // final answer that arrived while the caller was making an attempt; nil: none
	receiveErr   error         // error of the transport that ended receiveMessages; nil: none
	ended        bool          // sendReplies has returned
	hasReplied   bool          // a reply was sent
	hasReceived  bool          // a message was received
	lastActivity time.Time     // of the last message or queued reply
}

// Serve serves one stream until either side ends it, and then reports its end to the coordinator. It returns nil if the
// caller ended the stream, an EndReason or ErrTooManyStreams if the Server did, and otherwise the transport's error.
func (s *Server) Serve(transport Transport, callerName string) error {
	caller := s.acquireCaller(callerName)
	if caller == nil {
		return ErrTooManyStreams
	}
	defer s.releaseCaller(caller)
	st := &stream{
		server:       s,
		caller:       caller,
		repliesReady: s.Environment.NewNotifier(),
		queueSpace:   s.Environment.NewNotifier(),
		lastActivity: s.Environment.Now(),
	}
	st.handle = retry.Stream{Caller: callerName, Owner: st}
	s.streams.Go("stream", func() error { // ends with the transport, possibly after Serve has returned
		st.receiveMessages(transport)
		return nil
	})
	err := st.sendReplies(transport)
	st.mu.Lock()
	st.ended = true
	isBrokenOff := !st.hasReplied && st.receiveErr != nil
	st.mu.Unlock()
	if isBrokenOff {
		s.countBrokenOff(caller)
	}
	st.queueSpace.Notify()
	s.mu.Lock()
	commands := s.coordinator.StreamEnded(s.Environment.Now(), &st.handle)
	s.mu.Unlock()
	s.apply(commands)
	return err
}

// sendReplies sends the queued replies until the stream ends.
func (st *stream) sendReplies(transport Transport) error {
	for {
		reply, ok := st.nextReply()
		if !ok {
			if err := st.waitForReply(); err != nil {
				if errors.Is(err, io.EOF) {
					return nil
				}
				return err
			}
			continue
		}
		if reply.End != NotEnded {
			return reply.End
		}
		if err := transport.Send(reply); err != nil {
			return err
		}
	}
}

// nextReply removes the first reply from the queue. It returns false if the queue is empty.
func (st *stream) nextReply() (reply Reply, ok bool) {
	st.mu.Lock()
	if len(st.replies) == 0 {
		st.mu.Unlock()
		return Reply{}, false
	}
	reply = st.replies[0]
	st.replies = st.replies[1:]
	st.hasReplied = true
	st.mu.Unlock()
	st.queueSpace.Notify()
	return reply, true
}

// waitForReply waits until the queue should be checked again. It returns the error that ended receiveMessages, or
// EndedSilent if the stream has been silent for the SilenceTimeout.
func (st *stream) waitForReply() error {
	st.mu.Lock()
	if len(st.replies) > 0 {
		st.mu.Unlock()
		return nil
	}
	receiveErr, silentFor := st.receiveErr, st.server.Environment.Now().Sub(st.lastActivity)
	st.mu.Unlock()
	if receiveErr != nil {
		return receiveErr
	}
	wait := time.Duration(-1)
	if timeout := st.silenceTimeout(); timeout > 0 {
		wait = timeout - silentFor
		if wait <= 0 {
			st.server.countAnomaly(anomalyStreamSilent)
			return EndedSilent
		}
	}
	st.repliesReady.Wait(wait)
	return nil
}

// silenceTimeout returns the time without a message or reply after which the stream ends; 0: none. The first message of a
// stream follows its opening at once, so less time is given for it.
func (st *stream) silenceTimeout() time.Duration {
	st.mu.Lock()
	defer st.mu.Unlock()
	timeout := st.server.limits.SilenceTimeout
	if !st.hasReceived && timeout > 0 {
		timeout = min(timeout, firstMessageTimeout)
	}
	return timeout
}

// receiveMessages handles messages until the transport or the stream ends.
func (st *stream) receiveMessages(transport Transport) {
	for {
		message, err := transport.Receive()
		if err != nil {
			if errors.Is(err, ErrMessageTooLarge) {
				st.countFault(anomalyMessageTooLarge)
			}
			st.mu.Lock()
			st.receiveErr = err
			st.mu.Unlock()
			st.repliesReady.Notify()
			return
		}
		st.mu.Lock()
		st.hasReceived = true
		st.mu.Unlock()
		if !st.server.chargeMessage(st.caller, message.Size) {
			st.queueReply(Reply{End: EndedOverLimit})
			return
		}
		if message.ObserveOnly { // gets no reply and does not reach the dispatcher
			st.server.countAnomaly(anomalyObserveOnly)
			st.recordActivity()
			continue
		}
		if !st.handleMessage(message) {
			return
		}
	}
}

// handleMessage handles one message. It returns false if no further messages are to be received.
func (st *stream) handleMessage(message Message) (ok bool) {
	if !st.waitForSpace() {
		return false
	}
	st.mu.Lock()
	earlyAnswer, awaitedPhase := st.earlyAnswer, st.awaitedPhase
	st.mu.Unlock()
	if awaitedPhase != 0 && (message.Phase == RequestHeaders || message.Phase == ResponseHeaders) {
		st.countFault(anomalyPhaseOutOfOrder)
		st.queueReply(Reply{End: EndedOutOfOrder})
		return false
	}
	switch message.Phase {
	case RequestHeaders:
		st.awaitAnswer(message.Phase)
		if reply, ok := st.server.handleRequest(st, message); ok {
			st.replyToAwaitedPhase(reply)
		}
	case ResponseHeaders:
		if earlyAnswer != nil {
			reply := st.server.replyFor(*earlyAnswer)
			reply.Phase = message.Phase
			st.queueReply(reply)
			return true
		}
		st.awaitAnswer(message.Phase)
		st.server.handleReport(st, message)
	default:
		st.queueReply(Reply{Phase: message.Phase})
	}
	return true
}

// waitForSpace waits while the queue of replies is full. It returns false if sendReplies has returned.
func (st *stream) waitForSpace() (ok bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastActivity = st.server.Environment.Now()
	for len(st.replies) >= maxQueuedReplies && !st.ended {
		st.mu.Unlock()
		st.queueSpace.Wait(-1)
		st.mu.Lock()
	}
	return !st.ended
}

// awaitAnswer sets the phase that awaits an answer of the coordinator.
func (st *stream) awaitAnswer(phase Phase) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.awaitedPhase = phase
}

func (st *stream) recordActivity() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastActivity = st.server.Environment.Now()
}

// replyToAwaitedPhase queues the reply to the phase that awaits an answer.
func (st *stream) replyToAwaitedPhase(reply Reply) {
	st.mu.Lock()
	reply.Phase = st.awaitedPhase
	st.awaitedPhase = 0
	st.mu.Unlock()
	st.queueReply(reply)
}

// receiveAnswer handles an answer of the coordinator. If no phase awaits an answer, the lookup has ended
// while the caller makes an attempt. The answer is then kept as the reply to the report of that attempt.
func (st *stream) receiveAnswer(answer retry.Answer) {
	st.mu.Lock()
	if answer.Kind == retry.AnswerOutOfOrder && st.earlyAnswer != nil { // the report raced with the lookup's final answer
		answer = *st.earlyAnswer
	}
	if answer.Kind == retry.AnswerOutOfOrder {
		st.countFault(anomalyReportOutOfOrder)
	}
	isAwaited := st.awaitedPhase != 0
	if !isAwaited {
		st.earlyAnswer = &answer
	}
	st.mu.Unlock()
	if isAwaited {
		st.replyToAwaitedPhase(st.server.replyFor(answer))
	}
}

func (st *stream) queueReply(reply Reply) {
	st.mu.Lock()
	st.replies = append(st.replies, reply)
	st.lastActivity = st.server.Environment.Now()
	st.mu.Unlock()
	st.repliesReady.Notify()
}

// countFault counts an anomaly as a fault of the stream's caller.
func (st *stream) countFault(anomaly string) {
	st.server.mu.Lock()
	defer st.server.mu.Unlock()
	st.server.countFault(st.server.Environment.Now(), st.caller, anomaly)
}

package extproc

import (
	"errors"
	"io"
	"sync"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/retry"
)

// Wire is one stream of a caller, in whatever form it comes.
type Wire interface {
	// Recv waits for the next message; io.EOF where the caller has said its last.
	Recv() (Message, error)
	// Send may wait until the caller reads.
	Send(Reply) error
}

// stream is a stream of a caller: one request of its client, whose phases come in their order.
type stream struct {
	d      *Door
	caller *caller
	on     retry.Stream
	mu     sync.Mutex
	some   env.Bell // rung for the replying side
	room   env.Bell // rung for the receiving side when replies have gone out
	out    []Reply
	owed   Phase // that waits for the desk's word; 0: none
	early  *retry.Say
	failed error // the receiving side has ended
	ended  bool  // the replying side has
	last   time.Time
}

// ErrTooLarge is a message larger than a door takes; a Wire's Recv gives it.
var ErrTooLarge = errors.New("a message is larger than this door takes")

// ErrFull is a stream more than its caller may have.
var ErrFull = errors.New("too many streams of this caller")

// Serve serves one stream until either side ends it. What it had open is given up.
func (d *Door) Serve(w Wire, name string) error {
	c := d.enter(name)
	if c == nil {
		return ErrFull
	}
	st := &stream{d: d, caller: c, some: d.g.Bell(), room: d.g.Bell(), last: d.g.Now()}
	st.on = retry.Stream{Caller: name, Said: st}
	defer d.leave(c)
	d.group.Go("stream", func() error { // it ends with the wire, after Serve has returned
		st.receive(w)
		return nil
	})
	err := st.reply(w)
	st.mu.Lock()
	st.ended = true
	st.mu.Unlock()
	st.room.Ring()
	d.mu.Lock()
	do := d.desk.End(d.g.Now(), &st.on)
	d.mu.Unlock()
	d.apply(do)
	return err
}

// reply sends what there is to say; it ends with the stream.
func (st *stream) reply(w Wire) error {
	for {
		st.mu.Lock()
		if len(st.out) > 0 {
			r := st.out[0]
			st.out = st.out[1:]
			st.mu.Unlock()
			st.room.Ring()
			if r.Ends != GoesOn {
				return r.Ends
			}
			if err := w.Send(r); err != nil {
				return err
			}
			continue
		}
		failed, quiet := st.failed, st.d.g.Now().Sub(st.last)
		st.mu.Unlock()
		if failed != nil {
			if errors.Is(failed, io.EOF) {
				return nil
			}
			return failed
		}
		wait := time.Duration(-1)
		if silent := st.d.terms.Silent; silent > 0 {
			if wait = silent - quiet; wait <= 0 {
				st.d.count("stream_silent")
				return Silence
			}
		}
		st.some.Wait(wait)
	}
}

// receive takes messages in and has each dealt with, up to the wire's end.
func (st *stream) receive(w Wire) {
	for {
		m, err := w.Recv()
		if err != nil {
			if errors.Is(err, ErrTooLarge) {
				st.fault("message_too_large")
			}
			st.mu.Lock()
			st.failed = err
			st.mu.Unlock()
			st.some.Ring()
			return
		}
		if why := st.d.spend(st.caller, m.Size); why != "" {
			st.say(Reply{Ends: TooMuch})
			return
		}
		if m.Watch { // told for others to see: no reply, and nothing of it reaches the module
			st.d.count("watched")
			st.heard()
			continue
		}
		if !st.take(m) {
			return
		}
	}
}

// take deals with one message; false ends the receiving side.
func (st *stream) take(m Message) bool {
	st.mu.Lock()
	st.last = st.d.g.Now()
	for len(st.out) >= mostReplies && !st.ended { // the caller does not read: it is read no further either
		st.mu.Unlock()
		st.room.Wait(-1)
		st.mu.Lock()
	}
	if st.ended {
		st.mu.Unlock()
		return false
	}
	early, owed := st.early, st.owed
	st.mu.Unlock()
	if owed != 0 && (m.Phase == RequestHeaders || m.Phase == ResponseHeaders) {
		st.fault("phase_out_of_order")
		st.say(Reply{Ends: Disorder})
		return false
	}
	switch m.Phase {
	case RequestHeaders:
		st.owe(m.Phase)
		if r, told := st.d.ask(st, m); told {
			st.settle(r)
		}
	case ResponseHeaders:
		if early != nil {
			r := st.d.reply(*early)
			r.Phase = m.Phase
			st.say(r)
			return true
		}
		st.owe(m.Phase)
		st.d.report(st, m)
	default:
		st.say(Reply{Phase: m.Phase})
	}
	return true
}

// owe notes the phase that waits for the desk's word.
func (st *stream) owe(p Phase) {
	st.mu.Lock()
	st.owed = p
	st.mu.Unlock()
}

func (st *stream) heard() {
	st.mu.Lock()
	st.last = st.d.g.Now()
	st.mu.Unlock()
}

// settle answers what was owed.
func (st *stream) settle(r Reply) {
	st.mu.Lock()
	r.Phase, st.owed = st.owed, 0
	st.mu.Unlock()
	st.say(r)
}

// hear is the desk's word. One that answers nothing, an end while the caller is at its send, is kept for its report.
func (st *stream) hear(say retry.Say) {
	st.mu.Lock()
	if say.What == retry.Disorder && st.early != nil { // a report that crossed the end hears the end
		say = *st.early
	}
	if say.What == retry.Disorder {
		st.fault("report_out_of_order")
	}
	if st.owed == 0 {
		st.early = &say
		st.mu.Unlock()
		return
	}
	st.mu.Unlock()
	st.settle(st.d.reply(say))
}

func (st *stream) say(r Reply) {
	st.mu.Lock()
	st.out = append(st.out, r)
	st.last = st.d.g.Now()
	st.mu.Unlock()
	st.some.Ring()
}

func (st *stream) fault(why string) {
	st.d.mu.Lock()
	defer st.d.mu.Unlock()
	st.d.fault(st.d.g.Now(), st.caller, why)
}

func (d *Door) count(what string) {
	d.mu.Lock()
	d.odd[what]++
	d.mu.Unlock()
}

package extproc

import (
	"time"

	"foldslip/internal/route"
)

// Phase is what a message of a stream is about. Phases come in this order.
type Phase int

// The phases of a stream.
const (
	RequestHeaders Phase = 1 + iota
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

// Message is a caller's message.
type Message struct {
	Phase        Phase
	Method, Path string
	Get          route.Attributes // reads its headers, and what else its transport carries, by the names of the table
	Size         int              // bytes on the wire
	ObserveOnly  bool             // the caller waits for no reply
}

// Reply is the answer to a message.
type Reply struct {
	Phase      Phase // that it answers
	Status     int   // of a final answer to the caller's client; 0: go on
	Text       string
	RetryAfter time.Duration // of a final answer; 0: none
	Headers    []Header      // of a final answer, beside these
	Decision   []Header      // to set on the request; an empty value is to be removed, so that no client sets it
	End        EndReason     // if set, the stream ends with it and without a reply
}

// Header is a header by its full name.
type Header struct{ Name, Value string }

func finalReply(status int, text string) Reply { return Reply{Status: status, Text: text} }

// EndReason is why a Server ends a stream. As an error it matches itself with errors.As and errors.Is.
type EndReason int

// The reasons to end a stream.
const (
	NotEnded EndReason = iota
	EndedOutOfOrder
	EndedOverLimit
	EndedSilent
	EndedClosing
)

// Error is the text that the caller gets.
func (e EndReason) Error() string { return endTexts[e] }

package extproc

import (
	"time"

	"foldslip/internal/route"
)

// Phase is the part of a request or response that a message carries.
type Phase int

// The phases of a stream, in the order in which they arrive.
const (
	RequestHeaders Phase = 1 + iota
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

// Message is one message of a caller's stream.
type Message struct {
	Phase        Phase
	Method, Path string
	Get          route.Attributes // reads headers, attributes and metadata by the names used in the table
	Size         int              // bytes on the wire
	ObserveOnly  bool             // the caller expects no reply
}

// Reply is the reply to a message, or the end of the stream.
type Reply struct {
	Phase      Phase         // phase of the message that is answered
	Status     int           // HTTP status of a final answer to the caller's client; 0: the caller proceeds
	Text       string        // body of a final answer
	RetryAfter time.Duration // retry delay of a final answer; 0: none
	Headers    []Header      // further headers of a final answer
	Decision   []Header      // set on the request; one with an empty value is removed, so that no client can set it
	End        EndReason     // if set, the stream ends for this reason and no reply is sent
}

// Header is an HTTP header. Name is the complete header name.
type Header struct{ Name, Value string }

func finalReply(status int, text string) Reply { return Reply{Status: status, Text: text} }

// EndReason is the reason why a Server ends a stream. It is an error that errors.Is and errors.As can match.
type EndReason int

// The reasons why a Server ends a stream.
const (
	NotEnded EndReason = iota
	EndedOutOfOrder
	EndedOverLimit
	EndedSilent
	EndedClosing
)

// Error returns the text that is sent to the caller.
func (e EndReason) Error() string { return endTexts[e] }

package client

import (
	"net/http"
	"time"
)

// Request is a client's request as the gateway's table of requests reads it. The lookup's id is in one of the headers.
type Request struct {
	Method string // "" is GET
	Path   string
	Header http.Header
}

// Decision is an attempt to carry out: once, now, at that cache. The JSON keys are those that foldslip-extproc ask has always printed.
type Decision struct {
	Attempt int           `json:"N"` // of the lookup's attempts, from 0
	Cache   string        // its name
	Addr    string        // its address and port
	Source  string        // the cache that it fills a miss from; "": it does not fill
	Rank    int           // the cache's place in the ranking for the object
	MaxAge  time.Duration `json:"Oldest"` // of an acceptable copy; 0: as the kind of object has it
	Timeout time.Duration `json:"Wait"`   // of the attempt
	Mode    string        // flags of the caches' protocol
	Route   string        // that selected the cache; "": there are no routes
	Version uint64        // of the routes; 0: there are none
}

// Values of AttemptOutcome.Word, as the external processing protocol spells them.
const (
	WordHit         = "hit"         // the object was received
	WordValid       = "valid"       // the client's copy is still valid
	WordNone        = "none"        // the cache has no copy and was not to fetch one
	WordShed        = "shed"        // the cache rejected the request
	WordFault       = "fault"       // the cache answered with an error
	WordLate        = "late"        // the request was never sent
	WordTimeout     = "timeout"     // no answer within Decision.Timeout
	WordUnconnected = "unconnected" // no connection could be opened
	WordReset       = "reset"       // the connection broke; the request may have run
)

// AttemptOutcome is how an attempt ended. The zero value is an attempt that may have run and brought nothing.
type AttemptOutcome struct {
	Word       string        // one of the words above; "" is WordFault
	Note       string        // the cache's note on its answer
	SourceWait time.Duration // time the cache waited for its source
	CreatedAt  time.Time     // of the copy; without it the gateway accepts no answer while a purge may have left old copies
	ETag       string        // of the copy
}

// ResultKind is how a lookup ended.
type ResultKind int

// How a lookup ended.
const (
	Satisfied ResultKind = 1 + iota // return what the last attempt brought
	Rejected                        // nothing ran: the client may retry, after Result.RetryAfter if it is not 0
	Failed                          // an attempt may have run
	Refused                         // not a lookup, or one that is open elsewhere or has ended: see Result.Status
)

// String returns the name that commands print; a rejected lookup is printed by its name on the wire.
func (k ResultKind) String() string {
	return [...]string{"unknown", "satisfied", "nacked", "failed", "refused"}[k]
}

// Result is the end of a lookup.
type Result struct {
	Kind       ResultKind
	Status     int           // HTTP status for the client
	Text       string        // for the client
	RetryAfter time.Duration // of a rejected lookup; 0: none was given
	Attempts   []Decision    // the attempts that were made, in order
}

// setSatisfied ends the lookup with the outcome of its last attempt.
func (r *Result) setSatisfied(last AttemptOutcome) {
	r.Kind = Satisfied
	r.Status = http.StatusOK
	if last.Word == WordValid {
		r.Status = http.StatusNotModified
	}
	r.Text = ""
}

// ProtocolError is an answer of the gateway that breaks the contract of docs/external-processor.md. The gateway's version and the
// client's may not fit.
type ProtocolError struct {
	Detail string // what was received
}

// Error returns what was received.
func (e *ProtocolError) Error() string {
	return "gateway broke the external processing contract: " + e.Detail
}

package client

import (
	"net/http"
	"time"
)

// Request is a client's request, which the gateway maps to a lookup. One of the headers carries the lookup id.
type Request struct {
	Method string // "" means GET
	Path   string
	Header http.Header
}

// Decision is an attempt that the caller must carry out once, without delay, at the given cache. The JSON keys are
// those that foldslip-extproc ask --json prints; they must not change.
type Decision struct {
	Attempt int           `json:"N"` // number of the attempt within its lookup, from 0
	Cache   string        // name of the cache
	Addr    string        // address and port of the cache
	Source  string        // name of the cache or origin that a miss is filled from; "": a miss is not filled
	Rank    int           // position of the cache in the ranking for the object
	MaxAge  time.Duration `json:"Oldest"` // maximum age of an acceptable copy; 0: the maximum of the object kind
	Timeout time.Duration `json:"Wait"`   // maximum duration of the attempt
	Mode    string        // flags of the protocol with caches
	Route   string        // name of the route that selected the cache; "": there are no routes
	Version uint64        // version of the routes; 0: there are no routes
}

// Values of AttemptOutcome.Word, as the external processing protocol spells them.
const (
	WordHit         = "hit"         // the object was received
	WordValid       = "valid"       // the client's copy is still valid
	WordNone        = "none"        // the cache has no copy and was told not to fill
	WordShed        = "shed"        // the cache rejected the request
	WordFault       = "fault"       // the cache answered with an error
	WordLate        = "late"        // the request was never sent
	WordTimeout     = "timeout"     // no answer within Decision.Timeout
	WordUnconnected = "unconnected" // no connection could be opened
	WordReset       = "reset"       // the connection broke; the request may have run
)

// AttemptOutcome describes how an attempt ended. The zero value means that the attempt may have run and returned
// nothing.
type AttemptOutcome struct {
	Word       string        // one of the constants above; "" means WordFault
	Note       string        // the note of the cache's answer
	SourceWait time.Duration // time that the cache waited for its source
	// CreatedAt is when the copy was created. Without it, the gateway accepts no answer while a purge may have left
	// outdated copies.
	CreatedAt time.Time
	ETag      string // ETag of the copy
}

// ResultKind is how a lookup ended.
type ResultKind int

// Kinds of results.
const (
	Satisfied ResultKind = 1 + iota // the last attempt returned the object, or confirmed the client's copy
	Rejected                        // the lookup had no effect; the client may retry after Result.RetryAfter
	Failed                          // an attempt may have run and had an effect
	Refused                         // not a lookup, or the lookup is open elsewhere or has ended; see Result.Status
)

// String returns the name that commands print. Rejected is printed under its name on the wire, nacked.
func (k ResultKind) String() string {
	return [...]string{"unknown", "satisfied", "nacked", "failed", "refused"}[k]
}

// Result is the result of a lookup.
type Result struct {
	Kind       ResultKind
	Status     int           // HTTP status for the client
	Text       string        // response text for the client
	RetryAfter time.Duration // delay before a rejected lookup may be retried; 0: none was given
	Attempts   []Decision    // the attempts that were made, in order
}

// setSatisfied sets the result to satisfied. The status follows from the outcome of the last attempt.
func (r *Result) setSatisfied(last AttemptOutcome) {
	r.Kind = Satisfied
	r.Status = http.StatusOK
	if last.Word == WordValid {
		r.Status = http.StatusNotModified
	}
	r.Text = ""
}

// ProtocolError reports an answer of the gateway that violates the contract of docs/external-processor.md. A possible
// cause is that the gateway and the client have incompatible versions.
type ProtocolError struct {
	Detail string // how the answer violates the contract
}

// Error returns a description of the violation.
func (e *ProtocolError) Error() string {
	return "gateway violated the external processing contract: " + e.Detail
}

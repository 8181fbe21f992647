package policy

// Micros is a duration in microseconds, or an instant in microseconds since the Unix epoch.
type Micros = int64

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// Executor carries out what a Router decides. The Router calls it from within calls of its own methods, at the instant of that
// call and under whatever lock its owner holds: an implementation must neither wait nor call the Router.
type Executor interface {
	// Fetch starts an attempt of a lookup. Attempts of a lookup are numbered from 0 in the order of these calls.
	Fetch(lookup *Lookup, request FetchRequest)
	// CancelAttempt stops waiting for an attempt, whose outcome is reported as that of any other.
	CancelAttempt(lookup *Lookup, attempt int)
	// Reject ends a lookup: its client may repeat it without harm, after retryAfter if that is not 0.
	Reject(lookup *Lookup, retryAfter Micros)
	// Fail ends a lookup and promises nothing about a repeat.
	Fail(lookup *Lookup)
	// SetTimer asks for one call of Router.TimerFired with this token after a delay.
	SetTimer(delay Micros, token int64)
	// SubscribeEndpoints asks for changes of the endpoint list from now on, or for no more of them.
	SubscribeEndpoints(on bool)
	// Log writes one line for operators.
	Log(line string)
}

// FetchRequest is what a cache is asked for in one attempt.
type FetchRequest struct {
	Cache  *Cache
	Source *Cache // where a miss is filled from; Cache itself: a miss is not filled
	Rank   int    // how long a copy is worth keeping, 1 to 3; 0: it is not kept
	Mode   FetchMode
	// Timeout is how long the lookup has left for an answer.
	Timeout Micros
	// SilenceTimeout bounds the silence of a connection that has answered before: once two attempts have waited on it this long
	// and nothing was heard since, it is closed, and every attempt on it ends with OutcomeReset.
	SilenceTimeout Micros
	MaxAge         Micros // of the copy; 0: the object kind's own
}

// FetchMode says how a cache treats a miss. Its flags may be combined.
type FetchMode int

// The flags of a FetchMode. Their values are part of the simulator's protocol.
const (
	ModeCoalesce      FetchMode = 1 // wait for a fill of the same object that is under way
	ModeCachedOnly    FetchMode = 2 // the source gives only what it has cached
	ModeSourceNoStore FetchMode = 4 // the source does not cache what it fetches
	ModeRevalidate    FetchMode = 8 // serve a stale copy and refresh it in the background
)

package policy

// Micros is a duration in microseconds, or an instant in microseconds since the Unix epoch.
type Micros = int64

const (
	millisecond Micros = 1000
	second             = 1000 * millisecond
)

// Executor carries out the decisions of a Router. The Router calls it from its own methods, at the time of that call
// and under any lock that the Router's owner holds. An implementation must therefore neither block nor call the
// Router.
type Executor interface {
	// Fetch starts an attempt of a lookup. The attempts of a lookup are numbered from 0 in the order of these calls.
	Fetch(lookup *Lookup, request FetchRequest)
	// CancelAttempt cancels an attempt. Its outcome is reported like that of any other attempt.
	CancelAttempt(lookup *Lookup, attempt int)
	// Reject ends a lookup that the client may safely repeat. If retryAfter is not 0, the client should wait that
	// long before the repeat.
	Reject(lookup *Lookup, retryAfter Micros)
	// Fail ends a lookup without stating whether a repeat is safe.
	Fail(lookup *Lookup)
	// SetTimer requests one call of Router.TimerFired with this token after the delay.
	SetTimer(delay Micros, token int64)
	// SubscribeEndpoints starts or stops the subscription to changes of the endpoint list.
	SubscribeEndpoints(on bool)
	// Log writes one line to the operators' log.
	Log(line string)
}

// FetchRequest holds the parameters of one attempt's request to a cache.
type FetchRequest struct {
	Cache  *Cache
	Source *Cache // source that fills a miss; equal to Cache if a miss is not to be filled
	Rank   int    // value of a cached copy, from 1 to 3; 0 if the response is not to be cached
	Mode   FetchMode
	// Timeout is the time that remains until the lookup's deadline.
	Timeout Micros
	// SilenceTimeout bounds the silence of a connection that has answered before. Once two attempts have waited this
	// long on a connection without any response, the connection is closed and every attempt on it ends with
	// OutcomeReset.
	SilenceTimeout Micros
	MaxAge         Micros // maximum age of the copy; 0 leaves it to the object kind
}

// FetchMode controls how a cache treats a miss. Its flags can be combined.
type FetchMode int

// The flags of a FetchMode. Their values are part of the simulator's protocol.
const (
	ModeCoalesce      FetchMode = 1 // wait for an open fill of the same object instead of starting another
	ModeCachedOnly    FetchMode = 2 // the source returns only a cached copy
	ModeSourceNoStore FetchMode = 4 // the source does not cache the object that it fetches
	ModeRevalidate    FetchMode = 8 // serve a stale copy and refresh it in the background
)

package upstream

import (
	"sync"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
)

// HeadReserve is how many bytes are left free before an object's bytes, so that a head can be written before them
// without copying them.
const HeadReserve = 256

// Request is what a lookup asks caches for, as its request lines carry it. It does not change once it is made.
type Request struct {
	ID     string // 16 hex digits, unique among the gateway's open lookups
	Kind   string
	Object string
	Part   int
	Group  int    // of objects that are purged together
	ETag   string // of the copy that the client holds; "": none
	// IdempotencyKey is by what caches know a lookup again, also when its client repeats it under another id; "": by nothing.
	IdempotencyKey string
	Body           []byte
}

// Lookup is an open lookup as the pool needs it: its request, its attempts, and the objects that they brought. Its owner, a goroutine of
// the front end, calls Release once the lookup has ended. What is read from the connections to caches is stored from their goroutines.
type Lookup struct {
	Request
	PassThrough bool             // runs at the origin: what it brings is no copy
	Dispatched  *dispatch.Lookup // set before its first attempt

	attempts []*attempt // the owner's: all of them, in the order of their start

	admission     *admission.Controller
	mu            sync.Mutex
	objects       map[int]*Object // by attempt
	reservedBytes int             // of admission, for the body and the objects
	released      bool
}

// Object is what an attempt brought for its lookup.
type Object struct {
	Buffer      []byte // HeadReserve bytes, then the object's
	ETag        string // "": it is no copy, but what ran at the origin
	NotModified bool   // the client's copy is the current one
}

// NewLookup returns a lookup. The bytes of its body are reserved with the controller already; Release gives them back.
func NewLookup(request Request, passThrough bool, controller *admission.Controller) *Lookup {
	return &Lookup{Request: request, PassThrough: passThrough, admission: controller, reservedBytes: len(request.Body)}
}

// store keeps what an attempt brought. It does not if the lookup has ended, or if admission has no bytes left for it.
func (l *Lookup) store(attempt int, r response) (stored, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	size := HeadReserve + len(r.body)
	if l.released || !l.admission.ReserveBytes(size) {
		return false, l.released
	}
	l.reservedBytes += size
	object := &Object{ETag: r.etag, NotModified: r.notModified, Buffer: make([]byte, size)}
	copy(object.Buffer[HeadReserve:], r.body)
	if l.objects == nil {
		l.objects = map[int]*Object{}
	}
	l.objects[attempt] = object
	return true, false
}

// TakeObject returns what an attempt brought and lets go of what others did.
func (l *Lookup) TakeObject(attempt int) *Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	object := l.objects[attempt]
	l.objects = nil
	return object
}

// Release gives back the bytes that the lookup holds. Nothing is stored for it from now on.
func (l *Lookup) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.ReleaseBytes(l.reservedBytes)
	l.reservedBytes = 0
	l.objects = nil
	l.released = true
}

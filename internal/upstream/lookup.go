package upstream

import (
	"sync"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
)

// HeadReserve is the number of bytes that are left free before an object's bytes. A response head can be
// written there, so that the object need not be copied.
const HeadReserve = 256

// Request is what a lookup asks caches for, as its request lines carry it. It is not modified after its creation.
type Request struct {
	ID     string // 16 hex digits, unique among the gateway's open lookups
	Kind   string
	Object string
	Part   int
	Group  int    // purge group: its objects can be purged together
	ETag   string // of the copy that the client holds; empty: none
	// IdempotencyKey lets caches recognize a lookup, even when its client repeats it under another id.
	// Empty: they cannot recognize it.
	IdempotencyKey string
	Body           []byte
}

// Lookup is an open lookup as the pool sees it: its request, its attempts and the objects received for
// it. A goroutine of the front end owns it and calls Release once the lookup has ended. The goroutines
// that read from connections to caches store objects in it.
type Lookup struct {
	Request
	PassThrough bool             // runs at the origin, so that its responses are not copies of an object
	Dispatched  *dispatch.Lookup // set before the first attempt

	attempts []*attempt // all attempts in the order of their start; used only by the owner

	admission     *admission.Controller
	mu            sync.Mutex
	objects       map[int]*Object // by attempt number
	reservedBytes int             // reserved with admission for the body and the objects
	released      bool
}

// Object is the object that an attempt received.
type Object struct {
	Buffer      []byte // HeadReserve free bytes, then the object's bytes
	ETag        string // empty if the response came from a lookup that ran at the origin, which returns no copy
	NotModified bool   // the client's copy is current
}

// NewLookup returns a lookup for a request. The caller has already reserved the bytes of its body with
// the controller; Release returns them.
func NewLookup(request Request, passThrough bool, controller *admission.Controller) *Lookup {
	return &Lookup{Request: request, PassThrough: passThrough, admission: controller, reservedBytes: len(request.Body)}
}

// store keeps the object that an attempt received. It keeps nothing if the lookup has ended or if
// admission has no bytes left for the object. ended reports whether the lookup has ended.
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

// TakeObject returns the object that an attempt received, and drops the objects of the other attempts.
func (l *Lookup) TakeObject(attempt int) *Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	object := l.objects[attempt]
	l.objects = nil
	return object
}

// HasAttempts reports whether an attempt of the lookup was started. Only the owner may call it.
func (l *Lookup) HasAttempts() bool { return len(l.attempts) > 0 }

// Release returns the lookup's reserved bytes to admission. Nothing is stored for the lookup afterwards.
func (l *Lookup) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.ReleaseBytes(l.reservedBytes)
	l.reservedBytes = 0
	l.objects = nil
	l.released = true
}

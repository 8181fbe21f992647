package upstream

import (
	"sync"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
)

// HeadReserve is how many bytes are left free before an object's bytes, so that whoever passes them on can write a head before them
// without copying them.
const HeadReserve = 256

// Request is what a lookup asks caches for, as its request lines carry it.
type Request struct {
	ID, Kind, Object string
	Part, Group      int
	ETag             string // of the copy that the client holds; "": none
	IdempotencyKey   string // by which caches know a lookup again, also when its client repeats it under another id
	Body             []byte
}

// Lookup is an open lookup as the pool needs it: what it asks for, its attempts, and the objects that they brought. Its owner calls
// Release once it has ended.
type Lookup struct {
	Request
	PassThrough bool             // runs at the origin: what it brings is no copy
	Dispatched  *dispatch.Lookup // set before its first attempt

	attempts      []*attempt // of the goroutine that starts and cancels them
	admission     *admission.Controller
	mu            sync.Mutex
	objects       map[int]*Object // by attempt
	reservedBytes int             // of admission, for the body and the objects
	released      bool
}

// Object is what an attempt brought for its lookup.
type Object struct {
	Buffer      []byte // HeadReserve bytes, then the object's
	ETag        string
	NotModified bool // the client's copy is the current one
}

// NewLookup makes a lookup. The bytes of its body are reserved with admission already; Release gives them back.
func NewLookup(request Request, passThrough bool, admission *admission.Controller) *Lookup {
	return &Lookup{Request: request, PassThrough: passThrough, admission: admission, reservedBytes: len(request.Body)}
}

// store keeps the object that an attempt brought; not if the lookup has ended or no bytes are left for it.
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

// TakeObject gives the object that an attempt brought, and lets go of all others.
func (l *Lookup) TakeObject(attempt int) *Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	object := l.objects[attempt]
	l.objects = nil
	return object
}

// Release gives back the bytes that the lookup holds; nothing is stored for it from now on.
func (l *Lookup) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admission.ReleaseBytes(l.reservedBytes)
	l.reservedBytes, l.objects, l.released = 0, nil, true
}

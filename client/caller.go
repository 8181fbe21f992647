// Package client is a client of the door for other proxies, for programs that make the sends of their lookups themselves:
//
//	client := caller.New(conn)
//	outcome, err := client.Lookup(ctx, caller.Request{Path: "/call/segment/7f3a/part-3", Header: header}, send)
//
// Lookup keeps the contract of docs/external-processor.md: one stream a send, each send made once and reported, asked again under
// the same id for as long as the door says so. It holds nothing between lookups; a Client may be used by many goroutines.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
)

const (
	prefix      = "x-foldslip-"
	maxAttempts = 64 // the module's own limit is far below; a door that passes this is broken
)

// Client asks at one door.
type Client struct {
	processor extprocv3.ExternalProcessorClient
}

// New makes a client over a connection, which stays the caller's own to close.
func New(conn grpc.ClientConnInterface) *Client {
	return &Client{extprocv3.NewExternalProcessorClient(conn)}
}

// Request is a request of a client, as the door's table reads it. The id stands in one of the headers.
type Request struct {
	Method string // "" is GET
	Path   string
	Header http.Header
}

// Decision is a send to make: once, now, to that cache.
type Decision struct {
	Attempt     int `json:"N"` // of the lookup's sends, from 0
	Cache, Addr string
	Source      string // where the cache fills a miss from; "": it does not
	Rank        int
	MaxAge      time.Duration `json:"Oldest"` // the oldest copy that will do; 0: the object kind's own
	Timeout     time.Duration `json:"Wait"`   // how long to wait at most
	Mode        string        // as the caches' protocol has it
	Route       string        // that it was decided by, and the version of the routes; "" and 0 where there are none
	Version     uint64
}

// AttemptOutcome is how a send ended. Its zero value is a send that may have run and brought nothing.
type AttemptOutcome struct {
	Word       string // hit, valid, none, shed, fault, late (never sent), timeout, unconnected, reset
	Note       string // the cache's
	SourceWait time.Duration
	CreatedAt  time.Time // of the copy; without it the door lets no answer pass while a purge may have old copies about
	ETag       string
}

// ResultKind is what became of a lookup.
type ResultKind int

const (
	Satisfied ResultKind = 1 + iota // pass on what the last send brought
	Rejected                        // trying again is harmless, after Wait if it is not 0
	Failed
	Refused // no lookup, or one that is open elsewhere or answered already: see Status
)

func (r ResultKind) String() string {
	return [...]string{"unknown", "satisfied", "nacked", "failed", "refused"}[r]
}

// Result is the end of a lookup.
type Result struct {
	Kind       ResultKind
	Status     int // the door's, for the client
	Text       string
	RetryAfter time.Duration
	Attempts   []Decision
}

// AttemptFunc makes one send and tells how it ended. It must not make it twice, and must end when ctx does.
type AttemptFunc func(ctx context.Context, d Decision) AttemptOutcome

// Lookup asks the door, makes the sends it is told, and tells the end. Its error is of the way to the door or of the door
// itself; the lookup may then have had effects if a send was made (Outcome.Sends).
func (c *Client) Lookup(ctx context.Context, r Request, send AttemptFunc) (Result, error) {
	var o Result
	for len(o.Attempts) < maxAttempts {
		again, err := c.runStream(ctx, r, send, &o)
		if err != nil || !again {
			return o, err
		}
	}
	return o, fmt.Errorf("the door told more than %d sends of one lookup", maxAttempts)
}

// runStream is one stream: an ask, at most one send, and its report.
func (c *Client) runStream(ctx context.Context, r Request, send AttemptFunc, o *Result) (again bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	stream, err := c.processor.Process(ctx)
	if err != nil {
		return false, err
	}
	if err := stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestHeaders{RequestHeaders: requestHeaders(r)}}); err != nil &&
		!errors.Is(err, io.EOF) {
		return false, err
	}
	m, err := stream.Recv()
	if err != nil {
		return false, err
	}
	if i := m.GetImmediateResponse(); i != nil {
		return o.readEnd(i), nil
	}
	d, err := parseDecision(m)
	if err != nil {
		return false, err
	}
	o.Attempts = append(o.Attempts, d)
	within, done := context.WithTimeout(ctx, d.Timeout)
	e := send(within, d)
	done()
	if err := stream.Send(&extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: reportHeaders(e)}}); err != nil &&
		!errors.Is(err, io.EOF) {
		return false, err
	}
	if m, err = stream.Recv(); err != nil {
		return false, err
	}
	if i := m.GetImmediateResponse(); i != nil {
		return o.readEnd(i), nil
	}
	if m.GetResponseHeaders() == nil {
		return false, fmt.Errorf("the door answers a report with %T", m.Response)
	}
	stream.CloseSend()
	o.Kind, o.Status, o.Text = Satisfied, 200, ""
	if e.Word == "valid" {
		o.Status = 304
	}
	return false, nil
}

// readEnd reads an immediate response; true if it is no end but word to ask again.
func (o *Result) readEnd(i *extprocv3.ImmediateResponse) bool {
	o.Status, o.Text = int(i.GetStatus().GetCode()), strings.TrimSpace(string(i.Body))
	for _, h := range i.GetHeaders().GetSetHeaders() {
		switch v := string(h.GetHeader().GetRawValue()); h.GetHeader().GetKey() {
		case prefix + "again":
			*o = Result{Attempts: o.Attempts}
			return true
		case "x-wait-ms":
			ms, _ := strconv.ParseInt(v, 10, 64)
			o.RetryAfter = time.Duration(ms) * time.Millisecond
		}
	}
	switch o.Status {
	case 503:
		o.Kind = Rejected
	case 502:
		o.Kind = Failed
	default:
		o.Kind = Refused
	}
	return false
}

// parseDecision reads a decision.
func parseDecision(m *extprocv3.ProcessingResponse) (d Decision, err error) {
	mutation := m.GetRequestHeaders().GetResponse().GetHeaderMutation()
	number := func(v string) float64 {
		n, bad := strconv.ParseFloat(v, 64)
		if bad != nil && err == nil {
			err = fmt.Errorf("the door tells a figure %q", v)
		}
		return n
	}
	ms := func(v string) time.Duration { return time.Duration(number(v) * float64(time.Millisecond)) }
	for _, h := range mutation.GetSetHeaders() {
		v := string(h.GetHeader().GetRawValue())
		switch strings.TrimPrefix(h.GetHeader().GetKey(), prefix) {
		case "cache":
			d.Cache = v
		case "addr":
			d.Addr = v
		case "send":
			d.Attempt = int(number(v))
		case "source":
			d.Source = v
		case "rank":
			d.Rank = int(number(v))
		case "oldest-ms":
			d.MaxAge = ms(v)
		case "mode":
			d.Mode = v
		case "route":
			d.Route = v
		case "version":
			d.Version = uint64(number(v))
		case "wait-ms":
			d.Timeout = ms(v)
		}
	}
	if err == nil && (d.Cache == "" || d.Timeout <= 0) {
		err = errors.New("the door's answer is neither a decision nor an end")
	}
	return d, err
}

// requestHeaders are a request's as the protocol has them.
func requestHeaders(r Request) *extprocv3.HttpHeaders {
	m := &corev3.HeaderMap{}
	add := func(name, v string) {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(v)})
	}
	method := r.Method
	if method == "" {
		method = http.MethodGet
	}
	add(":method", method)
	add(":path", r.Path)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, v := range r.Header[name] {
			add(strings.ToLower(name), v)
		}
	}
	return &extprocv3.HttpHeaders{Headers: m, EndOfStream: true}
}

// reportHeaders is a report.
func reportHeaders(e AttemptOutcome) *extprocv3.HttpHeaders {
	word := e.Word
	if word == "" {
		word = "fault"
	}
	m := &corev3.HeaderMap{}
	for _, f := range [][2]string{{"end", word}, {"note", e.Note}, {"ver", e.ETag}} {
		if f[1] != "" {
			m.Headers = append(m.Headers, &corev3.HeaderValue{Key: prefix + f[0], RawValue: []byte(f[1])})
		}
	}
	if e.SourceWait > 0 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: prefix + "waited-ms", RawValue: strconv.AppendFloat(nil, float64(e.SourceWait.Microseconds())/1000, 'f', 3, 64)})
	}
	if !e.CreatedAt.IsZero() {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: prefix + "born", RawValue: strconv.AppendInt(nil, e.CreatedAt.UnixMilli(), 10)})
	}
	return &extprocv3.HttpHeaders{Headers: m, EndOfStream: true}
}

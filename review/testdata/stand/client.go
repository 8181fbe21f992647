package stand

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// NewID returns the id of a new request.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Request is a client's request.
type Request struct {
	ID, Kind, Object string
	Part, Group      int
	Allow            time.Duration
	KB               float64
	ETag             string
	Headers          string // further header lines, each with its end
}

// Text returns the request as it is written.
func (r *Request) Text() []byte {
	if r.ID == "" {
		r.ID = NewID()
	}
	text := fmt.Appendf(nil, "GET /call/%s/%s/part-%d HTTP/1.1\r\nHost: backend.local\r\nX-Job-Id: %s\r\nX-Allow-Ms: %d\r\nX-Group: %d\r\nX-Ram-Kb: %g\r\n",
		r.Kind, r.Object, r.Part, r.ID, r.Allow.Milliseconds(), r.Group, r.KB)
	if r.ETag != "" {
		text = fmt.Appendf(text, "If-None-Match: \"%s\"\r\n", r.ETag)
	}
	return append(append(text, r.Headers...), "\r\n"...)
}

// Result is what a client saw of a request.
type Result struct {
	Status int
	ETag   string
	Body   []byte
	Close  bool
	Err    error
	Took   time.Duration
}

// String describes the result in a line.
func (r Result) String() string {
	if r.Err != nil {
		return fmt.Sprintf("no whole answer (%v) after %d ms", r.Err, r.Took.Milliseconds())
	}
	return fmt.Sprintf("%d, %d bytes, after %d ms", r.Status, len(r.Body), r.Took.Milliseconds())
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial connects to a gateway.
func Dial(addr string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// Read1 reads one answer until the deadline.
func (c *Conn) Read1(sentAt, deadline time.Time) (result Result) {
	c.SetReadDeadline(deadline)
	response, err := http.ReadResponse(c.r, nil)
	if err == nil {
		result.Status = response.StatusCode
		result.Close = response.Close
		if tag := response.Header.Get("ETag"); len(tag) > 2 {
			result.ETag = tag[1 : len(tag)-1]
		}
		result.Body, err = io.ReadAll(response.Body)
	}
	result.Err = err
	result.Took = time.Since(sentAt)
	return result
}

// Ask sends one request on a new connection and waits for its answer until its time and wait are over.
func Ask(addr string, r *Request, wait time.Duration) Result {
	c, err := Dial(addr)
	if err != nil {
		return Result{Err: err}
	}
	defer c.Close()
	at := time.Now()
	if _, err := c.Write(r.Text()); err != nil {
		return Result{Err: err}
	}
	return c.Read1(at, at.Add(r.Allow+wait))
}

package frontend

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/upstream"
)

const (
	maxHeadBytes           = 16 << 10 // bytes of a request's head
	maxHeaderFields        = 64
	maxTimeAllowed         = time.Hour
	maxIdempotencyKeyBytes = 128 // bytes of the word by which caches know a lookup again
)

// Request is one request of a client, or what is wrong with it.
type Request struct {
	upstream.Request
	Method      string
	SizeKB      float64
	TimeAllowed time.Duration // -1: not given
	IsPing      bool
	ClosesConn  bool
	BodyLength  int // of the bytes that follow the head; only with PUT
}

// RequestError is a request that gets a plain answer and never reaches the module.
type RequestError struct {
	Status int
	Text   string
}

func (f *RequestError) Error() string { return f.Text }

func badRequest(text string) *RequestError { return &RequestError{400, text} }

var errIncomplete = errors.New("not whole yet")

// parseRequest reads a request's head at the front of b and tells how long it is; errShort asks for more bytes. Length bytes follow it.
func parseRequest(b []byte) (Request, int, error) {
	r := Request{TimeAllowed: -1}
	end := headLength(b)
	if end < 0 {
		if len(b) >= maxHeadBytes {
			return r, 0, &RequestError{431, "the head is too long"}
		}
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			if _, _, err := parseRequestLine(&r, trimCR(b[:i])); err != nil {
				return r, 0, err
			}
		}
		return r, 0, errIncomplete
	}
	head := b[:end]
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	target, old, err := parseRequestLine(&r, trimCR(line))
	if err != nil {
		return r, 0, err
	}
	r.ClosesConn = old
	host, seen := false, map[string]bool{}
	for n := 0; ; n++ {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimCR(line); len(line) == 0 {
			break
		}
		if n >= maxHeaderFields {
			return r, 0, &RequestError{431, "too many header fields"}
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return r, 0, badRequest("a header field cannot be read")
		}
		v := string(bytes.Trim(value, " \t"))
		if strings.ContainsFunc(v, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return r, 0, badRequest("a header value has control bytes")
		}
		if err := r.parseField(strings.ToLower(string(name)), v, seen, &host); err != nil {
			return r, 0, err
		}
	}
	if !host && !old {
		return r, 0, badRequest("Host is missing")
	}
	if err := r.parseTarget(target); err != nil {
		return r, 0, err
	}
	if r.BodyLength > 0 && r.Method != "PUT" {
		return r, 0, badRequest("a lookup has no body")
	}
	return r, end, nil
}

// headLength is the length of a head with its empty line, or -1.
func headLength(b []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return -1
		}
		if at > 0 && len(trimCR(b[at:at+i])) == 0 {
			return at + i + 1
		}
		at += i + 1
	}
}

func trimCR(b []byte) []byte { return bytes.TrimSuffix(b, []byte("\r")) }

func parseRequestLine(r *Request, line []byte) (target string, old bool, err error) {
	words := strings.Split(string(line), " ")
	if len(words) != 3 || !isToken([]byte(words[0])) || words[1] == "" {
		return "", false, badRequest("the request line cannot be read")
	}
	switch words[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		old = true
	default:
		return "", false, &RequestError{505, "the version is not HTTP/1.1"}
	}
	r.Method = words[0]
	return words[1], old, nil
}

// parseField takes one header field; those that a lookup is made of may come once only.
func (r *Request) parseField(name, v string, seen map[string]bool, host *bool) error {
	switch name {
	case "x-job-id", "x-allow-ms", "x-group", "x-ram-kb", "x-unique", "if-none-match", "host", "content-length":
		if seen[name] {
			return badRequest(name + " comes twice")
		}
		seen[name] = true
	}
	switch name {
	case "host":
		*host = true
	case "x-job-id":
		if !upstream.IsID(v) {
			return badRequest("X-Job-Id is not 16 hex digits")
		}
		r.ID = v
	case "x-allow-ms":
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(n) || n > float64(maxTimeAllowed.Milliseconds()) || n < -1e12 {
			return badRequest("X-Allow-Ms is not a time in milliseconds")
		}
		r.TimeAllowed = max(0, time.Duration(n*float64(time.Millisecond)))
	case "x-group":
		n, err := strconv.ParseUint(v, 10, 8)
		if err != nil {
			return badRequest("X-Group is not a number from 0 to 255")
		}
		r.Group = int(n)
	case "x-ram-kb":
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0 && n <= 1e9) {
			return badRequest("X-Ram-Kb is not a size")
		}
		r.SizeKB = n
	case "x-unique":
		if !upstream.IsName(v) || len(v) > maxIdempotencyKeyBytes {
			return badRequest("X-Unique is not a word that can be passed on")
		}
		r.IdempotencyKey = v
	case "if-none-match":
		// One strong or weak tag that a cache's line can carry is passed on; anything else is as none.
		tag := strings.TrimPrefix(v, "W/")
		if len(tag) > 2 && tag[0] == '"' && tag[len(tag)-1] == '"' && upstream.IsName(tag[1:len(tag)-1]) {
			r.ETag = tag[1 : len(tag)-1]
		}
	case "content-length":
		n, err := strconv.ParseUint(v, 10, 63)
		if err != nil {
			return badRequest("Content-Length is not a length")
		}
		if n > upstream.MaxObjectBytes {
			return badRequest("the body is too long")
		}
		r.BodyLength = int(n)
	case "transfer-encoding":
		return badRequest("the length of a body is told by Content-Length alone")
	case "connection":
		for _, o := range strings.Split(strings.ToLower(v), ",") {
			switch strings.TrimSpace(o) {
			case "close":
				r.ClosesConn = true
			case "keep-alive":
				r.ClosesConn = seen["close"]
			}
		}
	}
	return nil
}

// parseTarget reads /ping or /call/KIND/OBJECT/part-N; a target without a part means part 0.
func (r *Request) parseTarget(t string) error {
	if i := strings.Index(t, "://"); i > 0 && !strings.HasPrefix(t, "/") {
		if j := strings.IndexByte(t[i+3:], '/'); j >= 0 {
			t = t[i+3+j:]
		}
	}
	t, _, _ = strings.Cut(t, "?")
	if t == "/ping" {
		r.IsPing = true
		return nil
	}
	parts := strings.Split(t, "/")
	if len(parts) < 4 || len(parts) > 5 || parts[0] != "" || parts[1] != "call" {
		return &RequestError{404, "no such target"}
	}
	var ok1, ok2 bool
	r.Kind, ok1 = unescape(parts[2])
	r.Object, ok2 = unescape(parts[3])
	if !ok1 || !ok2 || !upstream.IsName(r.Kind) || !upstream.IsName(r.Object) || len(r.Object) > 256 {
		return badRequest("the target cannot be read")
	}
	if len(parts) == 5 {
		last, ok := unescape(parts[4])
		digits, found := strings.CutPrefix(last, "part-")
		n, err := strconv.ParseUint(digits, 10, 31)
		if !ok || !found || err != nil {
			return badRequest("the part cannot be read")
		}
		r.Part = int(n)
	}
	return nil
}

func unescape(s string) (string, bool) {
	if !strings.Contains(s, "%") {
		return s, true
	}
	var out []byte
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			out = append(out, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		n, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", false
		}
		out = append(out, byte(n))
		i += 2
	}
	return string(out), true
}

func isToken(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}

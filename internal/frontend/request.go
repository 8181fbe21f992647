package frontend

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/upstream"
)

const (
	maxHeadBytes           = 16 << 10
	maxHeaderFields        = 64
	maxTimeAllowed         = time.Hour
	maxIdempotencyKeyBytes = 128
	maxObjectNameBytes     = 256

	// timeUnspecified is the time allowed of a request without X-Allow-Ms.
	timeUnspecified = time.Duration(-1)
)

// Request is a client's request.
type Request struct {
	upstream.Request
	Method      string
	SizeKB      float64
	TimeAllowed time.Duration // timeUnspecified if the request has no X-Allow-Ms
	IsPing      bool
	ClosesConn  bool
	BodyLength  int // length of the body in bytes; 0 unless the method is PUT
}

// RequestError reports an invalid request. It holds the status and the text of the response to the client.
type RequestError struct {
	Status int
	Text   string
}

// Error returns the response's text.
func (e *RequestError) Error() string { return e.Text }

func badRequest(text string) *RequestError { return &RequestError{statusBadRequest, text} }

// errIncomplete reports that more bytes are needed.
var errIncomplete = errors.New("request head is incomplete")

// parseRequest parses the head of the request at the front of b and returns the length of the head. The body of
// BodyLength bytes follows the head. The error is errIncomplete if more bytes are needed, and a *RequestError
// otherwise.
func parseRequest(b []byte) (Request, int, error) {
	var scan headScan
	return scan.parse(b)
}

// headScan remembers how much of an incomplete head has been looked at, so that a head that arrives in many small parts
// is not scanned from its start for each of them. The zero value is the scan of a new head.
type headScan struct {
	lineStart int // start of the last line, which is incomplete
	scanned   int // bytes that have been looked at
}

// parse is parseRequest for a head whose front was parsed before, as incomplete. b begins with the same bytes.
func (s *headScan) parse(b []byte) (Request, int, error) {
	request := Request{TimeAllowed: timeUnspecified}
	wasInFirstLine := s.lineStart == 0
	length := s.headLength(b)
	if length < 0 {
		return request, 0, checkIncomplete(b, wasInFirstLine && s.lineStart > 0)
	}
	line, fields, _ := bytes.Cut(b[:length], []byte("\n"))
	target, isHTTP10, err := request.parseLine(trimCR(line))
	if err != nil {
		return request, 0, err
	}
	request.ClosesConn = isHTTP10
	hasHost, err := request.parseFields(fields)
	if err != nil {
		return request, 0, err
	}
	if !hasHost && !isHTTP10 {
		return request, 0, badRequest("Host is missing")
	}
	if err := request.parseTarget(target); err != nil {
		return request, 0, err
	}
	if request.BodyLength > 0 && request.Method != methodPut {
		return request, 0, badRequest("a lookup has no body")
	}
	return request, length, nil
}

// checkIncomplete returns errIncomplete for a head that has not arrived in full. If the bytes received so far are
// already invalid, it returns a *RequestError. The request line is looked at if it has just been completed.
func checkIncomplete(b []byte, hasNewLine bool) error {
	if len(b) >= maxHeadBytes {
		return &RequestError{statusHeadTooLarge, "the head is too long"}
	}
	if hasNewLine {
		var request Request
		line, _, _ := bytes.Cut(b, []byte("\n"))
		if _, _, err := request.parseLine(trimCR(line)); err != nil {
			return err
		}
	}
	return errIncomplete
}

// headLength returns the length of a head including its empty line, or -1 if the head is incomplete.
func headLength(b []byte) int {
	var scan headScan
	return scan.headLength(b)
}

func (s *headScan) headLength(b []byte) int {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return -1
		}
		lineStart, next := s.lineStart, s.scanned+i+1
		s.lineStart, s.scanned = next, next
		if lineStart > 0 && len(trimCR(b[lineStart:next-1])) == 0 {
			return next
		}
	}
}

func trimCR(b []byte) []byte { return bytes.TrimSuffix(b, []byte("\r")) }

// parseLine parses a request line.
func (r *Request) parseLine(line []byte) (target string, isHTTP10 bool, err error) {
	words := strings.Split(string(line), " ")
	if len(words) != 3 || !isToken([]byte(words[0])) || words[1] == "" {
		return "", false, badRequest("the request line cannot be read")
	}
	switch words[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		isHTTP10 = true
	default:
		return "", false, &RequestError{statusVersionUnsupported, "the version is not HTTP/1.1"}
	}
	r.Method = words[0]
	return words[1], isHTTP10, nil
}

// parseFields parses the header fields up to the empty line.
func (r *Request) parseFields(lines []byte) (hasHost bool, err error) {
	seen := map[string]bool{}
	for n := 0; ; n++ {
		var line []byte
		line, lines, _ = bytes.Cut(lines, []byte("\n"))
		line = trimCR(line)
		if len(line) == 0 {
			return seen[headerHost], nil
		}
		if n >= maxHeaderFields {
			return false, &RequestError{statusHeadTooLarge, "too many header fields"}
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return false, badRequest("a header field cannot be read")
		}
		text := string(bytes.Trim(value, " \t"))
		if strings.ContainsFunc(text, isControl) {
			return false, badRequest("a header value has control bytes")
		}
		if err := r.parseField(strings.ToLower(string(name)), text, seen); err != nil {
			return false, err
		}
	}
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// parseTarget parses /ping or /call/KIND/OBJECT/part-N. Without part-N the part is 0.
func (r *Request) parseTarget(target string) error {
	path := pathOf(target)
	if path == pathPing {
		r.IsPing = true
		return nil
	}
	parts := strings.Split(path, "/")
	if len(parts) < 4 || len(parts) > 5 || parts[0] != "" || parts[1] != pathLookup {
		return &RequestError{statusNotFound, "no such target"}
	}
	var okKind, okObject bool
	r.Kind, okKind = unescape(parts[2])
	r.Object, okObject = unescape(parts[3])
	if !okKind || !okObject || !upstream.IsName(r.Kind) || !upstream.IsName(r.Object) || len(r.Object) > maxObjectNameBytes {
		return badRequest("the target cannot be read")
	}
	if len(parts) == 5 {
		text, ok := unescape(parts[4])
		digits, found := strings.CutPrefix(text, pathPartPrefix)
		number, err := strconv.ParseUint(digits, 10, 31)
		if !ok || !found || err != nil {
			return badRequest("the part cannot be read")
		}
		r.Part = int(number)
	}
	return nil
}

// pathOf returns a target's path, without scheme, authority and query.
func pathOf(target string) string {
	if i := strings.Index(target, "://"); i > 0 && !strings.HasPrefix(target, "/") {
		if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
			target = target[i+3+j:]
		}
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// unescape decodes the percent escapes of a path segment. It returns false if an escape is invalid.
func unescape(s string) (string, bool) {
	if !strings.Contains(s, "%") {
		return s, true
	}
	var unescaped []byte
	for i := 0; i < len(s); i++ {
		if s[i] != '%' {
			unescaped = append(unescaped, s[i])
			continue
		}
		if i+2 >= len(s) {
			return "", false
		}
		value, err := strconv.ParseUint(s[i+1:i+3], 16, 8)
		if err != nil {
			return "", false
		}
		unescaped = append(unescaped, byte(value))
		i += 2
	}
	return string(unescaped), true
}

// isToken reports whether b is an HTTP token. Methods and field names are tokens.
func isToken(b []byte) bool {
	for _, c := range b {
		if !(c >= '0' && c <= '9' || c >= 'A' && c <= 'Z' || c >= 'a' && c <= 'z' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return len(b) > 0
}

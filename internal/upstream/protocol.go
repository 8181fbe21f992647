package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"foldslip/internal/policy"
)

// The words of the protocol between gateways and caches. The platform defines their wire form. Elsewhere
// this package and its users use the terms of package policy.
const (
	commandFetch  = "do"
	commandCancel = "undo"

	fieldKind           = "c"
	fieldObject         = "k"
	fieldPart           = "p"
	fieldTimeout        = "w" // milliseconds
	fieldSource         = "from"
	fieldRank           = "rank"
	fieldMaxAge         = "oldest" // milliseconds
	fieldMode           = "mode"
	fieldETag           = "seen"
	fieldIdempotencyKey = "i"

	modeCoalesce      = "j"
	modeCachedOnly    = "h"
	modeSourceNoStore = "n"
	modeRevalidate    = "r"

	responseObject      = "HIT"
	responseNotModified = "VALID"
	responseMiss        = "NONE"
	responseRejected    = "SHED"
	responseError       = "FAULT"
	responseNotSent     = "LATE"

	noFields        = "-"
	fieldDetail     = "note"
	fieldSourceWait = "waited" // milliseconds
	fieldVersion    = "ver"
	fieldCreatedAt  = "born" // milliseconds of Unix time
)

// detailByWord maps the values of the field "note" to outcome details.
var detailByWord = map[string]policy.OutcomeDetail{
	"hit":           policy.DetailHit,
	"filled":        policy.DetailFilled,
	"via_origin":    policy.DetailFilledFromOrigin,
	"joined":        policy.DetailCoalesced,
	"stale":         policy.DetailStale,
	"src_refused":   policy.DetailSourceRefused,
	"src_broke":     policy.DetailSourceBroke,
	"src_lacks":     policy.DetailSourceMiss,
	"no_slot":       policy.DetailNoFillSlot,
	"origin_failed": policy.DetailOriginFailed,
}

// modeWords lists the fetch modes in the order in which a request line names them.
var modeWords = [...]struct {
	mode policy.FetchMode
	word string
}{
	{policy.ModeCoalesce, modeCoalesce},
	{policy.ModeCachedOnly, modeCachedOnly},
	{policy.ModeSourceNoStore, modeSourceNoStore},
	{policy.ModeRevalidate, modeRevalidate},
}

const (
	// MaxObjectBytes is the maximum number of body bytes of a response and of a request.
	MaxObjectBytes = 240000

	maxLineBytes     = 4 << 10
	maxResponseBytes = maxLineBytes + MaxObjectBytes + len("\r\n\r\n")
	maxSourceWaitMS  = 1e9
	maxCreatedAtMS   = 1e14
	idLength         = 16 // hex digits
)

// requestLine holds the contents of the line that requests one attempt from a cache.
type requestLine struct {
	Request
	timeout policy.Micros // time until the attempt's deadline when the line is made
	source  string        // cache or origin from which a miss is filled; empty: the cache does not fill
	rank    int           // rank of the copy that the cache is to store; 0: none
	maxAge  policy.Micros // maximum age of a copy; 0: the default of the object kind
	mode    policy.FetchMode
}

// appendTo appends the request line and the request's body to b.
func (l *requestLine) appendTo(b []byte) []byte {
	return appendBody(l.appendLine(b), l.Body)
}

// appendBody appends what follows a request line: the body and its end.
func appendBody(b, body []byte) []byte { return append(append(b, body...), bodyEnd...) }

// bodyEnd follows the body of a request, also an empty one.
const bodyEnd = "\r\n"

// appendLine appends the request line to b.
func (l *requestLine) appendLine(b []byte) []byte {
	b = fmt.Appendf(b, commandFetch+" %s "+fieldKind+"=%s,"+fieldObject+"=%s,"+fieldPart+"=%d,"+fieldTimeout+"=%d", l.ID, l.Kind, l.Object, l.Part,
		max(1, (l.timeout+999)/1000))
	if l.source != "" {
		b = fmt.Appendf(b, ","+fieldSource+"=%s", l.source)
	}
	if l.rank > 0 {
		b = fmt.Appendf(b, ","+fieldRank+"=%d", l.rank)
	}
	if l.maxAge > 0 {
		b = fmt.Appendf(b, ","+fieldMaxAge+"=%d", max(1, l.maxAge/1000))
	}
	separator := "," + fieldMode + "="
	for _, m := range modeWords {
		if l.mode&m.mode != 0 {
			b = append(append(b, separator...), m.word...)
			separator = "+"
		}
	}
	if l.ETag != "" {
		b = fmt.Appendf(b, ","+fieldETag+"=%s", l.ETag)
	}
	if l.IdempotencyKey != "" {
		b = fmt.Appendf(b, ","+fieldIdempotencyKey+"=%s", l.IdempotencyKey)
	}
	return fmt.Appendf(b, " %d\r\n", len(l.Body))
}

// appendCancelLine appends the line that cancels the request with an id.
func appendCancelLine(b []byte, id string) []byte {
	return fmt.Appendf(b, commandCancel+" %s\r\n", id)
}

// errIncomplete reports that the buffer holds only a part of a response and that more bytes must be read.
var errIncomplete = errors.New("incomplete response, more bytes needed")

// invalidResponseError describes why a response cannot be used.
type invalidResponseError string

func (e invalidResponseError) Error() string { return string(e) }

// response is the response of a cache to an attempt.
type response struct {
	id          string
	outcome     policy.AttemptOutcome
	notModified bool // the client's copy is current
	detail      policy.OutcomeDetail
	sourceWait  policy.Micros
	etag        string
	createdAt   time.Time
	// hasNoVersion is set if the response names no version or no creation time. It is then not a copy,
	// but only the result of a lookup that ran at the origin.
	hasNoVersion bool
	body         []byte // part of the buffer that was parsed
}

// parseResponse parses the response at the front of b and returns it with its length. It returns
// errIncomplete if more bytes are needed. A response that is framed correctly but cannot be used is
// returned with its id and length beside the error. With any other error the length is 0.
func parseResponse(b []byte) (response, int, error) {
	var r response
	lineEnd := bytes.IndexByte(b, '\n')
	if lineEnd < 0 {
		if len(b) > maxLineBytes {
			return r, 0, invalidResponseError(fmt.Sprintf("response line is longer than %d bytes", maxLineBytes))
		}
		return r, 0, errIncomplete
	}
	if lineEnd > maxLineBytes || lineEnd == 0 || b[lineEnd-1] != '\r' {
		return r, 0, invalidResponseError(fmt.Sprintf("response line of %d bytes is longer than %d bytes or does not end in CR LF", lineEnd, maxLineBytes))
	}
	words := strings.Split(string(b[:lineEnd-1]), " ")
	if len(words) != 4 || words[0] == "" {
		return r, 0, invalidResponseError(fmt.Sprintf("response line has %d words, expected 4 with an id first", len(words)))
	}
	// Most likely a response was cut off within its id, and the next response follows on the same line.
	if !IsID(words[0]) {
		return r, 0, invalidResponseError("the id is not 16 hex digits")
	}
	length, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || length > MaxObjectBytes {
		return r, 0, invalidResponseError(fmt.Sprintf("response length is not a number from 0 to %d", MaxObjectBytes))
	}
	bodyStart := lineEnd + 1
	bodyEnd := bodyStart + int(length)
	if len(b) < bodyEnd+2 {
		return r, 0, errIncomplete
	}
	if b[bodyEnd] != '\r' || b[bodyEnd+1] != '\n' {
		return r, 0, invalidResponseError(fmt.Sprintf("response body of %d bytes is not followed by CR LF", length))
	}
	r.id = words[0]
	r.body = b[bodyStart:bodyEnd]
	return r, bodyEnd + 2, r.parseContent(words[1], words[2])
}

// parseContent parses the outcome word and the fields of a response whose id and body are set.
func (r *response) parseContent(word, fields string) error {
	switch word {
	case responseObject:
		r.outcome = policy.OutcomeSatisfied
	case responseNotModified:
		r.outcome = policy.OutcomeSatisfied
		r.notModified = true
	case responseMiss:
		r.outcome = policy.OutcomeMiss
	case responseRejected:
		r.outcome = policy.OutcomeRejected
	case responseError:
		r.outcome = policy.OutcomeError
	case responseNotSent:
		r.outcome = policy.OutcomeNotSent
	default:
		return invalidResponseError(fmt.Sprintf("unknown outcome word %.40q in response", word))
	}
	if err := r.parseFields(fields); err != nil {
		return err
	}
	r.hasNoVersion = r.outcome == policy.OutcomeSatisfied && (r.etag == "" || r.createdAt.IsZero())
	if r.notModified && (r.hasNoVersion || len(r.body) > 0) {
		return invalidResponseError("VALID response must have fields ver and born and no body")
	}
	return nil
}

// parseFields parses the fields that the gateway uses and ignores all others.
func (r *response) parseFields(fields string) error {
	if fields == noFields {
		return nil
	}
	for _, field := range strings.Split(fields, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return invalidResponseError(fmt.Sprintf("response field %.40q does not have the form name=value", field))
		}
		if err := r.parseField(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (r *response) parseField(name, value string) error {
	switch name {
	case fieldDetail:
		r.detail = detailByWord[value]
	case fieldSourceWait:
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms >= 0 && ms < maxSourceWaitMS) {
			return invalidResponseError(fmt.Sprintf("response field waited is %.40q, expected milliseconds from 0 to below %g", value, maxSourceWaitMS))
		}
		r.sourceWait = policy.Micros(math.Round(ms * 1000))
	case fieldVersion:
		if !IsName(value) {
			return invalidResponseError(fmt.Sprintf("response field ver is %.40q, expected a name", value))
		}
		r.etag = value
	case fieldCreatedAt:
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms > 0 && ms < maxCreatedAtMS) {
			return invalidResponseError(fmt.Sprintf("response field born is %.40q, expected milliseconds above 0 and below %g", value, maxCreatedAtMS))
		}
		r.createdAt = time.UnixMicro(int64(ms * 1000))
	}
	return nil
}

// IsName reports whether s can be used as a name in a line to a cache. A name is not empty and not "-". It consists
// of printable ASCII characters without spaces, commas and equals signs, which separate the parts of a line.
func IsName(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return s != "" && s != noFields
}

// IsID reports whether s is a valid id of a lookup: 16 hex digits.
func IsID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == idLength
}

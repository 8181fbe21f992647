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

// The words of the protocol between gateways and caches. They stand on the wire as the platform defines them; elsewhere the package and
// its users speak the terms of package policy.
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

// detailByWord are the words of the field "note".
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

// modeWords are the fetch modes in the order in which a request line names them.
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
	// MaxObjectBytes is how many bytes a response may bring, and a request may carry.
	MaxObjectBytes = 240000

	maxLineBytes     = 4 << 10
	maxResponseBytes = maxLineBytes + MaxObjectBytes + len("\r\n\r\n")
	maxSourceWaitMS  = 1e9
	maxCreatedAtMS   = 1e14
	idLength         = 16 // hex digits
)

// requestLine is what one attempt asks a cache for.
type requestLine struct {
	Request
	timeout policy.Micros // what is left of the attempt's time when the line is written
	source  string        // that a miss is filled from; "": the cache itself, no fill
	rank    int           // of the copy that the cache is to keep; 0: none
	maxAge  policy.Micros // 0: as the object kind has it
	mode    policy.FetchMode
}

// appendTo appends the line and the bytes that the client sent.
func (l *requestLine) appendTo(b []byte) []byte {
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
	b = fmt.Appendf(b, " %d\r\n", len(l.Body))
	return append(append(b, l.Body...), "\r\n"...)
}

// appendCancelLine appends the line that gives up what was asked for under an id.
func appendCancelLine(b []byte, id string) []byte {
	return fmt.Appendf(b, commandCancel+" %s\r\n", id)
}

// errIncomplete asks for more bytes.
var errIncomplete = errors.New("not whole yet")

// invalidResponseError says what is wrong with a response.
type invalidResponseError string

func (e invalidResponseError) Error() string { return string(e) }

// response is what a cache answered to an attempt.
type response struct {
	id           string
	outcome      policy.AttemptOutcome
	notModified  bool // the client's copy is the current one
	detail       policy.OutcomeDetail
	sourceWait   policy.Micros
	etag         string
	createdAt    time.Time
	hasNoVersion bool   // names no version or creation time: no copy, only what a lookup that ran at the origin brought
	body         []byte // within the buffer that was parsed
}

// parseResponse parses the response at the front of b and returns its length; errIncomplete asks for more bytes. A response that is
// framed well and cannot be used comes with its id and length beside the error; otherwise the length is 0 with an error.
func parseResponse(b []byte) (response, int, error) {
	var r response
	lineEnd := bytes.IndexByte(b, '\n')
	if lineEnd < 0 {
		if len(b) > maxLineBytes {
			return r, 0, invalidResponseError("the line is too long")
		}
		return r, 0, errIncomplete
	}
	if lineEnd > maxLineBytes || lineEnd == 0 || b[lineEnd-1] != '\r' {
		return r, 0, invalidResponseError("the line is too long or does not end in CR LF")
	}
	words := strings.Split(string(b[:lineEnd-1]), " ")
	if len(words) != 4 || words[0] == "" {
		return r, 0, invalidResponseError("the line has not four words")
	}
	if !IsID(words[0]) { // most likely the front of a response that broke off, and this one behind it
		return r, 0, invalidResponseError("the id is not 16 hex digits")
	}
	length, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || length > MaxObjectBytes {
		return r, 0, invalidResponseError("the length cannot be read")
	}
	bodyStart := lineEnd + 1
	bodyEnd := bodyStart + int(length)
	if len(b) < bodyEnd+2 {
		return r, 0, errIncomplete
	}
	if b[bodyEnd] != '\r' || b[bodyEnd+1] != '\n' {
		return r, 0, invalidResponseError("the bytes do not end in CR LF")
	}
	r.id = words[0]
	r.body = b[bodyStart:bodyEnd]
	return r, bodyEnd + 2, r.parseContent(words[1], words[2])
}

// parseContent parses the word and the fields of a response whose id and body are set.
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
		return invalidResponseError("the word is unknown")
	}
	if err := r.parseFields(fields); err != nil {
		return err
	}
	r.hasNoVersion = r.outcome == policy.OutcomeSatisfied && (r.etag == "" || r.createdAt.IsZero())
	if r.notModified && (r.hasNoVersion || len(r.body) > 0) {
		return invalidResponseError("VALID without ver or born, or with bytes")
	}
	return nil
}

// parseFields parses the fields that the gateway needs and skips all others.
func (r *response) parseFields(fields string) error {
	if fields == noFields {
		return nil
	}
	for _, field := range strings.Split(fields, ",") {
		name, value, ok := strings.Cut(field, "=")
		if !ok || name == "" {
			return invalidResponseError("the fields cannot be read")
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
			return invalidResponseError("waited cannot be read")
		}
		r.sourceWait = policy.Micros(math.Round(ms * 1000))
	case fieldVersion:
		if !IsName(value) {
			return invalidResponseError("ver cannot be read")
		}
		r.etag = value
	case fieldCreatedAt:
		ms, err := strconv.ParseFloat(value, 64)
		if err != nil || !(ms > 0 && ms < maxCreatedAtMS) {
			return invalidResponseError("born cannot be read")
		}
		r.createdAt = time.UnixMicro(int64(ms * 1000))
	}
	return nil
}

// IsName reports whether s can stand as a name in a line to a cache: printable, without the characters that divide one.
func IsName(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return s != "" && s != noFields
}

// IsID reports whether s is the id of a lookup: 16 hex digits.
func IsID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == idLength
}

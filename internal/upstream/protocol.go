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

const (
	maxLineBytes = 4 << 10
	// MostObject is how many bytes an answer may bring.
	MaxObjectBytes   = 240000
	maxResponseBytes = maxLineBytes + MaxObjectBytes + 4
)

// appendRequestLine writes the line of a send, with the bytes that its client sent.
func appendRequestLine(b []byte, id, kind, object string, part int, patience policy.Micros, source string, rank int,
	oldest policy.Micros, how policy.FetchMode, tag, unique string, body []byte) []byte {
	b = fmt.Appendf(b, "do %s c=%s,k=%s,p=%d,w=%d", id, kind, object, part, max(1, (patience+999)/1000))
	if source != "" {
		b = fmt.Appendf(b, ",from=%s", source)
	}
	if rank > 0 {
		b = fmt.Appendf(b, ",rank=%d", rank)
	}
	if oldest > 0 {
		b = fmt.Appendf(b, ",oldest=%d", max(1, oldest/1000))
	}
	sign := ",mode="
	for _, h := range [...]struct {
		how  policy.FetchMode
		word string
	}{{policy.ModeCoalesce, "j"}, {policy.ModeCachedOnly, "h"}, {policy.ModeSourceNoStore, "n"}, {policy.ModeRevalidate, "r"}} {
		if how&h.how != 0 {
			b = append(append(b, sign...), h.word...)
			sign = "+"
		}
	}
	if tag != "" {
		b = fmt.Appendf(b, ",seen=%s", tag)
	}
	if unique != "" {
		b = fmt.Appendf(b, ",i=%s", unique)
	}
	b = fmt.Appendf(b, " %d\r\n", len(body))
	return append(append(b, body...), "\r\n"...)
}

func appendCancelLine(b []byte, id string) []byte { return fmt.Appendf(b, "undo %s\r\n", id) }

// errIncomplete asks for more bytes.
var errIncomplete = errors.New("not whole yet")

// response is what a cache said of a send.
type response struct {
	id           string
	outcome      policy.AttemptOutcome
	notModified  bool // the client's copy is the one
	detail       policy.OutcomeDetail
	sourceWait   policy.Micros
	etag         string
	createdAt    time.Time
	hasNoVersion bool   // without ver or born: no copy, only what a lookup that ran at the origin brought
	body         []byte // within the buffer that was parsed
}

var detailByWord = map[string]policy.OutcomeDetail{"hit": policy.DetailHit, "filled": policy.DetailFilled,
	"via_origin": policy.DetailFilledFromOrigin, "joined": policy.DetailCoalesced, "stale": policy.DetailStale,
	"src_refused": policy.DetailSourceRefused, "src_broke": policy.DetailSourceBroke, "src_lacks": policy.DetailSourceMiss,
	"no_slot": policy.DetailNoFillSlot, "origin_failed": policy.DetailOriginFailed}

// parseResponse reads an answer at the front of b and tells how long it is; errShort asks for more bytes. An answer
// that ends where it says and makes no sense comes with id and length beside the error, else the length is 0.
func parseResponse(b []byte) (response, int, error) {
	var a response
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		if len(b) > maxLineBytes {
			return a, 0, errors.New("the line is too long")
		}
		return a, 0, errIncomplete
	}
	if i > maxLineBytes || i == 0 || b[i-1] != '\r' {
		return a, 0, errors.New("the line is too long or does not end in CR LF")
	}
	words := strings.Split(string(b[:i-1]), " ")
	if len(words) != 4 || words[0] == "" {
		return a, 0, errors.New("the line has not four words")
	}
	if !IsID(words[0]) { // most likely the front of an answer that broke off, and this one behind it
		return a, 0, errors.New("the id is not 16 hex digits")
	}
	n, err := strconv.ParseUint(words[3], 10, 31)
	if err != nil || n > MaxObjectBytes {
		return a, 0, errors.New("the length cannot be read")
	}
	from, end := i+1, i+1+int(n)
	if len(b) < end+2 {
		return a, 0, errIncomplete
	}
	if b[end] != '\r' || b[end+1] != '\n' {
		return a, 0, errors.New("the bytes do not end in CR LF")
	}
	a.id, a.body = words[0], b[from:end]
	return a, end + 2, a.parseContent(words[1], words[2])
}

// parseContent reads what an answer says, its bytes being there.
func (a *response) parseContent(word, fields string) error {
	switch word {
	case "HIT", "VALID":
		a.outcome, a.notModified = policy.OutcomeSatisfied, word == "VALID"
	case "NONE":
		a.outcome = policy.OutcomeMiss
	case "SHED":
		a.outcome = policy.OutcomeRejected
	case "FAULT":
		a.outcome = policy.OutcomeError
	case "LATE":
		a.outcome = policy.OutcomeNotSent
	default:
		return errors.New("the word is unknown")
	}
	if err := a.parseFields(fields); err != nil {
		return err
	}
	if a.hasNoVersion = a.outcome == policy.OutcomeSatisfied && (a.etag == "" || a.createdAt.IsZero()); a.notModified && (a.hasNoVersion || len(a.body) > 0) {
		return errors.New("VALID without ver or born, or with bytes")
	}
	return nil
}

// parseFields reads the fields that a door needs; others are skipped.
func (a *response) parseFields(list string) error {
	if list == "-" {
		return nil
	}
	for _, f := range strings.Split(list, ",") {
		name, v, ok := strings.Cut(f, "=")
		if !ok || name == "" {
			return errors.New("the fields cannot be read")
		}
		switch name {
		case "note":
			a.detail = detailByWord[v]
		case "waited":
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n >= 0 && n < 1e9) {
				return errors.New("waited cannot be read")
			}
			a.sourceWait = policy.Micros(math.Round(n * 1000))
		case "ver":
			if !IsName(v) {
				return errors.New("ver cannot be read")
			}
			a.etag = v
		case "born":
			n, err := strconv.ParseFloat(v, 64)
			if err != nil || !(n > 0 && n < 1e14) {
				return errors.New("born cannot be read")
			}
			a.createdAt = time.UnixMicro(int64(n * 1000))
		}
	}
	return nil
}

// IsName tells whether a name can stand in a cache's line: printable, none of the signs that divide one.
func IsName(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return s != "" && s != "-"
}

// IsID tells whether a text is the id of a lookup: 16 hex digits.
func IsID(s string) bool {
	for i := 0; i < len(s); i++ {
		if c := s[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return len(s) == 16
}

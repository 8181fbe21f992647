package route

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxWordBytes   = 200 // of an id, object or tag
	maxKB          = 1e9
	maxGroup       = 255
	maxTimeAllowed = time.Hour
	maxTimeMS      = 1e12 // a longer time is no time
)

// timeNotSet is the TimeAllowed of a lookup whose request names none.
const timeNotSet = -1

// Lookup is a lookup as a proxy requests it.
type Lookup struct {
	ID          string
	Object      string
	Tag         string // of the copy that the client has; "": none that is one strong tag
	Kind        int    // index of the settings' object kinds
	Part        int
	Group       int
	KB          float64
	TimeAllowed time.Duration // -1: not set
}

// RequestError is a request that is no lookup, with the HTTP status that says so.
type RequestError struct {
	Status int
	Text   string
}

// Error returns the text, which is sent to the client.
func (e *RequestError) Error() string { return e.Text }

// Attributes reads what a proxy reports of a request: a header by its name in lower case, an attribute as "attr:NAME", metadata as
// "meta:SPACE/NAME". It returns the value and how often it is there.
type Attributes func(name string) (value string, times int)

// Match reads a request. The query is no part of a lookup; a proxy that sends one on does so on its own account. Errors are *RequestErrors.
func (t *Table) Match(method, path string, attributes Attributes) (Lookup, error) {
	if method != http.MethodGet {
		return Lookup{TimeAllowed: timeNotSet}, &RequestError{http.StatusMethodNotAllowed, "only GET is known"}
	}
	path, _, _ = strings.Cut(path, "?")
	segments, isReadable := splitPath(path)
	if !isReadable {
		return Lookup{TimeAllowed: timeNotSet}, &RequestError{http.StatusBadRequest, "the path cannot be read in one way only"}
	}
	rule, values := t.root.find(segments, make([]string, 0, 4))
	if rule == nil {
		return Lookup{TimeAllowed: timeNotSet}, &RequestError{http.StatusNotFound, "no rule for this path"}
	}
	var firstErr RequestError
	r := reader{values: values, attributes: attributes, firstErr: &firstErr}
	lookup := r.lookup(t, rule)
	if firstErr.Status != 0 {
		return Lookup{TimeAllowed: timeNotSet}, &RequestError{firstErr.Status, firstErr.Text}
	}
	return lookup, nil
}

// reader reads the fields of one request. Nothing of it may be returned, so that it and the values stay on the stack.
type reader struct {
	values     []string // of the path's variables
	attributes Attributes
	firstErr   *RequestError // Status 0: none
}

// fail notes an error, unless there is one.
func (r *reader) fail(status int, text string) {
	if r.firstErr.Status == 0 {
		r.firstErr.Status = status
		r.firstErr.Text = text
	}
}

func (r *reader) lookup(t *Table, rule *rule) (l Lookup) {
	l.ID = r.word(rule.id, "the id")
	l.Object = r.word(rule.object, "the object")
	l.Kind = r.kind(t, rule)
	l.Part = r.number(rule.part, "the part", math.MaxInt32)
	l.Group = r.number(rule.group, "the group", maxGroup)
	l.KB = r.size(rule.kb)
	l.TimeAllowed = r.timeAllowed(rule.timeAllowed)
	l.Tag = r.tag(rule.tag)
	return l
}

// value returns the value of a source, "" if it is unset or missing.
func (r *reader) value(s source) string {
	switch s.kind {
	case fixed:
		return s.text
	case pathVariable:
		return r.values[s.variable]
	case attribute:
		value, times := r.attributes(s.text)
		if times > 1 {
			r.fail(http.StatusBadRequest, s.text+" stands there more than once")
		}
		return value
	}
	return ""
}

func (r *reader) word(s source, field string) string {
	value := r.value(s)
	if !isWord(value) {
		r.fail(http.StatusBadRequest, field+" is missing or cannot be used")
	}
	return value
}

func (r *reader) kind(t *Table, rule *rule) int {
	if rule.fixedKind != anyKind {
		return rule.fixedKind
	}
	kind, isKnown := t.kinds[r.value(rule.kind)]
	if !isKnown {
		r.fail(http.StatusNotFound, "no such object kind")
	}
	return kind
}

func (r *reader) number(s source, field string, maxValue int) int {
	value := r.value(s)
	if value == "" {
		return 0
	}
	n, err := parseCount(value, maxValue)
	if err != nil {
		r.fail(http.StatusBadRequest, field+" is not a whole number from 0 to "+strconv.Itoa(maxValue))
	}
	return n
}

func (r *reader) size(s source) float64 {
	value := r.value(s)
	if value == "" {
		return 0
	}
	kb, err := strconv.ParseFloat(value, 64)
	if err != nil || !(kb >= 0 && kb <= maxKB) {
		r.fail(http.StatusBadRequest, "the size is not a number of KB")
	}
	return kb
}

func (r *reader) timeAllowed(s source) time.Duration {
	value := r.value(s)
	if value == "" {
		return timeNotSet
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0 && ms < maxTimeMS) {
		r.fail(http.StatusBadRequest, "the time allowed is not a number of milliseconds")
	}
	return min(time.Duration(ms*float64(time.Millisecond)), maxTimeAllowed)
}

// tag returns one strong tag without its quotes. Another costs the bytes of the copy, no more.
func (r *reader) tag(s source) string {
	value := r.value(s)
	bare := strings.Trim(value, `"`)
	if len(value) == len(bare)+2 && isWord(bare) {
		return bare
	}
	return ""
}

// isWord reports whether a text can be one word of a line to a cache.
func isWord(s string) bool {
	if s == "" || len(s) > maxWordBytes {
		return false
	}
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

func parseCount(s string, maxValue int) (int, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	if err == nil && int(n) > maxValue {
		err = strconv.ErrRange
	}
	return int(n), err
}

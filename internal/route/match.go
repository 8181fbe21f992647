package route

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	maxWordBytes   = 200 // largest length of an id, an object name or a tag
	maxKB          = 1e9
	maxGroup       = 255
	maxTimeAllowed = time.Hour
	maxTimeMS      = 1e12 // a request with this many milliseconds or more is rejected
)

// timeNotSet is the TimeAllowed of a lookup whose request sets no time.
const timeNotSet = -1

// Lookup holds the fields of a lookup that a proxy requests.
type Lookup struct {
	ID          string
	Object      string
	Tag         string // entity tag of the client's copy; "" unless the request has exactly one strong tag
	Kind        int    // index among the object kinds of the platform's settings
	Part        int
	Group       int
	KB          float64
	TimeAllowed time.Duration // -1 if the request sets no time
}

// RequestError reports a request that is not a valid lookup. Status is the HTTP status for the client.
type RequestError struct {
	Status int
	Text   string
}

// Error returns the text, which is sent to the client.
func (e *RequestError) Error() string { return e.Text }

// Attributes returns the value of a request attribute that the proxy reports, and how many times the attribute occurs.
// A header is named in lower case, another attribute "attr:NAME" and an entry of the metadata "meta:SPACE/NAME".
type Attributes func(name string) (value string, times int)

// Match returns the lookup that a request asks for. It ignores the query, which is not part of a
// lookup: whether to forward the query is up to the proxy. Its errors are of type *RequestError.
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

// reader reads the fields of one request. Match returns no pointer into it, so that it and its values stay on the stack.
type reader struct {
	values     []string // values of the path variables
	attributes Attributes
	firstErr   *RequestError // Status is 0 if there is no error
}

// fail records an error unless one is recorded already.
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

// value returns the value of a source, or "" if the source is unset or the request lacks it.
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

// tag returns a single strong entity tag without its quotes. It returns "" for any other value,
// such as a weak tag or a list; the only cost is that the bytes of the copy are sent again.
func (r *reader) tag(s source) string {
	value := r.value(s)
	bare := strings.Trim(value, `"`)
	if len(value) == len(bare)+2 && isWord(bare) {
		return bare
	}
	return ""
}

// isWord reports whether s can be one word of a protocol line to a cache: 1 to
// maxWordBytes printable ASCII characters other than space, comma and equals sign.
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

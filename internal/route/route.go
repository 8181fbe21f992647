// Package route turns what another proxy tells of a request into a lookup, by a table that the operator writes: path templates
// and where the lookup's fields stand. It does no I/O. A Table is compiled once, never changes, and is swapped by pointer.
//
// A template is segments between slashes; a segment may hold one {name} with fixed text before and after it. Fixed segments
// go before templates, longer fixed text before shorter, and what is asked is matched by one walk down a tree, going back
// where a branch does not lead to an end: bounded by the segments, of which a path has mostSegments at most.
package route

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxSegments    = 16
	maxPathBytes   = 4096
	maxRules       = 5000
	maxWordBytes   = 200 // of an id, object or tag
	maxKB          = 1e9
	maxTimeAllowed = time.Hour
)

// Rule is one line of the operator's table. A source is "header:NAME", "path:NAME" for a {NAME} of the template,
// "attr:NAME" for an attribute that the proxy tells, "meta:SPACE/NAME" for a string in its dynamic metadata, or a fixed value.
type Rule struct {
	Path    string `json:"path"`
	Kind    string `json:"kind"`
	Object  string `json:"object"`
	Part    string `json:"part,omitempty"`
	Group   string `json:"group,omitempty"`
	KB      string `json:"kb,omitempty"`
	ID      string `json:"id"`
	AllowMS string `json:"allow_ms,omitempty"`
	Tag     string `json:"tag,omitempty"`
}

// Lookup is a lookup as a proxy asks for it.
type Lookup struct {
	ID, Object, Tag string
	Kind            int // of the settings
	Part, Group     int
	KB              float64
	TimeAllowed     time.Duration // -1: not told
}

// RequestError is a request that is no lookup, with the HTTP status that says so.
type RequestError struct {
	Status int
	Text   string
}

func (f *RequestError) Error() string { return f.Text }

// Attributes reads what a proxy tells: a header by its name in lower case, an attribute as "attr:NAME", metadata as "meta:SPACE/NAME". It
// gives the value and how often it stands there.
type Attributes func(name string) (value string, times int)

// RuleError is a rule that cannot be used.
type RuleError struct {
	Rule   int
	Field  string
	Text   string
	Remedy string
}

func (f RuleError) Error() string {
	return fmt.Sprintf("lookups[%d].%s: %s; %s", f.Rule, f.Field, f.Text, f.Remedy)
}

type sourceKind int

const (
	unset sourceKind = iota
	fixed
	header
	pathVariable
)

type source struct {
	kind     sourceKind
	text     string // the fixed value, or the header's name in lower case
	variable int    // of the path's variables
}

type rule struct {
	index                                         int
	kind, object, part, group, kb, id, allow, tag source
	fixedKind                                     int // where kind is fixed
}

// node is a place in the tree of templates.
type node struct {
	fixed    map[string]*node
	branches []*branch // with a variable; the most fixed text first
	rule     *rule
}

type branch struct {
	before, after string
	next          *node
}

// Table is a compiled table.
type Table struct {
	root       *node
	kinds      map[string]int
	attributes []string // headers that it reads, in lower case
}

// Compile checks and compiles rules; kinds are the settings' object kinds in their order.
func Compile(rules []Rule, kinds []string) (*Table, error) {
	t := &Table{root: &node{}, kinds: map[string]int{}}
	for i, k := range kinds {
		t.kinds[k] = i
	}
	if len(rules) == 0 {
		return nil, RuleError{0, "path", "there is no rule", "tell at least one"}
	}
	if len(rules) > maxRules {
		return nil, RuleError{maxRules, "path", fmt.Sprintf("%d rules", len(rules)), fmt.Sprintf("at most %d", maxRules)}
	}
	for i, r := range rules {
		if err := t.addRule(i, r); err != nil {
			return nil, err
		}
	}
	t.root.sort()
	slices.Sort(t.attributes)
	t.attributes = slices.Compact(t.attributes)
	return t, nil
}

// Attributes are the headers that the table reads: a caller must tell them.
func (t *Table) Attributes() []string { return t.attributes }

func (t *Table) addRule(no int, r Rule) error {
	bad := func(field, text, remedy string) error { return RuleError{no, field, text, remedy} }
	segments, ok := splitPath(r.Path)
	if !ok {
		return bad("path", fmt.Sprintf("%q", r.Path), fmt.Sprintf("expected /a/{b}/c, at most %d segments and %d bytes", maxSegments, maxPathBytes))
	}
	at, vars := t.root, []string{}
	for _, s := range segments {
		before, rest, variable := strings.Cut(s, "{")
		if !variable {
			if strings.Contains(s, "}") {
				return bad("path", fmt.Sprintf("%q closes what it does not open", s), "write {name}")
			}
			if at.fixed == nil {
				at.fixed = map[string]*node{}
			}
			if at.fixed[s] == nil {
				at.fixed[s] = &node{}
			}
			at = at.fixed[s]
			continue
		}
		name, after, closed := strings.Cut(rest, "}")
		if !closed || name == "" || strings.ContainsAny(after, "{}") || strings.Contains(name, "{") || slices.Contains(vars, name) {
			return bad("path", fmt.Sprintf("%q", s), "one {name} a segment, each name once")
		}
		vars = append(vars, name)
		i := slices.IndexFunc(at.branches, func(b *branch) bool { return b.before == before && b.after == after })
		if i < 0 {
			at.branches = append(at.branches, &branch{before, after, &node{}})
			i = len(at.branches) - 1
		}
		at = at.branches[i].next
	}
	if at.rule != nil {
		return bad("path", fmt.Sprintf("%q matches the same as lookups[%d]", r.Path, at.rule.index), "remove one")
	}
	c := &rule{index: no, fixedKind: -1}
	for _, f := range []struct {
		name, text string
		to         *source
		must       bool
	}{{"kind", r.Kind, &c.kind, true}, {"object", r.Object, &c.object, true}, {"part", r.Part, &c.part, false}, {"group", r.Group, &c.group, false},
		{"kb", r.KB, &c.kb, false}, {"id", r.ID, &c.id, true}, {"allow_ms", r.AllowMS, &c.allow, false}, {"tag", r.Tag, &c.tag, false}} {
		switch where, name, _ := strings.Cut(f.text, ":"); {
		case f.text == "" && f.must:
			return bad(f.name, "is missing", "header:NAME, path:NAME, attr:NAME, meta:SPACE/NAME or a fixed value")
		case f.text == "":
		case where == "header" && name != "":
			*f.to = source{kind: header, text: strings.ToLower(name)}
			t.attributes = append(t.attributes, strings.ToLower(name))
		case where == "attr" && name != "", where == "meta" && strings.Contains(name, "/"):
			*f.to = source{kind: header, text: f.text}
			t.attributes = append(t.attributes, f.text)
		case where == "meta":
			return bad(f.name, fmt.Sprintf("%q has no space", f.text), "write meta:SPACE/NAME")
		case where == "path":
			i := slices.Index(vars, name)
			if i < 0 {
				return bad(f.name, fmt.Sprintf("the path has no {%s}", name), "name one of "+strings.Join(vars, ", "))
			}
			*f.to = source{kind: pathVariable, variable: i}
		default:
			*f.to = source{kind: fixed, text: f.text}
		}
	}
	if c.id.kind == fixed {
		return bad("id", "is fixed", "each lookup has an id of its own: header:NAME")
	}
	if c.kind.kind == fixed {
		i, known := t.kinds[c.kind.text]
		if !known {
			return bad("kind", fmt.Sprintf("%q is no object kind", c.kind.text), "see the settings' classes")
		}
		c.fixedKind = i
	}
	for _, n := range []source{c.part, c.group} {
		if n.kind == fixed {
			if _, err := parseCount(n.text, math.MaxInt32); err != nil {
				return bad("part", fmt.Sprintf("%q is no whole number", n.text), "from 0")
			}
		}
	}
	at.rule = c
	return nil
}

// sort puts the branch with most fixed text first, so that the order of rules does not matter.
func (n *node) sort() {
	for _, to := range n.fixed {
		to.sort()
	}
	slices.SortFunc(n.branches, func(a, b *branch) int {
		return cmp.Or(cmp.Compare(len(b.before)+len(b.after), len(a.before)+len(a.after)), cmp.Compare(a.before, b.before),
			cmp.Compare(a.after, b.after))
	})
	for _, b := range n.branches {
		b.next.sort()
	}
}

// splitPath cuts a path into its segments. What two programs could read in two ways is refused: empty and dot segments, escapes.
func splitPath(path string) ([]string, bool) {
	if len(path) > maxPathBytes || !strings.HasPrefix(path, "/") {
		return nil, false
	}
	segments := strings.Split(path[1:], "/")
	if len(segments) > maxSegments {
		return nil, false
	}
	for _, s := range segments {
		if s == "" || s == "." || s == ".." {
			return nil, false
		}
		for i := 0; i < len(s); i++ {
			if c := s[i]; c <= ' ' || c >= 0x7f || c == '%' || c == '\\' || c == '?' || c == '#' {
				return nil, false
			}
		}
	}
	return segments, true
}

// find walks the tree; vars are the values met on the way.
func (n *node) find(segments []string, vars []string) (*rule, []string) {
	if len(segments) == 0 {
		return n.rule, vars
	}
	s := segments[0]
	if to := n.fixed[s]; to != nil {
		if r, v := to.find(segments[1:], vars); r != nil {
			return r, v
		}
	}
	for _, b := range n.branches {
		if len(s) > len(b.before)+len(b.after) && strings.HasPrefix(s, b.before) && strings.HasSuffix(s, b.after) {
			if r, v := b.next.find(segments[1:], append(vars, s[len(b.before):len(s)-len(b.after)])); r != nil {
				return r, v
			}
		}
	}
	return nil, nil
}

// Match reads a request. headers gives a header's value by its name in lower case, and how often it stands there. The query
// is no part of a lookup; a proxy that sends one on does so on its own account.
func (t *Table) Match(method, path string, headers Attributes) (Lookup, error) {
	a := Lookup{TimeAllowed: -1}
	if method != "GET" {
		return a, &RequestError{405, "only GET is known"}
	}
	path, _, _ = strings.Cut(path, "?")
	segments, ok := splitPath(path)
	if !ok {
		return a, &RequestError{400, "the path cannot be read in one way only"}
	}
	r, vars := t.root.find(segments, make([]string, 0, 4))
	if r == nil {
		return a, &RequestError{404, "no rule for this path"}
	}
	var fault *RequestError
	get := func(s source) string {
		switch s.kind {
		case fixed:
			return s.text
		case pathVariable:
			return vars[s.variable]
		case header:
			v, n := headers(s.text)
			if n > 1 && fault == nil {
				fault = &RequestError{400, s.text + " stands there more than once"}
			}
			return v
		}
		return ""
	}
	word := func(s source, what string) string {
		v := get(s)
		if fault == nil && !isWord(v) {
			fault = &RequestError{400, what + " is missing or cannot be used"}
		}
		return v
	}
	number := func(s source, what string, most int) int {
		v := get(s)
		if v == "" {
			return 0
		}
		n, err := parseCount(v, most)
		if err != nil && fault == nil {
			fault = &RequestError{400, what + " is not a whole number from 0 to " + strconv.Itoa(most)}
		}
		return n
	}
	a.ID, a.Object = word(r.id, "the id"), word(r.object, "the object")
	if a.Kind = r.fixedKind; a.Kind < 0 {
		kind, known := t.kinds[get(r.kind)]
		if !known && fault == nil {
			fault = &RequestError{404, "no such object kind"}
		}
		a.Kind = kind
	}
	a.Part, a.Group = number(r.part, "the part", math.MaxInt32), number(r.group, "the group", 255)
	if v := get(r.kb); v != "" {
		kb, err := strconv.ParseFloat(v, 64)
		if (err != nil || !(kb >= 0 && kb <= maxKB)) && fault == nil {
			fault = &RequestError{400, "the size is not a number of KB"}
		}
		a.KB = kb
	}
	if v := get(r.allow); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if (err != nil || !(ms >= 0 && ms < 1e12)) && fault == nil {
			fault = &RequestError{400, "the time allowed is not a number of milliseconds"}
		}
		a.TimeAllowed = min(time.Duration(ms*float64(time.Millisecond)), maxTimeAllowed)
	}
	if v := get(r.tag); v != "" && v != "*" {
		if bare := strings.Trim(v, `"`); len(v) == len(bare)+2 && isWord(bare) { // one strong tag; others cost the copy's bytes, no more
			a.Tag = bare
		}
	}
	if fault != nil {
		return Lookup{TimeAllowed: -1}, fault
	}
	return a, nil
}

// isWord tells whether text can stand as one word in a line to a cache.
func isWord(s string) bool {
	if s == "" || len(s) > maxWordBytes {
		return false
	}
	for i := 0; i < len(s); i++ {
		if c := s[i]; c <= ' ' || c >= 0x7f || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

func parseCount(s string, most int) (int, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	if err == nil && int(n) > most {
		err = strconv.ErrRange
	}
	return int(n), err
}

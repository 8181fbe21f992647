package route

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"foldslip/internal/config"
)

// anyKind is the fixed kind of a rule whose kind comes from the request.
const anyKind = -1

// rule is a compiled rule.
type rule struct {
	index     int
	fixedKind int // anyKind: it comes from the request

	kind, object, part, group, kb, id, timeAllowed, tag source
}

// source is where a field comes from.
type source struct {
	kind     sourceKind
	text     string // the fixed value, or the attribute's name
	variable int    // index among the path's variables
}

type sourceKind int

const (
	unset sourceKind = iota
	fixed
	attribute
	pathVariable
)

// compileRule resolves where each field of a rule comes from.
func (t *Table) compileRule(index int, written config.LookupRule, variables []string) (*rule, error) {
	r := &rule{index: index, fixedKind: anyKind}
	for _, field := range []struct {
		name, text string
		source     *source
		isRequired bool
	}{
		{"kind", written.Kind, &r.kind, true},
		{"object", written.Object, &r.object, true},
		{"part", written.Part, &r.part, false},
		{"group", written.Group, &r.group, false},
		{"kb", written.KB, &r.kb, false},
		{"id", written.ID, &r.id, true},
		{"allow_ms", written.AllowMS, &r.timeAllowed, false},
		{"tag", written.Tag, &r.tag, false},
	} {
		if field.text == "" && field.isRequired {
			return nil, RuleError{index, field.name, "is missing", "header:NAME, path:NAME, attr:NAME, meta:SPACE/NAME or a fixed value"}
		}
		s, err := parseSource(field.text, variables)
		if err != nil {
			return nil, RuleError{index, field.name, err.text, err.remedy}
		}
		if s.kind == attribute {
			t.attributes = append(t.attributes, s.text)
		}
		*field.source = s
	}
	return r, t.checkFixed(r)
}

// checkFixed checks the fields that have fixed values, and resolves a fixed kind.
func (t *Table) checkFixed(r *rule) error {
	if r.id.kind == fixed {
		return RuleError{r.index, "id", "is fixed", "each lookup has an id of its own: header:NAME"}
	}
	if r.kind.kind == fixed {
		kind, isKnown := t.kinds[r.kind.text]
		if !isKnown {
			return RuleError{r.index, "kind", fmt.Sprintf("%q is no object kind", r.kind.text), "see the settings' classes"}
		}
		r.fixedKind = kind
	}
	for _, s := range []source{r.part, r.group} {
		if s.kind != fixed {
			continue
		}
		if _, err := parseCount(s.text, math.MaxInt32); err != nil {
			return RuleError{r.index, "part", fmt.Sprintf("%q is no whole number", s.text), "from 0"}
		}
	}
	return nil
}

// sourceError is a source that cannot be used.
type sourceError struct{ text, remedy string }

// parseSource parses where a field comes from. Variables are those of the path's template.
func parseSource(text string, variables []string) (source, *sourceError) {
	if text == "" {
		return source{}, nil
	}
	switch prefix, name, _ := strings.Cut(text, ":"); {
	case prefix == "header" && name != "":
		return source{kind: attribute, text: strings.ToLower(name)}, nil
	case prefix == "attr" && name != "", prefix == "meta" && strings.Contains(name, "/"):
		return source{kind: attribute, text: text}, nil
	case prefix == "meta":
		return source{}, &sourceError{fmt.Sprintf("%q has no space", text), "write meta:SPACE/NAME"}
	case prefix == "path":
		i := slices.Index(variables, name)
		if i < 0 {
			return source{}, &sourceError{fmt.Sprintf("the path has no {%s}", name), "name one of " + strings.Join(variables, ", ")}
		}
		return source{kind: pathVariable, variable: i}, nil
	}
	return source{kind: fixed, text: text}, nil
}

package route

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"foldslip/internal/config"
)

// anyKind is the fixedKind of a rule that reads the object kind from the request.
const anyKind = -1

// rule is a compiled lookup rule. It holds the source of each field of a lookup.
type rule struct {
	index     int // among the configured rules
	fixedKind int // index of the object kind, or anyKind if it is read from the request

	kind, object, part, group, kb, id, timeAllowed, tag source
}

// source says where the value of a field is read from.
type source struct {
	kind     sourceKind
	text     string // fixed value or name of the attribute
	variable int    // index of the path variable
}

type sourceKind int

const (
	unset sourceKind = iota
	fixed
	attribute
	pathVariable
)

// compileRule resolves the source of each field of a rule and records which attributes the rule reads.
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
			return nil, RuleError{index, field.name, "is missing", "set header:NAME, path:NAME, attr:NAME, meta:SPACE/NAME or a fixed value"}
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

// checkFixed validates the fields with fixed values and resolves a fixed object kind to its index.
func (t *Table) checkFixed(r *rule) error {
	if r.id.kind == fixed {
		return RuleError{r.index, "id", "is a fixed value", "each lookup needs its own id: read it from the request, as header:NAME"}
	}
	if r.kind.kind == fixed {
		kind, isKnown := t.kinds[r.kind.text]
		if !isKnown {
			return RuleError{r.index, "kind", fmt.Sprintf("%q is not an object kind", r.kind.text), "use one of the classes in the platform's settings"}
		}
		r.fixedKind = kind
	}
	for _, s := range []source{r.part, r.group} {
		if s.kind != fixed {
			continue
		}
		if _, err := parseCount(s.text, math.MaxInt32); err != nil {
			return RuleError{r.index, "part", fmt.Sprintf("%q is not a whole number", s.text), "expected a whole number from 0"}
		}
	}
	return nil
}

// sourceError describes an invalid source and its remedy.
type sourceError struct{ text, remedy string }

// parseSource parses the source of a field. The variables are those of the path template, in their order.
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
		return source{}, &sourceError{fmt.Sprintf("%q names no metadata namespace", text), "write meta:SPACE/NAME"}
	case prefix == "path":
		i := slices.Index(variables, name)
		if i < 0 {
			return source{}, &sourceError{fmt.Sprintf("the path has no variable {%s}", name), "use one of the path's variables: " + strings.Join(variables, ", ")}
		}
		return source{kind: pathVariable, variable: i}, nil
	}
	return source{kind: fixed, text: text}, nil
}

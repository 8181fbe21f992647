// Package route decides which requests of another proxy are lookups and reads the fields of those lookups.
// It uses a table of rules that the operator configures. A rule has a path template and the source of each
// field. The package does no I/O. A Table is compiled once, is immutable and is safe for concurrent use.
//
// A path template consists of segments separated by slashes. A segment may contain one variable {name} with fixed
// text before and after it. Segments of fixed text take precedence over segments with a variable, and longer
// fixed text takes precedence over shorter. A path is matched by a depth-first search of a tree, which backtracks
// from branches without a match. The depth of the search is the number of segments, at most maxSegments.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"foldslip/internal/config"
)

const (
	maxSegments  = 16
	maxPathBytes = 4096
	maxRules     = 5000
)

// RuleError reports an invalid rule: the index of the rule, the field, the problem and its remedy.
type RuleError struct {
	Rule   int // index of the rule
	Field  string
	Text   string
	Remedy string
}

// Error returns the rule, the field, the problem and the remedy.
func (e RuleError) Error() string {
	return fmt.Sprintf("table[%d].%s: %s; %s", e.Rule, e.Field, e.Text, e.Remedy)
}

// Table is a compiled table of lookup rules.
type Table struct {
	root       *node
	kinds      map[string]int // index of each object kind
	attributes []string       // names of the attributes that the rules read, sorted
}

// Compile validates and compiles rules. Kinds are the object kinds of the
// platform's settings, in their order. Its errors are of type RuleError.
func Compile(rules []config.LookupRule, kinds []string) (*Table, error) {
	t := &Table{root: &node{}, kinds: map[string]int{}}
	for i, kind := range kinds {
		t.kinds[kind] = i
	}
	if len(rules) == 0 {
		return nil, RuleError{0, "path", "the table has no rules", "add at least one rule"}
	}
	if len(rules) > maxRules {
		return nil, RuleError{maxRules, "path", fmt.Sprintf("the table has %d rules", len(rules)), fmt.Sprintf("at most %d are allowed", maxRules)}
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

// Attributes returns the names of the request attributes that the rules read, in the form
// that a function of type Attributes is called with. A caller must report these attributes.
func (t *Table) Attributes() []string { return t.attributes }

// addRule compiles a rule and inserts it into the tree.
func (t *Table) addRule(index int, written config.LookupRule) error {
	end, variables, err := t.insertPath(index, written.Path)
	if err != nil {
		return err
	}
	if end.rule != nil {
		return RuleError{index, "path", fmt.Sprintf("%q matches the same paths as table[%d]", written.Path, end.rule.index), "remove one of them"}
	}
	compiled, err := t.compileRule(index, written, variables)
	if err != nil {
		return err
	}
	end.rule = compiled
	return nil
}

// insertPath returns the node of a path template, which it creates if
// needed, and the names of the template's variables in their order.
func (t *Table) insertPath(index int, path string) (end *node, variables []string, err error) {
	segments, isReadable := splitPath(path)
	if !isReadable {
		return nil, nil, RuleError{index, "path", fmt.Sprintf("%q is not a path template", path),
			fmt.Sprintf("expected /a/{b}/c, at most %d segments and %d bytes", maxSegments, maxPathBytes)}
	}
	end = t.root
	for _, text := range segments {
		before, rest, hasVariable := strings.Cut(text, "{")
		if !hasVariable {
			if strings.Contains(text, "}") {
				return nil, nil, RuleError{index, "path", fmt.Sprintf("segment %q has a } without a {", text), "write a variable as {name}"}
			}
			end = end.fixedChild(text)
			continue
		}
		name, after, isClosed := strings.Cut(rest, "}")
		if !isClosed || name == "" || strings.ContainsAny(name+after, "{}") || slices.Contains(variables, name) {
			return nil, nil, RuleError{index, "path", fmt.Sprintf("segment %q has an invalid variable", text), "use at most one {name} per segment, and each name once"}
		}
		variables = append(variables, name)
		end = end.variableChild(before, after)
	}
	return end, variables, nil
}

// node is a node of the tree of path templates. The edges to its children are segments.
type node struct {
	fixed    map[string]*node // children by segments of fixed text
	branches []*branch        // children by segments with a variable, in order of precedence
	rule     *rule            // rule whose template ends here, or nil
}

// branch is a segment with a variable between two fixed texts, either of which may be empty.
type branch struct {
	before, after string
	next          *node
}

func (n *node) fixedChild(text string) *node {
	if n.fixed == nil {
		n.fixed = map[string]*node{}
	}
	if n.fixed[text] == nil {
		n.fixed[text] = &node{}
	}
	return n.fixed[text]
}

func (n *node) variableChild(before, after string) *node {
	i := slices.IndexFunc(n.branches, func(b *branch) bool { return b.before == before && b.after == after })
	if i < 0 {
		n.branches = append(n.branches, &branch{before, after, &node{}})
		i = len(n.branches) - 1
	}
	return n.branches[i].next
}

// sort orders the branches by precedence, with the longest fixed
// text first, so that the order of the rules does not matter.
func (n *node) sort() {
	for _, child := range n.fixed {
		child.sort()
	}
	slices.SortFunc(n.branches, func(a, b *branch) int {
		return cmp.Or(cmp.Compare(len(b.before)+len(b.after), len(a.before)+len(a.after)), cmp.Compare(a.before, b.before),
			cmp.Compare(a.after, b.after))
	})
	for _, b := range n.branches {
		b.next.sort()
	}
}

// find returns the rule that matches the segments and the values of the path variables, or nil if no rule matches.
func (n *node) find(segments []string, values []string) (*rule, []string) {
	if len(segments) == 0 {
		return n.rule, values
	}
	segment := segments[0]
	if child := n.fixed[segment]; child != nil {
		if r, found := child.find(segments[1:], values); r != nil {
			return r, found
		}
	}
	for _, b := range n.branches {
		if len(segment) > len(b.before)+len(b.after) && strings.HasPrefix(segment, b.before) && strings.HasSuffix(segment, b.after) {
			value := segment[len(b.before) : len(segment)-len(b.after)]
			if r, found := b.next.find(segments[1:], append(values, value)); r != nil {
				return r, found
			}
		}
	}
	return nil, nil
}

// splitPath splits a path into its segments. It refuses a path that is too long, and a path that
// two programs could interpret differently because of empty segments, dot segments or escapes.
func splitPath(path string) (segments []string, isReadable bool) {
	if len(path) > maxPathBytes || !strings.HasPrefix(path, "/") {
		return nil, false
	}
	segments = strings.Split(path[1:], "/")
	if len(segments) > maxSegments || slices.ContainsFunc(segments, isAmbiguous) {
		return nil, false
	}
	return segments, true
}

func isAmbiguous(segment string) bool {
	if segment == "" || segment == "." || segment == ".." {
		return true
	}
	for i := range len(segment) {
		if c := segment[i]; c <= ' ' || c >= 0x7f || c == '%' || c == '\\' || c == '?' || c == '#' {
			return true
		}
	}
	return false
}

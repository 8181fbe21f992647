// Package route decides which requests of another proxy are lookups and reads their fields, by a table that the operator writes: path
// templates and where each field comes from. It does no I/O. A Table is compiled once, never changes and is safe for concurrent use.
//
// A template is segments between slashes; a segment may have one {name} with fixed text before and after it. Fixed segments go before
// templates, and longer fixed text before shorter. A path is matched by one walk down a tree, which goes back where a branch does not lead to
// an end; it is bounded by the segments, of which a path has maxSegments at most.
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

// RuleError is a rule that cannot be used, and what to do.
type RuleError struct {
	Rule   int // its index
	Field  string
	Text   string
	Remedy string
}

// Error names the rule, the field, the text and the remedy.
func (e RuleError) Error() string {
	return fmt.Sprintf("lookups[%d].%s: %s; %s", e.Rule, e.Field, e.Text, e.Remedy)
}

// Table is a compiled table.
type Table struct {
	root       *node
	kinds      map[string]int
	attributes []string
}

// Compile checks and compiles rules. Kinds are the object kinds of the platform's settings, in their order. Its errors are RuleErrors.
func Compile(rules []config.LookupRule, kinds []string) (*Table, error) {
	t := &Table{root: &node{}, kinds: map[string]int{}}
	for i, kind := range kinds {
		t.kinds[kind] = i
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

// Attributes returns the names of what the table reads beside the path, as Attributes takes them: a caller must report these.
func (t *Table) Attributes() []string { return t.attributes }

// addRule compiles a rule and puts it into the tree.
func (t *Table) addRule(index int, written config.LookupRule) error {
	end, variables, err := t.insertPath(index, written.Path)
	if err != nil {
		return err
	}
	if end.rule != nil {
		return RuleError{index, "path", fmt.Sprintf("%q matches the same as lookups[%d]", written.Path, end.rule.index), "remove one"}
	}
	compiled, err := t.compileRule(index, written, variables)
	if err != nil {
		return err
	}
	end.rule = compiled
	return nil
}

// insertPath finds or makes the node of a path template, and returns the names of its variables in their order.
func (t *Table) insertPath(index int, path string) (end *node, variables []string, err error) {
	segments, isReadable := splitPath(path)
	if !isReadable {
		return nil, nil, RuleError{index, "path", fmt.Sprintf("%q", path),
			fmt.Sprintf("expected /a/{b}/c, at most %d segments and %d bytes", maxSegments, maxPathBytes)}
	}
	end = t.root
	for _, text := range segments {
		before, rest, hasVariable := strings.Cut(text, "{")
		if !hasVariable {
			if strings.Contains(text, "}") {
				return nil, nil, RuleError{index, "path", fmt.Sprintf("%q closes what it does not open", text), "write {name}"}
			}
			end = end.fixedChild(text)
			continue
		}
		name, after, isClosed := strings.Cut(rest, "}")
		if !isClosed || name == "" || strings.ContainsAny(name+after, "{}") || slices.Contains(variables, name) {
			return nil, nil, RuleError{index, "path", fmt.Sprintf("%q", text), "one {name} a segment, each name once"}
		}
		variables = append(variables, name)
		end = end.variableChild(before, after)
	}
	return end, variables, nil
}

// node is a place in the tree of templates.
type node struct {
	fixed    map[string]*node
	branches []*branch // with a variable; the most fixed text first
	rule     *rule     // nil: no template ends here
}

// branch is a segment with a variable between two fixed texts.
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

// sort puts the branch with most fixed text first, so that the order of rules does not matter.
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

// find returns the rule of a path and the values of its variables, nil if there is none.
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

// splitPath splits a path into its segments. What two programs could read in two ways is refused: empty and dot segments, escapes.
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

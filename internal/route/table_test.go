package route

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"foldslip/internal/config"
)

var testRule = config.LookupRule{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part", Group: "header:X-Group",
	KB: "header:X-Ram-Kb", ID: "header:X-Job-Id", AllowMS: "header:X-Allow-Ms", Tag: "header:If-None-Match"}

func compile(t testing.TB, rules ...config.LookupRule) *Table {
	t.Helper()
	table, err := Compile(rules, []string{"segment", "page"})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// attributesOf returns Attributes over a list of alternating names and values.
func attributesOf(all ...string) Attributes {
	return func(name string) (value string, times int) {
		for i := 0; i < len(all); i += 2 {
			if strings.ToLower(all[i]) == name {
				value = all[i+1]
				times++
			}
		}
		return value, times
	}
}

func TestMatch(t *testing.T) {
	table := compile(t, testRule)
	t.Run("all fields", func(t *testing.T) {
		lookup, err := table.Match("GET", "/call/page/7f3a/part-3?x=1", attributesOf("X-Job-Id", "9b1f", "X-Group", "17", "X-Ram-Kb", "412.5", "X-Allow-Ms",
			"1500", "If-None-Match", `"4be0"`))
		if want := (Lookup{ID: "9b1f", Object: "7f3a", Tag: "4be0", Kind: 1, Part: 3, Group: 17, KB: 412.5, TimeAllowed: 1500 * time.Millisecond}); err != nil || lookup != want {
			t.Errorf("lookup %+v, error %v", lookup, err)
		}
	})
	t.Run("optional fields missing", func(t *testing.T) {
		lookup, err := table.Match("GET", "/call/segment/o/part-0", attributesOf("x-job-id", "i"))
		if want := (Lookup{ID: "i", Object: "o", TimeAllowed: -1}); err != nil || lookup != want {
			t.Errorf("lookup %+v, error %v", lookup, err)
		}
	})
	id := []string{"x-job-id", "i"}
	for _, test := range []struct {
		name, method, path string
		headers            []string
		status             int
	}{
		{"a method other than GET", "POST", "/call/page/o/part-0", id, 405},
		{"no id", "GET", "/call/page/o/part-0", nil, 400},
		{"two ids", "GET", "/call/page/o/part-0", append(id, id...), 400},
		{"an id with a comma", "GET", "/call/page/o/part-0", []string{"x-job-id", "a,b"}, 400},
		{"an id with a line break", "GET", "/call/page/o/part-0", []string{"x-job-id", "a\r\nb"}, 400},
		{"an unknown kind", "GET", "/call/film/o/part-0", id, 404},
		{"an unknown path", "GET", "/other", id, 404},
		{"an additional segment", "GET", "/call/page/o/part-0/x", id, 404},
		{"an empty variable", "GET", "/call/page/o/part-", id, 404},
		{"a part that is not a number", "GET", "/call/page/o/part-x", id, 400},
		{"a part out of range", "GET", "/call/page/o/part-99999999999", id, 400},
		{"a dot segment", "GET", "/call/page/../part-0", id, 400},
		{"a percent escape", "GET", "/call/page/%6f/part-0", id, 400},
		{"an empty segment", "GET", "//call/page/o/part-0", id, 400},
		{"an empty path", "GET", "", id, 400},
		{"a group out of range", "GET", "/call/page/o/part-0", append(id, "x-group", "256"), 400},
		{"a size that is not a number", "GET", "/call/page/o/part-0", append(id, "x-ram-kb", "NaN"), 400},
		{"a negative time", "GET", "/call/page/o/part-0", append(id, "x-allow-ms", "-1"), 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			lookup, err := table.Match(test.method, test.path, attributesOf(test.headers...))
			var requestErr *RequestError
			if !errors.As(err, &requestErr) || requestErr.Status != test.status {
				t.Errorf("lookup %+v, error %v, not a RequestError with the expected status", lookup, err)
			}
		})
	}
	t.Run("fixed segments and longer fixed text take precedence, and the search backtracks", func(t *testing.T) {
		rule := func(path, object string) config.LookupRule {
			return config.LookupRule{Path: path, Kind: "page", Object: object, ID: "header:i"}
		}
		table := compile(t, rule("/{a}/x", "any"), rule("/s/{b}", "fixed"), rule("/{a}/y", "back"), rule("/p-{a}/x", "before"), rule("/p-{a}.js/x", "both"))
		for path, want := range map[string]string{"/s/x": "fixed", "/q/x": "any", "/q/y": "back", "/p-1/x": "before", "/p-1.js/x": "both", "/p-1.js/y": "back"} {
			if lookup, err := table.Match("GET", path, attributesOf("i", "1")); err != nil || lookup.Object != want {
				t.Errorf("%s: lookup %+v, error %v", path, lookup, err)
			}
		}
	})
}

func TestCompile(t *testing.T) {
	if got := compile(t, testRule).Attributes(); fmt.Sprint(got) != "[if-none-match x-allow-ms x-group x-job-id x-ram-kb]" {
		t.Error(got)
	}
	changed := func(change func(r *config.LookupRule)) []config.LookupRule {
		r := testRule
		change(&r)
		return []config.LookupRule{r}
	}
	for _, test := range []struct {
		name, field string
		rules       []config.LookupRule
	}{
		{"no rules", "path", nil},
		{"no path", "path", changed(func(r *config.LookupRule) { r.Path = "" })},
		{"a dot segment", "path", changed(func(r *config.LookupRule) { r.Path = "/a/../b" })},
		{"two variables in one segment", "path", changed(func(r *config.LookupRule) { r.Path = "/{kind}{object}" })},
		{"an opening brace alone", "path", changed(func(r *config.LookupRule) { r.Path = "/{kind" })},
		{"a closing brace alone", "path", changed(func(r *config.LookupRule) { r.Path = "/kind}" })},
		{"a variable name used twice", "path", changed(func(r *config.LookupRule) { r.Path = "/{kind}/{kind}" })},
		{"two equal rules", "path", []config.LookupRule{testRule, testRule}},
		{"two templates that differ in variable names only", "path", append(changed(func(r *config.LookupRule) {
			r.Path, r.Kind, r.Object, r.Part = "/call/{a}/{b}/part-{c}", "path:a", "path:b", "path:c"
		}), testRule)},
		{"an unknown variable", "object", changed(func(r *config.LookupRule) { r.Object = "path:thing" })},
		{"no id", "id", changed(func(r *config.LookupRule) { r.ID = "" })},
		{"a fixed id", "id", changed(func(r *config.LookupRule) { r.ID = "7" })},
		{"an unknown kind", "kind", changed(func(r *config.LookupRule) { r.Kind = "film" })},
		{"a part that is not a number", "part", changed(func(r *config.LookupRule) { r.Part = "x" })},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Compile(test.rules, []string{"segment", "page"})
			var ruleErr RuleError
			if !errors.As(err, &ruleErr) || ruleErr.Field != test.field || ruleErr.Remedy == "" {
				t.Error(err)
			}
		})
	}
}

// FuzzMatch checks that a lookup holds only valid words and numbers within their bounds,
// whatever the request contains, because the lookup is written into a protocol line to a cache.
func FuzzMatch(f *testing.F) {
	table := compile(f, testRule, config.LookupRule{Path: "/m/{o}", Kind: "segment", Object: "path:o", ID: "header:x-job-id"})
	f.Add("/call/page/o/part-1", "id", "17", "1.5", "100", `"t"`)
	f.Add("/m/..", "a b", "-1", "1e400", "NaN", `W/"t"`)
	f.Fuzz(func(t *testing.T, path, id, group, kb, allow, tag string) {
		l, err := table.Match("GET", path, attributesOf("x-job-id", id, "x-group", group, "x-ram-kb", kb, "x-allow-ms", allow, "if-none-match", tag))
		if err != nil {
			return
		}
		hasWords := isWord(l.ID) && isWord(l.Object) && (l.Tag == "" || isWord(l.Tag))
		isInBounds := l.Kind >= 0 && l.Kind <= 1 && l.Part >= 0 && l.Group >= 0 && l.Group <= maxGroup && l.KB >= 0 && l.KB <= maxKB &&
			l.TimeAllowed >= timeNotSet && l.TimeAllowed <= maxTimeAllowed
		if !hasWords || !isInBounds {
			t.Errorf("lookup with an invalid word or a number out of bounds: %+v", l)
		}
	})
}

// BenchmarkMatch compares the match of one path among 5,000 rules with trying each rule in turn.
func BenchmarkMatch(b *testing.B) {
	var rules []config.LookupRule
	for i := range 5000 {
		rules = append(rules, config.LookupRule{Path: fmt.Sprintf("/shop-%d/{object}/part-{part}", i), Kind: "page", Object: "path:object", Part: "path:part",
			ID: "header:x-job-id"})
	}
	table := compile(b, rules...)
	attributes := attributesOf("x-job-id", "9b1f")
	b.Run("tree", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := table.Match("GET", "/shop-4711/7f3a/part-3", attributes); err != nil {
				b.Fatal(err)
			}
		}
	})
	var each []*Table
	for _, r := range rules {
		each = append(each, compile(b, r))
	}
	b.Run("in turn", func(b *testing.B) {
		for b.Loop() {
			for _, t := range each {
				if _, err := t.Match("GET", "/shop-4711/7f3a/part-3", attributes); err == nil {
					break
				}
			}
		}
	})
}

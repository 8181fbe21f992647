package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"foldslip/internal/policy"
)

// fields are the values of one line, taken in order; the first that cannot be read is the error.
type fields struct {
	word, left string
	more       bool
	err        error
}

func split(line string) *fields {
	word, left, more := strings.Cut(line, " ")
	return &fields{word: word, left: left, more: more}
}

func (f *fields) fault(field, got, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s is %q, expected %s", f.word, field, got, want)
	}
}

// optional takes the next value; one that is absent is empty.
func (f *fields) optional(field string) string {
	if !f.more {
		if f.err == nil {
			f.err = fmt.Errorf("%s: %s is missing, the line has too few values", f.word, field)
		}
		return ""
	}
	var v string
	v, f.left, f.more = strings.Cut(f.left, " ")
	if v == "-" {
		return ""
	}
	if v == "" {
		f.fault(field, v, "a value or -")
	}
	return v
}

func (f *fields) text(field string) string {
	v := f.optional(field)
	if v == "" {
		f.fault(field, "-", "a value")
	}
	return v
}

// rest takes all that is left of the line.
func (f *fields) rest(field string) string {
	if !f.more {
		f.fault(field, "", "text to the line's end")
	}
	v := f.left
	f.left, f.more = "", false
	return v
}

// done gives the line's fault, if any.
func (f *fields) done() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("%s: %q is left over, expected the line's end", f.word, f.left)
	}
	return f.err
}

func (f *fields) micros(field string) policy.Micros {
	v := f.optional(field)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fault(field, v, "a whole number")
	}
	return n
}

func (f *fields) int(field string) int {
	v := f.micros(field)
	if v < 0 || v > math.MaxInt32 {
		f.fault(field, strconv.FormatInt(v, 10), "a whole number from 0")
	}
	return int(v)
}

func (f *fields) seed(field string) uint64 {
	v := f.text(field)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.fault(field, v, "a whole number from 0")
	}
	return n
}

func (f *fields) float(field string) float64 {
	v := f.optional(field)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.fault(field, v, "a number from 0")
	}
	return n
}

func (f *fields) floats(field string) []float64 {
	v := f.optional(field)
	if v == "" {
		return nil
	}
	var list []float64
	for _, one := range strings.Split(v, ",") {
		n, err := strconv.ParseFloat(one, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.fault(field, v, "numbers set apart by commas")
		}
		list = append(list, n)
	}
	return list
}

func (f *fields) bool(field string) bool {
	v := f.optional(field)
	if v != "" && v != "0" && v != "1" {
		f.fault(field, v, "0 or 1")
	}
	return v == "1"
}

func (f *fields) ending(field string) policy.Ending {
	n := f.int(field)
	if f.err == nil && (n < 1 || n > 9) {
		f.fault(field, strconv.Itoa(n), "an outcome from 1 to 9")
	}
	return policy.Ending(n)
}

func (f *fields) remark(field string) policy.Remark {
	n := f.int(field)
	if n > 10 {
		f.fault(field, strconv.Itoa(n), "a remark from 0 to 10")
	}
	return policy.Remark(n)
}

func (f *fields) state(field string) policy.State {
	switch v := f.text(field); v {
	case "ready":
		return policy.Ready
	case "draining":
		return policy.Draining
	case "gone":
		return policy.Gone
	default:
		f.fault(field, v, "ready, draining or gone")
		return policy.Gone
	}
}

func (f *fields) listKind(field string) policy.ListKind {
	switch v := f.text(field); v {
	case "delta":
		return policy.Changes
	case "full":
		return policy.FullList
	case "cached":
		return policy.CachedList
	case "failed":
		return policy.ListFailed
	default:
		f.fault(field, v, "delta, full, cached or failed")
		return policy.ListFailed
	}
}

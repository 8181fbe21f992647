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
	message, remaining string
	more               bool
	err                error
}

func splitLine(line string) *fields {
	word, left, more := strings.Cut(line, " ")
	return &fields{message: word, remaining: left, more: more}
}

func (f *fields) reject(field, got, want string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s is %q, expected %s", f.message, field, got, want)
	}
}

// optional takes the next value; one that is absent is empty.
func (f *fields) optional(field string) string {
	if !f.more {
		if f.err == nil {
			f.err = fmt.Errorf("%s: %s is missing, the line has too few values", f.message, field)
		}
		return ""
	}
	var v string
	v, f.remaining, f.more = strings.Cut(f.remaining, " ")
	if v == "-" {
		return ""
	}
	if v == "" {
		f.reject(field, v, "a value or -")
	}
	return v
}

func (f *fields) text(field string) string {
	v := f.optional(field)
	if v == "" {
		f.reject(field, "-", "a value")
	}
	return v
}

// rest takes all that is left of the line.
func (f *fields) rest(field string) string {
	if !f.more {
		f.reject(field, "", "text to the line's end")
	}
	v := f.remaining
	f.remaining, f.more = "", false
	return v
}

// finish gives the line's fault, if any.
func (f *fields) finish() error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("%s: %q is left over, expected the line's end", f.message, f.remaining)
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
		f.reject(field, v, "a whole number")
	}
	return n
}

func (f *fields) int(field string) int {
	v := f.micros(field)
	if v < 0 || v > math.MaxInt32 {
		f.reject(field, strconv.FormatInt(v, 10), "a whole number from 0")
	}
	return int(v)
}

func (f *fields) seed(field string) uint64 {
	v := f.text(field)
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		f.reject(field, v, "a whole number from 0")
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
		f.reject(field, v, "a number from 0")
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
			f.reject(field, v, "numbers set apart by commas")
		}
		list = append(list, n)
	}
	return list
}

func (f *fields) bool(field string) bool {
	v := f.optional(field)
	if v != "" && v != "0" && v != "1" {
		f.reject(field, v, "0 or 1")
	}
	return v == "1"
}

func (f *fields) outcome(field string) policy.AttemptOutcome {
	n := f.int(field)
	if f.err == nil && (n < 1 || n > 9) {
		f.reject(field, strconv.Itoa(n), "an outcome from 1 to 9")
	}
	return policy.AttemptOutcome(n)
}

func (f *fields) detail(field string) policy.OutcomeDetail {
	n := f.int(field)
	if n > 10 {
		f.reject(field, strconv.Itoa(n), "a remark from 0 to 10")
	}
	return policy.OutcomeDetail(n)
}

func (f *fields) state(field string) policy.EndpointState {
	switch v := f.text(field); v {
	case "ready":
		return policy.Ready
	case "draining":
		return policy.Draining
	case "gone":
		return policy.Gone
	default:
		f.reject(field, v, "ready, draining or gone")
		return policy.Gone
	}
}

func (f *fields) updateKind(field string) policy.UpdateKind {
	switch v := f.text(field); v {
	case "delta":
		return policy.UpdateDelta
	case "full":
		return policy.UpdateFull
	case "cached":
		return policy.UpdateCached
	case "failed":
		return policy.UpdateFailed
	default:
		f.reject(field, v, "delta, full, cached or failed")
		return policy.UpdateFailed
	}
}

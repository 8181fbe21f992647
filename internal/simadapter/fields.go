package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"foldslip/internal/policy"
)

// FieldError reports a line that could not be parsed, and states what was expected.
type FieldError struct {
	Message string // name of the protocol message
	Problem string
}

// Error returns the name of the message and the problem, which names the field and what was expected.
func (e *FieldError) Error() string { return e.Message + ": " + e.Problem }

// UnexpectedMessageError reports a line that begins with a message name other than the expected one.
type UnexpectedMessageError struct {
	Message  string
	Expected string
}

// Error returns the name that was read and the name that was expected.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("message %q, expected %s", e.Message, e.Expected)
}

// fields parses the values of one line in order. The first value that cannot be parsed sets
// err. Later failures do not replace it. Callers discard the values of a line with an error.
type fields struct {
	message   string
	remaining string // the part of the line that has not been parsed
	more      bool   // remaining holds a value, which may be empty
	err       error
}

// splitLine splits a line into the name of its message and its values, which are not parsed yet.
func splitLine(line string) *fields {
	message, remaining, more := strings.Cut(line, " ")
	return &fields{message: message, remaining: remaining, more: more}
}

// reject records that the value of a field is invalid. want describes the valid values.
func (f *fields) reject(field, got, want string) {
	f.fail(fmt.Sprintf("%s is %q, expected %s", field, got, want))
}

// fail records a problem with the line. Only the first problem is kept.
func (f *fields) fail(problem string) {
	if f.err == nil {
		f.err = &FieldError{Message: f.message, Problem: problem}
	}
}

// finish returns the first error of the line. A value after the last expected one is an error, too.
func (f *fields) finish() error {
	if f.more {
		f.fail(fmt.Sprintf("%q is left over, expected the line's end", f.remaining))
	}
	return f.err
}

// optional reads a value that may be absent. It returns an empty string for "-", which stands for an absent value.
func (f *fields) optional(field string) string {
	if !f.more {
		f.fail(field + " is missing, the line has too few values")
		return ""
	}
	var value string
	value, f.remaining, f.more = strings.Cut(f.remaining, " ")
	switch value {
	case "-":
		return ""
	case "":
		f.reject(field, value, "a value or -")
	}
	return value
}

// text reads a value that must be present.
func (f *fields) text(field string) string {
	value := f.optional(field)
	if value == "" {
		f.reject(field, "-", "a value")
	}
	return value
}

// rest reads the remainder of the line.
func (f *fields) rest(field string) string {
	if !f.more {
		f.reject(field, "", "text to the line's end")
	}
	value := f.remaining
	f.remaining, f.more = "", false
	return value
}

// micros reads a 64-bit integer, in most fields a time in microseconds. An absent value is 0.
func (f *fields) micros(field string) policy.Micros {
	value := f.optional(field)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		f.reject(field, value, "a whole number")
	}
	return n
}

// int reads a 32-bit integer that is not negative. An absent value is 0.
func (f *fields) int(field string) int {
	n := f.micros(field)
	if n < 0 || n > math.MaxInt32 {
		f.reject(field, strconv.FormatInt(n, 10), "a whole number from 0")
	}
	return int(n)
}

// seed reads an unsigned 64-bit integer that must be present.
func (f *fields) seed(field string) uint64 {
	value := f.text(field)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.reject(field, value, "a whole number from 0")
	}
	return n
}

// float reads a finite number that is not negative. An absent value is 0.
func (f *fields) float(field string) float64 {
	value := f.optional(field)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		f.reject(field, value, "a number from 0")
	}
	return n
}

// floats reads finite numbers that are separated by commas. It returns nil if the value is absent.
func (f *fields) floats(field string) []float64 {
	value := f.optional(field)
	if value == "" {
		return nil
	}
	var numbers []float64
	for _, text := range strings.Split(value, ",") {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			f.reject(field, value, "numbers set apart by commas")
		}
		numbers = append(numbers, n)
	}
	return numbers
}

// bool reads a flag, which is 0 or 1. An absent value is false.
func (f *fields) bool(field string) bool {
	value := f.optional(field)
	if value != "" && value != "0" && value != "1" {
		f.reject(field, value, "0 or 1")
	}
	return value == "1"
}

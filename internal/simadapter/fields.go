package simadapter

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"foldslip/internal/policy"
)

// FieldError says that a line could not be read, and what was expected.
type FieldError struct {
	Message string // of the protocol
	Problem string
}

// Error says which message, which field and what was expected.
func (e *FieldError) Error() string { return e.Message + ": " + e.Problem }

// UnexpectedMessageError says that a line of another message was expected.
type UnexpectedMessageError struct {
	Message  string
	Expected string
}

// Error says what came and what was expected.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("message %q, expected %s", e.Message, e.Expected)
}

// fields are the values of one line, read in order. The first one that cannot be read sets err; the methods return zero values from then on.
type fields struct {
	message   string
	remaining string
	more      bool // remaining holds a value, which may be empty
	err       error
}

// splitLine splits a line into its message and values.
func splitLine(line string) *fields {
	message, remaining, more := strings.Cut(line, " ")
	return &fields{message: message, remaining: remaining, more: more}
}

// reject notes that a field could not be read.
func (f *fields) reject(field, got, want string) {
	f.fail(fmt.Sprintf("%s is %q, expected %s", field, got, want))
}

// fail notes the line's first problem.
func (f *fields) fail(problem string) {
	if f.err == nil {
		f.err = &FieldError{Message: f.message, Problem: problem}
	}
}

// finish returns the line's error, which may be that values are left over.
func (f *fields) finish() error {
	if f.more {
		f.fail(fmt.Sprintf("%q is left over, expected the line's end", f.remaining))
	}
	return f.err
}

// optional reads a value that may be absent, which is empty then.
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

// text reads a value that must be there.
func (f *fields) text(field string) string {
	value := f.optional(field)
	if value == "" {
		f.reject(field, "-", "a value")
	}
	return value
}

// rest reads everything up to the line's end.
func (f *fields) rest(field string) string {
	if !f.more {
		f.reject(field, "", "text to the line's end")
	}
	value := f.remaining
	f.remaining, f.more = "", false
	return value
}

// micros reads a whole number; 0 if it is absent.
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

// int reads a whole number of 32 bits from 0; 0 if it is absent.
func (f *fields) int(field string) int {
	n := f.micros(field)
	if n < 0 || n > math.MaxInt32 {
		f.reject(field, strconv.FormatInt(n, 10), "a whole number from 0")
	}
	return int(n)
}

func (f *fields) seed(field string) uint64 {
	value := f.text(field)
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		f.reject(field, value, "a whole number from 0")
	}
	return n
}

// float reads a number from 0; 0 if it is absent.
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

// floats reads numbers set apart by commas; nil if they are absent.
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

// bool reads 0 or 1; false if it is absent.
func (f *fields) bool(field string) bool {
	value := f.optional(field)
	if value != "" && value != "0" && value != "1" {
		f.reject(field, value, "0 or 1")
	}
	return value == "1"
}

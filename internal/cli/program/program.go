// Package program has the parts that the command lines of foldslip, foldslip-extproc and foldslip-rig
// share. It parses arguments with kong, prints errors, determines the exit status, and parses ranges of
// seeds. It keeps no state between calls.
package program

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Exit statuses of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command ran and failed
	ExitUsage  = 2 // an argument, a setting or a file cannot be used
)

// Streams are the streams that a command writes to. The Run method of a command can have a *Streams as parameter.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // messages and progress
}

// Program describes the command line of one program.
type Program struct {
	Name        string
	Description string
	CompactHelp bool
	Hint        string             // appended to errors in the arguments
	FormatError func(error) string // returns the text to print for an error; nil: the error's own text
}

// exitCode carries the exit status out of kong in a panic. Without it kong would end the process after --help.
type exitCode int

// Main parses args into commands, a pointer to a struct with kong's tags, runs the selected command and returns the
// exit status. It prints an error once, with the program's name as prefix. It does not print a ReportedError.
func (p Program) Main(commands any, args []string, streams *Streams) (status int) {
	options := []kong.Option{
		kong.Name(p.Name),
		kong.Description(p.Description),
		kong.Writers(streams.Out, streams.Err),
		kong.ConfigureHelp(kong.HelpOptions{Compact: p.CompactHelp}),
		kong.Bind(streams),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
	}
	parser, err := kong.New(commands, options...)
	if err != nil {
		fmt.Fprintf(streams.Err, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			code, ok := recovered.(exitCode)
			if !ok {
				panic(recovered)
			}
			status = int(code)
		}
	}()
	selected, err := parser.Parse(args)
	if err != nil {
		return p.report(streams.Err, UsageErrorf("%w%s", err, p.Hint))
	}
	return p.report(streams.Err, selected.Run())
}

// report prints an error, unless it is a ReportedError, and returns the exit status for it.
func (p Program) report(out io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	if !errors.As(err, new(ReportedError)) {
		text := err.Error()
		if p.FormatError != nil {
			text = p.FormatError(err)
		}
		fmt.Fprintf(out, "%s: %s\n", p.Name, text)
	}
	if IsUsageError(err) {
		return ExitUsage
	}
	return ExitFailed
}

// OneLine returns the text of an error as a single line.
func OneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// UsageError reports an argument, a setting or a file that cannot be used. The exit status is 2 (ExitUsage).
type UsageError struct{ Err error }

// Error returns the text of the wrapped error.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e UsageError) Unwrap() error { return e.Err }

// UsageErrorf formats a UsageError as fmt.Errorf does.
func UsageErrorf(format string, arguments ...any) error {
	return UsageError{fmt.Errorf(format, arguments...)}
}

// IsUsageError reports whether err is or wraps a UsageError.
func IsUsageError(err error) bool { return errors.As(err, new(UsageError)) }

// ReportedError is an error that has already been logged or printed. It determines the
// exit status and is not printed again.
type ReportedError struct{ Err error }

// Error returns the text of the wrapped error.
func (e ReportedError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e ReportedError) Unwrap() error { return e.Err }

// FailedError reports a failure found by a command that ran to its end. The exit status is 1 (ExitFailed).
type FailedError struct{ Text string }

// Error returns the text of the failure.
func (e FailedError) Error() string { return e.Text }

// Failedf formats a FailedError as fmt.Sprintf does.
func Failedf(format string, arguments ...any) error {
	return FailedError{fmt.Sprintf(format, arguments...)}
}

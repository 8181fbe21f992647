// Package program is what the command lines of foldslip, foldslip-extproc and foldslip-rig share: arguments read by kong, errors
// printed, the exit status, and seeds given as a range.
package program

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Exit statuses of every program.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command was run and failed
	ExitUsage  = 2 // arguments, a setting or a file cannot be used
)

// Streams are what a command writes to. Run methods of commands take a *Streams.
type Streams struct {
	Out io.Writer // results
	Err io.Writer // messages and progress
}

// Program is the command line of one program.
type Program struct {
	Name        string
	Description string
	CompactHelp bool
	Hint        string             // added to errors in the arguments
	FormatError func(error) string // how an error is printed; nil: as it is
}

// exitCode carries the exit status out of kong, which ends the process after --help.
type exitCode int

// Main parses args into commands, a pointer to a struct with kong's tags, runs the selected command and returns the exit status.
// An error is printed once, after the program's name, unless it is a ReportedError.
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

// report prints an error and returns the exit status that goes with it.
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

// OneLine formats an error in one line.
func OneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", " ") }

// UsageError is an error in arguments, a setting or a file: exit status 2.
type UsageError struct{ Err error }

// Error returns the text of the error within.
func (e UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the error within.
func (e UsageError) Unwrap() error { return e.Err }

// UsageErrorf formats a UsageError as fmt.Errorf does.
func UsageErrorf(format string, arguments ...any) error {
	return UsageError{fmt.Errorf(format, arguments...)}
}

// IsUsageError reports whether err is or wraps a UsageError.
func IsUsageError(err error) bool { return errors.As(err, new(UsageError)) }

// ReportedError is a failure that has been logged or printed already: it only sets the exit status.
type ReportedError struct{ Err error }

// Error returns the text of the error within.
func (e ReportedError) Error() string { return e.Err.Error() }

// Unwrap returns the error within.
func (e ReportedError) Unwrap() error { return e.Err }

// FailedError is a command that ran to its end and found a failure: exit status 1.
type FailedError struct{ Text string }

// Error returns the text.
func (e FailedError) Error() string { return e.Text }

// Failedf formats a FailedError.
func Failedf(format string, arguments ...any) error {
	return FailedError{fmt.Sprintf(format, arguments...)}
}

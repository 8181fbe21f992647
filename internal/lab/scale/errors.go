package scale

import (
	"errors"
	"fmt"
)

var (
	errUnknownAddress = errors.New("dialed address belongs to no gateway")
	errRequestTooLong = errors.New("watch request has no newline within its limit of 64 bytes")
	// ErrPositionNotKept reports a range of positions that an ArrivalLog does not keep: it is outside 1 to
	// maxArrivals, or its end is before its start.
	ErrPositionNotKept = errors.New("invalid range of event positions, expected 1 <= from <= to <= 1048576")
)

// OptionError reports an option of a run that is out of bounds. No part of the run has been started.
type OptionError struct {
	Option  string // name of the field
	Problem string // the value and what was expected
}

// Error returns the problem.
func (e *OptionError) Error() string { return e.Problem }

func newOptionError(option, format string, values ...any) *OptionError {
	return &OptionError{option, fmt.Sprintf(format, values...)}
}

// LogAxisError reports a value of 0 or less, or an infinite value, in a figure that is to be fitted or drawn on log
// axes.
type LogAxisError struct {
	Figure   string
	Value    float64
	Gateways int  // size at which the value was measured; set if Fitted is true
	Fitted   bool // true: the value was to be fitted; false: it was to be drawn
}

// Error returns a message with the figure and the value.
func (e *LogAxisError) Error() string {
	if e.Fitted {
		return fmt.Sprintf("%s: value %g at %d gateways, expected a positive and finite one for log axes", e.Figure, e.Value, e.Gateways)
	}
	return fmt.Sprintf("%s: value %g, expected a positive and finite one for a log axis", e.Figure, e.Value)
}

// TooFewSizesError reports a figure that was measured at fewer than two sizes, so that no line can be fitted to it.
type TooFewSizesError struct {
	Figure string
	Sizes  int
}

// Error returns a message with the figure and the number of its sizes.
func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%s: measured at %d sizes, expected at least 2 to fit a line", e.Figure, e.Sizes)
}

// FigureCountError reports a folder with no figures, or with more than maxFigures.
type FigureCountError struct {
	Dir   string
	Count int
}

// Error returns a message with the folder and the number of its figures.
func (e *FigureCountError) Error() string {
	return fmt.Sprintf("%s: %d figures (*.json), expected 1 to %d", e.Dir, e.Count, maxFigures)
}

// watchRequestError reports a first line of a connection that is not a watch request.
type watchRequestError struct{ line []byte }

func (e *watchRequestError) Error() string {
	return fmt.Sprintf("watch request %q, expected \"after\" and a number", e.line)
}

// UnknownGatewayError reports a command for a gateway that a process of hollow gateways does not run.
type UnknownGatewayError struct{ Gateway int }

// Error returns a message with the gateway.
func (e *UnknownGatewayError) Error() string {
	return fmt.Sprintf("gateway %d does not run in this process", e.Gateway)
}

// UnknownActionError reports a command with an action that a process of hollow gateways does not know.
type UnknownActionError struct{ Action string }

// Error returns a message with the action.
func (e *UnknownActionError) Error() string { return fmt.Sprintf("unknown action %q", e.Action) }

// HollowReplyError is an error that a process of hollow gateways sent as its reply to a command.
type HollowReplyError struct{ Message string }

// Error returns the text of the reply.
func (e *HollowReplyError) Error() string { return e.Message }

// ProcessMemoryError reports that the status of a process does not contain its anonymous memory because the process
// has ended.
type ProcessMemoryError struct{ PID int }

// Error returns a message with the process.
func (e *ProcessMemoryError) Error() string {
	return fmt.Sprintf("process %d: no RssAnon line in its status, the process has ended", e.PID)
}

// GatewayExitedError reports a real gateway that exited before it was stopped. Its log holds the reason.
type GatewayExitedError struct {
	Err error  // from waiting for the process; nil: it exited with status 0
	Log string // path
}

// Error returns a message with the error of the process and the path of the log.
func (e *GatewayExitedError) Error() string {
	return fmt.Sprintf("a real gateway exited before it was stopped: %v; its log is %s", e.Err, e.Log)
}

// Unwrap returns the error of the process.
func (e *GatewayExitedError) Unwrap() error { return e.Err }

// WatchStartError reports that not all gateways had a watch within a minute after they were started.
type WatchStartError struct{ Watching, Gateways int }

// Error returns a message with the number of gateways that have a watch.
func (e *WatchStartError) Error() string {
	return fmt.Sprintf("%d of %d gateways have a watch after a minute, expected all", e.Watching, e.Gateways)
}

// StopTimeoutError reports a real gateway that was killed because it did not end within realStopTimeout of SIGTERM.
type StopTimeoutError struct{ Program string }

// Error returns a message with the program.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("%s did not end within %v of SIGTERM", e.Program, realStopTimeout)
}

// MissedEventsError reports a real gateway that had not received all events when it ended, or whose watch was
// interrupted.
type MissedEventsError struct {
	Held, Published int64 // the gateway's numbers of the last event received and the last published
	Interruptions   int
	Log             string // path
}

// Error returns a message with the numbers and the path of the log.
func (e *MissedEventsError) Error() string {
	return fmt.Sprintf("a real gateway held event %d of %d at its end, its watch ended %d times; its log is %s", e.Held, e.Published, e.Interruptions, e.Log)
}

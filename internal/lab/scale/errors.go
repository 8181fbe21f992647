package scale

import (
	"errors"
	"fmt"
)

var (
	errUnknownAddress = errors.New("nobody's address")
	errRequestTooLong = errors.New("a watch began with a line that is too long")
	// ErrPositionNotKept reports that an ArrivalLog was asked for positions outside 1 to its bound, or in the wrong order.
	ErrPositionNotKept = errors.New("positions that no ledger keeps")
)

// OptionError reports an option of a run that is out of its bounds. Nothing has been started.
type OptionError struct {
	Option  string // name of the field
	Problem string // the value and what was expected
}

// Error gives the problem.
func (e *OptionError) Error() string { return e.Problem }

func newOptionError(option, format string, values ...any) *OptionError {
	return &OptionError{option, fmt.Sprintf(format, values...)}
}

// LogAxisError reports a value of 0 or less, or an infinite one, in a figure that is fitted or drawn on log axes.
type LogAxisError struct {
	Figure   string
	Value    float64
	Gateways int  // set where Fitted is
	Fitted   bool // the value was to be fitted; otherwise it was to be drawn
}

// Error names the figure and the value.
func (e *LogAxisError) Error() string {
	if e.Fitted {
		return fmt.Sprintf("%s of %g at %d gateways cannot stand on log axes", e.Figure, e.Value, e.Gateways)
	}
	return fmt.Sprintf("%s: %g cannot stand on a log axis", e.Figure, e.Value)
}

// TooFewSizesError reports a figure that was measured at fewer than the two sizes that a line needs.
type TooFewSizesError struct {
	Figure string
	Sizes  int
}

// Error names the figure and the number of its sizes.
func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%s: a line needs two sizes, there are %d", e.Figure, e.Sizes)
}

// FigureCountError reports a folder with no figures, or with more than are read.
type FigureCountError struct {
	Dir   string
	Count int
}

// Error names the folder and the number of its figures.
func (e *FigureCountError) Error() string {
	return fmt.Sprintf("%s: %d figures (*.json), expected 1 to %d", e.Dir, e.Count, maxFigures)
}

// watchRequestError reports a line that does not begin a watch.
type watchRequestError struct{ line []byte }

func (e *watchRequestError) Error() string { return fmt.Sprintf("a watch began with %q", e.line) }

// UnknownGatewayError reports a command for a gateway that a process of hollow gateways does not run.
type UnknownGatewayError struct{ Gateway int }

// Error names the gateway.
func (e *UnknownGatewayError) Error() string { return fmt.Sprintf("gateway %d is not here", e.Gateway) }

// UnknownActionError reports a command whose action a process of hollow gateways does not know.
type UnknownActionError struct{ Action string }

// Error names the action.
func (e *UnknownActionError) Error() string { return fmt.Sprintf("%q is no order", e.Action) }

// HollowReplyError is the error that a process of hollow gateways replied with.
type HollowReplyError struct{ Message string }

// Error is the text of the reply.
func (e *HollowReplyError) Error() string { return e.Message }

// ProcessMemoryError reports that the status of a process does not tell its anonymous memory: it has ended.
type ProcessMemoryError struct{ PID int }

// Error names the process.
func (e *ProcessMemoryError) Error() string {
	return fmt.Sprintf("process %d: no RssAnon in its status", e.PID)
}

// GatewayExitedError reports a real gateway that ended before it was stopped; its log says why.
type GatewayExitedError struct {
	Err error // of its process; nil: it exited with status 0
	Log string
}

// Error gives the end of the process and the path of the log.
func (e *GatewayExitedError) Error() string {
	return fmt.Sprintf("a real gateway ended by itself: %v; its log is %s", e.Err, e.Log)
}

// Unwrap gives the error of the process.
func (e *GatewayExitedError) Unwrap() error { return e.Err }

// WatchStartError reports that not all gateways watched in time after the start.
type WatchStartError struct{ Watching, Gateways int }

// Error gives how many watch.
func (e *WatchStartError) Error() string {
	return fmt.Sprintf("%d of %d gateways watch after a minute", e.Watching, e.Gateways)
}

// StopTimeoutError reports a real gateway that was killed since it did not end after SIGTERM.
type StopTimeoutError struct{ Program string }

// Error names the program.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("%s did not end within %v of SIGTERM", e.Program, realStopTimeout)
}

// MissedEventsError reports a real gateway that did not hold all events when it ended, or whose watch was interrupted.
type MissedEventsError struct {
	Held, Published int64 // numbers of events, as the gateway counts
	Interruptions   int
	Log             string
}

// Error gives the numbers and the path of the log.
func (e *MissedEventsError) Error() string {
	return fmt.Sprintf("a real gateway held event %d of %d at its end, its watch ended %d times; its log is %s", e.Held, e.Published, e.Interruptions, e.Log)
}

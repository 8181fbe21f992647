package fleet

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Errors that a GatewayError wraps.
var (
	ErrRunning    = errors.New("is already running")
	ErrNotRunning = errors.New("is not running")
)

// GatewayError reports a failed operation on one gateway.
type GatewayError struct {
	Gateway string // its name in the scenario
	Err     error
}

// Error names the gateway and the cause.
func (e *GatewayError) Error() string { return e.Gateway + " " + e.Err.Error() }

// Unwrap returns the cause.
func (e *GatewayError) Unwrap() error { return e.Err }

// StopTimeoutError reports a process that did not exit in time after a signal and was killed.
type StopTimeoutError struct {
	Signal  syscall.Signal
	Timeout time.Duration
}

// Error names the timeout and the signal.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("did not exit within %v of signal %v and was killed", e.Timeout, e.Signal)
}

// CrashError reports a gateway process that exited by itself, exited
// with an error after SIGTERM, or logged a fault of the program.
type CrashError struct {
	Gateway string
	LogLine string // the line that shows the fault; empty: the process exited
	Exit    error  // how the process exited; nil: exit code 0
}

// Error names the gateway and the log line, or how the process exited.
func (e *CrashError) Error() string {
	if e.LogLine != "" {
		return e.Gateway + ": " + e.LogLine
	}
	return fmt.Sprintf("%s ended by itself: %v", e.Gateway, e.Exit)
}

// Unwrap returns how the process exited.
func (e *CrashError) Unwrap() error { return e.Exit }

// NotReadyError reports a fleet whose gateways did not settle in time after their start.
type NotReadyError struct {
	Timeout time.Duration
	Dir     string // folder with the gateways' logs
}

// Error names the timeout and the folder with the logs.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the fleet did not settle within %v of its start; the logs are in %s", e.Timeout, e.Dir)
}

// StepError reports a step that could not be carried out.
type StepError struct {
	Step   int // index into Scenario.Steps
	Action string
	Err    error
}

// Error names the step and the cause.
func (e *StepError) Error() string { return fmt.Sprintf("step %d (%s): %v", e.Step, e.Action, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// RepeatError reports a repeated step without an interval,
// without a following step, or with more than maxSteps repeats.
type RepeatError struct {
	Step int // index into Scenario.Steps before repeated steps are unrolled
}

// Error names the step and what a repeated step needs.
func (e *RepeatError) Error() string {
	return fmt.Sprintf("steps[%d]: a repeated step needs every_ms above 0, a step after it, and no more repeats than a scenario may have steps", e.Step)
}

// AdminError reports an error that a gateway returned on its admin socket.
type AdminError struct {
	Text string
}

// Error returns the gateway's error text.
func (e *AdminError) Error() string { return e.Text }

package fleet

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// Errors that a GatewayError wraps.
var (
	ErrRunning    = errors.New("runs already")
	ErrNotRunning = errors.New("does not run")
)

// GatewayError is an operation on one gateway that failed.
type GatewayError struct {
	Gateway string // its name in the scenario
	Err     error
}

// Error names the gateway and the cause.
func (e *GatewayError) Error() string { return e.Gateway + " " + e.Err.Error() }

// Unwrap returns the cause.
func (e *GatewayError) Unwrap() error { return e.Err }

// StopTimeoutError is a process that did not end after a signal and was killed.
type StopTimeoutError struct {
	Signal  syscall.Signal
	Timeout time.Duration
}

// Error names the timeout and the signal.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("did not end within %v of signal %v", e.Timeout, e.Signal)
}

// CrashError is a gateway process that ended by itself, ended badly after SIGTERM, or logged a fault of the program.
type CrashError struct {
	Gateway string
	LogLine string // the line that shows the fault; empty: the process ended
	Exit    error  // how the process ended; nil with exit code 0
}

// Error names the gateway and the log line, or how the process ended.
func (e *CrashError) Error() string {
	if e.LogLine != "" {
		return e.Gateway + ": " + e.LogLine
	}
	return fmt.Sprintf("%s ended by itself: %v", e.Gateway, e.Exit)
}

// Unwrap returns how the process ended.
func (e *CrashError) Unwrap() error { return e.Exit }

// NotReadyError is a fleet whose gateways did not settle in time after their start.
type NotReadyError struct {
	Timeout time.Duration
	Dir     string // where the gateways' logs are
}

// Error names the timeout and where the logs are.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("the fleet was not ready within %v: see the logs in %s", e.Timeout, e.Dir)
}

// StepError is a step that could not be carried out.
type StepError struct {
	Step   int // index into Scenario.Steps
	Action string
	Err    error
}

// Error names the step and the cause.
func (e *StepError) Error() string { return fmt.Sprintf("step %d (%s): %v", e.Step, e.Action, e.Err) }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Err }

// RepeatError is a repeated step without an interval, without a step after it, or with too many repeats.
type RepeatError struct {
	Step int // index into Scenario.Steps as they were written
}

// Error names the step and what it needs.
func (e *RepeatError) Error() string {
	return fmt.Sprintf("steps[%d] repeats: it needs every_ms and a step after it", e.Step)
}

// AdminError is the text of an error that a gateway's admin socket answered with.
type AdminError struct {
	Text string
}

// Error is the gateway's text.
func (e *AdminError) Error() string { return e.Text }

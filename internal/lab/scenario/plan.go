package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// PlanForm is the version of the format of plan files.
const PlanForm = 1

// ErrPlan is the error of a plan that cannot be run, or whose file has another form.
var ErrPlan = errors.New("invalid plan")

// planError is an ErrPlan with a text of its own for operators.
type planError struct{ text string }

// Error returns the text.
func (e planError) Error() string { return e.text }

// Is reports whether the target is ErrPlan.
func (e planError) Is(target error) bool { return target == ErrPlan }

func invalidPlan(format string, a ...any) error { return planError{fmt.Sprintf(format, a...)} }

// Plan describes a scenario completely: its size, its length and its faults. The keys in plan files and the names of
// profiles and faults stay as they were in the first releases.
type Plan struct {
	Form          int        `json:"form"`
	Seed          uint64     `json:"seed"`
	Profile       string     `json:"days"`
	Seconds       int        `json:"seconds"` // time in which clients send lookups
	Gateways      int        `json:"gateways"`
	Caches        int        `json:"caches"`
	Parents       int        `json:"parents"`
	Rate          float64    `json:"rate"`        // lookups per second at each gateway
	MemoryMB      float64    `json:"memory_mb"`   // memory limit of each gateway
	Descriptors   int        `json:"descriptors"` // descriptor limit of each gateway
	Faults        []Fault    `json:"faults"`
	InjectedFault string     `json:"plant,omitempty"` // fault in the gateway itself, which the checker has to find
	ColdStart     *ColdStart `json:"morning,omitempty"`
}

// Fault is one fault of a plan, with its start time and its duration.
type Fault struct {
	AtMS       int    `json:"at_ms"` // from the end of the warmup
	Kind       string `json:"kind"`
	Target     int    `json:"who"` // index of the actor, modulo the number of actors
	DurationMS int    `json:"for_ms"`
	Variant    int    `json:"more,omitempty"` // a number that each kind uses in its own way
}

// String returns the fault as commands print it.
func (f Fault) String() string {
	return fmt.Sprintf("%d.%03d s %s who=%d for=%dms", f.AtMS/1000, f.AtMS%1000, f.Kind, f.Target, f.DurationMS)
}

func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// ReadPlan decodes and validates the text of a plan file.
func ReadPlan(text []byte) (Plan, error) {
	var plan Plan
	var header struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return plan, fmt.Errorf("not a plan: invalid JSON: %w", err)
	}
	if header.Form != PlanForm {
		return plan, invalidPlan("plan file has form %d, this program runs form %d: draw the plan from its seed again", header.Form, PlanForm)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, fmt.Errorf("not a plan: %w", err)
	}
	return plan, plan.Validate()
}

// Validate returns an ErrPlan that names the first invalid field, and nil if the plan can be run.
func (p Plan) Validate() error {
	for _, bound := range []struct {
		name            string
		value, min, max int
	}{
		{"seconds", p.Seconds, 1, 3600},
		{"gateways", p.Gateways, 1, 12},
		{"caches", p.Caches, 1, 40},
		{"parents", p.Parents, 1, 8},
		{"descriptors", p.Descriptors, 32, 4096},
		{"memory_mb", int(p.MemoryMB), 8, 4096},
		{"rate", int(p.Rate), 0, 1000},
	} {
		if bound.value < bound.min || bound.value > bound.max {
			return invalidPlan("%s is %d, expected %d to %d", bound.name, bound.value, bound.min, bound.max)
		}
	}
	if _, exists := Profiles[p.Profile]; !exists {
		return invalidPlan("days %q is unknown, expected one of %s", p.Profile, strings.Join(sortedKeys(Profiles), ", "))
	}
	if p.ColdStart != nil {
		if err := p.ColdStart.validate(); err != nil {
			return err
		}
	}
	for i, f := range p.Faults {
		if findFaultKind(f.Kind) == nil {
			return invalidPlan("faults[%d]: kind %q is unknown; foldslip faults kinds lists them", i, f.Kind)
		}
		if f.AtMS < 0 || f.DurationMS < 0 || f.Target < 0 || f.Variant < 0 {
			return invalidPlan("faults[%d]: at_ms %d, for_ms %d, who %d and more %d must not be negative", i, f.AtMS, f.DurationMS, f.Target, f.Variant)
		}
	}
	if p.InjectedFault != "" && !slices.Contains(InjectedFaults(), p.InjectedFault) {
		return invalidPlan("plant %q is unknown, expected one of %s", p.InjectedFault, strings.Join(InjectedFaults(), ", "))
	}
	return nil
}

// usesExternalProcessor reports whether callers send lookups to the gateways' external processors.
func (p Plan) usesExternalProcessor() bool {
	return p.Profile == profileExtproc || p.Profile == profileBoth
}

// changesRoutes reports whether operators change the routes of gateways.
func (p Plan) changesRoutes() bool { return p.Profile == profileRoutes }

func sortedKeys[T any](m map[string]T) (keys []string) {
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

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

// PlanForm is the form of plans in files.
const PlanForm = 1

// ErrPlan is the error of a plan that cannot be read or run.
var ErrPlan = errors.New("invalid plan")

// planError is an ErrPlan whose text is what an operator reads.
type planError struct{ text string }

// Error is the text.
func (e planError) Error() string { return e.text }

// Is reports whether the target is ErrPlan.
func (e planError) Is(target error) bool { return target == ErrPlan }

func invalidPlan(format string, a ...any) error { return planError{fmt.Sprintf(format, a...)} }

// Plan is the size of a scenario, its length and its faults. The keys of its file and the names of profiles and faults are those of the
// first releases.
type Plan struct {
	Form          int        `json:"form"`
	Seed          uint64     `json:"seed"`
	Profile       string     `json:"days"`
	Seconds       int        `json:"seconds"` // from the clients' first lookup to their last
	Gateways      int        `json:"gateways"`
	Caches        int        `json:"caches"`
	Parents       int        `json:"parents"`
	Rate          float64    `json:"rate"`        // lookups per second at each gateway
	MemoryMB      float64    `json:"memory_mb"`   // limit of each gateway
	Descriptors   int        `json:"descriptors"` // limit of each gateway
	Faults        []Fault    `json:"faults"`
	InjectedFault string     `json:"plant,omitempty"` // of the gateway itself, to prove the checker
	ColdStart     *ColdStart `json:"morning,omitempty"`
}

// Fault is one fault with its beginning and its duration.
type Fault struct {
	AtMS       int    `json:"at_ms"` // after warmup
	Kind       string `json:"kind"`
	Target     int    `json:"who"` // modulo the actors of its kind
	DurationMS int    `json:"for_ms"`
	Variant    int    `json:"more,omitempty"` // what the kind makes of it
}

// String is the fault as commands print it.
func (f Fault) String() string {
	return fmt.Sprintf("%d.%03d s %s who=%d for=%dms", f.AtMS/1000, f.AtMS%1000, f.Kind, f.Target, f.DurationMS)
}

func (f Fault) duration() time.Duration { return time.Duration(f.DurationMS) * time.Millisecond }

// ReadPlan reads a plan from a file's text.
func ReadPlan(text []byte) (Plan, error) {
	var plan Plan
	var header struct {
		Form int `json:"form"`
	}
	if err := json.Unmarshal(text, &header); err != nil {
		return plan, fmt.Errorf("not a plan in JSON: %w", err)
	}
	if header.Form != PlanForm {
		return plan, invalidPlan("a plan of form %d; this program plays form %d: draw the seed anew", header.Form, PlanForm)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&plan); err != nil {
		return plan, fmt.Errorf("not a plan: %w", err)
	}
	return plan, plan.Validate()
}

// Validate returns an ErrPlan that says what of a plan cannot be run.
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
			return invalidPlan("faults[%d]: a figure is negative", i)
		}
	}
	if p.InjectedFault != "" && !slices.Contains(InjectedFaults(), p.InjectedFault) {
		return invalidPlan("plant %q is unknown, expected one of %s", p.InjectedFault, strings.Join(InjectedFaults(), ", "))
	}
	return nil
}

// usesExternalProcessor reports whether other proxies send lookups to the gateways' external processors.
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

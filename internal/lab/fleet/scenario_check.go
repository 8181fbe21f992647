package fleet

import (
	"fmt"
	"slices"
	"strings"

	"foldslip/internal/config"
)

// Defaults of the fields of a Scenario.
const (
	defaultSeeds   = 3
	defaultReadyMS = 30_000
)

// actions are the values of Step.Action.
var actions = []string{actionKill, actionStop, actionStart, actionPause, actionResume, actionSplit, actionHeal, actionLink, actionPurge, actionMark}

// scenarioCheck checks a scenario that was read from a file.
type scenarioCheck struct {
	file     string
	scenario *Scenario
}

// check sets defaults, unrolls repeated steps and checks the scenario. Errors name the file.
func (s *Scenario) check(file string) error {
	c := scenarioCheck{file: file, scenario: s}
	if err := c.checkSizes(); err != nil {
		return err
	}
	if err := c.checkPurges(); err != nil {
		return err
	}
	if err := c.checkLocalities(); err != nil {
		return err
	}
	if s.Seeds == 0 {
		s.Seeds = min(defaultSeeds, s.Gateways-s.LateGateways)
	}
	if s.ReadyMS == 0 {
		s.ReadyMS = defaultReadyMS
	}
	steps, err := unrollSteps(s.Steps)
	if err != nil {
		return c.errorAt("steps", err.Error(), "see docs/fleet.md")
	}
	s.Steps = steps
	return c.checkSteps()
}

func (c scenarioCheck) errorAt(path, text, remedy string) error {
	return config.Error{File: c.file, Path: path, Text: text, Remedy: remedy}
}

// checkSizes checks the numbers of gateways and caches, the load and the limit.
func (c scenarioCheck) checkSizes() error {
	s := c.scenario
	if s.Gateways < 1 || s.Gateways > maxGateways || s.LateGateways < 0 || s.LateGateways >= s.Gateways {
		return c.errorAt("gateways", fmt.Sprintf("is %d, of which %d are late", s.Gateways, s.LateGateways), fmt.Sprintf("expected 1 to %d, of which at least one is not late", maxGateways))
	}
	if s.Caches < 0 || s.Caches > maxCaches {
		return c.errorAt("caches", fmt.Sprintf("is %d", s.Caches), fmt.Sprintf("expected 0 to %d", maxCaches))
	}
	if s.Load.PerSecond < 0 || s.Load.PerSecond > maxLoad || s.Load.PerSecond > 0 && s.Caches == 0 {
		return c.errorAt("load.per_second", fmt.Sprintf("is %g", s.Load.PerSecond), fmt.Sprintf("expected 0 to %d, and at least one cache for a load above 0", maxLoad))
	}
	limit := s.Limit
	if limit != nil && (limit.LookupsPerSecond < 1 || limit.MaxOverrun < 0 || s.Load.PerSecond == 0) {
		return c.errorAt("limit", fmt.Sprintf("%+v", *limit), "expected lookups_a_second of at least 1, over not below 0, and load.per_second above 0")
	}
	return nil
}

func (c scenarioCheck) checkPurges() error {
	purges := c.scenario.Purges
	if purges == nil {
		return nil
	}
	count := purges.PerSecond * float64(purges.ForMS) / 1000
	isShare := purges.MinShare >= 0 && purges.MinShare <= 1
	if purges.PerSecond <= 0 || purges.FromMS < 0 || count > maxPurges || !isShare || !c.scenario.Fleet.BroadcastsPurges {
		return c.errorAt("purges", fmt.Sprintf("%+v", *purges), fmt.Sprintf("expected per_second above 0, from_ms not below 0, share from 0 to 1, at most %d purges in all, and fleet.broadcast", maxPurges))
	}
	return nil
}

func (c scenarioCheck) checkLocalities() error {
	names := c.scenario.names()
	for i, locality := range c.scenario.Localities {
		path := fmt.Sprintf("places[%d]", i)
		if locality.Region == "" || locality.Zone == "" || locality.Site == "" {
			return c.errorAt(path, fmt.Sprintf("%+v", locality), "expected region, zone and site")
		}
		for _, name := range locality.Gateways {
			if !slices.Contains(names, name) {
				return c.errorAt(path+".who", fmt.Sprintf("%q is nobody", name), fmt.Sprintf("expected n1 to n%d", c.scenario.Gateways))
			}
		}
	}
	return nil
}

// checkSteps checks the unrolled steps and the length of the run.
func (c scenarioCheck) checkSteps() error {
	s := c.scenario
	if len(s.Steps) > maxSteps {
		return c.errorAt("steps", fmt.Sprintf("has %d steps, repeats included", len(s.Steps)), fmt.Sprintf("expected at most %d", maxSteps))
	}
	lastMS := int64(0)
	picked := map[string]bool{}
	for name := range s.treeHeads() {
		picked[name] = true
	}
	for i, step := range s.Steps {
		path := fmt.Sprintf("steps[%d]", i)
		if step.AtMS < lastMS {
			return c.errorAt(path+".at_ms", fmt.Sprintf("is %d, before the step before it", step.AtMS), "expected steps in the order of at_ms")
		}
		lastMS = step.AtMS
		if err := c.checkStep(path, step, picked); err != nil {
			return err
		}
		if step.PickName != "" {
			picked[step.PickName] = true
		}
	}
	if length := config.Milliseconds(lastMS + s.EndMS + s.ReadyMS); length > maxDuration {
		return c.errorAt("end_ms", fmt.Sprintf("makes the run %v long", length), fmt.Sprintf("a run takes at most %v", maxDuration))
	}
	return nil
}

// checkStep checks a single step. picked holds the names that the step may refer to with @.
func (c scenarioCheck) checkStep(path string, step Step, picked map[string]bool) error {
	if !slices.Contains(actions, step.Action) {
		last := len(actions) - 1
		return c.errorAt(path+".do", fmt.Sprintf("%q", step.Action), "expected "+strings.Join(actions[:last], ", ")+" or "+actions[last])
	}
	if step.Settle != "" && step.Settle != settleSides && step.Settle != settleNone {
		return c.errorAt(path+".settle", fmt.Sprintf("%q", step.Settle), "expected sides or none")
	}
	names := c.scenario.names()
	for _, name := range slices.Concat(step.Targets, step.From, step.To, slices.Concat(step.Groups...), c.scenario.Load.Through) {
		pick, isPick := strings.CutPrefix(name, "@")
		known := name == "*" || name == DiscoveryName || slices.Contains(names, name)
		if isPick {
			known = picked[pick]
		}
		if !known {
			return c.errorAt(path, fmt.Sprintf("%q is nobody", name), fmt.Sprintf("expected n1 to n%d, *, bulletin, or @ followed by root, first-SITE or the as of an earlier step", c.scenario.Gateways))
		}
	}
	return nil
}

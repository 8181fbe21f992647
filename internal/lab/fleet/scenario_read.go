package fleet

import (
	"embed"
	"os"
	"path"
	"slices"
	"strings"

	"foldslip/internal/config/configfile"
)

//go:embed scenarios/*.jsonnet
var shippedScenarios embed.FS

const scenarioExtension = ".jsonnet"

// HardCases returns the names of the scenarios that come with the rig. It leaves out files whose names begin with _,
// which are libraries that these scenarios import.
func HardCases() (names []string) {
	files, err := shippedScenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	for _, file := range files {
		name := strings.TrimSuffix(file.Name(), scenarioExtension)
		if !strings.HasPrefix(name, "_") {
			names = append(names, name)
		}
	}
	return names
}

// ReadScenario reads and checks a scenario. The name is one of HardCases or the path of a file. A fault in the file is
// returned as a config.Error.
func ReadScenario(name string) (*Scenario, error) {
	read := os.ReadFile
	if slices.Contains(HardCases(), name) {
		name = "scenarios/" + name + scenarioExtension
		read = shippedScenarios.ReadFile
	}
	scenario := &Scenario{}
	if err := configfile.Evaluate(name, read, scenario); err != nil {
		return nil, err
	}
	if scenario.Name == "" {
		scenario.Name = strings.TrimSuffix(path.Base(name), scenarioExtension)
	}
	return scenario, scenario.check(name)
}

// unrollSteps returns the steps with each repeat of a step, and of the step after it, as steps of their own. A repeated
// step that draws gateways at random and names them draws only once, and its repeats use the same gateways.
func unrollSteps(steps []Step) (unrolled []Step, err error) {
	for i := 0; i < len(steps); i++ {
		step := steps[i]
		if step.Repeat <= 1 {
			unrolled = append(unrolled, step)
			continue
		}
		if i+1 >= len(steps) || step.EveryMS <= 0 || step.Repeat > maxSteps {
			return nil, &RepeatError{Step: i}
		}
		following := steps[i+1]
		for n := range step.Repeat {
			first := step
			first.AtMS += n * step.EveryMS
			first.Repeat = 0
			first.EveryMS = 0
			if n > 0 && first.PickCount > 0 && first.PickName != "" {
				first.Targets = []string{"@" + first.PickName}
				first.PickCount = 0
				first.PickName = ""
			}
			second := following
			second.AtMS += n * step.EveryMS
			unrolled = append(unrolled, first, second)
		}
		i++
	}
	return unrolled, nil
}

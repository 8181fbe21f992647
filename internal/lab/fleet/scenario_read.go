package fleet

import (
	"embed"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"foldslip/internal/config/configfile"
)

//go:embed scenarios/*.jsonnet
var shippedScenarios embed.FS

// HardCases are the names of the scenarios that come with the rig.
func HardCases() (names []string) {
	files, err := shippedScenarios.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	for _, f := range files {
		if name := strings.TrimSuffix(f.Name(), ".jsonnet"); !strings.HasPrefix(name, "_") {
			names = append(names, name)
		}
	}
	return names
}

// ReadScenario reads a scenario that comes with the rig by its name, or a file.
func ReadScenario(name string) (*Scenario, error) {
	read := os.ReadFile
	if slices.Contains(HardCases(), name) {
		name = "scenarios/" + name + ".jsonnet"
		read = shippedScenarios.ReadFile
	}
	s := &Scenario{}
	if err := configfile.Evaluate(name, read, s); err != nil {
		return nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(path.Base(name), ".jsonnet")
	}
	return s, s.check(name)
}

// unroll writes repeated steps out: repeat on a step repeats it and the one after it, every so often.
func (s *Scenario) unroll() (out []Step, err error) {
	for i := 0; i < len(s.Steps); i++ {
		st := s.Steps[i]
		if st.Repeat <= 1 {
			out = append(out, st)
			continue
		}
		if i+1 >= len(s.Steps) || st.EveryMS <= 0 || st.Repeat > maxSteps {
			return nil, fmt.Errorf("steps[%d] repeats: it needs every_ms and a step after it", i)
		}
		next := s.Steps[i+1]
		for n := range st.Repeat {
			a, b := st, next
			a.AtMS, b.AtMS = st.AtMS+n*st.EveryMS, next.AtMS+n*st.EveryMS
			a.Repeat, a.EveryMS = 0, 0
			if n > 0 && a.PickCount > 0 && a.PickName != "" { // the same one again
				a.PickCount, a.Targets, a.PickName = 0, []string{"@" + a.PickName}, ""
			}
			out = append(out, a, b)
		}
		i++
	}
	return out, nil
}

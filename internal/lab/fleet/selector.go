package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// selectorStream keeps the random numbers of a Selector apart from others of the same seed.
const selectorStream = 0x63617374

// Selector selects the gateways of steps, including those that are drawn at random. The same seed and the same sequence
// of calls select the same gateways. It is not safe for concurrent use.
type Selector struct {
	random   *rand.Rand
	gateways []string
	picked   map[string][]string // gateways that @name refers to, by name
}

// NewSelector returns a selector for one run of the scenario.
func (s *Scenario) NewSelector(seed uint64) *Selector {
	return &Selector{
		random:   rand.New(rand.NewPCG(seed, selectorStream)),
		gateways: s.names(),
		picked:   s.treeHeads(),
	}
}

// resolve replaces * and @name by the names of the gateways.
func (s *Selector) resolve(references []string) (names []string) {
	for _, reference := range references {
		pick, isPick := strings.CutPrefix(reference, "@")
		switch {
		case reference == "*":
			names = append(names, s.gateways...)
		case isPick:
			names = append(names, s.picked[pick]...)
		default:
			names = append(names, reference)
		}
	}
	return names
}

// Targets returns the gateways of a step. Random gateways are drawn from running. If the step has a PickName, later
// steps can refer to the result.
func (s *Selector) Targets(step Step, running []string) (targets []string) {
	if step.PickCount > 0 {
		targets = s.shuffled(running)
		targets = targets[:min(int(step.PickCount), len(targets))]
	} else {
		targets = s.resolve(step.Targets)
	}
	if step.PickName != "" {
		s.picked[step.PickName] = targets
	}
	return targets
}

// Groups returns the sides of a split.
func (s *Selector) Groups(step Step) (groups [][]string) {
	if len(step.Groups) > 0 {
		for _, group := range step.Groups {
			groups = append(groups, s.resolve(group))
		}
		return groups
	}
	rest := s.shuffled(s.gateways)
	bridge := rest[:min(int(step.Bridge), len(rest))]
	rest = rest[len(bridge):]
	for _, wanted := range step.Sizes {
		size := min(int(wanted), len(rest))
		groups = append(groups, slices.Concat(rest[:size], bridge))
		rest = rest[size:]
	}
	return groups
}

// shuffled returns a copy of names in random order.
func (s *Selector) shuffled(names []string) []string {
	copied := slices.Clone(names)
	s.random.Shuffle(len(copied), func(i, j int) { copied[i], copied[j] = copied[j], copied[i] })
	return copied
}

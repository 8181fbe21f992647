package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// selectorStream separates a Selector's random numbers from others of the same seed.
const selectorStream = 0x63617374

// Selector chooses the gateways of steps, those that are drawn at random included. The same seed and the same calls choose the same
// gateways. It is not safe for concurrent use.
type Selector struct {
	random   *rand.Rand
	gateways []string
	picked   map[string][]string // what @name refers to
}

// NewSelector returns the selector of one run.
func (s *Scenario) NewSelector(seed uint64) *Selector {
	return &Selector{
		random:   rand.New(rand.NewPCG(seed, selectorStream)),
		gateways: s.names(),
		picked:   s.treeHeads(),
	}
}

// resolve resolves * and @name.
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

// Targets are a step's gateways; running are those that may be drawn.
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

// Groups are the sides of a split.
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

// shuffled is a copy in random order.
func (s *Selector) shuffled(names []string) []string {
	copied := slices.Clone(names)
	s.random.Shuffle(len(copied), func(i, j int) { copied[i], copied[j] = copied[j], copied[i] })
	return copied
}

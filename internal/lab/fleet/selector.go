package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Selector draws a scenario's chances: who is picked, who is on which side. Run on real processes and on the virtual clock alike.
type Selector struct {
	rng    *rand.Rand
	all    []string
	picked map[string][]string
}

// NewSelector makes the cast of one seed.
func (s *Scenario) NewSelector(seed uint64) *Selector {
	return &Selector{rand.New(rand.NewPCG(seed, 0x63617374)), s.names(), s.treeHeads()}
}

func (c *Selector) names(who []string) (out []string) {
	for _, w := range who {
		if w == "*" {
			out = append(out, c.all...)
		} else if name, ok := strings.CutPrefix(w, "@"); ok {
			out = append(out, c.picked[name]...)
		} else {
			out = append(out, w)
		}
	}
	return out
}

// Targets are a step's gateways; running are those it may pick from.
func (c *Selector) Targets(st Step, running []string) (out []string) {
	if st.PickCount > 0 {
		out = slices.Clone(running)
		c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:min(int(st.PickCount), len(out))]
	} else {
		out = c.names(st.Targets)
	}
	if st.PickName != "" {
		c.picked[st.PickName] = out
	}
	return out
}

// Groups are a split's sides.
func (c *Selector) Groups(st Step) (groups [][]string) {
	if len(st.Groups) > 0 {
		for _, g := range st.Groups {
			groups = append(groups, c.names(g))
		}
		return groups
	}
	rest := slices.Clone(c.all)
	c.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	bridge := rest[:min(int(st.Bridge), len(rest))]
	rest = rest[len(bridge):]
	for _, n := range st.Sizes {
		n := min(int(n), len(rest))
		groups = append(groups, slices.Concat(rest[:n], bridge))
		rest = rest[n:]
	}
	return groups
}

package pools

import (
	"fmt"
	"slices"
)

// Check checks a table against the present caches: pools that are empty or whose caches all drain, names that no cache has.
func (t *Table) Check(caches []Cache) (problems []Problem) {
	byName := map[string]Cache{}
	for _, c := range caches {
		byName[c.Name] = c
	}
	isUsed := map[*pool]bool{}
	for _, r := range t.routes {
		for _, p := range r.pools {
			isUsed[p] = true
		}
	}
	for _, p := range t.pools {
		problems = append(problems, p.checkNames(byName)...)
		if problem, isFound := p.checkCaches(caches, isUsed[p]); isFound {
			problems = append(problems, problem)
		}
	}
	return problems
}

func (p *pool) path() string { return "pools." + p.name }

// checkNames checks the caches and sources that the pool names.
func (p *pool) checkNames(byName map[string]Cache) (problems []Problem) {
	for _, name := range slices.Concat(p.Names, p.Sources) {
		switch c, isListed := byName[name]; {
		case !isListed:
			problems = append(problems, Problem{true, p.path(), name + " is not in the list", "leave it out, or wait until it is listed"})
		case c.IsDraining:
			problems = append(problems, Problem{true, p.path(), name + " drains", "leave it out: it will get no lookups"})
		case c.IsSource != slices.Contains(p.Sources, name):
			problems = append(problems, Problem{true, p.path(), name + " is of another kind than it is named for", "names are caches, sources are parents or the origin"})
		}
	}
	return problems
}

// checkCaches checks that the pool is used and that there are caches in it which do not drain.
func (p *pool) checkCaches(caches []Cache, isUsed bool) (problem Problem, isFound bool) {
	all, draining := 0, 0
	for _, c := range caches {
		if c.IsSource || !p.contains(c) {
			continue
		}
		all++
		if c.IsDraining {
			draining++
		}
	}
	switch {
	case !isUsed:
		return Problem{false, p.path(), "no route leads there", "leave it out"}, true
	case all == 0:
		return Problem{true, p.path(), "no cache is in it", "look at its locations and labels"}, true
	case all == draining:
		return Problem{true, p.path(), "all its caches drain", "wait for others, or name them"}, true
	case draining > 0:
		return Problem{false, p.path(), fmt.Sprintf("%d of its %d caches drain", draining, all), "see that the others bear it"}, true
	}
	return Problem{}, false
}

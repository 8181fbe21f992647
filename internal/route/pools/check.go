package pools

import (
	"fmt"
	"slices"
)

// Check validates the table against a list of caches. It reports pools that are not used, that are empty
// or whose caches drain, and names that are not in the list or belong to the wrong type of machine.
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

// checkNames validates the caches and sources that the pool names.
func (p *pool) checkNames(byName map[string]Cache) (problems []Problem) {
	for _, name := range slices.Concat(p.Names, p.Sources) {
		switch c, isListed := byName[name]; {
		case !isListed:
			problems = append(problems, Problem{true, p.path(), name + " is not in the list", "remove it, or wait until it is listed"})
		case c.IsDraining:
			problems = append(problems, Problem{true, p.path(), name + " is draining", "remove it: it will receive no lookups"})
		case c.IsSource != slices.Contains(p.Sources, name):
			problems = append(problems, Problem{true, p.path(), name + " is the wrong type of machine", "list edge caches under names, and parents or the origin under sources"})
		}
	}
	return problems
}

// checkCaches checks that a route leads to the pool and that the pool
// has caches that are not draining. It returns the first problem.
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
		return Problem{false, p.path(), "no route leads to the pool", "remove it"}, true
	case all == 0:
		return Problem{true, p.path(), "no cache is in it", "look at its locations and labels"}, true
	case all == draining:
		return Problem{true, p.path(), "all its caches are draining", "wait for other caches, or name them"}, true
	case draining > 0:
		return Problem{false, p.path(), fmt.Sprintf("%d of its %d caches are draining", draining, all), "make sure that the others can carry the load"}, true
	}
	return Problem{}, false
}

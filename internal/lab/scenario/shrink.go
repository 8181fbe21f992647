package scenario

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrNothingToShrink is the error of Shrink for a plan whose scenario breaks no rule.
var ErrNothingToShrink = errors.New("the scenario breaks no rule: nothing to shrink")

// Shrink finds a smaller plan that still breaks the rule that p breaks first. It removes faults, gateways, caches,
// parents, lookups and time and halves the durations of faults, until no removal keeps the rule broken. It calls report
// with its progress after each round, and returns the plan, its result and the number of plans that it ran.
func Shrink(p Plan, report func(string)) (Plan, Result, int, error) {
	best, err := Run(p, Hooks{})
	if err != nil {
		return p, best, 0, err
	}
	if len(best.Violations) == 0 {
		return p, best, 1, ErrNothingToShrink
	}
	rule, tried := best.Violations[0].Rule, 1
	try := func(q Plan) bool {
		if q.Validate() != nil {
			return false
		}
		tried++
		r, err := Run(q, Hooks{})
		if err != nil || len(r.Violations) == 0 || r.Violations[0].Rule != rule {
			return false
		}
		p, best = q, r
		return true
	}
	for reduced := true; reduced; {
		reduced = false
		// The run ends at the violation, so faults and lookups after it have no effect.
		if last := int((best.Violations[0].At - warmup).Seconds()) + 1; last >= 1 && last < p.Seconds {
			q := p
			q.Seconds = last
			q.Faults = slices.DeleteFunc(slices.Clone(p.Faults), func(f Fault) bool { return f.AtMS > last*1000 })
			reduced = try(q) || reduced
		}
		for size := max(1, len(p.Faults)/2); size >= 1; size /= 2 { // half of the faults at a time, down to single faults
			for i := 0; i+size <= len(p.Faults); {
				q := p
				q.Faults = slices.Delete(slices.Clone(p.Faults), i, i+size)
				if try(q) {
					reduced = true
				} else {
					i += size
				}
			}
		}
		for _, reduce := range []func(*Plan){func(q *Plan) { q.Gateways = (q.Gateways + 1) / 2 }, func(q *Plan) { q.Gateways-- },
			func(q *Plan) { q.Caches = (q.Caches + 1) / 2 }, func(q *Plan) { q.Caches-- }, func(q *Plan) { q.Parents-- },
			func(q *Plan) { q.Rate /= 2 }} {
			q := p
			if reduce(&q); q.Gateways != p.Gateways || q.Caches != p.Caches || q.Parents != p.Parents || q.Rate >= 0.5 && q.Rate != p.Rate {
				reduced = try(q) || reduced
			}
		}
		for i := range p.Faults {
			if p.Faults[i].DurationMS > 100 {
				try(withHalfDuration(p, i))
			}
		}
		report(fmt.Sprintf("%d days tried: %d faults, %d s, %d gateways, %d caches left", tried, len(p.Faults), p.Seconds, p.Gateways,
			p.Caches))
	}
	return p, best, tried, nil
}

// withHalfDuration returns the plan with the duration of one fault halved.
func withHalfDuration(p Plan, fault int) Plan {
	p.Faults = slices.Clone(p.Faults)
	p.Faults[fault].DurationMS /= 2
	return p
}

// CombineDigests returns one digest of a list of digests, which depends on their order.
func CombineDigests(digests []string) string {
	h := xxhash.New()
	for _, d := range digests {
		h.WriteString(d)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// UnmetPairs returns the pairs of fault kinds of a profile that never overlapped, given the number of overlaps by pair.
// It also returns the number of overlaps of the rarest pair and the number of pairs.
func UnmetPairs(profile string, pairs map[string]int) (uncovered []string, fewest, total int) {
	fewest = -1
	for i, a := range FaultKinds {
		for _, b := range FaultKinds[i+1:] {
			if !ProfileDraws(profile, a.Name) || !ProfileDraws(profile, b.Name) {
				continue
			}
			key := min(a.Name, b.Name) + " " + max(a.Name, b.Name)
			if total++; pairs[key] == 0 {
				uncovered = append(uncovered, key)
			}
			if fewest < 0 || pairs[key] < fewest {
				fewest = pairs[key]
			}
		}
	}
	return uncovered, max(fewest, 0), total
}

// SortedNames returns the keys of a table in alphabetical order.
func SortedNames(table map[string]string) []string { return sortedKeys(table) }

// InjectedFaultHelp returns the help text of each injected fault, by name.
func InjectedFaultHelp() map[string]string {
	help := map[string]string{}
	for name, p := range injectedFaults {
		help[name] = p.help
	}
	for name, p := range extprocFaults {
		help[name] = p.help
	}
	return help
}

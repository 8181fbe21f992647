package scenario

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ErrNothingToShrink is the error of Shrink for a plan that breaks no rule.
var ErrNothingToShrink = errors.New("this day breaks no rule: nothing to shrink")

// Shrink finds the smallest plan that still breaks the rule which p breaks: faults, gateways, caches and time are taken
// away as long as the rule breaks, and durations are halved. It returns the number of plans it ran.
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
	for again := true; again; {
		again = false
		// Nothing after the violation matters.
		if last := int((best.Violations[0].At - warmup).Seconds()) + 1; last >= 1 && last < p.Seconds {
			q := p
			q.Seconds = last
			q.Faults = slices.DeleteFunc(slices.Clone(p.Faults), func(f Fault) bool { return f.AtMS > last*1000 })
			again = try(q) || again
		}
		for size := max(1, len(p.Faults)/2); size >= 1; size /= 2 { // by halves, then one by one
			for i := 0; i+size <= len(p.Faults); {
				q := p
				q.Faults = slices.Delete(slices.Clone(p.Faults), i, i+size)
				if try(q) {
					again = true
				} else {
					i += size
				}
			}
		}
		for _, less := range []func(*Plan){func(q *Plan) { q.Gateways = (q.Gateways + 1) / 2 }, func(q *Plan) { q.Gateways-- },
			func(q *Plan) { q.Caches = (q.Caches + 1) / 2 }, func(q *Plan) { q.Caches-- }, func(q *Plan) { q.Parents-- },
			func(q *Plan) { q.Rate /= 2 }} {
			q := p
			if less(&q); q.Gateways != p.Gateways || q.Caches != p.Caches || q.Parents != p.Parents || q.Rate >= 0.5 && q.Rate != p.Rate {
				again = try(q) || again
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

// withHalfDuration is a plan with the duration of one fault halved.
func withHalfDuration(p Plan, fault int) Plan {
	p.Faults = slices.Clone(p.Faults)
	p.Faults[fault].DurationMS /= 2
	return p
}

// CombineDigests is a digest over digests.
func CombineDigests(digests []string) string {
	h := xxhash.New()
	for _, d := range digests {
		h.WriteString(d)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// UnmetPairs returns the pairs of kinds of a profile that never overlapped, how often the rarest pair did, and how many
// pairs there are.
func UnmetPairs(profile string, pairs map[string]int) (none []string, least, all int) {
	least = -1
	for i, a := range FaultKinds {
		for _, b := range FaultKinds[i+1:] {
			if !ProfileDraws(profile, a.Name) || !ProfileDraws(profile, b.Name) {
				continue
			}
			key := min(a.Name, b.Name) + " " + max(a.Name, b.Name)
			if all++; pairs[key] == 0 {
				none = append(none, key)
			}
			if least < 0 || pairs[key] < least {
				least = pairs[key]
			}
		}
	}
	return none, max(least, 0), all
}

// SortedNames returns a table's names, in order.
func SortedNames(table map[string]string) []string { return sortedKeys(table) }

// InjectedFaultHelp returns what each injected fault does, by name.
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

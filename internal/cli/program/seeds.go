package program

import (
	"strconv"
	"strings"
)

// SeedRange is a range of seeds from First to Last, both included.
type SeedRange struct{ First, Last uint64 }

// Count returns the number of seeds in the range.
func (r SeedRange) Count() uint64 { return r.Last - r.First + 1 }

// ParseSeedRange parses a seed such as "7" or a range such as "1-20". It reports false for any other form, for a range
// whose first seed is above the last, for more than maxSeeds seeds, and for seeds that need more than bitSize bits.
func ParseSeedRange(text string, maxSeeds uint64, bitSize int) (seeds SeedRange, ok bool) {
	firstText, lastText, isRange := strings.Cut(text, "-")
	if !isRange {
		lastText = firstText
	}
	first, err := strconv.ParseUint(firstText, 10, bitSize)
	if err != nil {
		return SeedRange{}, false
	}
	last, err := strconv.ParseUint(lastText, 10, bitSize)
	if err != nil || first > last || last-first >= maxSeeds {
		return SeedRange{}, false
	}
	return SeedRange{first, last}, true
}

package program

import (
	"strconv"
	"strings"
)

// SeedRange is a range of seeds, both ends included.
type SeedRange struct{ First, Last uint64 }

// Count returns the number of seeds.
func (r SeedRange) Count() uint64 { return r.Last - r.First + 1 }

// ParseSeedRange parses "7" or "1-20"; ok is false for anything else, for a range that runs backwards, for more than maxSeeds, and for
// seeds of more bits than bitSize.
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

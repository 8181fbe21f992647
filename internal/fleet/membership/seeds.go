package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	maxSeeds = 4096
	// aloneSeedInterval is the longest interval between reads of the seed
	// file while this gateway knows no other live member.
	aloneSeedInterval = time.Second
)

// SeedFileError reports a line of a seed file that cannot be used.
type SeedFileError struct {
	Line    int // starting at 1
	Problem string
}

// Error returns the line number and the problem.
func (e *SeedFileError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Problem) }

// ParseSeeds parses the text of a seed file. Each line holds an IP and a port, and # begins a comment. ParseSeeds
// returns all valid seeds, at most maxSeeds. The error is a *SeedFileError for the first line beyond maxSeeds seeds
// if there is one, otherwise for the first invalid line.
func ParseSeeds(text string) (seeds []string, err error) {
	number := 0
	for line := range strings.Lines(text) {
		number++
		line, _, _ = strings.Cut(line, "#")
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		addr, parseErr := netip.ParseAddrPort(line)
		switch {
		case parseErr != nil || addr.Port() == 0:
			if err == nil {
				err = &SeedFileError{number, fmt.Sprintf("invalid seed %q: expected an IP and a nonzero port, such as 10.0.0.4:7946", line)}
			}
		case len(seeds) == maxSeeds:
			return seeds, &SeedFileError{number, fmt.Sprintf("more than %d seeds; this and later seeds are ignored", maxSeeds)}
		default:
			seeds = append(seeds, addr.String())
		}
	}
	return seeds, err
}

// refreshSeeds reads the seed file again once every rejoin interval, and at least once
// a second while this gateway is alone. It logs a problem only if it differs from that
// of the previous read. Valid seeds are used even if other lines have a problem.
func (f *Fleet) refreshSeeds(now int64) {
	f.mu.Lock()
	alone := f.view.LiveCount() == 1
	f.mu.Unlock()
	interval := f.settings.RejoinInterval
	if alone {
		interval = min(interval, aloneSeedInterval)
	}
	if f.seedsReadAt > 0 && now-f.seedsReadAt < interval.Microseconds() {
		return
	}
	f.seedsReadAt = now
	seeds := slices.Clone(f.settings.Seeds)
	fromFile, err := f.readSeedFile()
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	if problem != "" && problem != f.lastSeedProblem {
		f.deps.Log.Warn("fleet_seed_file", "path", f.settings.SeedFile, "text", problem)
	}
	f.lastSeedProblem = problem
	seeds = append(seeds, fromFile...)
	slices.Sort(seeds)
	f.seeds = slices.Compact(seeds)
}

func (f *Fleet) readSeedFile() ([]string, error) {
	if f.settings.SeedFile == "" {
		return nil, nil
	}
	text, err := f.deps.ReadFile(f.settings.SeedFile)
	if err != nil {
		return nil, err
	}
	return ParseSeeds(string(text))
}

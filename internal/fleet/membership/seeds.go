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
	// aloneSeedInterval is how often the file of seeds is read while this gateway knows of nobody else.
	aloneSeedInterval = time.Second
)

// SeedFileError reports the first line of a file of seeds that can't be used.
type SeedFileError struct {
	Line    int // from 1 on
	Problem string
}

// Error returns the line and its problem.
func (e *SeedFileError) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Problem) }

// ParseSeeds reads the text of a file of seeds: an IP and a port a line; # begins a comment. It returns all seeds that can be used, at
// most maxSeeds, and a *SeedFileError where a line can't.
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
				err = &SeedFileError{number, fmt.Sprintf("%q is no address and port, as 10.0.0.4:7946", line)}
			}
		case len(seeds) == maxSeeds:
			return seeds, &SeedFileError{number, fmt.Sprintf("more than %d seeds; the rest is not used", maxSeeds)}
		default:
			seeds = append(seeds, addr.String())
		}
	}
	return seeds, err
}

// refreshSeeds reads the file of seeds again once a rejoin interval, and once a second while this gateway is alone. A problem is
// logged when it is another one than before; the seeds that can be used are used all the same.
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

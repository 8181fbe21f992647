package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

type faultsDifferential struct {
	Seeds string `required:"" help:"Seeds, such as 1-500 or 7."`
	Jobs  int    `default:"0" help:"Pairs run in parallel; 0: as many as there are processors."`
	JSON  bool   `help:"Print JSON."`
}

// differentialSummary is the summary of a differential run. A pair is one seed, run through a
// gateway and through its external processor.
type differentialSummary struct {
	Pairs     int                           `json:"pairs"`
	Complete  int                           `json:"whole"` // pairs that were compared to their end
	Lookups   int                           `json:"lookups"`
	Decisions int                           `json:"decisions"` // that were compared and are equal
	Terms     map[string]int                `json:"terms"`     // number of pairs by the term of the contract that allows a difference
	Different []scenario.DifferentialResult `json:"different"`
}

// Run compares the decisions of a gateway with those of its external processor over the
// same lookups. It fails if they differ.
func (c *faultsDifferential) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if err := checkJobs(c.Jobs); err != nil {
		return err
	}
	bar := newProgressBar(streams.Err, int64(seeds.Count()), c.JSON)
	summary := &differentialSummary{Terms: map[string]int{}}
	var mu sync.Mutex // guards summary
	err = forEachSeed(seeds, c.Jobs, func(seed uint64) (keepGoing bool, err error) {
		result, err := scenario.RunDifferential(seed)
		if err != nil {
			return false, err
		}
		mu.Lock()
		summary.add(result)
		mu.Unlock()
		bar.Add(1)
		return true, nil
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(streams, summary)
	} else {
		summary.print(streams.Out)
	}
	if err == nil && len(summary.Different) > 0 {
		err = program.Failedf("the decisions differ in %d of %d pairs", len(summary.Different), summary.Pairs)
	}
	return err
}

// add adds the result of one pair to the summary.
func (s *differentialSummary) add(result scenario.DifferentialResult) {
	s.Pairs++
	s.Lookups += result.Lookups
	s.Decisions += result.Compared
	isAllowed := result.Divergence != ""
	switch {
	case result.Broken != "" || result.Different != "" && !isAllowed:
		s.Different = append(s.Different, result)
	case isAllowed:
		s.Terms[result.Divergence]++
	default:
		s.Complete++
	}
}

func (s *differentialSummary) print(out io.Writer) {
	fmt.Fprintf(out, "%d pairs, %d lookups at each; %d decisions compared one by one and the same, %d pairs to their end\n", s.Pairs, s.Lookups,
		s.Decisions, s.Complete)
	for _, term := range slices.Sorted(maps.Keys(s.Terms)) {
		fmt.Fprintf(out, "%d pairs up to the first that the contract's term %q allows to differ\n", s.Terms[term], term)
	}
	for _, result := range s.Different {
		fmt.Fprintf(out, "seed %d: %s %s\n", result.Seed, result.Different, result.Broken)
	}
}

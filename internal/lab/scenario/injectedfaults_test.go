package scenario

import "testing"

// foundAt holds, for each injected fault, a seed whose scenario finds it and the rule that
// it breaks. docs/faults.md has the same table.
var foundAt = map[string]struct {
	seed uint64
	rule string
}{
	"answer_late":      {1, "rule 1"},
	"answer_lost":      {1, "rule 1"},
	"answer_mixed":     {1, "rule 1"},
	"answer_spoilt":    {1, "rule 1"},
	"answer_twice":     {1, "rule 1"},
	"cold_cache":       {66, "rule 4"},
	"cold_parent":      {80, "rule 4"},
	"conn_leaked":      {1, "leak"},
	"doubled_send":     {2, "rule 2"},
	"drain_unheard":    {3, "rule 3"},
	"ending_untold":    {1, "in flight"},
	"gone_unheard":     {3, "rule 3"},
	"goroutine_leaked": {1, "leak"},
	"leave_unheard":    {86, "gone client"},
	"leave_late":       {86, "gone client"},
	"nack_kept_back":   {1, "rule 1"},
	"purge_late":       {1, "rule 5"},
	"purge_unheard":    {25, "rule 5"},
	"reread_ends":      {8, "crash"},
	"stop_unheard":     {1, "stop"},
	"timer_leaked":     {9, "leak"},
	"two_at_once":      {2, "in flight"},
	"undo_unsaid":      {8, "rule 2"},
	"wait_untold":      {1, "held back"},
	"scope_lost":       {1, "routes"},
	"scope_mixed":      {1, "routes"},

	"door_answer_never_ran": {1, "rule 2"},
	"door_end_kept_back":    {2, "rule 1"},
	"door_forgetful":        {4, "rule 1"},
	"door_other_cache":      {1, "protocol"},
	"door_purges_unheard":   {211, "rule 5"},
	"door_reply_lost":       {1, "rule 1"},
	"door_reply_twice":      {1, "rule 1"},
	"door_wait_untold":      {2, "held back"},
}

// TestInjectedFaultsAreFound guards against a checker that misses faults of the gateway. At its seed in foundAt, each
// injected fault must break its rule, and the same scenario without the fault must break none.
func TestInjectedFaultsAreFound(t *testing.T) {
	for _, name := range InjectedFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, known := foundAt[name]
			if !known {
				t.Fatal("foundAt has no seed for this injected fault")
			}
			profile := "mixed"
			if extprocFaults[name].help != "" {
				profile = "door"
			}
			if name == "scope_lost" || name == "scope_mixed" {
				profile = "routes"
			}
			p := DrawPlan(at.seed, profile)
			clean, err := Run(p, Hooks{})
			if err != nil || len(clean.Violations) > 0 {
				t.Fatal("without the injected fault:", clean.Violations, err)
			}
			p.InjectedFault = name
			r, err := Run(p, Hooks{})
			if err != nil || len(r.Violations) == 0 || r.Violations[0].Rule != at.rule {
				t.Fatalf("expected a violation of %s, got %v, error %v", at.rule, r.Violations, err)
			}
		})
	}
}

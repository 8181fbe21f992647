package scenario

import (
	"log/slog"
	"strings"

	"foldslip/internal/lab/simenv"
)

// handleLogLine counts a line of a gateway's log by its event and reason. It records warnings, policy notes and reloads
// as recent events, and reports a policy fault as a violation.
func (s *Scenario) handleLogLine(p *simenv.Process, level slog.Level, line string) {
	event, attributes, _ := strings.Cut(strings.TrimPrefix(line, "event="), " ")
	key := event
	if _, after, ok := strings.Cut(attributes, "reason="); ok {
		reason, _, _ := strings.Cut(after, " ")
		key += " " + reason
	}
	if event == "policy" {
		key += " " + policyNoteKind(attributes)
	}
	s.reasons[key]++
	if t := s.hooks.routeChangeRun; t != nil && event == "route_change_step" && strings.Contains(attributes, "stage=undone") && t.RolledBackAfter == 0 {
		t.RolledBackAfter = s.now() - t.startedAt
	}
	if level >= slog.LevelWarn || event == "policy" || event == "reloaded" {
		s.record("%s %s", p.Name, line)
	}
	if event == "policy_fault" {
		s.checker.violated(ruleCrash, "%s: %s", p.Name, line)
	}
}

// policyNoteKind returns the part of a policy note that names its kind, without the names and numbers in it.
func policyNoteKind(attributes string) string {
	note := strings.TrimPrefix(attributes, "note=")
	for _, mode := range []string{"ejected: unreachable", "ejected: errors", "ejected: silent", "ejected: fills fail", "ejected: slow",
		"readmitted after", "fills pressed", "overload true", "overload false"} {
		if strings.Contains(note, mode) {
			return mode
		}
	}
	return "other"
}

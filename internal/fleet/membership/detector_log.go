package membership

import (
	"log/slog"
	"strings"
)

const (
	maxDetectorLinesPerSecond = 5

	// A line of the detector's log that starts with probeFailedPrefix and ends with probeFailedSuffix has between
	// them the name of a member that did not answer this gateway's probe. The library reports failed probes in no
	// other way. A test in which a fleet suspects a member fails if a version of the library changes this wording.
	probeFailedPrefix = "[INFO] memberlist: Suspect "
	probeFailedSuffix = " has failed, no acks received"
)

// detectorLog receives the detector's log lines. It records lines about failed probes as evidence in the view. It
// forwards the other lines to the Fleet's log as fleet_detector events, at most maxDetectorLinesPerSecond of them.
// The limit is needed because during a network partition the detector logs a line for each datagram that fails.
type detectorLog struct {
	fleet *Fleet

	// Guarded by the Fleet's mu.
	second  int64 // the second, counted from the Fleet's creation, to which logged and dropped apply
	logged  int
	dropped int
}

// Write handles one log line. It relies on log.Logger, which writes each
// line with one call and makes one call at a time.
func (d *detectorLog) Write(b []byte) (int, error) {
	f := d.fleet
	line := strings.TrimSuffix(string(b), "\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if name, ok := failedProbe(line); ok {
		f.recordChanges(f.view.RecordFailedProbe(name, f.self.Name, now, now))
		return len(b), nil
	}
	if second := now / 1_000_000; second != d.second {
		if d.dropped > 0 {
			f.queueLog(slog.LevelDebug, "fleet_detector_lines_dropped", "lines", d.dropped)
		}
		d.second, d.logged, d.dropped = second, 0, 0
	}
	d.logged++
	if d.logged > maxDetectorLinesPerSecond {
		d.dropped++
		return len(b), nil
	}
	mark, text, _ := strings.Cut(line, " memberlist: ")
	f.queueLog(detectorLevel(mark), "fleet_detector", "text", text)
	return len(b), nil
}

// failedProbe returns the name of the member whose probe failed, if a
// line of the detector's log reports a failed probe.
func failedProbe(line string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(line, probeFailedPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, probeFailedSuffix)
}

// detectorLevel returns the log level for a line with the given level mark of the library. The library's warnings are
// logged at the info level: they come with network partitions and restarts, which the Fleet's own log lines report.
func detectorLevel(mark string) slog.Level {
	switch mark {
	case "[WARN]":
		return slog.LevelInfo
	case "[ERR]":
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

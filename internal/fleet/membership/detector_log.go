package membership

import (
	"log/slog"
	"strings"
)

const (
	maxDetectorLinesPerSecond = 5

	// A line of the detector's log between these two names a member that didn't answer this gateway's probe. The library reports it in no
	// other way. A test of a fleet that suspects a member fails if a version of the library words it differently.
	probeFailedPrefix = "[INFO] memberlist: Suspect "
	probeFailedSuffix = " has failed, no acks received"
)

// detectorLog is the detector's log. Lines about failed probes become evidence in the view; the others go to the Fleet's log as
// fleet_detector, at most maxDetectorLinesPerSecond of them: across a cut each datagram that fails has a line.
type detectorLog struct {
	fleet *Fleet

	// Guarded by the Fleet's mu.
	second  int64 // that logged and dropped count lines of
	logged  int
	dropped int
}

// Write takes one line, as log.Logger writes them: complete, one at a time.
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

// failedProbe returns the member whose probe failed by a line of the detector's log.
func failedProbe(line string) (name string, ok bool) {
	rest, ok := strings.CutPrefix(line, probeFailedPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(rest, probeFailedSuffix)
}

// detectorLevel returns the level of a line by its mark. What the library warns of belongs to cuts and restarts, which the Fleet's own
// lines report, so its warnings count as information.
func detectorLevel(mark string) slog.Level {
	switch mark {
	case "[WARN]":
		return slog.LevelInfo
	case "[ERR]":
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

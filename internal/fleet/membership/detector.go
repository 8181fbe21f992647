package membership

import (
	"log/slog"
	"strings"
)

// detectorLog takes the detector's log. The library says in no other way that a probe of its own failed; such a line is first-hand
// evidence for the view (a story in this package fails if the line's words change with a new version). The rest goes to our log
// as fleet_detector, at most tellASecond lines a second: across a cut each datagram that fails has a line.
type detectorLog struct {
	fleet   *Fleet
	second  int64
	logged  int
	dropped int
}

const (
	maxDetectorLinesPerSecond = 5
	probeFailedPrefix         = "[INFO] memberlist: Suspect "
	probeFailedSuffix         = " has failed, no acks received"
)

// Write takes one line, as log.Logger writes them: whole, one at a time.
func (q *detectorLog) Write(b []byte) (int, error) {
	f := q.fleet
	text := strings.TrimSuffix(string(b), "\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if rest, ok := strings.CutPrefix(text, probeFailedPrefix); ok {
		if name, ok := strings.CutSuffix(rest, probeFailedSuffix); ok {
			f.recordChanges(f.view.RecordFailedProbe(name, f.self.Name, now, now))
			return len(b), nil
		}
	}
	mark, rest, _ := strings.Cut(text, " memberlist: ")
	level := slog.LevelDebug
	switch mark {
	case "[WARN]":
		level = slog.LevelInfo // what the library warns of is what cuts and restarts are made of; our own lines say what it means
	case "[ERR]":
		level = slog.LevelWarn
	}
	if second := now / 1_000_000; second != q.second {
		if q.dropped > 0 {
			f.queueLog(slog.LevelDebug, "fleet_detector_dropped", "lines", q.dropped)
		}
		q.second, q.logged, q.dropped = second, 0, 0
	}
	if q.logged++; q.logged > maxDetectorLinesPerSecond {
		q.dropped++
		return len(b), nil
	}
	f.queueLog(level, "fleet_detector", "text", rest)
	return len(b), nil
}

package membership

import (
	"log/slog"
	"strings"
)

// quiet takes the detector's log. The library says in no other way that a probe of its own failed; such a line is first-hand
// evidence for the view (a story in this package fails if the line's words change with a new version). The rest goes to our log
// as fleet_detector, at most tellASecond lines a second: across a cut each datagram that fails has a line.
type quiet struct {
	fleet   *Fleet
	second  int64
	told    int
	dropped int
}

const (
	tellASecond = 5
	failedFrom  = "[INFO] memberlist: Suspect "
	failedTo    = " has failed, no acks received"
)

// Write takes one line, as log.Logger writes them: whole, one at a time.
func (q *quiet) Write(b []byte) (int, error) {
	f := q.fleet
	text := strings.TrimSuffix(string(b), "\n")
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if rest, ok := strings.CutPrefix(text, failedFrom); ok {
		if name, ok := strings.CutSuffix(rest, failedTo); ok {
			f.took(f.view.Accuse(name, f.id.Name, now, now))
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
			f.say(slog.LevelDebug, "fleet_detector_dropped", "lines", q.dropped)
		}
		q.second, q.told, q.dropped = second, 0, 0
	}
	if q.told++; q.told > tellASecond {
		q.dropped++
		return len(b), nil
	}
	f.say(level, "fleet_detector", "text", rest)
	return len(b), nil
}

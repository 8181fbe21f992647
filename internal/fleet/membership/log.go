package membership

import (
	"context"
	"log/slog"
	"time"

	"foldslip/internal/fleet/view"
)

// logLine is a queued log line. The goroutine of Run writes it, because mu is never held during I/O.
type logLine struct {
	level slog.Level
	event string
	args  []any
}

// queueLog queues a log line and wakes the goroutine of Run. If the queue
// is full, it drops the line and counts it. The caller must hold mu.
func (f *Fleet) queueLog(level slog.Level, event string, args ...any) {
	if len(f.pendingLog) >= maxPendingLogLines {
		f.droppedLogLines++
		return
	}
	f.pendingLog = append(f.pendingLog, logLine{level, event, args})
	select {
	case f.logQueued <- struct{}{}:
	default:
	}
}

// flushLog writes the queued log lines in order, then the number of dropped lines if there are any.
func (f *Fleet) flushLog() {
	f.mu.Lock()
	lines := f.pendingLog
	dropped := f.droppedLogLines
	f.pendingLog = nil
	f.droppedLogLines = 0
	f.mu.Unlock()
	for _, line := range lines {
		f.deps.Log.Log(context.Background(), line.level, line.event, line.args...)
	}
	if dropped > 0 {
		f.deps.Log.Warn("fleet_log_lines_dropped", "n", dropped)
	}
}

// recordChanges counts and logs changes of the view and passes them to
// Dependencies.OnChange. The caller must hold mu.
func (f *Fleet) recordChanges(changes []view.Change) {
	for _, change := range changes {
		f.counts.add(change)
		level := slog.LevelInfo
		if change.To == view.Dead {
			level = slog.LevelWarn
		}
		from := change.From.String()
		if change.IsNew {
			from = "unknown"
		}
		f.queueLog(level, "fleet_member", "name", change.Name, "state", change.To.String(), "was", from, "by", change.By,
			"why", string(change.Reason), "held_ms", change.HeldFor/1000, "silent_ms", change.SilentFor/1000)
		if f.deps.OnChange != nil {
			f.deps.OnChange(change, time.Now())
		}
	}
}

package discovery

import (
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/policy"
	"foldslip/internal/settings"
)

// How long a watch may bring no line, by the time to heed a drain: it is asked anew half a second before that time is over, where lines due
// every second allow it. Below 1.25 s and the time to ask anew the grace cannot be held for an event right after the last line; what is over is
// the bound of docs/ending.md.
func TestSilenceTimeout(t *testing.T) {
	const again = minRetryDelay + 20*time.Millisecond // the pause, and a connection with its answer within one location
	for _, c := range []struct{ grace, silent, late time.Duration }{
		{time.Second, 1250 * time.Millisecond, 320 * time.Millisecond},
		{1500 * time.Millisecond, 1250 * time.Millisecond, 0},
		{2 * time.Second, 1500 * time.Millisecond, 0},
		{3 * time.Second, 2500 * time.Millisecond, 0},
		{time.Minute, 2500 * time.Millisecond, 0},
	} {
		caches := &cacheregistry.Registry{}
		caches.Register("a", "127.0.0.1:1")
		b := &Watch{Settings: &settings.Settings{DrainGrace: policy.Micros(c.grace.Microseconds())}, Registry: caches}
		if got := b.silenceTimeout(); got != c.silent {
			t.Errorf("grace %v: silent after %v, expected %v", c.grace, got, c.silent)
		}
		if late := max(0, b.silenceTimeout()+again-c.grace); late != c.late {
			t.Errorf("grace %v: %v late, expected %v", c.grace, late, c.late)
		}
		caches.Remove("a")
		if got := b.silenceTimeout(); caches.Len() == 0 && got != maxSilenceTimeout {
			t.Errorf("no cache known: silent after %v", got)
		}
	}
}

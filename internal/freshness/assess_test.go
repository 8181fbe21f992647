package freshness

import (
	"testing"
	"time"
)

func TestAssess(t *testing.T) {
	stable := History{CacheHours: 10000, Departures: 5}
	churning := History{CacheHours: 1000, Departures: 900}
	for _, test := range []struct {
		name     string
		history  History
		evidence Evidence
		want     Confidence
	}{
		{"current this moment: it may have restarted since", stable, Evidence{Age: time.Second}, OnProbation},
		{"a minute old", stable, Evidence{Age: time.Minute}, OnProbation},
		{"an hour old in a stable fleet", stable, Evidence{Age: time.Hour}, OnProbation},
		{"a month old in a stable fleet", stable, Evidence{Age: 30 * 24 * time.Hour}, OnProbation},
		{"a month old, nothing known of the fleet", History{}, Evidence{Age: 30 * 24 * time.Hour}, Suspect},
		{"two hours old where caches last an hour", churning, Evidence{Age: 2 * time.Hour}, Suspect},
		{"a day old there", churning, Evidence{Age: 24 * time.Hour}, Excluded},
		{"draining, however new", stable, Evidence{Withdrawn: true}, Excluded},
		{"ejected when the list was stored", stable, Evidence{Age: time.Second, Ejected: true}, Suspect},
		{"failed", stable, Evidence{Age: time.Second, Failed: true}, Suspect},
		{"responded: it is there, and perhaps empty", churning, Evidence{Age: 24 * time.Hour, Responded: true}, OnProbation},
		{"from an operator's file", stable, Evidence{Age: time.Second, Imported: true}, OnProbation},
		{"from the future: a clock was wrong", History{}, Evidence{Age: -time.Hour}, Suspect},
		{"a little from the future: clocks differ", stable, Evidence{Age: -time.Second}, OnProbation},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := Assess(test.history, test.evidence); got != test.want {
				t.Errorf("%v, expected %v, valid with %.3f", got, test.want, ValidProbability(test.history, test.evidence.Age))
			}
		})
	}
}

func TestValidProbability(t *testing.T) {
	t.Run("falls with age, and with each entry that failed", func(t *testing.T) {
		last := 2.0
		for _, age := range []time.Duration{0, time.Minute, time.Hour, 24 * time.Hour, 720 * time.Hour} {
			valid := ValidProbability(History{}, age)
			if valid >= last || valid < 0 || valid > 1 {
				t.Errorf("%v: %.3f after %.3f", age, valid, last)
			}
			last = valid
		}
		for failed := range 20 {
			valid := ValidProbability(History{Failed: failed}, time.Hour)
			if failed > 0 && valid >= last {
				t.Errorf("%d failed: %.3f after %.3f", failed, valid, last)
			}
			last = valid
		}
	})
	t.Run("entries that responded raise an old list again", func(t *testing.T) {
		old := 60 * 24 * time.Hour
		if before, after := ValidProbability(History{}, old), ValidProbability(History{Responded: 20}, old); before > 0.1 || after < 0.7 {
			t.Errorf("%.3f, then %.3f", before, after)
		}
	})
}

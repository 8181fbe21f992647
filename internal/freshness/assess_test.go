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
		{"a second old: the cache may have restarted since", stable, Evidence{Age: time.Second}, OnProbation},
		{"a minute old", stable, Evidence{Age: time.Minute}, OnProbation},
		{"an hour old in a stable fleet", stable, Evidence{Age: time.Hour}, OnProbation},
		{"a month old in a stable fleet", stable, Evidence{Age: 30 * 24 * time.Hour}, OnProbation},
		{"a month old without history", History{}, Evidence{Age: 30 * 24 * time.Hour}, Suspect},
		{"two hours old in a fleet whose caches last about an hour", churning, Evidence{Age: 2 * time.Hour}, Suspect},
		{"a day old in a fleet whose caches last about an hour", churning, Evidence{Age: 24 * time.Hour}, Excluded},
		{"draining, with an age of zero", stable, Evidence{Withdrawn: true}, Excluded},
		{"ejected when the list was stored", stable, Evidence{Age: time.Second, Ejected: true}, Suspect},
		{"failed", stable, Evidence{Age: time.Second, Failed: true}, Suspect},
		{"responded: the cache is up and may be empty", churning, Evidence{Age: 24 * time.Hour, Responded: true}, OnProbation},
		{"from an operator's file", stable, Evidence{Age: time.Second, Imported: true}, OnProbation},
		{"an hour in the future: a clock was wrong", History{}, Evidence{Age: -time.Hour}, Suspect},
		{"a second in the future: the clocks differ", stable, Evidence{Age: -time.Second}, OnProbation},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, _ := Assess(test.history, test.evidence); got != test.want {
				t.Errorf("got %v, want %v, with a probability of %.3f that the entry is valid", got, test.want, ValidProbability(test.history, test.evidence.Age))
			}
		})
	}
}

func TestValidProbability(t *testing.T) {
	t.Run("decreases with age and with each failed entry", func(t *testing.T) {
		last := 2.0
		for _, age := range []time.Duration{0, time.Minute, time.Hour, 24 * time.Hour, 720 * time.Hour} {
			valid := ValidProbability(History{}, age)
			if valid >= last || valid < 0 || valid > 1 {
				t.Errorf("age %v: got %.3f, want 0 to 1 and less than the previous %.3f", age, valid, last)
			}
			last = valid
		}
		for failed := range 20 {
			valid := ValidProbability(History{Failed: failed}, time.Hour)
			if failed > 0 && valid >= last {
				t.Errorf("%d failed entries: got %.3f, want less than the previous %.3f", failed, valid, last)
			}
			last = valid
		}
	})
	t.Run("entries that responded raise the probability for an old list", func(t *testing.T) {
		old := 60 * 24 * time.Hour
		if before, after := ValidProbability(History{}, old), ValidProbability(History{Responded: 20}, old); before > 0.1 || after < 0.7 {
			t.Errorf("got %.3f before and %.3f after 20 responses, want at most 0.1 and at least 0.7", before, after)
		}
	})
}

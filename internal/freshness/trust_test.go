package freshness

import (
	"testing"
	"time"
)

func TestAssess(t *testing.T) {
	calm := History{CacheHours: 10000, Departures: 5}
	churned := History{CacheHours: 1000, Departures: 900}
	for _, story := range []struct {
		name  string
		list  History
		entry Evidence
		want  Confidence
	}{
		{"told this moment: it may have started anew since", calm, Evidence{Age: time.Second}, OnProbation},
		{"a minute old", calm, Evidence{Age: time.Minute}, OnProbation},
		{"an hour old in a calm fleet", calm, Evidence{Age: time.Hour}, OnProbation},
		{"a month old in a calm fleet", calm, Evidence{Age: 30 * 24 * time.Hour}, OnProbation},
		{"a month old, nothing known of the fleet", History{}, Evidence{Age: 30 * 24 * time.Hour}, Suspect},
		{"two hours old where caches last an hour", churned, Evidence{Age: 2 * time.Hour}, Suspect},
		{"a day old there", churned, Evidence{Age: 24 * time.Hour}, Excluded},
		{"told that it drains, however new", calm, Evidence{Withdrawn: true}, Excluded},
		{"out when the list was kept", calm, Evidence{Age: time.Second, Ejected: true}, Suspect},
		{"proved wrong", calm, Evidence{Age: time.Second, Failed: true}, Suspect},
		{"proved right: reachable, and perhaps cold", churned, Evidence{Age: 24 * time.Hour, Responded: true}, OnProbation},
		{"from an operator's file", calm, Evidence{Age: time.Second, Imported: true}, OnProbation},
		{"from the future: a clock was wrong", History{}, Evidence{Age: -time.Hour}, Suspect},
		{"a little from the future: clocks differ", calm, Evidence{Age: -time.Second}, OnProbation},
	} {
		t.Run(story.name, func(t *testing.T) {
			if got, _ := Assess(story.list, story.entry); got != story.want {
				t.Errorf("%v, expected %v, holds %.3f", got, story.want, ValidProbability(story.list, story.entry.Age))
			}
		})
	}
}

func TestValidProbability(t *testing.T) {
	t.Run("less with age, and with each entry that proves wrong", func(t *testing.T) {
		last := 2.0
		for _, age := range []time.Duration{0, time.Minute, time.Hour, 24 * time.Hour, 720 * time.Hour} {
			p := ValidProbability(History{}, age)
			if p >= last || p < 0 || p > 1 {
				t.Errorf("%v: %.3f after %.3f", age, p, last)
			}
			last = p
		}
		for wrong := range 20 {
			p := ValidProbability(History{Failed: wrong}, time.Hour)
			if wrong > 0 && p >= last {
				t.Errorf("%d wrong: %.3f after %.3f", wrong, p, last)
			}
			last = p
		}
	})
	t.Run("entries that prove right lift an old list again", func(t *testing.T) {
		old := 60 * 24 * time.Hour
		if a, b := ValidProbability(History{}, old), ValidProbability(History{Responded: 20}, old); a > 0.1 || b < 0.7 {
			t.Errorf("%.3f, then %.3f", a, b)
		}
	})
}

package freshness

import (
	"testing"
	"time"
)

func TestWeigh(t *testing.T) {
	calm := List{Hours: 10000, Departed: 5}
	churned := List{Hours: 1000, Departed: 900}
	for _, story := range []struct {
		name  string
		list  List
		entry Entry
		want  Standing
	}{
		{"told this moment: it may have started anew since", calm, Entry{Age: time.Second}, OnTrial},
		{"a minute old", calm, Entry{Age: time.Minute}, OnTrial},
		{"an hour old in a calm fleet", calm, Entry{Age: time.Hour}, OnTrial},
		{"a month old in a calm fleet", calm, Entry{Age: 30 * 24 * time.Hour}, OnTrial},
		{"a month old, nothing known of the fleet", List{}, Entry{Age: 30 * 24 * time.Hour}, Doubted},
		{"two hours old where caches last an hour", churned, Entry{Age: 2 * time.Hour}, Doubted},
		{"a day old there", churned, Entry{Age: 24 * time.Hour}, Barred},
		{"told that it drains, however new", calm, Entry{Left: true}, Barred},
		{"out when the list was kept", calm, Entry{Age: time.Second, Ill: true}, Doubted},
		{"proved wrong", calm, Entry{Age: time.Second, Wrong: true}, Doubted},
		{"proved right: reachable, and perhaps cold", churned, Entry{Age: 24 * time.Hour, Right: true}, OnTrial},
		{"from an operator's file", calm, Entry{Age: time.Second, Imported: true}, OnTrial},
		{"from the future: a clock was wrong", List{}, Entry{Age: -time.Hour}, Doubted},
		{"a little from the future: clocks differ", calm, Entry{Age: -time.Second}, OnTrial},
	} {
		t.Run(story.name, func(t *testing.T) {
			if got, _ := Weigh(story.list, story.entry); got != story.want {
				t.Errorf("%v, expected %v, holds %.3f", got, story.want, Holds(story.list, story.entry.Age))
			}
		})
	}
}

func TestHolds(t *testing.T) {
	t.Run("less with age, and with each entry that proves wrong", func(t *testing.T) {
		last := 2.0
		for _, age := range []time.Duration{0, time.Minute, time.Hour, 24 * time.Hour, 720 * time.Hour} {
			p := Holds(List{}, age)
			if p >= last || p < 0 || p > 1 {
				t.Errorf("%v: %.3f after %.3f", age, p, last)
			}
			last = p
		}
		for wrong := range 20 {
			p := Holds(List{Wrong: wrong}, time.Hour)
			if wrong > 0 && p >= last {
				t.Errorf("%d wrong: %.3f after %.3f", wrong, p, last)
			}
			last = p
		}
	})
	t.Run("entries that prove right lift an old list again", func(t *testing.T) {
		old := 60 * 24 * time.Hour
		if a, b := Holds(List{}, old), Holds(List{Right: 20}, old); a > 0.1 || b < 0.7 {
			t.Errorf("%.3f, then %.3f", a, b)
		}
	})
}

package scale

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// play publishes events and restarts gateways at the rates of the options for a duration. Events that become due
// while this process does not run are published at once afterwards.
func (w *watchRun) play(span time.Duration) {
	o := &w.options
	began := w.clock.Now()
	gap := func(rate float64) time.Duration {
		if rate <= 0 {
			return math.MaxInt64
		}
		return time.Duration(float64(time.Second) / rate)
	}
	purge, change := gap(o.PurgesPerSecond), o.ChangeInterval
	if change <= 0 {
		change = math.MaxInt64
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	defer restarts.Wait()
	defer close(stop)
	if o.RestartsPerSecond > 0 && o.Gateways > o.Real {
		restarts.Go(func() { w.runRestarts(w.clock.realDuration(gap(o.RestartsPerSecond)), stop) })
	}
	nextPurge, nextChange, reportedAt := purge, change, time.Duration(0)
	for {
		due := min(nextPurge, nextChange, span)
		if wait := due - w.clock.Now().Sub(began); wait > 0 {
			time.Sleep(w.clock.realDuration(wait))
		}
		now := w.clock.Now()
		if due == span {
			return
		}
		switch due {
		case nextPurge:
			w.lateness.RecordValue(max(1, min(int64(60e6), (now.Sub(began)-due).Microseconds())))
			nextPurge += purge
			object, group := fmt.Sprintf("%016x", w.rng.Uint64()|1), 0
			if len(w.published)%8 == 7 {
				object, group = "", w.rng.IntN(256)
			}
			w.published = append(w.published, publishedEvent{now, true})
			w.discovery.Purge(object, group, now)
		case nextChange:
			nextChange += change
			m := w.discovery.memberAt(w.changesPublished / 2)
			if m.Phase = "draining"; w.changesPublished%2 == 1 {
				m.Phase = "up"
			}
			w.changesPublished++
			w.published = append(w.published, publishedEvent{at: now})
			w.discovery.Change(m)
		}
		if at := now.Sub(began); w.clock.realDuration(at-reportedAt) >= 10*time.Second {
			reportedAt = at
			o.Progress("%d gateways, %.0f of %.0f s", o.Gateways, at.Seconds(), span.Seconds())
		}
	}
}

// runRestarts restarts random hollow gateways, one at a time, until stop is closed or a restart fails.
func (w *watchRun) runRestarts(every time.Duration, stop chan struct{}) {
	next := time.NewTicker(every)
	defer next.Stop()
	for {
		select {
		case <-stop:
			return
		case <-next.C:
		}
		i := w.restartRand.IntN(w.options.Gateways - w.options.Real)
		if err := w.restart(i); err != nil {
			w.mu.Lock()
			w.restartErr = fmt.Errorf("restarting gateway %d: %w", i, err)
			w.mu.Unlock()
			return
		}
	}
}

// restart restarts one hollow gateway and passes it the position that corresponds to its event number 1, so that its
// arrivals are recorded under the positions of the whole run.
func (w *watchRun) restart(i int) error {
	c := w.processes[i/w.options.PerProcess]
	w.discovery.RemoveGateway(i)
	if _, err := c.call(command{Action: "halt", First: i}); err != nil {
		return err
	}
	known, base := w.discovery.Join(i, w.options.ListInConfig)
	if _, err := c.call(command{Action: "restart", First: i, Base: base, Known: known}); err != nil {
		return err
	}
	w.mu.Lock()
	w.restartCount++
	w.mu.Unlock()
	return nil
}

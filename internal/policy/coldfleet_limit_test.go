package policy

import "math"

// checkStep is the simulated time between two steps of a limitChecker.
const checkStep = 10 * millisecond

// limitChecker watches what a run's cold cache is sent, and plays two ideals at the rate of a central limiter beside it: a bucket before three
// times its rate of demand, and arrivals at random.
type limitChecker struct {
	run            *coldFleetRun
	tally          tally
	warmCapacity   float64 // what the routers together take for that of a warm cache; 0: not known yet
	tokens         float64 // in the bucket
	centralBacklog float64 // demand not played yet, in lookups
	poissonBacklog float64 // the same for arrivals at random
	central        []sentWork
	poisson        []sentWork
}

// step plays the ideals for checkStep, checks a window every 50 ms and schedules the next step.
func (l *limitChecker) step() {
	w := l.run
	now := w.now
	l.updateCapacity()
	mean := w.meanOfKinds()
	rate := limiterRate * w.coldShare(now) * max(1, l.warmCapacity)
	depth := max(rate*float64(w.settings.BreakWindow)*max(0.2, (w.breakMultiple-1)*limiterBurst), mean)
	l.tokens = min(depth, l.tokens+rate*float64(checkStep))
	l.playCentral(3 * rate * float64(checkStep) / mean)
	l.playPoisson(rate * float64(checkStep) / mean)
	if l.countsUse(now) {
		l.tally.allowed += min(rate, w.hard.demand(w, now, mean/w.meanInterval)) * float64(checkStep)
	}
	if (now-w.lastStart)%(50*millisecond) == 0 && now > w.lastStart {
		l.checkWindow(now)
	}
	if now < w.lastStart+6*second && w.coldShare(now+checkStep) < 1 {
		w.after(checkStep, l.step)
	}
}

// countsUse tells whether use counts at an instant: all routers know of the start and had time for their first lookups.
func (l *limitChecker) countsUse(at Micros) bool { return at >= l.run.lastStart+2*second }

// updateCapacity takes the routers' own estimates, before restarts and drains blur them. The limiter of a hard case knows the link.
func (l *limitChecker) updateCapacity() {
	w := l.run
	if l.warmCapacity == 0 || w.routers[0].router != nil && w.now < w.lastStart+second {
		l.warmCapacity = 0
		for _, h := range w.routers {
			if w.coldParent {
				l.warmCapacity += h.router.parentCapacity
			} else {
				l.warmCapacity += h.router.edgeCapacity
			}
		}
	}
	if w.hardMultiple > 0 {
		l.warmCapacity = w.coldCapacity
	}
}

// drawWork draws the work of one lookup at the cold cache.
func (l *limitChecker) drawWork() float64 {
	w := l.run
	kind := w.random.IntN(2)
	if w.coldParent {
		return w.meanWork[kind] * math.Exp(w.sigma*w.random.NormFloat64()-w.sigma*w.sigma/2)
	}
	return w.meanWork[kind]
}

func (l *limitChecker) playCentral(lookups float64) {
	for l.centralBacklog += lookups; l.centralBacklog > 0; l.centralBacklog -= l.run.random.ExpFloat64() {
		work := l.drawWork()
		if l.tokens < work {
			continue
		}
		l.tokens -= work
		l.central = append(l.central, sentWork{at: l.run.now, work: work})
		if l.countsUse(l.run.now) {
			l.tally.centralSent += work
		}
	}
}

func (l *limitChecker) playPoisson(lookups float64) {
	for l.poissonBacklog += lookups; l.poissonBacklog > 0; l.poissonBacklog -= l.run.random.ExpFloat64() {
		l.poisson = append(l.poisson, sentWork{at: l.run.now, work: l.drawWork()})
	}
}

// checkWindow counts the window that ends now.
func (l *limitChecker) checkWindow(now Micros) {
	l.tally.windows++
	for _, of := range []struct {
		sent  []sentWork
		count *int
	}{{l.run.sent, &l.tally.overLimit}, {l.central, &l.tally.centralOver}, {l.poisson, &l.tally.poissonOver}} {
		if l.isOverLimit(of.sent, now) {
			*of.count++
		}
	}
}

// isOverLimit tells whether the work of the window that ends now is more than that of N + 2 x root of N + 2 mean lookups, N being what the
// settings allow. A window with much work of routers that do not know of the start does not count.
func (l *limitChecker) isOverLimit(sent []sentWork, now Micros) bool {
	w := l.run
	mean := w.meanOfKinds()
	n := w.breakMultiple * w.coldShare(now) * w.coldCapacity * float64(w.settings.BreakWindow) / mean
	limit := (n + 2*math.Sqrt(n) + 2) * mean
	sum, unaware := 0.0, 0.0
	for i := len(sent) - 1; i >= 0 && sent[i].at > now-w.settings.BreakWindow; i-- {
		sum += sent[i].work
		if sent[i].unaware {
			unaware += sent[i].work
		}
	}
	return sum > limit && unaware < sum/3
}

// result is the run's tally.
func (l *limitChecker) result() tally {
	l.tally.requested = l.run.hard.requested.sent
	for _, s := range l.run.sent {
		if l.countsUse(s.at) {
			l.tally.sent += s.work
		}
	}
	if l.tally.overLimit > 0 {
		l.tally.runsOver = 1
	}
	return l.tally
}

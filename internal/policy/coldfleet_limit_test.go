package policy

import "math"

// checkStep is the simulated time between two steps of a limitChecker.
const checkStep = 10 * millisecond

// limitChecker measures the work sent to the cold cache of a run. It also simulates two references at the
// rate of a central limiter: a token bucket with a demand of three times its rate, and random arrivals.
type limitChecker struct {
	run            *coldFleetRun
	tally          tally
	warmCapacity   float64 // sum of the routers' estimates of the capacity of a warm cache; 0: not known yet
	tokens         float64 // tokens in the bucket, in microseconds of work
	centralBacklog float64 // demand on the bucket that is not simulated yet, in lookups
	poissonBacklog float64 // random arrivals that are not simulated yet, in lookups
	central        []sentWork
	poisson        []sentWork
}

// step simulates the references for checkStep, checks a window every 50 ms and schedules the next step.
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

// countsUse reports whether work sent at an instant counts as use. From 2 s after the
// start, all routers know of the start and have had time for their first lookups.
func (l *limitChecker) countsUse(at Micros) bool { return at >= l.run.lastStart+2*second }

// updateCapacity sets the capacity of a warm cache from the routers' own estimates, until restarts and
// drains distort them. In a hard case it sets the true capacity, because the limiter knows the link.
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

// drawWork draws the work of one lookup or fill at the cold cache.
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

// checkWindow counts the window that ends now, and for the fleet and both references whether it is over the limit.
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

// isOverLimit reports whether the work of the window that ends now exceeds that of N + 2*sqrt(N) + 2
// mean lookups, where N is the number that the settings allow. A window is not over the limit if a
// third of its work or more is from routers that do not know of the start yet.
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

// result returns the tally of the run.
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

package gateway

import (
	"errors"
	"time"
)

const (
	// acceptTail is how long the gateway goes on accepting after the signal to terminate: at a planned restart connections keep coming for
	// 0.4 s and requests on open ones for a further 0.2 s, and what comes in the 0.1 s after them gets a response all the same.
	acceptAfterSignal = 700 * time.Millisecond
	// The platform kills the process once the longest deadline and killDelay have passed; a deadline over maxDeadline counts as that. What is
	// still open killMargin before it is given up.
	killDelay   = 700 * time.Millisecond
	maxDeadline = 3 * time.Second
	killMargin  = 250 * time.Millisecond
)

// errEndedEarly reports that a part of the gateway ended before the signal to terminate.
var errEndedEarly = errors.New("a part of the gateway ended")

// drainOnSignal waits for the signal to terminate, shuts down gracefully and ends the lifetime.
func (g *instance) drainOnSignal() error {
	defer g.lifetime.End()
	if !g.signals.waitTerminate(g.lifetime) {
		return errEndedEarly
	}
	return g.drain()
}

// drain shuts the gateway down gracefully. What is still open shortly before the platform kills the process is given up, so that it gets a
// response.
func (g *instance) drain() error {
	giveUpAt := g.env.Now().Add(g.longestDeadline() + killDelay - killMargin)
	g.env.Log().Info("stopping")
	g.server.SetNotReady()
	g.env.NewNotifier().Wait(acceptAfterSignal)
	g.server.Drain()
	g.server.StopAccepting(g.listener)
	for _, service := range g.services {
		service.Drain()
	}
	drained := g.env.NewNotifier()
	waiting := g.env.NewGroup()
	waiting.Go("drained", func() error {
		g.server.Wait()
		for _, service := range g.services {
			service.Wait()
		}
		drained.Notify()
		return nil
	})
	if !drained.Wait(max(0, giveUpAt.Sub(g.env.Now()))) {
		g.dispatcher.Stop()
		if !drained.Wait(killMargin / 2) {
			g.server.Close()
		}
	}
	return waiting.Wait()
}

// longestDeadline is the longest deadline that a lookup may have.
func (g *instance) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, kind := range g.config.settings.Router.Kinds {
		longest = max(longest, time.Duration(kind.Deadline)*time.Microsecond)
	}
	return min(longest, maxDeadline)
}

package gateway

import (
	"errors"
	"time"
)

const (
	// acceptAfterSignal is how long the gateway goes on accepting connections after the signal
	// to terminate. At a planned restart, new connections arrive for 0.4 s and requests on open
	// connections for another 0.2 s. Requests of the following 0.1 s are answered as well.
	acceptAfterSignal = 700 * time.Millisecond
	// The platform kills the process when the longest deadline and killDelay have passed since the signal. A deadline
	// over maxDeadline counts as maxDeadline. Lookups that are still open killMargin before the kill are given up.
	killDelay   = 700 * time.Millisecond
	maxDeadline = 3 * time.Second
	killMargin  = 250 * time.Millisecond
)

// errEndedEarly reports that the gateway's lifetime ended before
// the signal to terminate, because one of its components failed.
var errEndedEarly = errors.New("a component of the gateway ended before the signal to terminate")

// drainOnSignal waits for the signal to terminate, drains the gateway and
// ends its lifetime. It returns errEndedEarly if the lifetime ends first.
func (g *instance) drainOnSignal() error {
	defer g.lifetime.End()
	if !g.signals.waitTerminate(g.lifetime) {
		return errEndedEarly
	}
	return g.drain()
}

// drain shuts the gateway down gracefully. Lookups that are still open killMargin before the platform kills the process
// are given up, so that each of them gets a response. Client connections that remain open after that are closed.
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

// longestDeadline returns the longest deadline of all object kinds, at most maxDeadline.
func (g *instance) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, kind := range g.config.settings.Router.Kinds {
		longest = max(longest, time.Duration(kind.Deadline)*time.Microsecond)
	}
	return min(longest, maxDeadline)
}

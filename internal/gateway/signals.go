package gateway

import (
	"sync"

	"foldslip/internal/env"
)

// pendingSignals holds the platform's signals until they are handled.
// Signals of one kind that arrive before that are handled as one.
type pendingSignals struct {
	terminate env.Notifier
	reload    env.Notifier

	mu                sync.Mutex
	terminateReceived bool
	reloadReceived    bool
}

func newPendingSignals(environment env.Environment) *pendingSignals {
	return &pendingSignals{terminate: environment.NewNotifier(), reload: environment.NewNotifier()}
}

// handle records a signal and wakes the goroutine that waits for it. It does not wait.
func (p *pendingSignals) handle(signal env.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == env.Reload {
		p.reloadReceived = true
		p.reload.Notify()
		return
	}
	p.terminateReceived = true
	p.terminate.Notify()
}

// waitTerminate waits for the signal to terminate. It returns false if the lifetime ends first.
func (p *pendingSignals) waitTerminate(lifetime *env.Lifetime) bool {
	defer lifetime.OnEnd(p.terminate.Notify)()
	p.terminate.Wait(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.terminateReceived
}

// waitReload waits for a notification of reload and reports whether
// a signal to reload has been received since the last call.
func (p *pendingSignals) waitReload() bool {
	p.reload.Wait(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	received := p.reloadReceived
	p.reloadReceived = false
	return received
}

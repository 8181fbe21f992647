package fleet

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"foldslip/internal/config"
)

// Values of Step.Action.
const (
	actionKill   = "kill" // SIGKILL
	actionStop   = "stop" // SIGTERM
	actionStart  = "start"
	actionPause  = "pause"  // SIGSTOP
	actionResume = "resume" // SIGCONT
	actionSplit  = "split"  // partition the network
	actionHeal   = "heal"   // remove all link faults
	actionLink   = "link"   // put a fault on links
	actionPurge  = "purge"  // announce a purge by discovery
	actionMark   = "mark"   // take a traffic sample and change nothing
)

// runSteps starts the fleet, waits until it has settled, starts the loads and carries out the steps of the scenario.
func (r *Rig) runSteps() error {
	r.startedAt = time.Now()
	initial := len(r.processes) - int(r.scenario.LateGateways)
	for _, p := range r.processes[:initial] {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.requestObservation()
	if err := r.waitReady(); err != nil {
		return err
	}
	ready := r.elapsed()
	r.options.Progress("ready after %v", ready.Round(time.Millisecond))
	r.sampleTraffic()
	if r.scenario.Load.PerSecond > 0 {
		r.load = startLoad(r.scenario.Load, r)
	}
	if r.scenario.Purges != nil {
		r.broadcast = startBroadcastRun(r)
	}
	for i, step := range r.scenario.Steps {
		time.Sleep(ready + config.Milliseconds(step.AtMS) - r.elapsed())
		r.sampleTraffic()
		began := r.elapsed()
		if err := r.runStep(step); err != nil {
			return &StepError{Step: i, Action: step.Action, Err: err}
		}
		if r.broadcast != nil {
			r.broadcast.recordTopology(began)
		}
		r.requestObservation()
	}
	time.Sleep(config.Milliseconds(r.scenario.EndMS))
	if r.load != nil {
		r.load.stop()
	}
	if r.broadcast != nil {
		r.broadcast.stop()
	}
	r.sampleTraffic()
	return nil
}

// waitReady waits until all started gateways have settled. It
// returns an error after Scenario.ReadyMS or if a gateway crashes.
func (r *Rig) waitReady() error {
	timeout := config.Milliseconds(r.scenario.ReadyMS)
	for !r.isSettled() {
		if r.elapsed() > timeout {
			return &NotReadyError{Timeout: timeout, Dir: r.options.Dir}
		}
		if err := r.checkCrashes(); err != nil {
			return err
		}
		time.Sleep(viewInterval)
	}
	return nil
}

// runStep carries out one step. It changes the network first and then acts on all targets concurrently.
func (r *Rig) runStep(step Step) error {
	var targets []*process
	for _, name := range r.selector.Targets(step, r.running()) {
		targets = append(targets, r.byName[name])
	}
	switch step.Action {
	case actionSplit:
		r.links.Split(r.selector.Groups(step))
	case actionHeal:
		r.links.Heal()
	case actionPurge:
		r.announcePurge(fmt.Sprintf("%016x", r.elapsed().Milliseconds()))
	case actionLink:
		r.links.Set(r.selector.resolve(step.From), r.selector.resolve(step.To), step.LinkFault())
	}
	var wait sync.WaitGroup
	errs := make([]error, len(targets))
	for i, p := range targets {
		wait.Go(func() { errs[i] = p.apply(step) })
	}
	wait.Wait()
	var names []string
	for _, p := range targets {
		names = append(names, p.name)
	}
	r.options.Progress("%v %s %s", r.elapsed().Round(time.Millisecond), step.Action, strings.Join(names, " "))
	return errors.Join(errs...)
}

// apply carries out a step on one process. It does nothing for a step that changes only the network.
func (p *process) apply(step Step) error {
	switch step.Action {
	case actionKill:
		return p.signalAndWait(syscall.SIGKILL, stopTimeout)
	case actionStop:
		return p.signalAndWait(syscall.SIGTERM, stopTimeout)
	case actionPause:
		return p.setPaused(true)
	case actionResume:
		return p.setPaused(false)
	case actionStart:
		if step.Forget {
			if err := os.RemoveAll(p.memberDir()); err != nil {
				return err
			}
		}
		return p.start()
	}
	return nil
}

// announcePurge announces the purge of an object to all gateways that have a discovery watch.
func (r *Rig) announcePurge(object string) {
	r.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%s","issued":%d}}`, object, time.Now().UnixMilli()))
}

package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runSteps starts the fleet and carries the steps out.
func (r *Rig) runSteps() (err error) {
	r.startedAt = time.Now()
	for _, p := range r.processes[:len(r.processes)-int(r.scenario.LateGateways)] {
		if err := p.start(); err != nil {
			return err
		}
	}
	r.requestObservation()
	for end := time.Duration(r.scenario.ReadyMS) * time.Millisecond; !r.currently(func(m viewState) bool { return m.settled }); time.Sleep(viewInterval) {
		if r.now() > end {
			return fmt.Errorf("the fleet was not ready within %v: see the logs in %s", end, r.options.Dir)
		}
		if err := r.checkCrashes(); err != nil {
			return err
		}
	}
	ready := r.now()
	r.options.Progress("ready after %v", ready.Round(time.Millisecond))
	r.sampleTraffic(-1)
	if r.scenario.Load.PerSecond > 0 {
		if r.load, err = startLoad(r.scenario.Load, r); err != nil {
			return err
		}
	}
	if r.scenario.Purges != nil {
		r.broadcast = startBroadcastRun(r)
	}
	for i, st := range r.scenario.Steps {
		time.Sleep(ready + time.Duration(st.AtMS)*time.Millisecond - r.now())
		r.sampleTraffic(i)
		at := r.now()
		if err := r.runStep(st); err != nil {
			return fmt.Errorf("step %d (%s): %w", i, st.Action, err)
		}
		if r.broadcast != nil {
			r.broadcast.topologyChanged(at)
		}
		r.requestObservation()
	}
	time.Sleep(time.Duration(r.scenario.EndMS) * time.Millisecond)
	if r.load != nil {
		r.load.stop()
	}
	if r.broadcast != nil {
		r.broadcast.stop()
	}
	r.sampleTraffic(len(r.scenario.Steps))
	return nil
}

func (r *Rig) runStep(st Step) error {
	who := []*process{}
	for _, name := range r.selector.Targets(st, r.running()) {
		who = append(who, r.byName[name])
	}
	var errs []error
	switch st.Action {
	case "split":
		r.links.Split(r.selector.Groups(st))
	case "heal":
		r.links.Heal()
	case "purge":
		r.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%016x","issued":%d}}`, r.now().Milliseconds(), time.Now().UnixMilli()))
	case "link":
		r.links.Set(r.selector.names(st.From), r.selector.names(st.To), st.LinkFault())
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, p := range who {
		all.Add(1)
		go func() {
			defer all.Done()
			var err error
			switch st.Action {
			case "kill":
				err = p.signalAndWait(syscall.SIGKILL, stopTimeout)
			case "stop":
				err = p.signalAndWait(syscall.SIGTERM, stopTimeout)
			case "pause", "resume":
				err = p.setPaused(st.Action == "pause")
			case "start":
				if st.Forget {
					err = os.RemoveAll(filepath.Join(p.dir, "kept"))
				}
				if err == nil {
					err = p.start()
				}
			}
			mu.Lock()
			errs = append(errs, err)
			mu.Unlock()
		}()
	}
	all.Wait()
	names := []string{}
	for _, p := range who {
		names = append(names, p.name)
	}
	r.options.Progress("%v %s %s", r.now().Round(time.Millisecond), st.Action, strings.Join(names, " "))
	return errors.Join(errs...)
}

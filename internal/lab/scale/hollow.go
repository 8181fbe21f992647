package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/discovery"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

const (
	purgeSlack  = 5 * time.Second // as in package service
	maxArrivals = 1 << 20         // positions that a Ledger keeps
)

// HollowGateway is one gateway without its load: the reader of the discovery watch, the caches, the purges and the router behind its facade, on
// real TCP, put together as service.Run does. It has no door, no connections to caches, no list on disk, no routes and no part in a
// fleet. Its goroutines end with Stop.
type HollowGateway struct {
	Router   *dispatch.Dispatcher
	Caches   *cacheregistry.Registry
	Purges   *purgelog.Log
	lifetime *env.Lifetime
	group    env.Group
}

// HollowOptions is what a hollow gateway is told.
type HollowOptions struct {
	DiscoveryAddr    string          // address of the discovery watch
	Known            json.RawMessage // as in a gateway's configuration
	Settings         json.RawMessage
	Seed             uint64
	LookupsPerSecond float64 // a second, answered at once by nobody; 0: none
	// Event, if set, is told the number of each event that counts; it must not wait.
	OnEvent func(no int64)
}

// StartHollowGateway starts one on a ground.
func StartHollowGateway(g env.Environment, s HollowOptions) (*HollowGateway, error) {
	terms, err := settings.Parse(s.Settings)
	if err != nil {
		return nil, err
	}
	h := &HollowGateway{Caches: &cacheregistry.Registry{}, lifetime: env.NewLifetime(nil), group: g.NewGroup()}
	h.Purges = &purgelog.Log{Clock: g, Grace: time.Duration(terms.PurgeGrace) * time.Microsecond, Retention: time.Duration(terms.Router.PurgeSettleTime)*time.Microsecond + purgeSlack}
	h.Router = dispatch.New(g, s.Seed, terms.Router, nil)
	watch := discovery.NewWatch(discovery.Config{Environment: g, Addr: s.DiscoveryAddr, Settings: terms, Dispatcher: h.Router, Registry: h.Caches, Purges: h.Purges})
	if err := watch.LoadKnown(s.Known); err != nil {
		return nil, err
	}
	if s.OnEvent != nil {
		watch.OnEvent = func(no int64, _ []dispatch.Purge) { s.OnEvent(no) }
	}
	h.group.Go("bulletin", func() error { return watch.Run(h.lifetime) })
	h.group.Go("tick", func() error { return h.runTimers(g) })
	if s.LookupsPerSecond > 0 {
		h.group.Go("lookups", func() error { return h.runLookups(g, terms, s) })
	}
	return h, nil
}

// runTimers brings the router its timers, as service does.
func (h *HollowGateway) runTimers(g env.Environment) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	for !end.Wait(max(h.Router.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}

// runLookups has lookups decided: each is picked and told satisfied at once, so that only the decision costs.
func (h *HollowGateway) runLookups(g env.Environment, terms *settings.Settings, s HollowOptions) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	chance := rand.New(rand.NewPCG(s.Seed, 0x6c6f6f6b))
	for n := 0; !end.Wait(time.Duration(chance.ExpFloat64() / s.LookupsPerSecond * float64(time.Second))); n++ {
		l := h.Router.Submit(dispatch.Request{ID: fmt.Sprintf("%016x", n), Object: fmt.Sprintf("%016x", chance.Uint64N(1000)), SizeKB: 449,
			Deadline: g.Now().Add(terms.LatencyBudget(0, 449))})
		for l != nil {
			step := h.Router.WaitStep(l)
			if step.Kind == dispatch.StepFetch {
				h.Router.AttemptEnded(l, step.Attempt, policy.OutcomeSatisfied, policy.DetailHit, 0)
			} else if step.Kind != dispatch.StepCancel {
				break
			}
		}
	}
	return nil
}

// Stop ends the gateway and waits for its goroutines.
func (h *HollowGateway) Stop() error {
	h.lifetime.End()
	return h.group.Wait()
}

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
	purgeSlack  = 5 * time.Second // added to the settle time of purges for their retention, as in package gateway
	maxArrivals = 1 << 20         // positions that an ArrivalLog keeps
)

// HollowGateway is one gateway without traffic. It runs the real discovery watch over TCP, the cache registry, the
// purge log and the dispatcher, connected as in gateway.Run. It serves no clients and has no connections to caches,
// no snapshot, no routes and no fleet membership. Its goroutines run until Stop.
type HollowGateway struct {
	Dispatcher *dispatch.Dispatcher
	Caches     *cacheregistry.Registry
	Purges     *purgelog.Log
	lifetime   *env.Lifetime
	group      env.Group
}

// HollowOptions configures a hollow gateway.
type HollowOptions struct {
	DiscoveryAddr    string          // address of the discovery watch
	Known            json.RawMessage // the value of `known` in a gateway's configuration
	Settings         json.RawMessage // the platform's settings
	Seed             uint64
	LookupsPerSecond float64 // mean rate of lookups, each satisfied at once; 0: none
	// OnEvent, if not nil, is called with the number of each event after it was applied. It must not block.
	OnEvent func(number int64)
}

// StartHollowGateway starts a hollow gateway in an environment. Stop ends it.
func StartHollowGateway(g env.Environment, s HollowOptions) (*HollowGateway, error) {
	parsed, err := settings.Parse(s.Settings)
	if err != nil {
		return nil, err
	}
	h := &HollowGateway{Caches: &cacheregistry.Registry{}, lifetime: env.NewLifetime(nil), group: g.NewGroup()}
	h.Purges = &purgelog.Log{Clock: g, Grace: time.Duration(parsed.PurgeGrace) * time.Microsecond, Retention: time.Duration(parsed.Router.PurgeSettleTime)*time.Microsecond + purgeSlack}
	h.Dispatcher = dispatch.New(g, s.Seed, parsed.Router, nil)
	watch := discovery.NewWatch(discovery.Config{Environment: g, Addr: s.DiscoveryAddr, Settings: parsed, Dispatcher: h.Dispatcher, Registry: h.Caches, Purges: h.Purges})
	if err := watch.LoadKnown(s.Known); err != nil {
		return nil, err
	}
	if s.OnEvent != nil {
		watch.OnEvent = func(number int64, _ []dispatch.Purge) { s.OnEvent(number) }
	}
	h.group.Go("bulletin", func() error { return watch.Run(h.lifetime) })
	h.group.Go("tick", func() error { return h.runTimers(g) })
	if s.LookupsPerSecond > 0 {
		h.group.Go("lookups", func() error { return h.runLookups(g, parsed, s) })
	}
	return h, nil
}

// runTimers calls the dispatcher's Tick when its timers are due, as package gateway does, until the gateway is
// stopped.
func (h *HollowGateway) runTimers(g env.Environment) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	for !end.Wait(max(h.Dispatcher.Tick(nil, false, nil), time.Millisecond)) {
	}
	return nil
}

// runLookups submits lookups at random intervals with the given mean rate. Each attempt is satisfied at once, so that
// only the dispatcher's decisions use processor time.
func (h *HollowGateway) runLookups(g env.Environment, parsed *settings.Settings, s HollowOptions) error {
	end := g.NewNotifier()
	defer h.lifetime.OnEnd(end.Notify)()
	rng := rand.New(rand.NewPCG(s.Seed, 0x6c6f6f6b))
	for n := 0; !end.Wait(time.Duration(rng.ExpFloat64() / s.LookupsPerSecond * float64(time.Second))); n++ {
		l := h.Dispatcher.Submit(dispatch.Request{ID: fmt.Sprintf("%016x", n), Object: fmt.Sprintf("%016x", rng.Uint64N(1000)), SizeKB: 449,
			Deadline: g.Now().Add(parsed.LatencyBudget(0, 449))})
		for l != nil {
			step := h.Dispatcher.WaitStep(l)
			if step.Kind == dispatch.StepFetch {
				h.Dispatcher.AttemptEnded(l, step.Attempt, policy.OutcomeSatisfied, policy.DetailHit, 0)
			} else if step.Kind != dispatch.StepCancel {
				break
			}
		}
	}
	return nil
}

// Stop stops the gateway and waits for its goroutines.
func (h *HollowGateway) Stop() error {
	h.lifetime.End()
	return h.group.Wait()
}

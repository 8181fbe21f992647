package scale

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// WatchReport is the result of one run.
type WatchReport struct {
	Kind       string           `json:"what"`
	StartedAt  time.Time        `json:"when"`
	Gateways   int              `json:"gateways"`
	Run        int              `json:"run"`
	Stretch    float64          `json:"stretch"` // times and rates are those of a clock this many times slower than the machine's; see SlowClock
	Seconds    float64          `json:"seconds"` // duration of the measurement, as measured
	Purges     float64          `json:"purges_s"`
	Caches     int              `json:"caches"`
	Processes  int              `json:"processes"`
	Ready      float64          `json:"ready_s"` // from the first start until all gateways had a watch
	Events     int              `json:"told"`    // events published during the measurement
	LostEvents int              `json:"lost"`    // number of these events that did not reach all hollow gateways within 30 s
	LatePurges int              `json:"late"`    // purges that reached the last hollow gateway after the deadline
	Median     float64          `json:"everywhere_p50_ms"`
	P99        float64          `json:"everywhere_p99_ms"`
	Max        float64          `json:"everywhere_max_ms"`
	Hollow     Cost             `json:"hollow"`
	Real       Cost             `json:"real"`
	Restarts   int              `json:"restarts"`
	Reconnects int64            `json:"reconnects"`
	LogCounts  map[string]int64 `json:"log,omitempty"` // log lines of hollow gateways during the measurement, by event and reason
	Machine    Machine          `json:"machine"`
	Violations []string         `json:"wrong,omitempty"`
}

// Cost is what one gateway uses, as a mean over the hollow or the real gateways.
type Cost struct {
	Gateways    int     `json:"gateways"`
	Core        float64 `json:"core"`         // fraction of one core
	EventMicros float64 `json:"event_us"`     // processor time divided by the number of events received
	In          float64 `json:"in_bytes_s"`   // payload bytes
	WireIn      float64 `json:"wire_in_b_s"`  // with TCP and IP headers, computed; see TCPOverhead
	WireOut     float64 `json:"wire_out_b_s"` // acknowledgements, computed
	Writes      float64 `json:"writes_s"`     // writes of the stand-in, which are a lower bound for TCP segments
	Resident    float64 `json:"resident_bytes"`
	Heap        float64 `json:"heap_bytes,omitempty"` // after a garbage collection; hollow gateways only
	Allocs      float64 `json:"allocs_s,omitempty"`   // hollow gateways only
	Alloc       float64 `json:"alloc_bytes_s,omitempty"`
}

// Machine is what the whole machine did during the measurement, by its own clock. It reveals figures that were
// measured while other work ran on the machine.
type Machine struct {
	Cores   int     `json:"cores"`
	Busy    float64 `json:"busy_cores"`      // cores used on the whole machine
	Ours    float64 `json:"our_cores"`       // cores used by the stand-in and all gateways
	Starved float64 `json:"starved"`         // fraction of the time for which threads of hollow gateways ran or were runnable that they had no core
	Late    float64 `json:"pace_late_p99ms"` // time by which the stand-in published purges late
	LateMax float64 `json:"pace_late_max_ms"`
}

// measureCosts reports what the gateways and the machine used between two snapshots.
func (w *watchRun) measureCosts(r *WatchReport, a, b resourceSnapshot) error {
	elapsed := b.at.Sub(a.at).Seconds()
	span := elapsed / w.options.Stretch
	r.Seconds = span
	cost := func(n int, cpu time.Duration, before, after [2]int64, events int64, resident float64) Cost {
		if n == 0 {
			return Cost{}
		}
		gatewaySeconds := float64(n) * span
		in, writes := after[0]-before[0], after[1]-before[1]
		down, up := TCPOverhead(in, writes)
		c := Cost{Gateways: n, Core: cpu.Seconds() / gatewaySeconds, In: float64(in) / gatewaySeconds, WireIn: float64(down) / gatewaySeconds, WireOut: float64(up) / gatewaySeconds,
			Writes: float64(writes) / gatewaySeconds, Resident: resident / float64(n)}
		if events > 0 {
			c.EventMicros = cpu.Seconds() * 1e6 / float64(events)
		}
		return c
	}
	var hollowRSS, realRSS int64
	u, err := w.totalUsage(true)
	if err != nil {
		return err
	}
	for _, c := range w.processes {
		n, err := residentOf(c.cmd.Process.Pid)
		if err != nil {
			return err
		}
		hollowRSS += n
	}
	for _, p := range w.realGateways {
		n, err := residentOf(p.cmd.Process.Pid)
		if err != nil {
			return err
		}
		realRSS += n
	}
	hollow := w.options.Gateways - w.options.Real
	r.Hollow = cost(hollow, b.hollowCPU-a.hollowCPU, a.hollowTraffic, b.hollowTraffic, b.events[0]-a.events[0], float64(hollowRSS))
	r.Real = cost(w.options.Real, b.realCPU-a.realCPU, a.realTraffic, b.realTraffic, b.events[1]-a.events[1], float64(realRSS))
	if hollow > 0 {
		r.Hollow.Heap = float64(u.Heap) / float64(hollow)
		r.Hollow.Allocs = float64(b.usage.Mallocs-a.usage.Mallocs) / float64(hollow) / span
		r.Hollow.Alloc = float64(b.usage.AllocBytes-a.usage.AllocBytes) / float64(hollow) / span
	}
	r.LogCounts = countsSince(b.usage.EventCounts, a.usage.EventCounts)
	r.Reconnects = b.connects - a.connects - int64(w.restartCount)
	r.Machine.Busy = (b.machineBusy - a.machineBusy).Seconds() / elapsed
	r.Machine.Ours = (b.cpu - a.cpu + b.hollowCPU - a.hollowCPU + b.realCPU - a.realCPU).Seconds() / elapsed
	if ran, waited := (b.hollowCPU - a.hollowCPU).Seconds(), (b.runQueueWait - a.runQueueWait).Seconds(); ran+waited > 0 {
		r.Machine.Starved = max(0, waited/(ran+waited))
	}
	r.Machine.Late, r.Machine.LateMax = float64(w.lateness.ValueAtQuantile(99))/1000, float64(w.lateness.Max())/1000
	return nil
}

// checkLimits adds the limits that the run exceeded to the report's violations.
func (w *watchRun) checkLimits(r *WatchReport) {
	violation := func(format string, a ...any) { r.Violations = append(r.Violations, fmt.Sprintf(format, a...)) }
	if r.LostEvents > 0 {
		violation("%d of %d events did not come to all gateways", r.LostEvents, r.Events)
	}
	if r.LatePurges > 0 {
		violation("%d purges were everywhere only after more than %v, the last after %.0f ms; hollow gateways were without a core for %.0f%% of the time that they could run", r.LatePurges,
			w.options.Deadline, r.Max, 100*r.Machine.Starved)
	}
	for _, k := range []struct {
		name string
		c    Cost
	}{{"hollow", r.Hollow}, {"real", r.Real}} {
		b := w.options.Budget
		if b.Core > 0 && k.c.Core > b.Core {
			violation("a %s gateway spends %.2f%% of a core, %.2f%% are allowed", k.name, 100*k.c.Core, 100*b.Core)
		}
		if b.Resident > 0 && k.c.Resident > b.Resident {
			violation("a %s gateway takes %.1f MB, %.0f are allowed", k.name, k.c.Resident/(1<<20), b.Resident/(1<<20))
		}
		if b.BytesPerSecond > 0 && k.c.WireIn+k.c.WireOut > b.BytesPerSecond {
			violation("a %s gateway's watch takes %.1f KB/s with TCP, %.0f are allowed", k.name, (k.c.WireIn+k.c.WireOut)/1024, b.BytesPerSecond/1024)
		}
	}
	if len(r.LogCounts) > 0 && r.Restarts == 0 {
		var lines []string
		for k, n := range r.LogCounts {
			lines = append(lines, fmt.Sprintf("%s %d", k, n))
		}
		slices.Sort(lines)
		violation("hollow gateways logged: %s", strings.Join(lines, ", "))
	}
}

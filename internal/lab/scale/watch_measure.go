package scale

import (
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// resourceSnapshot is what all processes have spent up to an instant.
type resourceSnapshot struct {
	at            time.Time
	cpu           time.Duration // of this process
	hollowCPU     time.Duration
	runQueueWait  time.Duration // of hollow gateways, for a core
	realCPU       time.Duration
	machineBusy   time.Duration
	usage         Usage
	hollowTraffic [2]int64 // payload and writes
	realTraffic   [2]int64
	events        [2]int64 // hollow, real
	connects      int64
}

// snapshot reads what all have spent so far.
func (w *watchRun) snapshot() (s resourceSnapshot, err error) {
	s.at = time.Now()
	if s.cpu, err = cpuOf(os.Getpid()); err != nil {
		return s, err
	}
	if s.machineBusy, err = machineBusy(); err != nil {
		return s, err
	}
	for _, c := range w.processes {
		t, err := cpuOf(c.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.hollowCPU += t
		if t, err = runQueueWaitOf(c.cmd.Process.Pid); err != nil {
			return s, err
		}
		s.runQueueWait += t
	}
	for _, p := range w.realGateways {
		t, err := cpuOf(p.cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.realCPU += t
	}
	for i := range w.options.Gateways {
		c, at, k := w.discovery.Counts(i), &s.hollowTraffic, 0
		if i >= w.options.Gateways-w.options.Real {
			at, k = &s.realTraffic, 1
		}
		at[0] += c.BytesOut.Load()
		at[1] += c.Writes.Load()
		s.events[k] += c.Events.Load()
		s.connects += c.Connects.Load()
	}
	s.usage, err = w.totalUsage(false)
	return s, err
}

// totalUsage is the sum over all processes of hollow gateways.
func (w *watchRun) totalUsage(gc bool) (sum Usage, err error) {
	sum.EventCounts = map[string]int64{}
	for _, c := range w.processes {
		a, err := c.call(command{Action: "usage", GC: gc})
		if err != nil {
			return sum, err
		}
		u := a.Usage
		sum.Heap += u.Heap
		sum.Mallocs += u.Mallocs
		sum.AllocBytes += u.AllocBytes
		sum.In += u.In
		sum.Out += u.Out
		sum.Reads += u.Reads
		for k, n := range u.EventCounts {
			sum.EventCounts[k] += n
		}
	}
	return sum, nil
}

// toggleProfile begins the processor profile if there is to be one, or ends it.
func (w *watchRun) toggleProfile() error {
	if w.options.Profile == "" || len(w.processes) == 0 {
		return nil
	}
	path, err := filepath.Abs(w.options.Profile)
	if err != nil {
		return err
	}
	_, err = w.processes[0].call(command{Action: "profile", File: path})
	return err
}

// measureArrivals waits for the events of the window to reach all hollow gateways, for 30 s at most, and reports their latencies.
func (w *watchRun) measureArrivals(r *WatchReport, from, to int64) error {
	if r.Events = int(to - from + 1); r.Events <= 0 || len(w.processes) == 0 {
		return nil
	}
	hollow := int32(w.options.Gateways - w.options.Real)
	var all []Arrival
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		all = make([]Arrival, r.Events)
		for _, c := range w.processes {
			a, err := c.call(command{Action: "arrivals", From: from, To: to})
			if err != nil {
				return err
			}
			for i, one := range a.Arrivals {
				all[i].Gateways += one.Gateways
				all[i].LastMicros = max(all[i].LastMicros, one.LastMicros)
			}
		}
		r.LostEvents = 0
		for _, a := range all {
			if a.Gateways < hollow {
				r.LostEvents++
			}
		}
		if r.LostEvents == 0 || time.Now().After(end) {
			break
		}
	}
	latencies := hdrhistogram.New(1, 120e6, 3)
	for i, a := range all {
		event := w.published[from-1+int64(i)]
		if !event.isPurge || a.Gateways < hollow {
			continue
		}
		us := max(1, a.LastMicros-event.at.UnixMicro())
		if latencies.RecordValue(min(us, 120e6)); time.Duration(us)*time.Microsecond > w.options.Deadline {
			r.LatePurges++
		}
	}
	r.Median, r.P99, r.Max = float64(latencies.ValueAtQuantile(50))/1000, float64(latencies.ValueAtQuantile(99))/1000, float64(latencies.Max())/1000
	return nil
}

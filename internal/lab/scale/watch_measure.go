package scale

import (
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// resourceSnapshot is what all processes have used up to an instant.
type resourceSnapshot struct {
	at            time.Time
	cpu           time.Duration // processor time of this process
	hollowCPU     time.Duration // processor time of the hollow gateways
	runQueueWait  time.Duration // time that hollow gateways waited for a core
	realCPU       time.Duration // processor time of the real gateways
	machineBusy   time.Duration // processor time of all processes on the machine
	usage         Usage         // of the hollow gateways
	hollowTraffic [2]int64      // payload bytes and writes to hollow gateways
	realTraffic   [2]int64      // payload bytes and writes to real gateways
	events        [2]int64      // events sent to hollow and to real gateways
	connects      int64         // connections that watches have made
}

// snapshot reads what all processes have used so far.
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

// totalUsage returns the sum of the usage of all processes of hollow gateways. If gc is set, each process collects
// garbage first.
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

// toggleProfile starts the processor profile of the first process of hollow gateways, or ends it if it is in
// progress. It does nothing if the options name no file for a profile.
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

// measureArrivals waits for at most 30 s until the events of the measurement have reached all hollow gateways. It
// reports how many did not, and the latencies of the purges that did.
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

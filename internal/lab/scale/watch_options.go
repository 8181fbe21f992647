package scale

import (
	"os/exec"
	"time"
)

// WatchOptions configure a run of gateways that each follow the discovery watch.
type WatchOptions struct {
	Gateways          int           // hollow and real ones
	Real              int           // of Gateways, those that are processes of the program
	PerProcess        int           // hollow gateways in a process; 500 if 0
	PurgesPerSecond   float64       // evenly spaced; each eighth is of a group, the others of an object each
	ChangeInterval    time.Duration // between changes, each of one cache that drains or is up again; 0: none
	RestartsPerSecond float64       // of hollow gateways
	LookupsPerSecond  float64       // of each hollow gateway
	Caches            int           // in the list
	ListInConfig      bool          // the list is part of the configuration; otherwise it comes over the watch
	Warmup            time.Duration // before the measurement: purges are kept for 11 s
	Duration          time.Duration // of the measurement
	Deadline          time.Duration // within which a purge has to reach all gateways
	Stretch           float64       // factor by which the clock of stand-in and gateways is slowed; 1 if 0, and 1 where Real is not 0. See SlowClock
	Seed              uint64
	Dir               string // for configurations and logs of real gateways
	Program           string // path of the gateway's program, where Real is not 0
	Profile           string // file for the processor profile of the first process of hollow gateways; "": none
	HollowCommand     func() *exec.Cmd
	Progress          func(format string, a ...any) // called with progress messages; may be nil
	Budget            Budget
}

// Budget bounds what a gateway may spend on control; 0: no bound.
type Budget struct {
	Core           float64 // of one core
	Resident       float64 // bytes
	BytesPerSecond float64 // in and out, with the overhead of TCP
}

// FullBudget is the plan's: 2.1% of a core, 128 MB and 15 KB/s.
var FullBudget = Budget{0.021, 128 << 20, 15 << 10}

// validate fills in defaults. Its error is an *OptionError.
func (o *WatchOptions) validate() error {
	switch hollow := o.Gateways - o.Real; {
	case o.Gateways < 1 || o.Gateways > maxWatches:
		return newOptionError("Gateways", "%d gateways, expected 1 to %d", o.Gateways, maxWatches)
	case o.Real < 0 || o.Real > 200 || hollow < 0:
		return newOptionError("Real", "%d real gateways of %d, expected 0 to 200", o.Real, o.Gateways)
	case o.PurgesPerSecond < 0 || o.PurgesPerSecond > 10_000 || o.RestartsPerSecond < 0 || o.RestartsPerSecond > 100 || o.LookupsPerSecond < 0 || o.LookupsPerSecond > 1000:
		return newOptionError("PurgesPerSecond", "purges up to 10,000, restarts up to 100 and lookups up to 1,000 a second")
	case o.Duration <= 0 || o.Warmup < 0 || o.PurgesPerSecond*(o.Duration+o.Warmup).Seconds() > maxArrivals/2:
		return newOptionError("PurgesPerSecond", "%g purges a second for %v are more than %d", o.PurgesPerSecond, o.Duration+o.Warmup, maxArrivals/2)
	case o.Caches < 1 || o.Caches > 16384:
		return newOptionError("Caches", "%d caches, expected 1 to 16384", o.Caches)
	}
	if o.Stretch = max(1, o.Stretch); o.Stretch > 1000 || o.Stretch > 1 && o.Real > 0 {
		return newOptionError("Stretch", "time stretched %g times, expected 1 to 1000, and 1 beside real gateways, whose clock is the machine's", o.Stretch)
	}
	if o.PerProcess <= 0 {
		o.PerProcess = 500
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	return nil
}

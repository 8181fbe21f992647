package scale

import (
	"os/exec"
	"time"
)

// WatchOptions configures a run of gateways that each follow the discovery watch.
type WatchOptions struct {
	Gateways          int           // number of gateways, hollow and real
	Real              int           // number of them that are processes of the gateway's program
	PerProcess        int           // hollow gateways per process; 500 if 0
	PurgesPerSecond   float64       // evenly spaced; one in eight is of a group, the others are of one object each
	ChangeInterval    time.Duration // between changes of the list, each of one cache that drains or is up again; 0: no changes
	RestartsPerSecond float64       // restarts of hollow gateways
	LookupsPerSecond  float64       // lookups of each hollow gateway
	Caches            int           // number of caches in the list
	ListInConfig      bool          // the list is part of a gateway's configuration; otherwise it is sent over the watch
	Warmup            time.Duration // time before the measurement; purges are kept for 11 s
	Duration          time.Duration // duration of the measurement
	Deadline          time.Duration // time within which a purge must reach all hollow gateways
	Stretch           float64       // factor by which the clock of stand-in and gateways is slowed; 1 if 0; must be 1 if Real is not 0; see SlowClock
	Seed              uint64
	Dir               string                        // folder for the configurations and logs of real gateways
	Program           string                        // path of the gateway's program; needed if Real is not 0
	Profile           string                        // file for the processor profile of the first process of hollow gateways; "": no profile
	HollowCommand     func() *exec.Cmd              // returns the command of a process that calls RunHollowProcess
	Progress          func(format string, a ...any) // called with progress messages; may be nil
	Budget            Budget
}

// Budget limits what a gateway may use for its control side; 0: no limit.
type Budget struct {
	Core           float64 // fraction of one core
	Resident       float64 // bytes of anonymous resident memory
	BytesPerSecond float64 // bytes in and out, with the overhead of TCP
}

// FullBudget is the planned budget: 2.1% of a core, 128 MB and 15 KB/s.
var FullBudget = Budget{0.021, 128 << 20, 15 << 10}

// validate checks the options and sets defaults. The error is an *OptionError.
func (o *WatchOptions) validate() error {
	switch hollow := o.Gateways - o.Real; {
	case o.Gateways < 1 || o.Gateways > maxWatches:
		return newOptionError("Gateways", "%d gateways, expected 1 to %d", o.Gateways, maxWatches)
	case o.Real < 0 || o.Real > 200 || hollow < 0:
		return newOptionError("Real", "%d real gateways of %d, expected 0 to 200 and no more than all", o.Real, o.Gateways)
	case o.PurgesPerSecond < 0 || o.PurgesPerSecond > 10_000 || o.RestartsPerSecond < 0 || o.RestartsPerSecond > 100 || o.LookupsPerSecond < 0 || o.LookupsPerSecond > 1000:
		return newOptionError("PurgesPerSecond", "%g purges, %g restarts and %g lookups a second, expected 0 to 10,000, 0 to 100 and 0 to 1,000", o.PurgesPerSecond, o.RestartsPerSecond, o.LookupsPerSecond)
	case o.Duration <= 0 || o.Warmup < 0 || o.PurgesPerSecond*(o.Duration+o.Warmup).Seconds() > maxArrivals/2:
		return newOptionError("PurgesPerSecond", "%g purges a second for %v, expected a positive duration, no negative warm-up and at most %d purges", o.PurgesPerSecond, o.Duration+o.Warmup, maxArrivals/2)
	case o.Caches < 1 || o.Caches > 16384:
		return newOptionError("Caches", "%d caches, expected 1 to 16384", o.Caches)
	}
	if o.Stretch = max(1, o.Stretch); o.Stretch > 1000 || o.Stretch > 1 && o.Real > 0 {
		return newOptionError("Stretch", "clock slowed %g times, expected 1 to 1000, and 1 beside real gateways, which use the machine's clock", o.Stretch)
	}
	if o.PerProcess <= 0 {
		o.PerProcess = 500
	}
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	return nil
}

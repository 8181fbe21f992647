package scale

import (
	"os/exec"
	"time"
)

// WatchOptions are of a run of gateways that each hear the discovery watch.
type WatchOptions struct {
	Gateways          int           // hollow ones and real ones together
	Real              int           // of them processes of the program
	PerProcess        int           // hollow ones in a process; 500 if 0
	PurgesPerSecond   float64       // a second, evenly; each eighth names a group, the others an object each
	ChangeInterval    time.Duration // one cache more drains or is up again, so often; 0: none
	RestartsPerSecond float64       // hollow gateways started anew, a second
	LookupsPerSecond  float64       // a second, of each hollow gateway
	Caches            int           // in the list
	ListInConfig      bool          // the list stands in the configuration; otherwise it comes over the watch
	Warmup            time.Duration // before the figures count: purges are kept for 11 s
	Duration          time.Duration // in which they count
	Deadline          time.Duration // a purge is to be everywhere by then
	Stretch           float64       // time runs so many times slower for stand-in and gateways; 1 if 0, and 1 where Real is not 0. See Pace
	Seed              uint64
	Dir               string // for configurations and logs of real gateways
	Program           string // the gateway's, where Real is not 0
	Profile           string // file for the processor profile of the first process of hollow gateways
	HollowCommand     func() *exec.Cmd
	Progress          func(format string, a ...any) // progress
	Budget            Budget
}

// Budget is what a gateway may spend on control; 0: not asked.
type Budget struct {
	Core           float64 // of one core
	Resident       float64 // bytes
	BytesPerSecond float64 // a second, in and out, with what TCP adds
}

// FullBudget is the users' own: 2.1% of a core, 128 MB and 15 KB/s.
var FullBudget = Budget{0.021, 128 << 20, 15 << 10}

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

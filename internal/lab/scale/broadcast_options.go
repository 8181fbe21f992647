package scale

import (
	"math"
	"slices"
	"strings"
	"time"
)

// BroadcastOptions configures a run that simulates, on a virtual clock, how purges spread among gateways.
type BroadcastOptions struct {
	Gateways  int
	Mechanism string  // one of Mechanisms
	Case      string  // one of Cases
	Source    string  // one of Sources; "": the default of the case
	Rate      float64 // purges a second
	Seed      uint64

	// Purges are published for Duration after Warmup. The last purges then have Settle to arrive. 0: 5 s, 1 min and 1
	// min.
	Warmup, Duration, Settle time.Duration
	FaultDuration            time.Duration // duration of a cut, an outage or silent watches; 0: the default of the case
	Restarts                 int           // restarts in the release case; 0: in proportion to 1,900 for 3,900 gateways

	// All members see a crash within CrashSeenWithin. They see a start half to one and a half times StartSeenWithin
	// after it. 0: 4 log10(n) s for n gateways, and 1 s.
	CrashSeenWithin, StartSeenWithin time.Duration

	WatchLag       time.Duration // greatest delay of a watch; the least is a tenth of it. 0: 0.3 s
	Deadline       time.Duration // time within which a purge has to reach all gateways; 0: 4.5 s
	BytesPerSecond float64       // limit on the mean traffic of a gateway, in and out together; 0: 15 KB

	ClockSkew time.Duration // greatest error of a gateway's Unix clock, in either direction

	KeepPurges time.Duration // how long the new mechanism keeps purges; 0: its default

	Measure  bool                 // measure processor time and heap; valid only if nothing else runs in the process
	Progress func(string, ...any) // unused: Broadcast reports no progress
}

// Mechanisms returns the names of the mechanisms: old is fleet/purgesync, new is fleet/broadcast.
func Mechanisms() []string { return []string{"old", "new"} }

// Sources returns the names of the sets of gateways to which purges are published. With "one" that is a single gateway,
// with "two" one gateway on either side of a cut in turn, and with "all" every gateway except those whose watches a
// case has silenced.
func Sources() []string { return []string{"one", "two", "all"} }

// setDefaults replaces options of 0 by their defaults and checks all options. The error is an *OptionError.
func (o *BroadcastOptions) setDefaults() error {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&o.Warmup, 5*time.Second)
	setDefault(&o.Duration, time.Minute)
	setDefault(&o.Settle, time.Minute)
	setDefault(&o.CrashSeenWithin, time.Duration(4*math.Log10(float64(max(o.Gateways, 2)))*float64(time.Second)))
	setDefault(&o.StartSeenWithin, time.Second)
	setDefault(&o.WatchLag, 300*time.Millisecond)
	setDefault(&o.Deadline, 4500*time.Millisecond)
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = 15 << 10
	}
	switch {
	case o.Gateways < 12 || o.Gateways > maxGateways:
		return newOptionError("Gateways", "%d gateways: expected 12 to %d", o.Gateways, maxGateways)
	case !(o.Rate > 0) || o.Rate > 1000 || o.Rate*o.Duration.Seconds() > maxPurges:
		return newOptionError("Rate", "%g purges a second for %v: expected more than 0 and up to 1,000 a second, and at most %d in all", o.Rate, o.Duration, maxPurges)
	case !slices.Contains(Mechanisms(), o.Mechanism):
		return newOptionError("Mechanism", "mechanism %q: expected one of %s", o.Mechanism, strings.Join(Mechanisms(), ", "))
	case o.Source != "" && !slices.Contains(Sources(), o.Source):
		return newOptionError("Source", "told %q: expected one of %s", o.Source, strings.Join(Sources(), ", "))
	case o.Warmup < 0 || o.Duration <= 0 || o.Settle <= 0 || o.FaultDuration < 0 || o.Restarts < 0 || o.Warmup+o.Duration+o.Settle > 4*time.Hour:
		return newOptionError("Duration", "times: expected a duration and settling time above 0, no negative warm-up, fault duration or number of restarts, and at most 4 hours in all")
	case findCase(o.Case) == nil:
		return newOptionError("Case", "case %q: expected one of %s", o.Case, strings.Join(Cases(), ", "))
	}
	return nil
}

// Validate checks the options, with defaults in place of options of 0. The error is an *OptionError.
func (o BroadcastOptions) Validate() error { return o.setDefaults() }

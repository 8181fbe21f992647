package scale

import (
	"math"
	"slices"
	"strings"
	"time"
)

// BroadcastOptions configure a run that simulates how purges spread among gateways, on a virtual clock.
type BroadcastOptions struct {
	Gateways  int
	Mechanism string // one of Mechanisms
	Case      string // one of Cases
	Source    string // one of Sources; "": the case's own
	Rate      float64
	Seed      uint64

	Warmup, Duration, Settle time.Duration // before purges are published, while they are, and for the last ones to arrive
	FaultDuration            time.Duration // of a cut, a zone's loss or silent watches; 0: the case's default
	Restarts                 int           // of a release; 0: 1,900 of 3,900 gateways, in proportion

	CrashSeenWithin, StartSeenWithin time.Duration // within which all members see a crash and a start; 0: 4 log10(n) s, 1 s
	WatchLag                         time.Duration // a watch delivers after a tenth of it to all of it; 0: 0.3 s
	Deadline                         time.Duration // for a purge to reach all gateways; 0: 4.5 s
	BytesPerSecond                   float64       // bound of a gateway, in and out; 0: 15 KB

	ClockSkew time.Duration // greatest error of gateways' Unix clocks, in either direction

	KeepPurges time.Duration // retention of the new mechanism; 0: its default

	Measure  bool                 // processor time and heap; only if nothing else runs in the process
	Progress func(string, ...any) // called with progress messages; may be nil
}

// Mechanisms are the names of the mechanisms: old is purgesync, new is broadcast.
func Mechanisms() []string { return []string{"old", "new"} }

// Sources name which gateways purges are published to: one; one on either side of a cut, in turn; all, except for watches that a case
// silences.
func Sources() []string { return []string{"one", "two", "all"} }

// setDefaults fills in defaults. Its error is an *OptionError.
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
		return newOptionError("Rate", "%g purges a second for %v: expected up to 1,000 a second and %d in all", o.Rate, o.Duration, maxPurges)
	case !slices.Contains(Mechanisms(), o.Mechanism):
		return newOptionError("Mechanism", "mechanism %q: expected one of %s", o.Mechanism, strings.Join(Mechanisms(), ", "))
	case o.Source != "" && !slices.Contains(Sources(), o.Source):
		return newOptionError("Source", "told %q: expected one of %s", o.Source, strings.Join(Sources(), ", "))
	case o.Warmup < 0 || o.Duration <= 0 || o.Settle <= 0 || o.FaultDuration < 0 || o.Restarts < 0 || o.Warmup+o.Duration+o.Settle > 4*time.Hour:
		return newOptionError("Duration", "times: expected more than 0, and 4 hours in all")
	case findCase(o.Case) == nil:
		return newOptionError("Case", "case %q: expected one of %s", o.Case, strings.Join(Cases(), ", "))
	}
	return nil
}

// Validate checks the options. Its error is an *OptionError.
func (o BroadcastOptions) Validate() error { return o.setDefaults() }

package scale

import (
	"math"
	"slices"
	"strings"
	"time"
)

// BroadcastOptions are of a run of the spreading of purges among gateways, on a virtual clock.
type BroadcastOptions struct {
	Gateways  int
	Mechanism string // one of Mechanisms
	Case      string // one of Cases
	Source    string // one of Sources; "": the case's own
	Rate      float64
	Seed      uint64

	Warmup, Duration, Settle time.Duration // before purges are told, while, and how long the last may take
	FaultDuration            time.Duration // how long a cut, a zone's loss, deafness lasts; 0: the case's own
	Restarts                 int           // of a release; 0: 1,900 of 3,900, or as many of the size

	CrashSeenWithin, StartSeenWithin time.Duration // a crash and a start are seen by all within; 0: 4 log10(n) s, 1 s
	WatchLag                         time.Duration // a watch tells within a tenth of it to all of it; 0: 0.3 s
	Deadline                         time.Duration // the term of a purge; 0: 4.5 s
	BytesPerSecond                   float64       // a second, in and out, of a gateway; 0: 15 KB

	ClockSkew time.Duration // gateways' Unix clocks are off by up to so much either way

	KeepPurges time.Duration // the new mechanism's; 0: its usual one

	Measure  bool // processor and heap: only where nothing else runs in the process
	Progress func(string, ...any)
}

// Mechanisms that can be run.
func Mechanisms() []string { return []string{"old", "new"} }

// Sources are who is told of purges: one gateway; one on either side of a cut, turn by turn; all; all but those that are deaf by the case.
func Sources() []string { return []string{"one", "two", "all"} }

// setDefaults fills in what was left out.
func (o *BroadcastOptions) setDefaults() error {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&o.Warmup, 5*time.Second)
	def(&o.Duration, time.Minute)
	def(&o.Settle, time.Minute)
	def(&o.CrashSeenWithin, time.Duration(4*math.Log10(float64(max(o.Gateways, 2)))*float64(time.Second)))
	def(&o.StartSeenWithin, time.Second)
	def(&o.WatchLag, 300*time.Millisecond)
	def(&o.Deadline, 4500*time.Millisecond)
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

// Validate tells what cannot be played.
func (o BroadcastOptions) Validate() error { return o.setDefaults() }

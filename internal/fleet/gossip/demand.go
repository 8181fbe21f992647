package gossip

import (
	"math"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/limit"
)

const demandTimeConstant = time.Second // of the exponential means of a demand

// demand is the mean demand of one limit here, in its unit per second, and what was counted when it was last updated.
type demand struct {
	lastUse          limit.Usage
	measuredAt       time.Duration // since the Gossiper was made
	lookupsRequested float64
	lookupsAdmitted  float64
	bytesRequested   float64
	bytesAdmitted    float64
	openRequested    float64 // at once
}

// update adds what was counted since the last update.
func (d *demand) update(usage limit.Usage, now time.Duration) {
	elapsed := (now - d.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed/demandTimeConstant.Seconds())
	addRate := func(mean *float64, count uint64) { *mean += weight * (float64(count)/elapsed - *mean) }
	addRate(&d.lookupsRequested, usage.RequestedLookups-d.lastUse.RequestedLookups)
	addRate(&d.lookupsAdmitted, usage.AdmittedLookups-d.lastUse.AdmittedLookups)
	addRate(&d.bytesRequested, usage.RequestedBytes-d.lastUse.RequestedBytes)
	addRate(&d.bytesAdmitted, usage.AdmittedBytes-d.lastUse.AdmittedBytes)
	d.openRequested += weight * (float64(usage.RequestedOpen) - d.openRequested)
	d.lastUse = usage
	d.measuredAt = now
}

// Suffixes of a limit's name for what it limits; they go into frames as a part of the name's key.
const (
	lookupsSuffix = "/lookups"
	bytesSuffix   = "/bytes"
	openSuffix    = "/open"
)

// dimension is one thing that a limit of admission limits, as a limit of the fleet, with the demand here.
type dimension struct {
	limits.Limit
	demand, used float64
}

// dimensions are the limits of the fleet that one limit of admission makes.
func dimensions(name string, spec limit.Spec, d *demand) (dims []dimension) {
	add := func(suffix string, total float64, integral bool, requested, used float64) {
		if total > 0 {
			dims = append(dims, dimension{limits.Limit{Name: name + suffix, Total: total, Integral: integral}, requested, used})
		}
	}
	add(lookupsSuffix, spec.LookupsPerSecond, false, d.lookupsRequested, d.lookupsAdmitted)
	add(bytesSuffix, spec.BytesPerSecond, false, d.bytesRequested, d.bytesAdmitted)
	add(openSuffix, float64(spec.MaxOpen), true, d.openRequested, float64(d.lastUse.Open))
	return dims
}

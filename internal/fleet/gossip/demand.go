package gossip

import (
	"math"
	"time"

	"foldslip/internal/fleet/limits"
	"foldslip/internal/limit"
)

const demandTimeConstant = time.Second // time constant of the exponentially weighted means in demand

// demand holds exponentially weighted means of the demand for one limit at this gateway. Lookups and bytes are rates
// per second.
type demand struct {
	lastUse          limit.Usage   // counters at the last update
	measuredAt       time.Duration // time of the last update since the Gossiper was made
	lookupsRequested float64
	lookupsAdmitted  float64
	bytesRequested   float64
	bytesAdmitted    float64
	openRequested    float64 // lookups open at the same time
}

// update includes the usage since the last update in the means.
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

// Suffixes that a limit's name gets for each dimension. A frame carries the key of the name with its suffix.
const (
	lookupsSuffix = "/lookups"
	bytesSuffix   = "/bytes"
	openSuffix    = "/open"
)

// dimension is one quantity that an admission limit bounds (lookups, bytes or open lookups) as a separate limit of the
// fleet, with the demand and the use at this gateway.
type dimension struct {
	limits.Limit
	demand, used float64
}

// dimensions returns the limits of the fleet that one admission limit consists of. A quantity without a limit has none.
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

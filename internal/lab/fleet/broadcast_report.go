package fleet

import (
	"fmt"
	"maps"
	"slices"
)

// BroadcastReport is how purges that the bulletin told came to gateways that could not hear it. A pair is a purge and a gateway that from
// then on for spreadIn ran, had no way to the bulletin and had, by way of others too, one to a gateway that heard it; who started or was
// reached anew counts once all views agreed.
type BroadcastReport struct {
	Purges                int     `json:"told"`
	Pairs                 int     `json:"pairs"`
	InTime                int     `json:"within"` // 4.5 s
	Share                 float64 `json:"share"`
	P50                   int64   `json:"p50_ms"`
	P99                   int64   `json:"p99_ms"`
	Max                   int64   `json:"most_ms"`         // of those that came
	ByWatch               int     `json:"own"`             // purges and gateways that heard the bulletin themselves
	FinalPairs            int     `json:"final"`           // purges and gateways that ran at the end
	MissingPairs          int     `json:"lost"`            // of them those that the gateway's process never heeded
	BusiestBytesPerSecond float64 `json:"busiest_bytes_s"` // in and out, of the busiest gateway at the end: the mean since its process started
	Unreported            int     `json:"unasked"`         // gateways that ran at the end and gave no report
}

// report judges; the rig's mu is held.
func (s *broadcastRun) report(states []viewState) *BroadcastReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := &BroadcastReport{Purges: len(s.purges)}
	var took []int64
	names := slices.Sorted(maps.Keys(s.applied))
	for _, p := range s.purges {
		first, some := s.topologiesDuring(p.at, p.at+broadcastWithin)
		var hearers []string
		for _, name := range names {
			if s.watchedThroughout(name, p.at, first, some) {
				hearers = append(hearers, name)
			}
		}
		for _, name := range names {
			switch {
			case slices.Contains(hearers, name):
				rep.ByWatch++
				continue
			case slices.ContainsFunc(some, func(w topology) bool { return w.watching[name] }):
				continue // its watch comes or goes
			case !slices.ContainsFunc(hearers, func(by string) bool { return s.reachableThroughout(name, by, p.at, first, some, states) }):
				continue
			}
			rep.Pairs++
			if when, ok := s.applied[name].firstAt[p.object]; ok {
				took = append(took, max(0, when-p.at).Milliseconds())
				if when-p.at <= broadcastWithin {
					rep.InTime++
				}
			}
		}
	}
	if slices.Sort(took); len(took) > 0 {
		rep.P50, rep.P99, rep.Max = took[len(took)/2], took[len(took)*99/100], took[len(took)-1]
	}
	rep.Share = float64(rep.InTime) / float64(max(1, rep.Pairs))
	last := s.topologies[len(s.topologies)-1]
	for _, name := range names {
		h := s.applied[name]
		if !last.running[name] {
			continue
		}
		if !h.reported {
			rep.Unreported++
			continue
		}
		rep.BusiestBytesPerSecond = max(rep.BusiestBytesPerSecond, h.bytesPerSecond)
		for _, p := range s.purges {
			rep.FinalPairs++
			if !h.current[p.object] {
				rep.MissingPairs++
			}
		}
	}
	return rep
}

// violations is what must not be.
func (r *BroadcastReport) violations(p *PurgeLoad) (out []string) {
	if r.MissingPairs > 0 {
		out = append(out, fmt.Sprintf("%d purges of %d are lost at gateways that ran at the end", r.MissingPairs, r.FinalPairs))
	}
	if r.Share < p.MinShare {
		out = append(out, fmt.Sprintf("%.4f of %d purges came to gateways within %v, at least %.4f are wanted", r.Share, r.Pairs, broadcastWithin, p.MinShare))
	}
	if p.MinShare > 0 && r.Pairs == 0 {
		out = append(out, "no purge had to come from a peer: the scenario shows nothing")
	}
	if r.Unreported > 0 {
		out = append(out, fmt.Sprintf("%d gateways that ran at the end do not tell what they heeded", r.Unreported))
	}
	return out
}

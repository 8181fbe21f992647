package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foldslip/internal/config"
)

func (s *Scenario) check(file string) error {
	bad := func(at, text, remedy string) error {
		return config.Error{File: file, Path: at, Text: text, Remedy: remedy}
	}
	if s.Gateways < 1 || s.Gateways > maxGateways || s.LateGateways < 0 || s.LateGateways >= s.Gateways {
		return bad("gateways", fmt.Sprintf("%d, %d of them late", s.Gateways, s.LateGateways), fmt.Sprintf("expected 1 to %d, some of them not late", maxGateways))
	}
	if s.Caches < 0 || s.Caches > maxCaches {
		return bad("caches", fmt.Sprintf("is %d", s.Caches), fmt.Sprintf("expected 0 to %d", maxCaches))
	}
	if s.Load.PerSecond < 0 || s.Load.PerSecond > 2000 || s.Load.PerSecond > 0 && s.Caches == 0 {
		return bad("load.per_second", fmt.Sprintf("is %g", s.Load.PerSecond), "expected 0 to 2000, and caches to ask")
	}
	if l := s.Limit; l != nil && (l.LookupsPerSecond < 1 || l.MaxOverrun < 0 || s.Load.PerSecond == 0) {
		return bad("limit", fmt.Sprintf("%+v", *l), "a limit of at least 1 lookup a second, and a load")
	}
	if p := s.Purges; p != nil && (p.PerSecond <= 0 || p.FromMS < 0 || p.PerSecond*float64(p.ForMS)/1000 > maxPurges || p.MinShare < 0 || p.MinShare > 1 || !s.Fleet.BroadcastsPurges) {
		return bad("purges", fmt.Sprintf("%+v", *p), fmt.Sprintf("expected per_second above 0, at most %d in all, and fleet.broadcast", maxPurges))
	}
	for i, p := range s.Localities {
		if p.Region == "" || p.Zone == "" || p.Site == "" {
			return bad(fmt.Sprintf("places[%d]", i), fmt.Sprintf("%+v", p), "expected region, zone and site")
		}
		for _, who := range p.Gateways {
			if !slices.Contains(s.names(), who) {
				return bad(fmt.Sprintf("places[%d].who", i), fmt.Sprintf("%q is nobody", who), "expected n1 to n"+fmt.Sprint(s.Gateways))
			}
		}
	}
	if s.Seeds == 0 {
		s.Seeds = min(3, s.Gateways-s.LateGateways)
	}
	if s.ReadyMS == 0 {
		s.ReadyMS = 30_000
	}
	steps, err := s.unroll()
	if err != nil {
		return bad("steps", err.Error(), "see docs/fleet.md")
	}
	s.Steps = steps
	if len(s.Steps) > maxSteps {
		return bad("steps", fmt.Sprintf("has %d", len(s.Steps)), fmt.Sprintf("at most %d", maxSteps))
	}
	last, picked := int64(0), map[string]bool{}
	for name := range s.treeHeads() {
		picked[name] = true
	}
	for i, st := range s.Steps {
		at := fmt.Sprintf("steps[%d]", i)
		if st.AtMS < last {
			return bad(at+".at_ms", fmt.Sprintf("is %d, before the step before it", st.AtMS), "steps stand in order")
		}
		last = st.AtMS
		if !slices.Contains([]string{"kill", "stop", "start", "pause", "resume", "split", "heal", "link", "purge", "mark"}, st.Action) {
			return bad(at+".do", fmt.Sprintf("%q", st.Action), "expected kill, stop, start, pause, resume, split, heal, link, purge or mark")
		}
		if st.Settle != "" && st.Settle != "sides" && st.Settle != "none" {
			return bad(at+".settle", fmt.Sprintf("%q", st.Settle), "expected sides or none")
		}
		for _, who := range slices.Concat(st.Targets, st.From, st.To, slices.Concat(st.Groups...), s.Load.Through) {
			if name, ok := strings.CutPrefix(who, "@"); ok && !picked[name] || !ok && who != "*" && who != DiscoveryName && !slices.Contains(s.names(), who) {
				return bad(at, fmt.Sprintf("%q is nobody", who), "expected n1 to n"+fmt.Sprint(s.Gateways)+", * or @ and what a step before has as")
			}
		}
		if st.PickName != "" {
			picked[st.PickName] = true
		}
	}
	if end := time.Duration(last+s.EndMS+s.ReadyMS) * time.Millisecond; end > maxDuration {
		return bad("end_ms", fmt.Sprintf("makes %v", end), fmt.Sprintf("a run takes at most %v", maxDuration))
	}
	return nil
}

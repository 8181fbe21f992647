// Package settings reads the settings text that a router or gateway is given at its start.
package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"foldslip/internal/policy"
)

// Settings are what the module is told, and what only a door of sockets needs besides.
type Settings struct {
	Router                     *policy.Settings
	Kinds, Zones, MachineTypes []string // names, in the order of their numbers
	ConnectTimeout             policy.Micros
	IdleTimeout                policy.Micros // a connection to a cache is closed when idle for so long
	MaxStreams                 int           // open sends that one connection to a cache carries
	PurgeGrace                 policy.Micros // time to heed a purge
	DrainGrace                 policy.Micros // time to heed that a cache drains or is gone
}

// What holds where the settings do not tell it. What else is missing counts as its strictest value: no giving up of sends, no time
// to heed a purge or a drain.
const (
	defaultConnectTimeout = 1e6
	defaultIdleTimeout    = 30e6
	defaultMaxStreams     = 100
	defaultMaxAttempts    = math.MaxInt32 // sends of one lookup
)

// Parse turns the settings text into terms; unknown keys are skipped, as the wire asks for. What a rule hangs on and is missing or not
// understood is an error that says where: guessing it would break the rule without a word. Not read, as the gateway holds to them
// whatever they say: second copies (it has never two sends of a lookup out), probes and words to peers (it sends none).
func Parse(text []byte) (*Settings, error) {
	var in struct {
		Areas     []string
		Machines  []string `json:"machine_types"`
		Zone      int      `json:"az"`
		Balancers int
		Discovery string
		Weights   string
		Ceilings  struct {
			Cancelling    bool
			RetryAfter    bool    `json:"retry_after"`
			MaxRetryAfter float64 `json:"max_retry_after"`
			TryLimit      int     `json:"try_limit"`
			Connect       float64 `json:"connect_timeout"`
			KeepAlive     float64 `json:"keepalive"`
			Streams       int     `json:"max_streams"`
		}
		Rules struct {
			Cold         float64
			ColdFrom     float64 `json:"cold_from"`
			Fall         float64
			FallMultiple float64 `json:"fall_multiple"`
			StopSending  float64 `json:"stop_sending_within"`
		}
		Classes []struct {
			Name       string
			Aim        float64
			AimStretch float64 `json:"aim_stretch"`
			Deadline   float64
			Effect     string
			Group      string
			LateWorth  float64 `json:"late_worth"`
			Points     float64
			Window     float64
			Stream     bool
		}
		Specifics struct {
			Seats     []int     `json:"seats_by_zone"`
			Parent    *int      `json:"parent_kind"`
			Origin    *int      `json:"source_kind"`
			Merges    bool      `json:"merges_fills"`
			Tells     string    `json:"tells"`
			Flow      float64   `json:"flow_kb_per_s"`
			Fresh     []float64 `json:"max_age"`
			Grace     []float64 `json:"grace_for"`
			AgedWorth []float64 `json:"worth_when_old"`
			PassOn    []bool    `json:"pass_on"`
			StartsAt  float64   `json:"parent_starts_at"`
			Ramp      float64   `json:"parent_ramp"`
			BreaksAt  float64   `json:"parent_breaks_at"`
			Cleared   float64   `json:"cleared_within"`
			Obey      float64   `json:"obey_after"`
		}
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("expected a JSON object of settings: %w", err)
	}
	// What the caches tell, and what the list's weights mean, decide which signals the module times; a word it
	// does not know would silently turn them off. Absent: as before these were read, hits and fills as remarked.
	switch x := in.Specifics.Tells; x {
	case "", "all", "hit", "off", "none":
	default:
		return nil, fmt.Errorf("specifics.tells: %q, expected all, hit or off", x)
	}
	switch w := in.Weights; w {
	case "", "off", "none", "nominal", "rough", "live":
	default:
		return nil, fmt.Errorf("weights: %q, expected off, nominal, rough or live", w)
	}
	switch d := in.Discovery; d { // where it is to be asked for, the list is subscribed to
	case "", "push", "ask":
	default:
		return nil, fmt.Errorf("discovery: %q, expected push or ask", d)
	}
	if len(in.Classes) == 0 {
		return nil, fmt.Errorf("classes is empty, expected one entry a class")
	}
	if in.Zone < 0 || len(in.Areas) > 0 && in.Zone >= len(in.Areas) {
		return nil, fmt.Errorf("az: %d, expected a place in areas, which has %d", in.Zone, len(in.Areas))
	}
	for name, at := range map[string]*int{"parent_kind": in.Specifics.Parent, "source_kind": in.Specifics.Origin} {
		if at != nil && (*at < -1 || len(in.Machines) > 0 && *at >= len(in.Machines)) {
			return nil, fmt.Errorf("specifics.%s: %d, expected -1 or a place in machine_types, which has %d", name, *at, len(in.Machines))
		}
	}
	if in.Ceilings.TryLimit < 0 {
		return nil, fmt.Errorf("ceilings.try_limit: %d, expected how many sends a lookup may have", in.Ceilings.TryLimit)
	}
	us := func(v float64) policy.Micros { return policy.Micros(v) }
	x := in.Specifics
	c := &policy.Settings{Gateways: in.Balancers, Zone: in.Zone, ZoneGateways: x.Seats, ParentKind: -1, OriginKind: -1,
		CoalescesFills: x.Merges, ReportsFirstByte: x.Tells == "all", ReportsHits: x.Tells != "off" && x.Tells != "none",
		WeightIsCapacity: in.Weights == "nominal", WeightIsSize: in.Weights == "nominal" || in.Weights == "rough",
		TransferKBPerSecond: x.Flow, MaxAttempts: cmp.Or(in.Ceilings.TryLimit, defaultMaxAttempts),
		CanCancel:             in.Ceilings.Cancelling,
		SubscribesToEndpoints: in.Discovery == "ask",
		SlowStartShare:        in.Rules.ColdFrom, SlowStartTime: us(in.Rules.Cold),
		BreakMultiple: in.Rules.FallMultiple, BreakWindow: us(in.Rules.Fall), ParentSlowStartShare: x.StartsAt,
		ParentSlowStartTime: us(x.Ramp), ParentBreakMultiple: x.BreaksAt, PurgeSettleTime: us(x.Cleared)}
	if in.Ceilings.RetryAfter {
		c.MaxRetryAfter = us(in.Ceilings.MaxRetryAfter)
	}
	if x.Parent != nil {
		c.ParentKind = *x.Parent
	}
	if x.Origin != nil {
		c.OriginKind = *x.Origin
	}
	t := &Settings{Router: c, Zones: in.Areas, MachineTypes: in.Machines, ConnectTimeout: us(cmp.Or(in.Ceilings.Connect, defaultConnectTimeout)),
		IdleTimeout: us(cmp.Or(in.Ceilings.KeepAlive, defaultIdleTimeout)), MaxStreams: cmp.Or(in.Ceilings.Streams, defaultMaxStreams),
		PurgeGrace: us(x.Obey), DrainGrace: us(in.Rules.StopSending)}
	if t.ConnectTimeout < 0 || t.IdleTimeout < 0 || t.MaxStreams < 0 {
		return nil, fmt.Errorf("ceilings: a time or count is negative")
	}
	if t.PurgeGrace < 0 || t.DrainGrace < 0 {
		return nil, fmt.Errorf("specifics.obey_after, rules.stop_sending_within: a time is negative")
	}
	for i, k := range in.Classes {
		where := fmt.Sprintf("classes[%d] %s", i, k.Name)
		switch {
		case !(k.Deadline > 0) || !(k.Aim > 0):
			return nil, fmt.Errorf("%s: deadline %g, aim %g, expected microseconds above 0", where, k.Deadline, k.Aim)
		case k.Name != "" && slices.Contains(t.Kinds, k.Name):
			return nil, fmt.Errorf("%s: the name is another class's too", where)
		case k.Stream:
			return nil, fmt.Errorf("%s: stream is true; answers that stream are not known here", where)
		}
		t.Kinds = append(t.Kinds, k.Name)
		row := policy.ObjectKind{LatencyBudget: us(k.Aim), BudgetStretch: k.AimStretch, Deadline: us(k.Deadline),
			Utility: k.Points, LateUtilityShare: k.LateWorth, DedupWindow: us(k.Window), MaxAge: us(elementAt(x.Fresh, i)),
			StaleGrace: us(elementAt(x.Grace, i)), StaleUtility: elementAt(x.AgedWorth, i), PassThrough: elementAt(x.PassOn, i)}
		switch k.Effect {
		case "idempotent":
		case "deduplicated":
			row.Effect = policy.Deduplicated
		case "at_most_once":
			row.Effect = policy.SideEffecting
		default:
			return nil, fmt.Errorf("%s: effect %q, expected idempotent, deduplicated or at_most_once", where, k.Effect)
		}
		switch k.Group {
		case "all", "":
		case "zone":
			row.DedupScope = policy.SameZone
		case "cell":
			row.DedupScope = policy.SameCell
		default:
			return nil, fmt.Errorf("%s: group %q, expected all, zone or cell", where, k.Group)
		}
		if k.Group == "" && row.Effect == policy.Deduplicated {
			return nil, fmt.Errorf("%s: group is missing, expected all, zone or cell with effect deduplicated", where)
		}
		c.Kinds = append(c.Kinds, row)
	}
	return t, nil
}

// elementAt gives a list's value, or the zero value where the list is too short.
func elementAt[T any](list []T, i int) T {
	var none T
	if i < 0 || i >= len(list) {
		return none
	}
	return list[i]
}

// LatencyBudget is the latency budget of a lookup of a kind and size.
func (t *Settings) LatencyBudget(kind int, kb float64) time.Duration {
	k := t.Router.Kinds[kind]
	work := 0.0
	if t.Router.TransferKBPerSecond > 0 {
		work = kb / t.Router.TransferKBPerSecond * float64(time.Second.Microseconds())
	}
	return time.Duration(min(float64(k.LatencyBudget)+k.BudgetStretch*work, float64(k.Deadline))) * time.Microsecond
}

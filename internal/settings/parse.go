package settings

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"foldslip/internal/policy"
)

// The keys and values of the platform's settings text occur only in this file, which maps them
// to the names that the other packages use.

// Defaults of settings that are missing from the text. Other missing settings have their strictest value: attempts
// cannot be cancelled, and purges and drains must be applied at once.
const (
	defaultConnectTimeout policy.Micros = 1e6
	defaultIdleTimeout    policy.Micros = 30e6
	defaultMaxStreams                   = 100
	defaultMaxAttempts                  = math.MaxInt32
)

// ErrNoClasses reports that the text contains no object kinds.
var ErrNoClasses = errors.New("classes is empty, expected one entry a class")

// ValueError reports that a value of the text is missing or invalid.
type ValueError struct {
	Key     string // key of the value, or the entry that contains it
	Problem string // what is wrong with the value and what was expected
}

// Error returns the key and the problem.
func (e *ValueError) Error() string { return e.Key + ": " + e.Problem }

func invalid(key, format string, args ...any) error {
	return &ValueError{Key: key, Problem: fmt.Sprintf(format, args...)}
}

// platformText is the settings text. Times are in microseconds, and indexes start at 0. Other keys are ignored, as the
// protocol requires. The platform's limits on hedges, health probes and messages between gateways are ignored too,
// because the gateway sends none of these.
type platformText struct {
	Areas        []string       `json:"areas"`
	MachineTypes []string       `json:"machine_types"`
	Zone         int            `json:"az"`
	Gateways     int            `json:"balancers"`
	Discovery    string         `json:"discovery"`
	Weights      string         `json:"weights"`
	Ceilings     platformLimits `json:"ceilings"`
	Rules        platformRules  `json:"rules"`
	Classes      []platformKind `json:"classes"`
	Specifics    platformCaches `json:"specifics"`
}

// platformLimits holds the limits for connections to caches, for attempts and for retries by clients.
type platformLimits struct {
	CanCancel        bool    `json:"cancelling"`
	ClientsRetry     bool    `json:"retry_after"`
	MaxRetryAfter    float64 `json:"max_retry_after"`
	MaxAttempts      int     `json:"try_limit"`
	ConnectTimeout   float64 `json:"connect_timeout"`
	KeepAliveTimeout float64 `json:"keepalive"`
	MaxStreams       int     `json:"max_streams"`
}

// platformRules holds the parameters of the rules for slow start and for drains.
type platformRules struct {
	SlowStartTime  float64 `json:"cold"`
	SlowStartShare float64 `json:"cold_from"`
	BreakWindow    float64 `json:"fall"`
	BreakMultiple  float64 `json:"fall_multiple"`
	DrainGrace     float64 `json:"stop_sending_within"`
}

// platformKind describes an object kind.
type platformKind struct {
	Name          string  `json:"name"`
	LatencyBudget float64 `json:"aim"`
	BudgetStretch float64 `json:"aim_stretch"`
	Deadline      float64 `json:"deadline"`
	Effect        string  `json:"effect"`
	DedupScope    string  `json:"group"`
	LateUtility   float64 `json:"late_worth"`
	Utility       float64 `json:"points"`
	DedupWindow   float64 `json:"window"`
	IsStream      bool    `json:"stream"`
}

// platformCaches describes the caches of this deployment. MaxAge, StaleGrace, StaleUtility and
// PassThrough are indexed by object kind.
type platformCaches struct {
	ZoneGateways         []int     `json:"seats_by_zone"`
	ParentKind           *int      `json:"parent_kind"`
	OriginKind           *int      `json:"source_kind"`
	CoalescesFills       bool      `json:"merges_fills"`
	Reports              string    `json:"tells"`
	TransferKBPerSecond  float64   `json:"flow_kb_per_s"`
	MaxAge               []float64 `json:"max_age"`
	StaleGrace           []float64 `json:"grace_for"`
	StaleUtility         []float64 `json:"worth_when_old"`
	PassThrough          []bool    `json:"pass_on"`
	ParentSlowStartShare float64   `json:"parent_starts_at"`
	ParentSlowStartTime  float64   `json:"parent_ramp"`
	ParentBreakMultiple  float64   `json:"parent_breaks_at"`
	PurgeSettleTime      float64   `json:"cleared_within"`
	PurgeGrace           float64   `json:"obey_after"`
}

// Parse parses a settings text. If a value that a rule depends on is missing or invalid, it returns an error that names
// the value. A default for such a value could break the rule without being noticed.
func Parse(text []byte) (*Settings, error) {
	var in platformText
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("expected a JSON object of settings: %w", err)
	}
	if err := in.check(); err != nil {
		return nil, err
	}
	out := &Settings{
		Router:         in.routerSettings(),
		Zones:          in.Areas,
		MachineTypes:   in.MachineTypes,
		ConnectTimeout: cmp.Or(policy.Micros(in.Ceilings.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:    cmp.Or(policy.Micros(in.Ceilings.KeepAliveTimeout), defaultIdleTimeout),
		MaxStreams:     cmp.Or(in.Ceilings.MaxStreams, defaultMaxStreams),
		PurgeGrace:     policy.Micros(in.Specifics.PurgeGrace),
		DrainGrace:     policy.Micros(in.Rules.DrainGrace),
	}
	if out.ConnectTimeout < 0 || out.IdleTimeout < 0 || out.MaxStreams < 0 {
		return nil, invalid("ceilings", "a time or count is negative")
	}
	if out.PurgeGrace < 0 || out.DrainGrace < 0 {
		return nil, invalid("specifics.obey_after, rules.stop_sending_within", "a time is negative")
	}
	for i, class := range in.Classes {
		kind, err := in.objectKind(i)
		if err != nil {
			return nil, err
		}
		out.Kinds = append(out.Kinds, class.Name)
		out.Router.Kinds = append(out.Router.Kinds, kind)
	}
	return out, nil
}

// check validates the values that do not belong to an object kind. The reports of caches and the meaning of
// weights determine which signals the router measures. An unknown word for them is an error, so that it
// does not silently turn these signals off.
func (in *platformText) check() error {
	if !slices.Contains([]string{"", "all", "hit", "off", "none"}, in.Specifics.Reports) {
		return invalid("specifics.tells", "%q, expected all, hit or off", in.Specifics.Reports)
	}
	if !slices.Contains([]string{"", "off", "none", "nominal", "rough", "live"}, in.Weights) {
		return invalid("weights", "%q, expected off, nominal, rough or live", in.Weights)
	}
	if !slices.Contains([]string{"", "push", "ask"}, in.Discovery) {
		return invalid("discovery", "%q, expected push or ask", in.Discovery)
	}
	if len(in.Classes) == 0 {
		return ErrNoClasses
	}
	if in.Zone < 0 || len(in.Areas) > 0 && in.Zone >= len(in.Areas) {
		return invalid("az", "%d, expected a place in areas, which has %d", in.Zone, len(in.Areas))
	}
	for _, kind := range []struct {
		key   string
		index *int
	}{{"parent_kind", in.Specifics.ParentKind}, {"source_kind", in.Specifics.OriginKind}} {
		if kind.index != nil && (*kind.index < -1 || len(in.MachineTypes) > 0 && *kind.index >= len(in.MachineTypes)) {
			return invalid("specifics."+kind.key, "%d, expected -1 or a place in machine_types, which has %d", *kind.index, len(in.MachineTypes))
		}
	}
	if in.Ceilings.MaxAttempts < 0 {
		return invalid("ceilings.try_limit", "%d, expected how many sends a lookup may have", in.Ceilings.MaxAttempts)
	}
	return nil
}

// routerSettings returns the settings of the router without the object kinds.
func (in *platformText) routerSettings() *policy.Settings {
	out := &policy.Settings{
		Gateways:              in.Gateways,
		Zone:                  in.Zone,
		ZoneGateways:          in.Specifics.ZoneGateways,
		ParentKind:            -1,
		OriginKind:            -1,
		CoalescesFills:        in.Specifics.CoalescesFills,
		ReportsFirstByte:      in.Specifics.Reports == "all",
		ReportsHits:           in.Specifics.Reports != "off" && in.Specifics.Reports != "none",
		WeightIsCapacity:      in.Weights == "nominal",
		WeightIsSize:          in.Weights == "nominal" || in.Weights == "rough",
		TransferKBPerSecond:   in.Specifics.TransferKBPerSecond,
		MaxAttempts:           cmp.Or(in.Ceilings.MaxAttempts, defaultMaxAttempts),
		CanCancel:             in.Ceilings.CanCancel,
		SubscribesToEndpoints: in.Discovery == "ask",
		SlowStartShare:        in.Rules.SlowStartShare,
		SlowStartTime:         policy.Micros(in.Rules.SlowStartTime),
		BreakMultiple:         in.Rules.BreakMultiple,
		BreakWindow:           policy.Micros(in.Rules.BreakWindow),
		ParentSlowStartShare:  in.Specifics.ParentSlowStartShare,
		ParentSlowStartTime:   policy.Micros(in.Specifics.ParentSlowStartTime),
		ParentBreakMultiple:   in.Specifics.ParentBreakMultiple,
		PurgeSettleTime:       policy.Micros(in.Specifics.PurgeSettleTime),
	}
	if in.Ceilings.ClientsRetry {
		out.MaxRetryAfter = policy.Micros(in.Ceilings.MaxRetryAfter)
	}
	if in.Specifics.ParentKind != nil {
		out.ParentKind = *in.Specifics.ParentKind
	}
	if in.Specifics.OriginKind != nil {
		out.OriginKind = *in.Specifics.OriginKind
	}
	return out
}

// objectKind returns the i-th object kind, or an error if a value of it is missing or invalid.
func (in *platformText) objectKind(i int) (kind policy.ObjectKind, err error) {
	class := in.Classes[i]
	where := fmt.Sprintf("classes[%d] %s", i, class.Name)
	hasName := func(other platformKind) bool { return other.Name == class.Name }
	switch {
	case !(class.Deadline > 0) || !(class.LatencyBudget > 0):
		return kind, invalid(where, "deadline %g, aim %g, expected microseconds above 0", class.Deadline, class.LatencyBudget)
	case class.Name != "" && slices.ContainsFunc(in.Classes[:i], hasName):
		return kind, invalid(where, "the name is another class's too")
	case class.IsStream:
		return kind, invalid(where, "stream is true; answers that stream are not known here")
	}
	kind = policy.ObjectKind{
		LatencyBudget:    policy.Micros(class.LatencyBudget),
		BudgetStretch:    class.BudgetStretch,
		Deadline:         policy.Micros(class.Deadline),
		Utility:          class.Utility,
		LateUtilityShare: class.LateUtility,
		DedupWindow:      policy.Micros(class.DedupWindow),
		MaxAge:           policy.Micros(elementAt(in.Specifics.MaxAge, i)),
		StaleGrace:       policy.Micros(elementAt(in.Specifics.StaleGrace, i)),
		StaleUtility:     elementAt(in.Specifics.StaleUtility, i),
		PassThrough:      elementAt(in.Specifics.PassThrough, i),
	}
	if kind.Effect, err = parseEffect(class.Effect, where); err != nil {
		return kind, err
	}
	if kind.DedupScope, err = parseDedupScope(class.DedupScope, where); err != nil {
		return kind, err
	}
	if class.DedupScope == "" && kind.Effect == policy.Deduplicated {
		return kind, invalid(where, "group is missing, expected all, zone or cell with effect deduplicated")
	}
	return kind, nil
}

func parseEffect(word, where string) (policy.Effect, error) {
	switch word {
	case "idempotent":
		return policy.Idempotent, nil
	case "deduplicated":
		return policy.Deduplicated, nil
	case "at_most_once":
		return policy.SideEffecting, nil
	}
	return 0, invalid(where, "effect %q, expected idempotent, deduplicated or at_most_once", word)
}

func parseDedupScope(word, where string) (policy.DedupScope, error) {
	switch word {
	case "all", "":
		return policy.AllCaches, nil
	case "zone":
		return policy.SameZone, nil
	case "cell":
		return policy.SameCell, nil
	}
	return 0, invalid(where, "group %q, expected all, zone or cell", word)
}

// elementAt returns the i-th element of a list, or the zero value if the list is too short.
func elementAt[T any](list []T, i int) T {
	var zero T
	if i >= len(list) {
		return zero
	}
	return list[i]
}

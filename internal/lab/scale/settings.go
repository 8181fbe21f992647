package scale

import (
	"encoding/json"
	"fmt"

	"foldslip/example/standin"
)

// Members returns a list of caches like that of the fleet. Edge caches are spread evenly over zones z00, z01, and so
// on. Each zone has two parents if zones have more than three caches on average. The last cache is the only origin.
// The addresses are on loopback, and nothing listens on them.
func Members(caches, zones int) []standin.Endpoint {
	all := make([]standin.Endpoint, caches)
	for i := range all {
		zone := i * zones / caches
		flavor := "edge"
		if perZone := caches / zones; perZone > 3 && i-(zone*caches+zones-1)/zones < 2 {
			flavor = "parent"
		}
		if i == caches-1 && caches > 1 {
			flavor = "origin"
		}
		all[i] = standin.Endpoint{ID: fmt.Sprintf("c%04d", i), HostPort: fmt.Sprintf("127.65.%d.%d:20000", i>>8, i&255), Locality: zoneName(zone), Flavor: flavor,
			Cell: i, Phase: "up", Size: 1}
	}
	return all
}

func zoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// Settings returns the platform's settings text for one gateway of the fleet. It has the example's values with the
// zones of the locations. Purges apply 0.3 s after they were published (obey_after) and are kept for 11 s
// (cleared_within + 5 s). Changes of the list apply within 3 s (stop_sending_within), so that a watch times out after
// 2.5 s of silence.
func Settings(locations []Location, gateway, zones int) json.RawMessage {
	gatewaysByZone, names := make([]int, zones), make([]string, zones)
	for _, p := range locations {
		if p.Zone < zones {
			gatewaysByZone[p.Zone]++
		}
	}
	for z := range names {
		names[z] = zoneName(z)
	}
	text, _ := json.Marshal(map[string]any{ // encoding strings, numbers and booleans cannot fail
		"areas": names, "az": locations[gateway].Zone, "balancers": len(locations), "discovery": "push", "weights": "off",
		"machine_types": []string{"edge", "parent", "origin"},
		"ceilings": map[string]any{"cancelling": true, "connect_timeout": 400000, "keepalive": 30000000, "max_retry_after": 2000000,
			"max_streams": 100, "retry_after": true, "second_copies": true, "try_limit": 6},
		"rules": map[string]any{"cold": 13000000, "cold_from": 0.16, "fall": 1000000, "fall_multiple": 3.0, "stop_sending_within": 3000000},
		"classes": []any{map[string]any{"name": "segment", "aim": 400000, "aim_stretch": 1.6, "deadline": 5000000, "effect": "idempotent",
			"late_worth": 0.15, "points": 2.0}},
		"specifics": map[string]any{"cleared_within": 6000000, "flow_kb_per_s": 4800.0, "grace_for": []int{0}, "max_age": []int{0}, "merges_fills": true,
			"obey_after": 300000, "origin_fall": 3000000, "parent_breaks_at": 2.0, "parent_kind": 1, "parent_ramp": 21000000,
			"parent_starts_at": 0.064, "pass_on": []bool{false}, "seats_by_zone": gatewaysByZone, "source_kind": 2, "tells": "all",
			"worth_when_old": []float64{0.7}}})
	return text
}

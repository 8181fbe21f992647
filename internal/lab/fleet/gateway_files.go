package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"foldslip/example/standin"
)

// gatewayFiles holds the parts of a gateway's configuration that differ between gateways.
type gatewayFiles struct {
	index     int // position of the gateway in the scenario, from 0
	endpoints []standin.Endpoint
	seeds     []string // addresses of the gateways that it contacts to join the fleet
	listen    netip.AddrPort
	advertise netip.AddrPort // address of the relay's public listener, which peers know
}

// writeGatewayFiles writes the configuration and the settings of a gateway and sets the arguments and the environment
// of its process. Map keys are the keys of the files.
func (r *Rig) writeGatewayFiles(p *process, files gatewayFiles) error {
	settingsPath := filepath.Join(p.dir, "settings.jsonnet")
	if err := writeJSON(settingsPath, r.operatorSettings(p, files)); err != nil {
		return err
	}
	endpointList := standin.EndpointList(true, files.endpoints...)
	config := map[string]any{
		"name":     p.name,
		"listen":   p.clients,
		"seed":     fmt.Sprintf("%x", r.options.Seed*1000+uint64(files.index)+1),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"bulletin": p.discovery,
		"known":    map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + endpointList[1:])}},
		"settings": json.RawMessage(gatewaySettings),
	}
	configPath := filepath.Join(p.dir, "config.json")
	if err := writeJSON(configPath, config); err != nil {
		return err
	}
	p.env = append(os.Environ(), "ROUTER_CONFIG="+configPath, "ROUTER_NAME="+p.name, "ROUTER_LISTEN=")
	p.args = []string{"serve", "--settings", settingsPath}
	for _, offset := range r.scenario.ClockOffsets {
		if offset.Gateway == p.name {
			p.args = append(p.args, fmt.Sprintf("--clock-offset=%dms", offset.MS))
		}
	}
	return nil
}

// operatorSettings returns a gateway's operator settings: the fleet, and the limit on lookups if the scenario has one.
func (r *Rig) operatorSettings(p *process, files gatewayFiles) map[string]any {
	fleet := r.scenario.Fleet
	fleet.Listen = files.listen.String()
	fleet.Advertise = files.advertise.String()
	fleet.Seeds = files.seeds
	fleet.Socket = p.socket()
	locality := r.scenario.locality(p.name)
	fleet.Region = locality.Region
	fleet.Zone = locality.Zone
	fleet.Site = locality.Site
	if r.scenario.KeepMembers {
		fleet.Folder = p.memberDir()
	}
	settings := map[string]any{"fleet": fleet}
	if limit := r.scenario.Limit; limit != nil {
		settings["routing"] = map[string]any{
			"pools":   map[string]any{"all": map[string]any{"locations": []string{edgeLocality}}},
			"routes":  []any{map[string]any{"name": "all", "tenant": "all", "to": []any{map[string]any{"pool": "all"}}}},
			"tenants": map[string]any{"all": map[string]any{"lookups_a_second": limit.LookupsPerSecond, "fleet": limit.FleetWide}},
		}
	}
	return settings
}

func writeJSON(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// gatewaySettings holds the platform settings of the example in the form in which the platform sends them.
const gatewaySettings = `{"areas":["town","hub"],"az":0,"balancers":12,"discovery":"push","weights":"off",
"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"connect_timeout":400000,"keepalive":30000000,
"max_retry_after":2000000,"max_streams":100,"retry_after":true,"second_copies":true,"try_limit":6},
"rules":{"cold":13000000,"cold_from":0.16,"fall":1000000,"fall_multiple":3.0},
"classes":[{"name":"segment","aim":400000,"aim_stretch":1.6,"deadline":5000000,"effect":"idempotent","late_worth":0.15,"points":2.0}],
"specifics":{"cleared_within":6000000,"flow_kb_per_s":4800.0,"grace_for":[0],"max_age":[0],"merges_fills":true,"obey_after":300000,
"origin_fall":3000000,"parent_breaks_at":2.0,"parent_kind":1,"parent_ramp":21000000,"parent_starts_at":0.064,"pass_on":[false],
"seats_by_zone":[1,0],"source_kind":2,"tells":"all","worth_when_old":[0.7]}}`

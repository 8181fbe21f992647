package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"foldslip/example/standin"
)

// writeGatewayFiles writes what a gateway is told.
func (r *Rig) writeGatewayFiles(p *process, i int, caches []standin.Endpoint, seeds []string, own, door netip.AddrPort) error {
	f := r.scenario.Fleet
	f.Listen, f.Advertise, f.Seeds, f.Socket = own.String(), door.String(), seeds, p.socket()
	at := r.scenario.locality(p.name)
	f.Region, f.Zone, f.Site = at.Region, at.Zone, at.Site
	if r.scenario.KeepMembers {
		f.Folder = filepath.Join(p.dir, "kept")
	}
	its := map[string]any{"fleet": f}
	if l := r.scenario.Limit; l != nil {
		its["routing"] = map[string]any{"pools": map[string]any{"all": map[string]any{"locations": []string{"town"}}},
			"routes":  []any{map[string]any{"name": "all", "tenant": "all", "to": []any{map[string]any{"pool": "all"}}}},
			"tenants": map[string]any{"all": map[string]any{"lookups_a_second": l.LookupsPerSecond, "fleet": l.FleetWide}}}
	}
	text, err := json.Marshal(its)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(p.dir, "settings.jsonnet"), text, 0o600); err != nil {
		return err
	}
	config := map[string]any{"name": p.name, "listen": p.clients, "seed": fmt.Sprintf("%x", r.options.Seed*1000+uint64(i)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "bulletin": p.discovery,
		"known":    map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + standin.EndpointList(true, caches...)[1:])}},
		"settings": json.RawMessage(gatewaySettings)}
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p.env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_NAME="+p.name, "ROUTER_LISTEN=")
	p.args = []string{"serve", "--settings", filepath.Join(p.dir, "settings.jsonnet")}
	for _, o := range r.scenario.ClockOffsets {
		if o.Gateway == p.name {
			p.args = append(p.args, fmt.Sprintf("--clock-offset=%dms", o.MS))
		}
	}
	return nil
}

// gatewaySettings are those of the example, in the form that the platform tells them.
const gatewaySettings = `{"areas":["town","hub"],"az":0,"balancers":12,"discovery":"push","weights":"off",
"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"connect_timeout":400000,"keepalive":30000000,
"max_retry_after":2000000,"max_streams":100,"retry_after":true,"second_copies":true,"try_limit":6},
"rules":{"cold":13000000,"cold_from":0.16,"fall":1000000,"fall_multiple":3.0},
"classes":[{"name":"segment","aim":400000,"aim_stretch":1.6,"deadline":5000000,"effect":"idempotent","late_worth":0.15,"points":2.0}],
"specifics":{"cleared_within":6000000,"flow_kb_per_s":4800.0,"grace_for":[0],"max_age":[0],"merges_fills":true,"obey_after":300000,
"origin_fall":3000000,"parent_breaks_at":2.0,"parent_kind":1,"parent_ramp":21000000,"parent_starts_at":0.064,"pass_on":[false],
"seats_by_zone":[1,0],"source_kind":2,"tells":"all","worth_when_old":[0.7]}}`

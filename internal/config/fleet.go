package config

import (
	"fmt"
	"net/netip"
	"path"
	"time"
)

// Fleet are the settings of this gateway's part in a fleet that knows itself (docs/fleet-view.md). Times in milliseconds; 0 is the
// usual one.
type Fleet struct {
	Listen           string   `json:"listen"`              // IP and port for datagrams and streams of other gateways
	Advertise        string   `json:"advertise,omitempty"` // what others are told, where it differs
	Label            string   `json:"label,omitempty"`     // fleets of other labels are not heard
	KeyFile          string   `json:"key_file,omitempty"`  // 16, 24 or 32 bytes; must be there where others than this machine can come
	Seeds            []string `json:"seeds,omitempty"`     // IPs and ports of gateways to ask first
	SeedFile         string   `json:"seed_file,omitempty"` // the same, one a line, read anew while somebody is looked for
	Folder           string   `json:"folder,omitempty"`    // of this gateway alone; none: who was known ends with the process
	Socket           string   `json:"socket,omitempty"`    // where operators of this machine call
	MaxMembers       int64    `json:"members"`             // held at most, this one included
	SharesPurges     bool     `json:"purges,omitempty"`    // purges that other gateways heard first are heeded, by fleet/verdict
	BroadcastsPurges bool     `json:"broadcast,omitempty"` // the same by fleet/broadcast, for many gateways and many purges
	Region           string   `json:"region,omitempty"`    // where this gateway stands: all three, or none
	Zone             string   `json:"zone,omitempty"`
	Site             string   `json:"site,omitempty"`
	ExpectedMembers  int64    `json:"expect,omitempty"` // gateways there are, if the operators know; for telling a minority
	ProbeMS          int64    `json:"probe_ms"`
	ProbeTimeoutMS   int64    `json:"probe_timeout_ms"`
	GossipMS         int64    `json:"gossip_ms"`
	RejoinMS         int64    `json:"rejoin_ms"` // between calls for those who are lost
	SettleMS         int64    `json:"settle_ms"` // without a change, before the fleet can have settled
	ReapMS           int64    `json:"reap_ms"`   // the dead count for the fleet's size so long
}

const (
	maxSeeds         = 4096
	maxLocalityBytes = 48 // bytes of a region's, zone's or site's name: membership.MaxLocalityNameBytes
)

// validate fills in defaults and tells the first value that cannot be.
func (f *Fleet) validate(file string) error {
	for _, n := range []struct {
		name               string
		to                 *int64
		least, usual, most int64
	}{{"members", &f.MaxMembers, 1, 1024, 4096}, {"expect", &f.ExpectedMembers, 0, 0, 4096}, {"probe_ms", &f.ProbeMS, 100, 1000, 60_000},
		{"probe_timeout_ms", &f.ProbeTimeoutMS, 20, 500, 30_000}, {"gossip_ms", &f.GossipMS, 20, 200, 10_000}, {"rejoin_ms", &f.RejoinMS, 200, 5000, 600_000},
		{"settle_ms", &f.SettleMS, 100, 1000, 600_000}, {"reap_ms", &f.ReapMS, 1000, 3_600_000, 7 * 86_400_000}} {
		if *n.to == 0 {
			*n.to = n.usual
		}
		if *n.to < n.least || *n.to > n.most {
			return Error{file, "fleet." + n.name, fmt.Sprintf("is %d", *n.to), fmt.Sprintf("expected %d to %d", n.least, n.most)}
		}
	}
	if f.ProbeTimeoutMS >= f.ProbeMS {
		return Error{file, "fleet.probe_timeout_ms", fmt.Sprintf("is %d of a probe_ms of %d", f.ProbeTimeoutMS, f.ProbeMS),
			"leave time for others to probe in this gateway's place: at most half"}
	}
	if f.Advertise == "" {
		f.Advertise = f.Listen
	}
	for _, a := range []struct{ name, at string }{{"listen", f.Listen}, {"advertise", f.Advertise}} {
		at, err := netip.ParseAddrPort(a.at)
		if err != nil || at.Port() == 0 || at.Addr().IsUnspecified() {
			return Error{file, "fleet." + a.name, fmt.Sprintf("%q", a.at), "expected an IP of this machine and a port, as 10.0.0.4:7946"}
		}
		if !at.Addr().IsLoopback() && f.KeyFile == "" {
			return Error{file, "fleet." + a.name, fmt.Sprintf("%s can be reached from other machines", a.at),
				"name a key_file that all gateways of the fleet have"}
		}
	}
	if len(f.Seeds) > maxSeeds {
		return Error{file, "fleet.seeds", fmt.Sprintf("has %d", len(f.Seeds)), fmt.Sprintf("%d are enough; more can stand in seed_file", maxSeeds)}
	}
	for i, s := range f.Seeds {
		if at, err := netip.ParseAddrPort(s); err != nil || at.Port() == 0 {
			return Error{file, fmt.Sprintf("fleet.seeds[%d]", i), fmt.Sprintf("%q", s), "expected an IP and a port, as 10.0.0.4:7946"}
		}
	}
	if f.BroadcastsPurges && f.SharesPurges {
		return Error{file, "fleet.broadcast", "is set beside fleet.purges", "set one: broadcast; purges stays for fleets of a few gateways"}
	}
	places, told := []struct{ name, is string }{{"region", f.Region}, {"zone", f.Zone}, {"site", f.Site}}, 0
	for _, p := range places {
		if len(p.is) > maxLocalityBytes {
			return Error{file, "fleet." + p.name, fmt.Sprintf("has %d bytes", len(p.is)), fmt.Sprintf("at most %d", maxLocalityBytes)}
		}
		if p.is != "" {
			told++
		}
	}
	for _, p := range places {
		if p.is == "" && told > 0 {
			return Error{file, "fleet." + p.name, "is missing", "name region, zone and site of this gateway, or none of them"}
		}
	}
	if len(f.Label) > 64 {
		return Error{file, "fleet.label", fmt.Sprintf("has %d bytes", len(f.Label)), "at most 64"}
	}
	for _, p := range []struct{ name, path string }{{"key_file", f.KeyFile}, {"seed_file", f.SeedFile}, {"folder", f.Folder}, {"socket", f.Socket}} {
		if p.path != "" && (!path.IsAbs(p.path) || p.name == "socket" && len(p.path) > 100) {
			return Error{file, "fleet." + p.name, fmt.Sprintf("%q", p.path), "name it from the root (a socket in 100 bytes)"}
		}
	}
	return nil
}

// Milliseconds is a setting in milliseconds as a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

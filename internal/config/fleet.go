package config

// MaxLocalityBytes is the maximum length in bytes of the name of a region, zone or site.
const MaxLocalityBytes = 48

// Fleet configures this gateway's membership in a fleet of gateways that know each other (docs/fleet-view.md). Times are
// in milliseconds; 0 selects the default.
type Fleet struct {
	Listen           string   `json:"listen"`              // IP and port for datagrams and streams of other gateways
	Advertise        string   `json:"advertise,omitempty"` // IP and port that other gateways connect to; empty: Listen
	Label            string   `json:"label,omitempty"`     // messages of fleets with other labels are ignored
	KeyFile          string   `json:"key_file,omitempty"`  // 16, 24 or 32 byte key; required if other machines can connect
	Seeds            []string `json:"seeds,omitempty"`     // IPs and ports of gateways to contact first
	SeedFile         string   `json:"seed_file,omitempty"` // further seeds, one a line; reread while members are missing
	Folder           string   `json:"folder,omitempty"`    // this gateway's own, for known members; empty: not stored
	Socket           string   `json:"socket,omitempty"`    // Unix socket of the admin API
	MaxMembers       int64    `json:"members"`             // bound on the known members, including this gateway
	SharesPurges     bool     `json:"purges,omitempty"`    // applies purges that others received first, by fleet/purgesync
	BroadcastsPurges bool     `json:"broadcast,omitempty"` // the same by fleet/broadcast, for many gateways and many purges
	Region           string   `json:"region,omitempty"`    // locality; Region, Zone and Site are set together or not at all
	Zone             string   `json:"zone,omitempty"`
	Site             string   `json:"site,omitempty"`
	ExpectedMembers  int64    `json:"expect,omitempty"` // expected fleet size, to detect a minority; 0: not known
	ProbeMS          int64    `json:"probe_ms"`         // interval between probes
	ProbeTimeoutMS   int64    `json:"probe_timeout_ms"`
	GossipMS         int64    `json:"gossip_ms"` // interval between rounds of gossip
	RejoinMS         int64    `json:"rejoin_ms"` // interval between attempts to contact missing members
	SettleMS         int64    `json:"settle_ms"` // time without a change after which the fleet counts as settled
	ReapMS           int64    `json:"reap_ms"`   // time for which dead members count towards the fleet's size
}

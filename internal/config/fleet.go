package config

// MaxLocalityBytes is how many bytes the name of a region, zone or site may have.
const MaxLocalityBytes = 48

// Fleet is this gateway's part in a fleet of gateways that know each other (docs/fleet-view.md). Times are in milliseconds; 0 is the default.
type Fleet struct {
	Listen           string   `json:"listen"`              // IP and port for datagrams and streams of other gateways
	Advertise        string   `json:"advertise,omitempty"` // the address that others get, where it differs
	Label            string   `json:"label,omitempty"`     // messages of fleets with other labels are ignored
	KeyFile          string   `json:"key_file,omitempty"`  // 16, 24 or 32 bytes; required where other machines can connect
	Seeds            []string `json:"seeds,omitempty"`     // IPs and ports of gateways to contact first
	SeedFile         string   `json:"seed_file,omitempty"` // the same, one a line, read anew while members are missing
	Folder           string   `json:"folder,omitempty"`    // of this gateway alone; none: known members end with the process
	Socket           string   `json:"socket,omitempty"`    // of the admin API
	MaxMembers       int64    `json:"members"`             // this one included
	SharesPurges     bool     `json:"purges,omitempty"`    // purges that other gateways received first are applied, by fleet/purgesync
	BroadcastsPurges bool     `json:"broadcast,omitempty"` // the same by fleet/broadcast, for many gateways and many purges
	Region           string   `json:"region,omitempty"`    // where this gateway is: all three, or none
	Zone             string   `json:"zone,omitempty"`
	Site             string   `json:"site,omitempty"`
	ExpectedMembers  int64    `json:"expect,omitempty"` // to detect a minority; 0: not known
	ProbeMS          int64    `json:"probe_ms"`
	ProbeTimeoutMS   int64    `json:"probe_timeout_ms"`
	GossipMS         int64    `json:"gossip_ms"`
	RejoinMS         int64    `json:"rejoin_ms"` // between contacts with missing members
	SettleMS         int64    `json:"settle_ms"` // without a change, before the fleet counts as settled
	ReapMS           int64    `json:"reap_ms"`   // for which dead members count for the fleet's size
}

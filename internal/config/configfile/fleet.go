package configfile

import (
	"fmt"
	"net/netip"
	"path"

	"foldslip/internal/config"
)

const (
	maxSeeds      = 4096
	maxLabelBytes = 64
)

// textSetting is a string setting with its name.
type textSetting struct{ name, value string }

func validateFleet(f *config.Fleet) error {
	if err := validateNumbers("fleet", []intSetting{
		{"members", &f.MaxMembers, 1, 1024, 4096},
		{"expect", &f.ExpectedMembers, 0, 0, 4096},
		{"probe_ms", &f.ProbeMS, 100, 1000, 60_000},
		{"probe_timeout_ms", &f.ProbeTimeoutMS, 20, 500, 30_000},
		{"gossip_ms", &f.GossipMS, 20, 200, 10_000},
		{"rejoin_ms", &f.RejoinMS, 200, 5000, 600_000},
		{"settle_ms", &f.SettleMS, 100, 1000, 600_000},
		{"reap_ms", &f.ReapMS, 1000, 3_600_000, 7 * 86_400_000},
	}); err != nil {
		return err
	}
	if f.ProbeTimeoutMS >= f.ProbeMS {
		return invalid("fleet.probe_timeout_ms", fmt.Sprintf("is %d with a probe_ms of %d", f.ProbeTimeoutMS, f.ProbeMS),
			"choose at most half of probe_ms, which leaves other members time for indirect probes")
	}
	if f.Advertise == "" {
		f.Advertise = f.Listen
	}
	if err := validateFleetAddrs(f); err != nil {
		return err
	}
	if f.BroadcastsPurges && f.SharesPurges {
		return invalid("fleet.broadcast", "is set together with fleet.purges",
			"set only one: broadcast, or purges in a fleet of a few gateways")
	}
	if err := validateLocality(f); err != nil {
		return err
	}
	if len(f.Label) > maxLabelBytes {
		return invalid("fleet.label", fmt.Sprintf("has %d bytes", len(f.Label)), "at most 64")
	}
	return validateFleetPaths(f)
}

// validateFleetAddrs checks the addresses of this gateway and of its seeds. A gateway that other machines can reach must
// have a key file.
func validateFleetAddrs(f *config.Fleet) error {
	for _, setting := range []textSetting{{"listen", f.Listen}, {"advertise", f.Advertise}} {
		addr, err := netip.ParseAddrPort(setting.value)
		if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
			return invalid("fleet."+setting.name, fmt.Sprintf("is %q", setting.value),
				"expected an IP address of this machine and a port, such as 10.0.0.4:7946")
		}
		if !addr.Addr().IsLoopback() && f.KeyFile == "" {
			return invalid("fleet."+setting.name, fmt.Sprintf("%s can be reached from other machines", setting.value),
				"set key_file to a key that all gateways of the fleet share")
		}
	}
	if len(f.Seeds) > maxSeeds {
		return invalid("fleet.seeds", fmt.Sprintf("has %d seeds", len(f.Seeds)),
			fmt.Sprintf("expected at most %d; list more in seed_file", maxSeeds))
	}
	for i, seed := range f.Seeds {
		if addr, err := netip.ParseAddrPort(seed); err != nil || addr.Port() == 0 {
			return invalid(fmt.Sprintf("fleet.seeds[%d]", i), fmt.Sprintf("is %q", seed),
				"expected an IP address and a port, such as 10.0.0.4:7946")
		}
	}
	return nil
}

// validateLocality checks that region, zone and site are either all set or all empty, and checks their lengths.
func validateLocality(f *config.Fleet) error {
	locality := []textSetting{{"region", f.Region}, {"zone", f.Zone}, {"site", f.Site}}
	isSet := false
	for _, setting := range locality {
		if len(setting.value) > config.MaxLocalityBytes {
			return invalid("fleet."+setting.name, fmt.Sprintf("has %d bytes", len(setting.value)),
				fmt.Sprintf("at most %d", config.MaxLocalityBytes))
		}
		isSet = isSet || setting.value != ""
	}
	for _, setting := range locality {
		if setting.value == "" && isSet {
			return invalid("fleet."+setting.name, "is missing",
				"name region, zone and site of this gateway, or none of them")
		}
	}
	return nil
}

// validateFleetPaths checks that the paths that are set are absolute, and checks the length of the socket's path.
func validateFleetPaths(f *config.Fleet) error {
	for _, setting := range []textSetting{{"key_file", f.KeyFile}, {"seed_file", f.SeedFile}, {"folder", f.Folder}, {"socket", f.Socket}} {
		if setting.value == "" {
			continue
		}
		isTooLong := setting.name == "socket" && len(setting.value) > maxSocketPathBytes
		if !path.IsAbs(setting.value) || isTooLong {
			return invalid("fleet."+setting.name, fmt.Sprintf("is %q", setting.value),
				"expected an absolute path; that of a socket has at most 100 bytes")
		}
	}
	return nil
}

package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"foldslip/internal/config"
	"foldslip/internal/config/configfile"
	"foldslip/internal/env"
	"foldslip/internal/settings"
)

// Environment variables that name a configuration file or override a value in it.
const (
	envRouterConfig = "ROUTER_CONFIG"
	envRouterName   = "ROUTER_NAME"
	envRouterListen = "ROUTER_LISTEN"
	envSettings     = "FOLDSLIP_SETTINGS"
)

const (
	bytesPerMB = 1 << 20
	// maxLookups limits the number of open lookups. lookupsPerMB lowers that limit in
	// proportion to a small memory limit. An open lookup takes about 20 KB with its
	// connections, goroutine stacks and attempt, not counting the object's bytes.
	maxLookups   = 640
	lookupsPerMB = 8
)

// platformConfig is the content of the platform's configuration file.
type platformConfig struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Seed          string          `json:"seed"` // in hexadecimal
	Limits        platformLimits  `json:"limits"`
	DiscoveryAddr string          `json:"bulletin"`
	KnownEvents   json.RawMessage `json:"known"`    // discovery events up to the start
	Settings      json.RawMessage `json:"settings"` // parsed by package settings
}

// platformLimits are the resource limits of the process. A value of 0 sets no limit.
type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// cores returns the number of processors that the Go runtime may
// use, rounded and at least 1. It returns 0 if no limit is set.
func (c *platformConfig) cores() int {
	if c.Limits.Cores <= 0 {
		return 0
	}
	return max(1, int(c.Limits.Cores+0.5))
}

// memoryLimit returns the memory limit of the process in bytes. It returns 0 if no limit is set.
func (c *platformConfig) memoryLimit() int64 {
	return max(0, int64(c.Limits.MemoryMB*bytesPerMB))
}

// maxLookups returns the maximum number of lookups that are open at once.
func (c *platformConfig) maxLookups() int {
	if c.Limits.MemoryMB <= 0 {
		return maxLookups
	}
	return min(maxLookups, max(1, int(c.Limits.MemoryMB*lookupsPerMB)))
}

// configuration is the complete configuration of a gateway, from its platform and its operators.
type configuration struct {
	platform  *platformConfig
	settings  *settings.Settings
	seed      uint64
	operators *config.Config
}

// ConfigError reports a platform configuration file that cannot be used.
type ConfigError struct {
	Path string // path of the file
	Text string // description of the fault
}

// Error returns the path of the file and the description of the fault.
func (e *ConfigError) Error() string { return e.Path + ": " + e.Text }

// loadConfiguration reads the platform's configuration file and, if one is named,
// the operators' configuration file. Environment variables name both files.
func loadConfiguration(environment env.Environment) (*configuration, error) {
	operators, err := readOperatorsConfig(environment)
	if err != nil {
		return nil, err
	}
	return readPlatformConfig(environment, platformFileOf(environment), operators)
}

// readOperatorsConfig reads the operators' configuration file. Without a file the configuration is empty.
func readOperatorsConfig(environment env.Environment) (*config.Config, error) {
	path := environment.Getenv(envSettings)
	if path == "" {
		return &config.Config{}, nil
	}
	defer environment.ReleaseMemory() // the Jsonnet evaluator used about 2 MB that are no longer needed
	return configfile.Read(path, environment.ReadFile)
}

// platformFile names the platform's configuration file. A name
// or listen that is not empty overrides the value in the file.
type platformFile struct{ path, name, listen string }

func platformFileOf(environment env.Environment) platformFile {
	return platformFile{
		path:   environment.Getenv(envRouterConfig),
		name:   environment.Getenv(envRouterName),
		listen: environment.Getenv(envRouterListen),
	}
}

// readPlatformConfig reads and checks the platform's configuration file.
func readPlatformConfig(environment env.Environment, file platformFile, operators *config.Config) (*configuration, error) {
	text, err := environment.ReadFile(file.path)
	if err != nil {
		return nil, err
	}
	return parsePlatformConfig(file, text, operators)
}

// parsePlatformConfig parses and checks the content of the platform's configuration file. The known
// events may be missing only if the operators configure a stored endpoint list.
func parsePlatformConfig(file platformFile, text []byte, operators *config.Config) (*configuration, error) {
	platform := &platformConfig{}
	if err := json.Unmarshal(text, platform); err != nil {
		return nil, fmt.Errorf("%s: %w", file.path, err)
	}
	if file.name != "" {
		platform.Name = file.name
	}
	if file.listen != "" {
		platform.Listen = file.listen
	}
	if platform.Listen == "" || platform.DiscoveryAddr == "" || len(platform.KnownEvents) == 0 && operators.List == nil {
		return nil, &ConfigError{file.path, "listen, bulletin or known is missing"}
	}
	seed, err := strconv.ParseUint(platform.Seed, 16, 64)
	if err != nil {
		return nil, &ConfigError{file.path, "seed is not hex digits"}
	}
	parsed, err := settings.Parse(platform.Settings)
	if err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file.path, err)
	}
	return &configuration{platform: platform, settings: parsed, seed: seed, operators: operators}, nil
}

// parseDiscoveryAddr returns the address of discovery in the content of the platform's configuration file. It ignores
// everything else in the file.
func parseDiscoveryAddr(file platformFile, text []byte) (addr string, err error) {
	var platform struct {
		DiscoveryAddr string `json:"bulletin"`
	}
	if err := json.Unmarshal(text, &platform); err != nil {
		return "", fmt.Errorf("%s: %w", file.path, err)
	}
	if _, _, err := net.SplitHostPort(platform.DiscoveryAddr); err != nil {
		return "", &ConfigError{file.path, fmt.Sprintf("bulletin: %v, expected host:port", err)}
	}
	return platform.DiscoveryAddr, nil
}

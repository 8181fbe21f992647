package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"

	"foldslip/internal/config"
	"foldslip/internal/config/configfile"
	"foldslip/internal/env"
	"foldslip/internal/settings"
	"foldslip/internal/upstream"
)

// Variables of the environment that the configuration is read by.
const (
	envRouterConfig = "ROUTER_CONFIG"
	envRouterName   = "ROUTER_NAME"
	envRouterListen = "ROUTER_LISTEN"
	envSettings     = "FOLDSLIP_SETTINGS"
)

const (
	bytesPerMB = 1 << 20
	// maxLookups bounds the open lookups, and lookupsPerMB bounds them on little memory: each takes some 20 KB with its connections, stacks
	// and attempt, not counting the object's bytes.
	maxLookups   = 640
	lookupsPerMB = 8
	// bodyMemoryShare is the part of the memory limit that bodies and objects may take.
	bodyMemoryShare = 0.4
	// runtimeMemoryShare is the part of the memory limit that the Go runtime may use.
	runtimeMemoryShare = 0.7
)

// platformConfig is the platform's configuration file.
type platformConfig struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Seed          string          `json:"seed"` // hex digits
	Limits        platformLimits  `json:"limits"`
	DiscoveryAddr string          `json:"bulletin"`
	KnownEvents   json.RawMessage `json:"known"`    // events of the discovery watch up to the start
	Settings      json.RawMessage `json:"settings"` // see package settings
}

// platformLimits are what the process may use; 0: what there is.
type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// cores returns how many processors the runtime may use; 0: as many as there are.
func (c *platformConfig) cores() int {
	if c.Limits.Cores <= 0 {
		return 0
	}
	return max(1, int(c.Limits.Cores+0.5))
}

// runtimeMemory returns how many bytes the runtime may use; 0: no limit.
func (c *platformConfig) runtimeMemory() int64 {
	if c.Limits.MemoryMB <= 0 {
		return 0
	}
	return int64(c.Limits.MemoryMB * runtimeMemoryShare * bytesPerMB)
}

// maxLookups is how many lookups may be open at once.
func (c *platformConfig) maxLookups() int {
	if c.Limits.MemoryMB <= 0 {
		return maxLookups
	}
	return min(maxLookups, max(1, int(c.Limits.MemoryMB*lookupsPerMB)))
}

// maxBodyBytes is how many bytes of bodies and objects may be held at once.
func (c *platformConfig) maxBodyBytes() int64 {
	if c.Limits.MemoryMB <= 0 {
		return maxLookups * upstream.MaxObjectBytes
	}
	return int64(c.Limits.MemoryMB * bodyMemoryShare * bytesPerMB)
}

// configuration is all that a gateway is configured by.
type configuration struct {
	platform  *platformConfig
	settings  *settings.Settings
	seed      uint64
	operators *config.Config
}

// ConfigError reports a platform's configuration that cannot be used.
type ConfigError struct {
	Path string // of the file
	Text string // what is wrong
}

// Error says which file it is and what is wrong.
func (e *ConfigError) Error() string { return e.Path + ": " + e.Text }

// loadConfiguration reads the configuration that the variables of the environment name.
func loadConfiguration(environment env.Environment) (*configuration, error) {
	operators := &config.Config{}
	if path := environment.Getenv(envSettings); path != "" {
		var err error
		if operators, err = configfile.Read(path, environment.ReadFile); err != nil {
			return nil, err
		}
		environment.ReleaseMemory() // the evaluator takes some 2 MB that nothing needs any more
	}
	return readPlatformConfig(environment, platformFile{
		path:   environment.Getenv(envRouterConfig),
		name:   environment.Getenv(envRouterName),
		listen: environment.Getenv(envRouterListen),
	}, operators)
}

// platformFile names the platform's configuration file, and what goes before what stands in it; "": nothing.
type platformFile struct{ path, name, listen string }

// readPlatformConfig reads the platform's configuration file. The known events may be missing only where the operators have a list stored.
func readPlatformConfig(environment env.Environment, file platformFile, operators *config.Config) (*configuration, error) {
	text, err := environment.ReadFile(file.path)
	if err != nil {
		return nil, err
	}
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

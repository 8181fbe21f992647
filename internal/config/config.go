// Package config defines the types of the operators' configuration. It covers the functions of this program that the
// platform's settings do not cover. Package configfile reads and validates the configuration file. A function whose
// section is absent is off, as on the platform. The JSON names are the names in the operators' file.
package config

import "time"

// Config is the complete configuration. Package configfile replaces absent values with their defaults.
type Config struct {
	List              *EndpointStore     `json:"list,omitempty"`
	ExternalProcessor *ExternalProcessor `json:"external_processor,omitempty"`
	Routing           *Routing           `json:"routing,omitempty"`
	Fleet             *Fleet             `json:"fleet,omitempty"`
}

// EndpointStore configures the storage of the endpoint list on disk.
type EndpointStore struct {
	Folder          string  `json:"folder"`            // must not be shared with another gateway
	MaxBytes        int64   `json:"bytes"`             // bound on each of the two generations on disk
	WritesPerSecond float64 `json:"writes_per_second"` // bound on writes, each of which is synced
}

// Error describes a problem in a configuration file and its remedy.
type Error struct {
	File   string `json:"file"`
	Path   string `json:"path,omitempty"` // path of the setting, such as list.bytes; empty for the file itself
	Text   string `json:"text"`
	Remedy string `json:"remedy,omitempty"`
}

// Error returns the fields that are set, in one line.
func (e Error) Error() string {
	s := e.File
	if e.Path != "" {
		s += ": " + e.Path
	}
	s += ": " + e.Text
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Package config is the operators' own configuration as types: what this program does that the platform's settings say nothing of. Package
// configfile reads and checks it. Everything that is absent is off, as on the platform. The JSON names are those of the operators' file.
package config

import "time"

// Config is the complete configuration. Values that are absent have their defaults once configfile has read it.
type Config struct {
	List              *EndpointStore     `json:"list,omitempty"`
	ExternalProcessor *ExternalProcessor `json:"external_processor,omitempty"`
	Routing           *Routing           `json:"routing,omitempty"`
	Fleet             *Fleet             `json:"fleet,omitempty"`
}

// EndpointStore is where the endpoint list is stored on disk.
type EndpointStore struct {
	Folder          string  `json:"folder"`            // of this gateway alone
	MaxBytes        int64   `json:"bytes"`             // of each of the two generations on disk
	WritesPerSecond float64 `json:"writes_per_second"` // synced
}

// Error is what is wrong with a file: where, what, and what to do.
type Error struct {
	File   string `json:"file"`
	Path   string `json:"path,omitempty"` // of the setting, as list.bytes; "": the file itself
	Text   string `json:"text"`
	Remedy string `json:"remedy,omitempty"`
}

// Error joins what is set, in one line.
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

// Milliseconds returns a setting in milliseconds as a duration.
func Milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

package config

// ExternalProcessor configures the entry point for other proxies. Times are in milliseconds.
type ExternalProcessor struct {
	Listen               string       `json:"listen"`            // address and port, or unix:/path
	Trace                *Trace       `json:"trace,omitempty"`   // absent: lookups are not traced
	TLS                  *TLS         `json:"tls,omitempty"`     // absent: only callers on this machine can connect
	StreamsPerConnection int64        `json:"streams"`           // concurrent streams of a connection
	StreamsPerCaller     int64        `json:"streams_a_caller"`  // concurrent streams of a caller on all its connections
	MessagesPerSecond    float64      `json:"messages_a_second"` // rate limit of a caller; 0: no limit
	BytesPerSecond       float64      `json:"bytes_a_second"`    // rate limit of a caller's messages; 0: no limit
	SilenceTimeoutMS     int64        `json:"silent_ms"`         // a stream that receives nothing for this time ends
	Weight               float64      `json:"weight"`            // of a caller's admission quota; direct clients have 1
	Lookups              int64        `json:"lookups"`           // concurrently open lookups
	LookupsPerCaller     int64        `json:"lookups_a_caller"`  // concurrently open lookups of a caller
	ReturnTimeoutMS      int64        `json:"again_within_ms"`   // time for a caller to request a lookup after "ask again"
	RememberMS           int64        `json:"remember_ms"`       // time for which the id of an ended lookup is remembered
	Table                []LookupRule `json:"table"`             // rules that recognize lookups among requests
}

// Trace configures the export of spans of lookups.
type Trace struct {
	Endpoint    string  `json:"endpoint"` // address and port of an OTLP collector (gRPC) on this machine
	SampleRatio float64 `json:"share"`    // fraction of traced lookups among those without a trace context from the caller
}

// TLS names the PEM files of the entry point: its certificate, its key and the CA of the callers' certificates.
type TLS struct {
	Cert     string `json:"cert"`
	Key      string `json:"key"`
	ClientCA string `json:"client_ca,omitempty"` // empty: callers are distinguished by address only
}

// LookupRule recognizes lookups among the requests of a proxy by a path template. It names the source of each field of a
// lookup, which is one of:
//
//   - "header:NAME", a request header
//   - "path:NAME", the value of {NAME} in the path template
//   - "attr:NAME", an attribute that the proxy reports
//   - "meta:SPACE/NAME", a string in the proxy's dynamic metadata
//   - any other text, which is a fixed value
//
// Package route compiles rules.
type LookupRule struct {
	Path    string `json:"path"`
	Kind    string `json:"kind"`
	Object  string `json:"object"`
	Part    string `json:"part,omitempty"`
	Group   string `json:"group,omitempty"`
	KB      string `json:"kb,omitempty"`
	ID      string `json:"id"`
	AllowMS string `json:"allow_ms,omitempty"`
	Tag     string `json:"tag,omitempty"`
}

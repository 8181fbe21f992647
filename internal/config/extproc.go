package config

// ExternalProcessor is the entry point for other proxies.
type ExternalProcessor struct {
	Listen               string       `json:"listen"`            // address and port, or unix:/path
	Trace                *Trace       `json:"trace,omitempty"`   // none: no lookup is traced
	TLS                  *TLS         `json:"tls,omitempty"`     // none: on this machine only
	StreamsPerConnection int64        `json:"streams"`           // open at once
	StreamsPerCaller     int64        `json:"streams_a_caller"`  // open at once, on all its connections
	MessagesPerSecond    float64      `json:"messages_a_second"` // of one caller; 0: any number
	BytesPerSecond       float64      `json:"bytes_a_second"`    // of one caller's messages; 0: any number
	SilenceTimeoutMS     int64        `json:"silent_ms"`         // a stream on which nothing comes for so long ends
	Weight               float64      `json:"weight"`            // of a caller's quota of admission; direct clients have 1
	Lookups              int64        `json:"lookups"`           // open at once
	LookupsPerCaller     int64        `json:"lookups_a_caller"`  // open at once, of one caller
	ReturnTimeoutMS      int64        `json:"again_within_ms"`   // within which a caller that is answered "ask again" requests its lookup again
	RememberMS           int64        `json:"remember_ms"`       // the id of a lookup that ended is known for so long
	Table                []LookupRule `json:"table"`             // what makes a lookup
}

// Trace is where spans of lookups go, and how many.
type Trace struct {
	Endpoint    string  `json:"endpoint"` // of an OTLP collector on gRPC, on this machine
	SampleRatio float64 `json:"share"`    // of lookups whose callers bring no trace context
}

// TLS is the entry point's certificate and key, and whose certificates callers must show. Files are in PEM.
type TLS struct {
	Cert     string `json:"cert"`
	Key      string `json:"key"`
	ClientCA string `json:"client_ca,omitempty"` // none: callers are distinguished by address only
}

// LookupRule says which requests of a proxy are lookups, by a path template, and where a lookup's fields come from: "header:NAME",
// "path:NAME" for a {NAME} of the template, "attr:NAME" for an attribute that the proxy reports, "meta:SPACE/NAME" for a string in its dynamic
// metadata, or a fixed value. Package route compiles rules.
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

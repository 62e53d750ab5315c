package fleet

// This file defines the operator's configuration.

import "encoding/json"

// Config is the operator's configuration.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty"`
}

// Route is a route of a Config.
type Route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	ObjectiveMs     int    `json:"objectiveMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
	Public          bool   `json:"public"`
	SessionAffinity bool   `json:"sessionAffinity"`
	ResumeStreams   bool   `json:"resumeStreams"`
	GapObjectiveMs  int    `json:"gapObjectiveMs,omitempty"`
}

// Service is a service of a Config.
type Service struct {
	Name            string  `json:"name"`
	HealthPath      string  `json:"healthPath"`
	ConnectionLimit int     `json:"connectionLimit"`
	Protocol        string  `json:"protocol"`
	TLS             bool    `json:"tls"`
	Engine          *Engine `json:"engine,omitempty"`
}

// Engine describes the model engines of a Service.
type Engine struct {
	Slots    int              `json:"slots"`
	KvTokens int              `json:"kvTokens"`
	KvBytes  int              `json:"kvBytes"`
	LinkMbps float64          `json:"linkMbps"`
	Moves    bool             `json:"moves"`
	Backups  bool             `json:"backups"`
	Stride   int              `json:"stride"`
	Most     int              `json:"most"`
	PinMs    float64          `json:"pinMs"`
	HoldMs   float64          `json:"holdMs"`
	HandleS  float64          `json:"handleS"`
	Models   []map[string]any `json:"models"`
}

// Limits bounds what a client may send.
type Limits struct {
	HeaderBytes int `json:"headerBytes"`
	BodyBytes   int `json:"bodyBytes"`
	HeaderMs    int `json:"headerMs"`
	IdleMs      int `json:"idleMs"`
}

// Tenant is a tenant with its keys.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"keys"`
	Priority int      `json:"priority"`
}

// Host is the host name of all routes.
const Host = "ficu95.example"

// Standard returns a configuration like that of the small deployments: a service of model
// engines and a plain one, with a route for each kind of request.
func Standard(version uint64) Config {
	return Config{
		Version: version,
		Routes: []Route{
			{Name: "r-stream", Host: Host, PathPrefix: "/chat/", Kind: "stream", TimeoutMs: 12000, ObjectiveMs: 1200, Priority: 1, Service: "assist", Attempts: 2, SessionAffinity: true, ResumeStreams: true, GapObjectiveMs: 400},
			{Name: "r-book", Host: Host, PathPrefix: "/book/", Kind: "unsafe", TimeoutMs: 1500, ObjectiveMs: 100, Priority: 2, Service: "dispatch", Attempts: 1},
			{Name: "r-status", Host: Host, PathPrefix: "/status/", Kind: "safe", TimeoutMs: 1500, ObjectiveMs: 100, Priority: 2, Service: "dispatch", Attempts: 2},
		},
		Services: []Service{
			{Name: "assist", HealthPath: "/health", ConnectionLimit: 380, Protocol: "h1", Engine: &Engine{Slots: 64, KvTokens: 482985, KvBytes: 35136, LinkMbps: 550000, Stride: 6, Most: 2, PinMs: 4000, HoldMs: 2000, HandleS: 5, Models: []map[string]any{{"name": "m"}}}},
			{Name: "dispatch", HealthPath: "/health", ConnectionLimit: 120, Protocol: "h1"},
		},
		Limits:  Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 3000, IdleMs: 15000},
		Tenants: []Tenant{{Name: "skeena", Keys: []string{"key-one", "key-two"}, Priority: 1}, {Name: "other", Keys: []string{"key-three"}, Priority: 1}},
	}
}

// JSON returns the document.
func (c Config) JSON() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

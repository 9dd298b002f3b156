// Package teams holds what operators declare: for each team a subtree of
// services, models, adapters, versions, replica limits and caller keys. It
// checks a subtree, keeps it in the key-value service, and translates all
// subtrees into the routes and services that a node works with.
package teams

import (
	"almondturn/fleet"
)

// TeamSpec is one team's subtree.
type TeamSpec struct {
	Team fleet.Team `yaml:"team" json:"team" validate:"required,hostname_rfc1123"`
	// OperatorTokens are SHA-256 digests, in hex, of the tokens that may
	// read and change this subtree.
	OperatorTokens []string      `yaml:"operator_tokens,omitempty" json:"operator_tokens" validate:"dive,len=64,hexadecimal"`
	Callers        []CallerSpec  `yaml:"callers,omitempty" json:"callers" validate:"dive"`
	Services       []ServiceSpec `yaml:"services,omitempty" json:"services" validate:"dive"`
}

// CallerSpec lets the holder of an API key call one service.
type CallerSpec struct {
	Name    string        `yaml:"name" json:"name" validate:"required"`
	KeyHash string        `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	Service fleet.Service `yaml:"service" json:"service" validate:"required"`
}

// Class is a priority class of requests; lower numbers go first.
type Class int

// The priority classes.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
)

// ServiceSpec is a service: models behind engines, or a plain service.
type ServiceSpec struct {
	Name  fleet.Service    `yaml:"name" json:"name" validate:"required,hostname_rfc1123"`
	Kind  fleet.TargetKind `yaml:"kind" json:"kind" validate:"oneof=engine plain"`
	Class Class            `yaml:"class" json:"class" validate:"min=0,max=2"`
	// IdleWeight is the price of an idle accelerator second against a second
	// of cold start; 0 keeps models loaded until others need the memory.
	IdleWeight float64 `yaml:"idle_weight" json:"idle_weight" validate:"min=0"`
	// Engine describes the targets of a service of models; nil for a plain one.
	Engine *EngineSpec `yaml:"engine,omitempty" json:"engine,omitempty" validate:"omitempty"`
	Models []ModelSpec `yaml:"models,omitempty" json:"models" validate:"dive"`
	// Calls are the rules of a plain service, the first match decides;
	// a call that matches none is not idempotent.
	Calls []CallRule `yaml:"calls,omitempty" json:"calls" validate:"dive"`
}

// EngineSpec describes the targets of a service of models, which are alike.
type EngineSpec struct {
	// Requests is the number of requests that a target runs at once.
	Requests int `yaml:"requests" json:"requests" validate:"min=1,max=100000"`
	// MemoryBytes is a target's memory for weights and adapters.
	MemoryBytes int64 `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	// CacheTokens is the number of tokens that a target keeps in memory.
	CacheTokens int `yaml:"cache_tokens" json:"cache_tokens" validate:"min=1"`
	// Adapters is the number of adapters that a target holds.
	Adapters int `yaml:"adapters" json:"adapters" validate:"min=0"`
	// LoadsPerSecond is the rate of loads that the weight store allows to all
	// targets together.
	LoadsPerSecond float64 `yaml:"loads_per_second" json:"loads_per_second" validate:"gt=0"`
	// StoreSeconds, DiskSeconds and MemorySeconds are how long a load takes
	// from the weight store, from a target's disk and from its memory.
	StoreSeconds  float64 `yaml:"store_seconds" json:"store_seconds" validate:"gt=0"`
	DiskSeconds   float64 `yaml:"disk_seconds" json:"disk_seconds" validate:"gt=0"`
	MemorySeconds float64 `yaml:"memory_seconds" json:"memory_seconds" validate:"gt=0"`
}

// CallRule tells which calls of a plain service may be repeated.
type CallRule struct {
	Method     string `yaml:"method" json:"method" validate:"required"`
	PathPrefix string `yaml:"path_prefix" json:"path_prefix" validate:"required,startswith=/"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent" `
}

// ModelSpec is one version of a model that a service may use.
type ModelSpec struct {
	Name        string `yaml:"name" json:"name" validate:"required"`
	Version     string `yaml:"version,omitempty" json:"version" `
	MemoryBytes int64  `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	// MaxReplicas is the most replicas that may be loaded at once, over
	// all zones.
	MaxReplicas int           `yaml:"max_replicas" json:"max_replicas" validate:"min=0,max=10000"`
	Adapters    []AdapterSpec `yaml:"adapters,omitempty" json:"adapters" validate:"dive"`
}

// AdapterSpec is an adapter of a model version.
type AdapterSpec struct {
	Name        string `yaml:"name" json:"name" validate:"required"`
	MemoryBytes int64  `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	MaxReplicas int    `yaml:"max_replicas" json:"max_replicas" validate:"min=0,max=10000"`
}

// Package teams holds the settings that operators declare. They form a tree: the teams,
// below each team its callers and services, below a service its models, and below a
// model its adapters. The settings of one team are its subtree. The package validates
// a subtree, stores it in the key-value service, and translates all subtrees into the
// services and routes that a node uses.
package teams

import (
	"almondturn/fleet"
)

// TeamSpec is one team's subtree: all settings of the team.
type TeamSpec struct {
	Team fleet.Team `yaml:"team" json:"team" validate:"required,hostname_rfc1123"`
	// OperatorTokens are the SHA-256 digests, in hex, of the tokens that may read and
	// change this subtree.
	OperatorTokens []string      `yaml:"operator_tokens,omitempty" json:"operator_tokens" validate:"dive,len=64,hexadecimal"`
	Callers        []CallerSpec  `yaml:"callers,omitempty" json:"callers" validate:"dive"`
	Services       []ServiceSpec `yaml:"services,omitempty" json:"services" validate:"dive"`
}

// CallerSpec allows requests with an API key to use one service.
type CallerSpec struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// KeyDigest is the SHA-256 digest of the API key, in lower-case hex.
	KeyDigest string        `yaml:"key_sha256" json:"key_sha256" validate:"len=64,hexadecimal"`
	Service   fleet.Service `yaml:"service" json:"service" validate:"required"`
}

// Class is a priority class of requests; a lower number is more urgent.
type Class int

// The priority classes, in order of urgency.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
)

// ServiceSpec describes a service, which is either of kind engine, with models that
// targets load, or of kind plain, without models.
type ServiceSpec struct {
	Name  fleet.Service    `yaml:"name" json:"name" validate:"required,hostname_rfc1123"`
	Kind  fleet.TargetKind `yaml:"kind" json:"kind" validate:"oneof=engine plain"`
	Class Class            `yaml:"class" json:"class" validate:"min=0,max=2"`
	// IdleWeight is the cost of a second of idle accelerator time, relative to a
	// second of cold start. With 0, models stay loaded until others need the memory.
	IdleWeight float64 `yaml:"idle_weight" json:"idle_weight" validate:"min=0"`
	// Engine describes the targets of an engine service; nil for a plain one.
	Engine *EngineSpec `yaml:"engine,omitempty" json:"engine,omitempty" validate:"omitempty"`
	Models []ModelSpec `yaml:"models,omitempty" json:"models" validate:"dive"`
	// Calls are the rules of a plain service that say which calls are idempotent. The
	// first rule that matches applies; a call that matches none is not idempotent.
	Calls []CallRule `yaml:"calls,omitempty" json:"calls" validate:"dive"`
}

// EngineSpec describes the targets of an engine service, which are all alike.
type EngineSpec struct {
	// MaxRequests is the maximum number of requests that a target runs concurrently,
	// called Slots in route.Engine.
	MaxRequests int `yaml:"requests" json:"requests" validate:"min=1,max=100000"`
	// MemoryBytes is the memory of a target for weights and adapters, in bytes.
	MemoryBytes int64 `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	// CacheTokens is the number of tokens that the cache of a target holds.
	CacheTokens int `yaml:"cache_tokens" json:"cache_tokens" validate:"min=1"`
	// MaxAdapters is the maximum number of adapters that a target can have loaded,
	// called AdapterSlots in route.Engine.
	MaxAdapters int `yaml:"adapters" json:"adapters" validate:"min=0"`
	// LoadsPerSecond is the maximum rate at which all targets together may load from
	// the weight store.
	LoadsPerSecond float64 `yaml:"loads_per_second" json:"loads_per_second" validate:"gt=0"`
	// StoreSeconds, DiskSeconds and MemorySeconds are the durations of a load from the
	// weight store, from the target's disk and from the target's memory, in seconds.
	StoreSeconds  float64 `yaml:"store_seconds" json:"store_seconds" validate:"gt=0"`
	DiskSeconds   float64 `yaml:"disk_seconds" json:"disk_seconds" validate:"gt=0"`
	MemorySeconds float64 `yaml:"memory_seconds" json:"memory_seconds" validate:"gt=0"`
}

// CallRule says whether the calls of a plain service that it matches are idempotent,
// which allows them to be repeated.
type CallRule struct {
	// Method is an HTTP method, or "*" for all.
	Method     string `yaml:"method" json:"method" validate:"required"`
	PathPrefix string `yaml:"path_prefix" json:"path_prefix" validate:"required,startswith=/"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent" `
}

// ModelSpec describes one version of a model that a service may use.
type ModelSpec struct {
	Name string `yaml:"name" json:"name" validate:"required"`
	// Version is empty for a model without versions.
	Version string `yaml:"version,omitempty" json:"version" `
	// MemoryBytes is the memory of the weights, in bytes.
	MemoryBytes int64 `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	// MaxReplicas is the maximum number of replicas that may be loaded at the same
	// time in all availability zones together.
	MaxReplicas int           `yaml:"max_replicas" json:"max_replicas" validate:"min=0,max=10000"`
	Adapters    []AdapterSpec `yaml:"adapters,omitempty" json:"adapters" validate:"dive"`
}

// AdapterSpec describes an adapter of a model version. MemoryBytes and MaxReplicas
// are as in ModelSpec.
type AdapterSpec struct {
	Name        string `yaml:"name" json:"name" validate:"required"`
	MemoryBytes int64  `yaml:"memory_bytes" json:"memory_bytes" validate:"gt=0"`
	MaxReplicas int    `yaml:"max_replicas" json:"max_replicas" validate:"min=0,max=10000"`
}

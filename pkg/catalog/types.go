// Package catalog holds what operators declare: for each team a subtree of
// services, models, adapters, versions, replica limits and caller keys.
package catalog

import (
	"almondturn/fleet"
)

// TeamSpec is one team's subtree.
type TeamSpec struct {
	Team fleet.Team `yaml:"team" json:"team" cbor:"1,keyasint" validate:"required,hostname_rfc1123"`
	// OperatorTokens are SHA-256 digests, in hex, of the tokens that may
	// read and change this subtree.
	OperatorTokens []string      `yaml:"operator_tokens,omitempty" json:"operator_tokens" cbor:"2,keyasint" validate:"dive,len=64,hexadecimal"`
	Callers        []CallerSpec  `yaml:"callers,omitempty" json:"callers" cbor:"3,keyasint" validate:"dive"`
	Services       []ServiceSpec `yaml:"services,omitempty" json:"services" cbor:"4,keyasint" validate:"dive"`
}

// CallerSpec lets the holder of an API key call one service.
type CallerSpec struct {
	Name    string        `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required"`
	KeyHash string        `yaml:"key_sha256" json:"key_sha256" cbor:"2,keyasint" validate:"len=64,hexadecimal"`
	Service fleet.Service `yaml:"service" json:"service" cbor:"3,keyasint" validate:"required"`
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
	Name  fleet.Service    `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required,hostname_rfc1123"`
	Kind  fleet.TargetKind `yaml:"kind" json:"kind" cbor:"2,keyasint" validate:"oneof=engine plain"`
	Class Class            `yaml:"class" json:"class" cbor:"3,keyasint" validate:"min=0,max=2"`
	// Share is the service's weight in fair queueing.
	Share int `yaml:"share" json:"share" cbor:"4,keyasint" validate:"min=0,max=1000"`
	// IdleWeight sets the price of an idle accelerator second against a
	// second of cold start at the tail; 0 takes the deployment's setting.
	IdleWeight float64     `yaml:"idle_weight" json:"idle_weight" cbor:"5,keyasint" validate:"min=0"`
	Models     []ModelSpec `yaml:"models,omitempty" json:"models" cbor:"6,keyasint" validate:"dive"`
	// Calls are the rules of a plain service, the first match decides;
	// a call that matches none is not idempotent.
	Calls []CallRule `yaml:"calls,omitempty" json:"calls" cbor:"7,keyasint" validate:"dive"`
}

// CallRule tells which calls of a plain service may be repeated.
type CallRule struct {
	Method     string `yaml:"method" json:"method" cbor:"1,keyasint" validate:"required"`
	PathPrefix string `yaml:"path_prefix" json:"path_prefix" cbor:"2,keyasint" validate:"required,startswith=/"`
	Idempotent bool   `yaml:"idempotent" json:"idempotent" cbor:"3,keyasint"`
}

// ModelSpec is one version of a model that a service may use.
type ModelSpec struct {
	Name        string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required"`
	Version     string `yaml:"version,omitempty" json:"version" cbor:"2,keyasint"`
	MemoryBytes int64  `yaml:"memory_bytes" json:"memory_bytes" cbor:"3,keyasint" validate:"gt=0"`
	// MaxReplicas is the most replicas that may be loaded at once, over
	// all zones.
	MaxReplicas int           `yaml:"max_replicas" json:"max_replicas" cbor:"4,keyasint" validate:"min=0,max=10000"`
	Adapters    []AdapterSpec `yaml:"adapters,omitempty" json:"adapters" cbor:"5,keyasint" validate:"dive"`
}

// AdapterSpec is an adapter of a model version.
type AdapterSpec struct {
	Name        string `yaml:"name" json:"name" cbor:"1,keyasint" validate:"required"`
	MemoryBytes int64  `yaml:"memory_bytes" json:"memory_bytes" cbor:"2,keyasint" validate:"gt=0"`
	MaxReplicas int    `yaml:"max_replicas" json:"max_replicas" cbor:"3,keyasint" validate:"min=0,max=10000"`
}

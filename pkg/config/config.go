// Package config reads the settings of a node from YAML and validates them.
package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"almondturn/fleet"
	"almondturn/pkg/callers"
	"almondturn/pkg/operators"
)

// Config holds the settings of one node. docs/settings.md lists every setting. The
// comment of each field is copied into that page.
type Config struct {
	Node       Node              `yaml:"node"`
	Listen     Listen            `yaml:"listen"`
	TLS        TLS               `yaml:"tls"`
	Store      Store             `yaml:"store"`
	Deployment Deployment        `yaml:"deployment"`
	Callers    callers.Options   `yaml:"callers"`
	Operators  operators.Options `yaml:"operators"`
	Retries    Retries           `yaml:"retries"`
	Hedging    Hedging           `yaml:"hedging"`
	Shutdown   Shutdown          `yaml:"shutdown"`
	Log        Log               `yaml:"log"`
}

// Node identifies the node and its VM.
type Node struct {
	// ID identifies the node. It is unique among all nodes of the deployment and
	// stays the same across restarts.
	ID fleet.NodeID `yaml:"id" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone of the VM.
	Zone fleet.Zone `yaml:"zone" validate:"required,hostname_rfc1123"`
	// Cores is the CPU capacity of the VM, 1 for a whole core; nodes with a smaller
	// capacity wait longer before they try to become the owner of the zone, so that a
	// node with a larger capacity becomes the owner.
	Cores float64 `yaml:"cores" validate:"gt=0"`
	// MemoryMB is the memory that the process may use, in MiB; responses that are not
	// complete, the bodies of requests under way, and incomplete heads may each hold a
	// share of it. With 0 it is the limit of the Go runtime
	// (GOMEMLIMIT), or 512 without one.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=0"`
	// MaxFDs is the number of descriptors that the process may have open. 200, at most half, are for files;
	// callers' connections may have 45 in 100 of the others, and at that bound a new one
	// replaces one that stands still or is idle. With 0 they are not bounded.
	MaxFDs int `yaml:"max_fds" validate:"min=0"`
	// ClientConnsPerAddress is the largest number of callers' connections from one address.
	// With 0 it is that of all callers' connections, which may come from one forwarder.
	ClientConnsPerAddress int `yaml:"client_conns_per_address" validate:"min=0"`
	// Secret authenticates nodes to each other; it is the same on all nodes.
	Secret string `yaml:"secret" validate:"omitempty,min=16"`
	// SecretFile is the file that holds the secret; it is read if secret is empty.
	SecretFile string `yaml:"secret_file" validate:"omitempty,filepath"`
}

// Listen holds the address of each listener, as host:port.
type Listen struct {
	// Callers is the address of the listener for callers.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Operators is the address of the listener for operators, which also serves
	// the metrics.
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	// Inner is the address of the listener for other nodes.
	Inner string `yaml:"inner" validate:"required,hostname_port"`
	// Advertise is the address that other nodes dial for the inner listener; the
	// default is listen.inner.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port"`
}

// TLS holds the certificates of the listeners. A listener without a pair serves
// plain text.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Operators KeyPair `yaml:"operators"`
	// Inner is the pair that nodes present to each other, as servers and as
	// clients.
	Inner KeyPair `yaml:"inner"`
	// InnerCA is the PEM file of the certificate authority that signs the nodes'
	// certificates; it is required with tls.inner and invalid without.
	InnerCA string `yaml:"inner_ca" validate:"omitempty,filepath"`
}

// KeyPair names the PEM files of a certificate and its key.
type KeyPair struct {
	// Cert is the PEM file of the certificate chain.
	Cert string `yaml:"cert" validate:"required_with=Key,omitempty,filepath"`
	// Key is the PEM file of the private key.
	Key string `yaml:"key" validate:"required_with=Cert,omitempty,filepath"`
}

// Store holds the settings of the platform's key-value service, not of the weight
// store that targets load models from.
type Store struct {
	// Address is the host:port of the key-value service.
	Address string `yaml:"address" validate:"required,hostname_port"`
	// MinLease is the shortest lease that the service grants.
	MinLease time.Duration `yaml:"min_lease" validate:"min=10ms,max=1m"`
}

// Deployment holds the settings that all nodes of a deployment have in common.
type Deployment struct {
	// Zones are all availability zones of the deployment that have targets. The
	// replica limits are divided over them, so all nodes must have the same list.
	Zones []fleet.Zone `yaml:"zones" validate:"min=1,unique,dive,hostname_rfc1123"`
	// Seeds are inner addresses of some nodes, dialed by a node that can't reach
	// the key-value service; some of them may be outdated.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// OrderPause is the handover delay: the minimum time between the last order of a
	// former owner of a zone and the first order of the next owner to the same
	// target.
	OrderPause time.Duration `yaml:"order_pause" validate:"min=0,max=1m"`
	// DrainTime is the time within which nodes stop sending requests to a target
	// that has announced its shutdown.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=100ms,max=5m"`
}

// Retries bounds the retries of requests to a service. Each node counts its own
// requests and retries.
type Retries struct {
	// Ratio is the share of a node's requests in a window that the node may retry.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
	// Slack is the number of retries in a window that are allowed beyond that share,
	// divided over all nodes.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Window is the time over which requests and retries are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=5m"`
}

// Hedging bounds the requests that are sent to a second target because the first one is slow.
type Hedging struct {
	// Ratio is the number of such repetitions per request that may be repeated; 0 turns them off. They count as retries, too.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
}

// Shutdown holds the settings of a graceful shutdown.
type Shutdown struct {
	// Time is the longest duration of a graceful shutdown; requests that have not
	// ended by then are refused or aborted.
	Time time.Duration `yaml:"time" validate:"min=1s,max=10m"`
}

// Log holds the settings of the log on standard output.
type Log struct {
	// Level is the lowest level of the lines that are written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Default returns the defaults. A setting without a default has its zero value.
func Default() Config {
	return Config{
		Node:       Node{Cores: 1},
		Store:      Store{MinLease: 500 * time.Millisecond},
		Deployment: Deployment{OrderPause: 3 * time.Second, DrainTime: 3 * time.Second},
		Callers:    callers.DefaultOptions(),
		Operators:  operators.DefaultOptions(),
		Retries:    Retries{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Shutdown:   Shutdown{Time: 15 * time.Second},
		Log:        Log{Level: "info"},
	}
}

// Load reads the settings in a file, applies the defaults and validates the
// result. An error names the file and, where known, the line and the field.
func Load(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	defer f.Close()
	c, err := Read(f)
	if err != nil {
		return nil, fmt.Errorf("settings file %s: %w", path, err)
	}
	return c, nil
}

// Read reads settings from r, applies the defaults and validates the result. It
// also reads the file node.secret_file. An error names the line and the field where
// they are known.
func Read(r io.Reader) (*Config, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	c := Default()
	if err := yaml.UnmarshalWithOptions(text, &c, yaml.Strict()); err != nil {
		return nil, formatYAMLError(err)
	}
	if err := c.readSecret(); err != nil {
		return nil, err
	}
	if err := newValidator().Struct(&c); err != nil {
		return nil, formatFieldErrors(text, err)
	}
	return &c, c.validateCombinations()
}

// readSecret sets the nodes' secret from node.secret_file, unless node.secret is
// set or no file is given.
func (c *Config) readSecret() error {
	if c.Node.Secret != "" || c.Node.SecretFile == "" {
		return nil
	}
	text, err := os.ReadFile(c.Node.SecretFile)
	if err != nil {
		return fmt.Errorf("node.secret_file: %w", err)
	}
	c.Node.Secret = strings.TrimSpace(string(text))
	return nil
}

// validateCombinations checks the rules that involve several fields and that no
// validate tag expresses. Its errors name no line.
func (c *Config) validateCombinations() error {
	if !slices.Contains(c.Deployment.Zones, c.Node.Zone) {
		return fmt.Errorf("node.zone %q is not in deployment.zones %v", c.Node.Zone, c.Deployment.Zones)
	}
	if (c.TLS.InnerCA == "") != (c.TLS.Inner.Cert == "") {
		return errors.New("tls.inner and tls.inner_ca must be given together")
	}
	return nil
}

// newValidator returns a validator whose errors name fields as in YAML.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

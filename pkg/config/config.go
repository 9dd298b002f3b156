// Package config reads a node's settings from YAML and checks them.
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

// Config are the settings of one node. docs/settings.md lists every option.
type Config struct {
	Node       Node              `yaml:"node"`
	Listen     Listen            `yaml:"listen"`
	TLS        TLS               `yaml:"tls"`
	Store      Store             `yaml:"store"`
	Deployment Deployment        `yaml:"deployment"`
	Callers    callers.Options   `yaml:"callers"`
	Operators  operators.Options `yaml:"operators"`
	Retries    Retries           `yaml:"retries"`
	Shutdown   Shutdown          `yaml:"shutdown"`
	Log        Log               `yaml:"log"`
}

// Node tells the process who and where it is.
type Node struct {
	// ID is unique per entry VM and stays the same across restarts.
	ID fleet.NodeID `yaml:"id" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone of the VM.
	Zone fleet.Zone `yaml:"zone" validate:"required,hostname_rfc1123"`
	// Cores is the processor share of the VM, 1 for a whole core; weaker nodes
	// leave the zone to stronger ones.
	Cores float64 `yaml:"cores" validate:"gt=0"`
	// Secret authenticates nodes to each other; all nodes have the same.
	Secret string `yaml:"secret" validate:"omitempty,min=16"`
	// SecretFile is read for the secret, when that is not given.
	SecretFile string `yaml:"secret_file" validate:"omitempty,filepath"`
}

// Listen holds the host:port of each listener.
type Listen struct {
	// Callers is the address of the callers' listener.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Operators is the address of the operators' listener and of the metrics.
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	// Inner is the address of the listener for other nodes.
	Inner string `yaml:"inner" validate:"required,hostname_port"`
	// Advertise is the inner address that other nodes dial; empty takes Inner.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port"`
}

// TLS holds the certificates of the listeners; an empty pair serves plain text.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Operators KeyPair `yaml:"operators"`
	// Inner is what nodes show each other.
	Inner KeyPair `yaml:"inner"`
	// InnerCA is the PEM file of the authority that signs the nodes'
	// certificates; it must be given with tls.inner.
	InnerCA string `yaml:"inner_ca" validate:"omitempty,filepath"`
}

// KeyPair names the PEM files of a certificate and its key.
type KeyPair struct {
	// Cert is the file of the certificate chain, in PEM.
	Cert string `yaml:"cert" validate:"required_with=Key,omitempty,filepath"`
	// Key is the file of the private key, in PEM.
	Key string `yaml:"key" validate:"required_with=Cert,omitempty,filepath"`
}

// Store tells where the platform's key-value service is.
type Store struct {
	// Address is the host:port of the key-value service.
	Address string `yaml:"address" validate:"required,hostname_port"`
	// MinLease is the shortest lease that the service grants.
	MinLease time.Duration `yaml:"min_lease" validate:"min=10ms,max=1m"`
}

// Deployment holds what is common to all nodes of a deployment.
type Deployment struct {
	// Zones are all availability zones of the deployment that have targets.
	// The limits of replicas are divided over them, so that all nodes must
	// have the same list.
	Zones []fleet.Zone `yaml:"zones" validate:"min=1,unique,dive,hostname_rfc1123"`
	// Seeds are inner addresses of some nodes, for a node that does not reach
	// the key-value service; they may be stale.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// OrderPause is the least time between orders of two nodes to one target.
	OrderPause time.Duration `yaml:"order_pause" validate:"min=0,max=1m"`
	// DrainTime is the time after which a leaving target gets no requests.
	DrainTime time.Duration `yaml:"drain_time" validate:"min=100ms,max=5m"`
}

// Retries bound the repeated sends to a service over all nodes.
type Retries struct {
	// Ratio is the share of the requests of a window that may be repeated.
	Ratio float64 `yaml:"ratio" validate:"min=0,max=1"`
	// Slack is the number of repeated sends in a window beyond that share.
	Slack float64 `yaml:"slack" validate:"min=0"`
	// Window is the time over which both are counted.
	Window time.Duration `yaml:"window" validate:"min=1s,max=5m"`
}

// Shutdown are the settings of a graceful shutdown.
type Shutdown struct {
	// Time bounds a graceful shutdown; requests that have not ended by then
	// are refused or cut off.
	Time time.Duration `yaml:"time" validate:"min=1s,max=10m"`
}

// Log are the settings of the log on standard output.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
}

// Default returns the settings that hold where a file names none.
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

// Load reads, defaults and checks the settings in a file. An error names the
// file, the line and the field.
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

// Read reads, defaults and checks settings.
func Read(r io.Reader) (*Config, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	c := Default()
	if err := yaml.UnmarshalWithOptions(text, &c, yaml.Strict()); err != nil {
		return nil, explainYAML(err)
	}
	if err := c.readSecret(); err != nil {
		return nil, err
	}
	if err := newValidator().Struct(&c); err != nil {
		return nil, explainFields(text, err)
	}
	return &c, c.finish()
}

// readSecret takes the nodes' secret from its file.
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

// finish checks what spans several fields.
func (c *Config) finish() error {
	if !slices.Contains(c.Deployment.Zones, c.Node.Zone) {
		return fmt.Errorf("node.zone %q is none of deployment.zones %v", c.Node.Zone, c.Deployment.Zones)
	}
	if (c.TLS.InnerCA == "") != (c.TLS.Inner.Cert == "") {
		return errors.New("tls.inner and tls.inner_ca must be given together")
	}
	return nil
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

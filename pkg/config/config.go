// Package config reads a node's settings from YAML and checks them.
package config

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"

	"almondturn/fleet"
	"almondturn/pkg/admin"
	"almondturn/pkg/catalog"
	"almondturn/pkg/claim"
	"almondturn/pkg/directory"
	"almondturn/pkg/dispatch"
	"almondturn/pkg/gateway"
	"almondturn/pkg/keepalive"
	"almondturn/pkg/membership"
	"almondturn/pkg/mesh"
	"almondturn/pkg/observer"
	"almondturn/pkg/owner"
	"almondturn/pkg/target"
)

// Config are the settings of one node. docs/settings.md lists every option.
type Config struct {
	Node       Node                 `yaml:"node"`
	Listen     Listen               `yaml:"listen"`
	TLS        TLS                  `yaml:"tls"`
	Platform   Platform             `yaml:"platform"`
	Deployment Deployment           `yaml:"deployment"`
	Admin      admin.Options        `yaml:"admin"`
	Shutdown   Shutdown             `yaml:"shutdown"`
	Log        Log                  `yaml:"log"`
	Gateway    gateway.Options      `yaml:"gateway"`
	Mesh       mesh.Options         `yaml:"mesh"`
	Membership membership.Options   `yaml:"membership"`
	Directory  directory.Options    `yaml:"directory"`
	Observer   observer.Options     `yaml:"observer"`
	Catalog    catalog.Options      `yaml:"catalog"`
	Owner      owner.Options        `yaml:"owner"`
	Orders     target.OrderOptions  `yaml:"orders"`
	Target     target.StreamOptions `yaml:"target"`
	Dispatch   dispatch.Options     `yaml:"dispatch"`
	Claim      claim.Options        `yaml:"claim"`
}

// Node tells the process who and where it is.
type Node struct {
	// ID is unique per entry VM and stays the same across restarts.
	ID fleet.NodeID `yaml:"id" validate:"required,hostname_rfc1123"`
	// Zone is the availability zone of the VM.
	Zone fleet.Zone `yaml:"zone" validate:"required,hostname_rfc1123"`
	// SecretFile is read for mesh.secret, when that is not given.
	SecretFile string `yaml:"secret_file" validate:"omitempty,filepath"`
}

// Listen holds the host:port of each listener.
type Listen struct {
	// Callers is the address of the callers' listener.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// Operators is the address of the operators' listener.
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	// Inner is the address of the listener for other nodes.
	Inner string `yaml:"inner" validate:"required,hostname_port"`
	// Advertise is the inner address that other nodes dial; empty takes Inner.
	Advertise string `yaml:"advertise" validate:"omitempty,hostname_port"`
}

// TLS holds the certificates of the outer listeners; an empty pair serves
// plain text. The inner listener has its own under mesh.tls.
type TLS struct {
	Callers   KeyPair `yaml:"callers"`
	Operators KeyPair `yaml:"operators"`
}

// KeyPair names the PEM files of a certificate and its key.
type KeyPair struct {
	// Cert is the file of the certificate chain, in PEM.
	Cert string `yaml:"cert" validate:"required_with=Key,omitempty,filepath"`
	// Key is the file of the private key, in PEM.
	Key string `yaml:"key" validate:"required_with=Cert,omitempty,filepath"`
}

// Platform tells where the platform's key-value service and VM list are.
type Platform struct {
	// URL is the base address of the key-value service and the VM list.
	URL string `yaml:"url" validate:"required,http_url"`
	// Timeout is the time after which a call is given up.
	Timeout time.Duration `yaml:"timeout" validate:"min=10ms,max=1m"`
	// Dial opens connections; nil takes net.Dialer.
	Dial fleet.DialFunc `yaml:"-"`
}

// Deployment holds what is common to all nodes of a deployment.
type Deployment struct {
	// Name is shown in status and metrics.
	Name string `yaml:"name" validate:"required"`
	// Zones are all availability zones of the deployment.
	Zones []fleet.Zone `yaml:"zones" validate:"min=1,unique,dive,hostname_rfc1123"`
	// StoreLoadsPerSecond is the rate of loads that the weight store allows.
	StoreLoadsPerSecond float64 `yaml:"store_loads_per_second" validate:"gt=0"`
	// StoreFullSpeedLoads is the number of parallel loads at full speed.
	StoreFullSpeedLoads int `yaml:"store_full_speed_loads" validate:"min=1"`
	// AdaptersInTransit is the number of adapter loads at full speed.
	AdaptersInTransit int `yaml:"adapters_in_transit" validate:"min=1"`
	// IdleWeight is the price of an idle accelerator second against a
	// second of cold start; higher unloads sooner.
	IdleWeight float64 `yaml:"idle_weight" validate:"gt=0"`
	// Targets are known without the VM list.
	Targets []fleet.Target `yaml:"targets" validate:"dive"`
}

// Shutdown are the settings of a graceful shutdown.
type Shutdown struct {
	// Notice is how long the node still accepts callers after readiness
	// has gone off, for the balancer to notice.
	Notice time.Duration `yaml:"notice" validate:"min=0,max=5m"`
	// HandOver bounds the hand-over of targets and waiting requests.
	HandOver time.Duration `yaml:"hand_over" validate:"min=100ms,max=5m"`
}

// Log are the settings of the log on standard error.
type Log struct {
	// Level is the lowest level that is written.
	Level string `yaml:"level" validate:"oneof=debug info warn error"`
	// Pretty writes lines for people in place of JSON.
	Pretty bool `yaml:"pretty"`
}

// Default returns the settings that hold where a file names none.
func Default() Config {
	return Config{
		Platform:   Platform{Timeout: 2 * time.Second},
		Deployment: Deployment{StoreLoadsPerSecond: 7, StoreFullSpeedLoads: 4, AdaptersInTransit: 30, IdleWeight: keepalive.DefaultOptions().IdleWeight},
		Shutdown:   Shutdown{Notice: 5 * time.Second, HandOver: 10 * time.Second},
		Log:        Log{Level: "info"},
		Gateway:    gateway.DefaultOptions(),
		Admin:      admin.DefaultOptions(),
		Mesh:       mesh.DefaultOptions(),
		Membership: membership.DefaultOptions(),
		Directory:  directory.DefaultOptions(),
		Observer:   observer.DefaultOptions(),
		Catalog:    catalog.DefaultOptions(),
		Owner:      owner.DefaultOptions(),
		Orders:     target.DefaultOrderOptions(),
		Target:     target.DefaultStreamOptions(),
		Dispatch:   dispatch.DefaultOptions(),
		Claim:      claim.DefaultOptions(),
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

// readSecret takes the mesh's secret from its file.
func (c *Config) readSecret() error {
	if c.Mesh.Secret != "" || c.Node.SecretFile == "" {
		return nil
	}
	text, err := os.ReadFile(c.Node.SecretFile)
	if err != nil {
		return fmt.Errorf("node.secret_file: %w", err)
	}
	c.Mesh.Secret = strings.TrimSpace(string(text))
	return nil
}

// finish checks what spans several fields.
func (c *Config) finish() error {
	found := false
	for _, z := range c.Deployment.Zones {
		found = found || z == c.Node.Zone
	}
	if !found {
		return fmt.Errorf("node.zone %q is none of deployment.zones %v", c.Node.Zone, c.Deployment.Zones)
	}
	if c.Listen.Advertise == "" {
		c.Listen.Advertise = c.Listen.Inner
	}
	return nil
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

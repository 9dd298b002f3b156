package mesh

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"almondturn/fleet"
	"almondturn/wire"
)

// Path is where the inner listener accepts connections of other nodes.
const Path = "/mesh"

// Options are the settings of the mesh.
type Options struct {
	// Connection bounds each connection.
	Connection wire.Options `yaml:"connection"`
	// Secret is shared by all nodes and authenticates them to each other.
	Secret string `yaml:"secret" validate:"min=16"`
	// Peers are host:port addresses of some nodes, to find the others when
	// the key-value service cannot be reached.
	Peers []string `yaml:"peers" validate:"dive,hostname_port"`
	// ProbeAfter is the silence after which a fresh connection is tried
	// beside a silent one. It is shorter than the silence timeout.
	ProbeAfter time.Duration `yaml:"probe_after" validate:"gt=0"`
	// PassiveDelay is how long the node with the higher identifier waits
	// for the other one to dial.
	PassiveDelay time.Duration `yaml:"passive_delay" validate:"gt=0"`
	// RedialMin and RedialMax bound the jittered back-off between dials.
	RedialMin time.Duration `yaml:"redial_min" validate:"gt=0"`
	RedialMax time.Duration `yaml:"redial_max" validate:"gtfield=RedialMin"`
	// ForgetAfter is the time without a connection after which a node that
	// no roster names is not dialled any more.
	ForgetAfter time.Duration `yaml:"forget_after" validate:"gt=0"`
	TLS         TLSOptions    `yaml:"tls"`
	// Dial opens connections; nil takes net.Dialer.
	Dial fleet.DialFunc `yaml:"-"`
}

// TLSOptions name the files for TLS between nodes; empty means plain TCP.
type TLSOptions struct {
	// CertFile and KeyFile are the node's own certificate and key, in PEM.
	CertFile string `yaml:"cert_file" validate:"required_with=KeyFile"`
	KeyFile  string `yaml:"key_file" validate:"required_with=CertFile"`
	// CAFile holds the certificates that peers' certificates must chain to.
	CAFile string `yaml:"ca_file" validate:"required_with=CertFile"`
}

// DefaultOptions returns the settings of a node, without a secret.
func DefaultOptions() Options {
	return Options{
		Connection:   wire.DefaultOptions(),
		ProbeAfter:   2200 * time.Millisecond,
		PassiveDelay: 500 * time.Millisecond,
		RedialMin:    200 * time.Millisecond,
		RedialMax:    5 * time.Second,
		ForgetAfter:  10 * time.Minute,
	}
}

// Enabled tells whether TLS is configured.
func (o TLSOptions) Enabled() bool { return o.CertFile != "" }

// Config returns the TLS configuration for both ends, or nil without TLS.
func (o TLSOptions) Config() (*tls.Config, error) {
	if !o.Enabled() {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(o.CertFile, o.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("load TLS key pair: %w", err)
	}
	ca, err := os.ReadFile(o.CAFile)
	if err != nil {
		return nil, fmt.Errorf("read TLS CA file: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.New("TLS CA file holds no certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{"http/1.1"},
	}, nil
}

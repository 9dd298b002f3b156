package node

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"almondturn/fleet"
	"almondturn/pkg/config"
	"almondturn/platform/standin"
)

// testConfig returns settings of a node whose key-value service doesn't exist.
func testConfig() *config.Config {
	c := config.Default()
	c.Node.ID, c.Node.Zone, c.Node.Secret = "n1", "a", "0123456789abcdef"
	c.Listen = config.Listen{Callers: standin.FreeAddr(), Operators: standin.FreeAddr(), Inner: standin.FreeAddr()}
	c.Store.Address = standin.FreeAddr() // nothing listens there
	c.Deployment.Zones = []fleet.Zone{"a"}
	return &c
}

func TestStartErrorNamesPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := testConfig()
	c.Listen.Operators = l.Addr().String()
	n, err := New(c, Options{Log: io.Discard})
	require.NoError(t, err)
	err = n.Start()
	require.ErrorContains(t, err, "listen.operators")
	require.ErrorContains(t, err, "address already in use")
}

func TestErrorNamesOptionOfMissingCertificate(t *testing.T) {
	for option, setPair := range map[string]func(*config.TLS, config.KeyPair){
		"tls.callers":   func(s *config.TLS, p config.KeyPair) { s.Callers = p },
		"tls.operators": func(s *config.TLS, p config.KeyPair) { s.Operators = p },
		"tls.inner":     func(s *config.TLS, p config.KeyPair) { s.Inner = p },
	} {
		c := testConfig()
		setPair(&c.TLS, config.KeyPair{Cert: "missing.pem", Key: "missing.pem"})
		n, err := New(c, Options{Log: io.Discard})
		if err == nil {
			err = n.Start()
		}
		require.ErrorContains(t, err, option)
	}
}

func TestNodeWithoutKeyValueServiceIsNotReadyAndStops(t *testing.T) {
	n, err := New(testConfig(), Options{Log: io.Discard})
	require.NoError(t, err)
	require.NoError(t, n.Start())
	require.False(t, n.Ready())
	n.Stop()
}

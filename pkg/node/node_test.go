package node

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"almondturn/pkg/config"
)

func settings() *config.Config {
	c := config.Default()
	c.Node.ID, c.Node.Zone = "n1", "a"
	c.Mesh.Secret = "0123456789abcdef"
	c.Listen = config.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Inner: "127.0.0.1:0", Advertise: "127.0.0.1:0"}
	c.Platform.URL = "http://127.0.0.1:1"
	c.Deployment.Name, c.Deployment.Zones = "test", append(c.Deployment.Zones, "a")
	c.Log.Level = "error"
	return &c
}

func TestPortInUseIsNamed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c := settings()
	c.Listen.Operators = l.Addr().String()
	_, err = New(c)
	require.ErrorContains(t, err, "listen.operators")
	require.ErrorContains(t, err, "address already in use")
	c.Listen.Operators = "127.0.0.1:0"
	n, err := New(c)
	require.NoError(t, err, "the other ports were closed again")
	n.listeners.close()
}

func TestMissingCertificateIsNamed(t *testing.T) {
	c := settings()
	c.TLS.Callers = config.KeyPair{Cert: "missing.pem", Key: "missing.pem"}
	_, err := New(c)
	require.ErrorContains(t, err, "tls.callers")
}

func TestNodeWithoutThePlatformIsNotReadyAndStops(t *testing.T) {
	n, err := New(settings())
	require.NoError(t, err)
	require.NoError(t, n.Start(t.Context()))
	require.Error(t, n.Ready())
	require.NoError(t, n.Stop(t.Context()))
}

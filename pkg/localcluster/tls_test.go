package localcluster

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"almondturn/examples"
	"almondturn/fleet"
	"almondturn/pkg/config"
)

// certificate writes a self-signed pair for loopback and returns its files.
func certificate(t *testing.T) (cert, key string, pool *x509.CertPool) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "trial"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	dir := t.TempDir()
	cert, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.NoError(t, os.WriteFile(cert, certPEM, 0o600))
	require.NoError(t, os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool = x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(certPEM))
	return cert, key, pool
}

func TestListenersServeTLS(t *testing.T) {
	cert, key, pool := certificate(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := Start(Options{
		Zones: []fleet.Zone{"hobart", "kingston"}, EnginesPerZone: 1, NodesPerZone: 1,
		Configure: func(c *config.Config) {
			pair := config.KeyPair{Cert: cert, Key: key}
			c.TLS = config.TLS{Callers: pair, Operators: pair, Inner: pair, InnerCA: cert}
			c.Log.Level = "error"
		},
	})
	require.NoError(t, err)
	defer d.Stop()
	files, err := examples.Dev()
	require.NoError(t, err)
	require.NoError(t, d.Apply(ctx, files))
	require.NoError(t, d.AwaitServing(ctx, len(files)), "the nodes reach each other over TLS")

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	n := d.Nodes()[0]
	for _, url := range []string{"https://" + n.CallersAddr() + "/readyz", "https://" + n.OperatorsAddr() + "/admin/v1/status"} {
		resp, err := client.Get(url)
		require.NoError(t, err, url)
		require.NoError(t, resp.Body.Close())
	}
	resp, err := http.Get("http://" + n.CallersAddr() + "/readyz")
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, resp.StatusCode, "plain text is refused")
	require.NoError(t, resp.Body.Close())
	_, err = client.Get("https://" + n.Self().Addr + "/metrics")
	require.ErrorContains(t, err, "certificate required", "a node has to show a certificate")
}

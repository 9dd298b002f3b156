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

// writeCertificate writes a self-signed certificate for loopback and its private key.
// It returns the paths of both files, and a pool that trusts the certificate.
func writeCertificate(t *testing.T) (certFile, keyFile string, pool *x509.CertPool) {
	t.Helper()
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "trial"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	require.NoError(t, os.WriteFile(certFile, certPEM, 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	pool = x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(certPEM))
	return certFile, keyFile, pool
}

// TestListenersWithCertificatesServeOnlyTLS runs two nodes whose listeners all have a
// certificate. They serve TLS, refuse plain text, and nodes verify each other.
func TestListenersWithCertificatesServeOnlyTLS(t *testing.T) {
	certFile, keyFile, pool := writeCertificate(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	c, err := Start(Options{
		Zones: []fleet.Zone{"hobart", "kingston"}, EnginesPerZone: 1, NodesPerZone: 1,
		Configure: func(cfg *config.Config) {
			pair := config.KeyPair{Cert: certFile, Key: keyFile}
			cfg.TLS = config.TLS{Callers: pair, Operators: pair, Inner: pair, InnerCA: certFile}
			cfg.Log.Level = "error"
		},
	})
	require.NoError(t, err)
	defer c.Stop()
	files, err := examples.Dev()
	require.NoError(t, err)
	require.NoError(t, c.Apply(ctx, files))
	require.NoError(t, c.AwaitServing(ctx, len(files)), "the nodes reach each other over TLS")

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
	n := c.Nodes()[0]
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
	require.ErrorContains(t, err, "certificate required", "the inner listener requires a client certificate")
}

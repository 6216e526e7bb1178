package entry_test

import (
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
	"strings"
	"testing"
	"time"

	"github.com/fireflyfold/fireflyfold/localfleet"
	"github.com/fireflyfold/fireflyfold/settings"
)

// certificate writes a certificate for loopback and its key, and returns their
// files and the pool that trusts it.
func certificate(t *testing.T) (settings.TLS, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "entry host"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	files := settings.TLS{Certificate: filepath.Join(dir, "api.pem"), Key: filepath.Join(dir, "api.key")}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", private)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return files, pool
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// tlsClient returns a client that trusts a pool and speaks up to HTTP/2 or not.
func tlsClient(t *testing.T, pool *x509.CertPool, http2 bool) *http.Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: http2}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// The settings give a certificate. Callers who trust it must be answered over
// HTTP/1.1 and HTTP/2. One who does not must learn so before the key is sent,
// and a key that was sent without TLS must not open anything.
func TestCallersOverTLS(t *testing.T) {
	files, pool := certificate(t)
	f := startFleet(t, localfleet.Options{Adjust: func(s *settings.Settings) { s.TLS = files }})
	plain := callerOf(f, team)
	secure := plain
	secure.base = strings.Replace(plain.base, "http://", "https://", 1)
	for _, http2 := range []bool{false, true} {
		secure.client = tlsClient(t, pool, http2)
		secure.untilServed(t)
		if r := secure.do(t, http.MethodPost, "/v1/services/grants/x", "honest"); r.status != http.StatusOK {
			t.Errorf("HTTP/2 %t: status %d: %s", http2, r.status, r.body)
		}
	}
	calls := f.Platform.Audit.Counts().Calls
	secure.client = tlsClient(t, x509.NewCertPool(), false)
	if r, err := secure.try(http.MethodGet, "/v1/services/grants/x", nil); err == nil {
		t.Errorf("a caller who does not trust the certificate got status %d", r.status)
	}
	if r, err := plain.try(http.MethodGet, "/v1/services/grants/x", nil); err == nil && r.status < http.StatusBadRequest {
		t.Errorf("without TLS: status %d", r.status)
	}
	if after := f.Platform.Audit.Counts().Calls; after != calls {
		t.Errorf("%d calls ran for callers who were to be refused", after-calls)
	}
}

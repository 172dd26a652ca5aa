package ctrl_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/ctrl"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// newClient returns a client of a server that answers each request with the next handler, then always with the last,
// and the change IDs that the server receives.
func newClient(t *testing.T, handlers ...http.HandlerFunc) (c *ctrl.Client, ids *[]string) {
	t.Helper()
	ids = &[]string{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*ids = append(*ids, r.Header.Get("Idempotency-Key"))
		handlers[min(len(*ids), len(handlers))-1](w, r)
	}))
	t.Cleanup(s.Close)
	c = &ctrl.Client{Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Key: "k"}
	t.Cleanup(c.Close)
	return c, ids
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func TestChangeIsRetriedUnderOneID(t *testing.T) {
	accepted := respond(http.StatusOK, `{"id":"x","version":7,"changed":true}`)
	unknown := respond(http.StatusGatewayTimeout, `{"error":{"code":"timeout","message":"not known","run":"may_have_run"}}`)
	conflict := respond(http.StatusConflict, `{"error":{"code":"conflict","message":"older","run":"not_run"},"current_version":9,"since":[],"differs":[]}`)
	refused := respond(http.StatusForbidden, `{"error":{"code":"forbidden","message":"scope","run":"not_run"}}`)
	var refusal *ctrl.RefusedError
	tests := []struct {
		name      string
		handlers  []http.HandlerFunc
		wantCalls int
		check     func(r ctrl.Result, err error) bool
	}{
		{"accepted", []http.HandlerFunc{accepted}, 1, func(r ctrl.Result, err error) bool { return err == nil && r.Version == 7 }},
		{"response lost", []http.HandlerFunc{abortConnection, accepted}, 2, func(r ctrl.Result, err error) bool { return err == nil && r.Changed }},
		{"unknown outcome, then accepted", []http.HandlerFunc{unknown, accepted}, 2, func(_ ctrl.Result, err error) bool { return err == nil }},
		{"outcome stays unknown", []http.HandlerFunc{unknown}, 3, func(_ ctrl.Result, err error) bool { return errors.Is(err, ctrl.ErrUnknownOutcome) }},
		{"conflict", []http.HandlerFunc{conflict}, 1, func(_ ctrl.Result, err error) bool { return errors.Is(err, ctrl.ErrConflict) }},
		{"refused", []http.HandlerFunc{refused}, 1, func(_ ctrl.Result, err error) bool {
			return errors.As(err, &refusal) && refusal.Status == http.StatusForbidden
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, ids := newClient(t, tt.handlers...)
			expect := change.Version(6)
			r, err := c.Change(t.Context(), http.MethodPut, "/table", nil, nil, &expect)
			assert.Assert(t, tt.check(r, err), "%v %v", r, err)
			assert.Equal(t, len(*ids), tt.wantCalls)
			for _, id := range *ids {
				assert.Equal(t, id, (*ids)[0])
				assert.Assert(t, id != "")
			}
		})
	}
}

// writeSelfSigned writes a self-signed CA certificate and its key and returns the files.
func writeSelfSigned(t *testing.T, name string) config.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	dir := t.TempDir()
	files := config.TLS{CertFile: filepath.Join(dir, "cert"), KeyFile: filepath.Join(dir, "key"), CAFile: filepath.Join(dir, "cert")}
	assert.NilError(t, os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}), 0o600))
	return files
}

func TestMutualTLS(t *testing.T) {
	files := writeSelfSigned(t, "entry-a")
	source, err := secure.NewCertificateSource(files)
	assert.NilError(t, err)
	s := httptest.NewUnstartedServer(respond(http.StatusOK, "{}"))
	s.TLS = source.Server()
	s.Config.ErrorLog = nil
	s.StartTLS()
	t.Cleanup(s.Close)
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	trusted, err := source.Client()
	assert.NilError(t, err)
	untrustedSource, err := secure.NewCertificateSource(writeSelfSigned(t, "stranger"))
	assert.NilError(t, err)
	untrusted, err := untrustedSource.Client()
	assert.NilError(t, err)
	untrusted.RootCAs = trusted.RootCAs
	noCertificate := trusted.Clone()
	noCertificate.Certificates = nil
	tests := []struct {
		name   string
		client *ctrl.Client
		wantOK bool
	}{
		{"trusted authority", &ctrl.Client{Address: address, TLS: trusted}, true},
		{"no certificate", &ctrl.Client{Address: address, TLS: noCertificate}, false},
		{"untrusted authority", &ctrl.Client{Address: address, TLS: untrusted}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			defer tt.client.Close()
			_, _, err := tt.client.Get(t.Context(), "/table", nil)
			assert.Equal(t, err == nil, tt.wantOK, "%v", err)
		})
	}
}

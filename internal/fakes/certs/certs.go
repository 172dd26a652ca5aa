// Package certs is a fake of the certificate authority that issues the hosts' certificates.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	serialBits = 62
	fileMode   = 0o600
)

// Test is the part of testing.TB that the package uses; each error fails the test.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
	TempDir() string
}

// Authority issues certificates for names on 127.0.0.1.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// NewAuthority returns an authority with a new key and a self-signed certificate that is valid for 24 hours.
func NewAuthority(t Test) *Authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          newSerial(t),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-24 * time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der := sign(t, template, template, key, key)
	certificate, err := x509.ParseCertificate(der)
	failOnError(t, err)
	return &Authority{key: key, certificate: certificate}
}

// Issue writes a certificate for a host name, its key and the authority's certificate to files in a temporary
// directory. The certificate expires after validFor; a negative duration gives an expired one.
func (a *Authority) Issue(t Test, name string, validFor time.Duration) config.TLS {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: newSerial(t),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-12 * time.Hour),
		NotAfter:     time.Now().Add(validFor),
		DNSNames:     []string{name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der := sign(t, template, a.certificate, key, a.key)
	keyDER, err := x509.MarshalECPrivateKey(key)
	failOnError(t, err)
	dir := t.TempDir()
	return config.TLS{
		CertFile: writePEM(t, dir, "cert.pem", "CERTIFICATE", der),
		KeyFile:  writePEM(t, dir, "key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:   writePEM(t, dir, "ca.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func newKey(t Test) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	failOnError(t, err)
	return key
}

func newSerial(t Test) *big.Int {
	t.Helper()
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	failOnError(t, err)
	return n
}

func sign(t Test, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	failOnError(t, err)
	return der
}

func writePEM(t Test, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	failOnError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), fileMode))
	return path
}

func failOnError(t Test, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("certificates: %v", err)
	}
}

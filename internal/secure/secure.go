// Package secure provides mutual TLS whose certificates are read again when their files change.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Sentinel errors of certificates.
var (
	// ErrFiles says that a certificate, key or list of authorities can't be used.
	ErrFiles = errors.New("unusable certificate files")
	// ErrIdentity says that a peer's certificate does not carry the host name that the peer claims.
	ErrIdentity = errors.New("certificate does not carry the claimed host name")
)

// CertificateSource holds a certificate and its authorities and reads them again when a file changes.
type CertificateSource struct {
	// Files names the certificate, the key and the authorities.
	Files config.TLS

	mu       sync.Mutex
	stamps   [3]time.Time
	material material
}

// material is one consistent reading of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// NewCertificateSource reads the files once, so that a fault shows at start.
func NewCertificateSource(files config.TLS) (*CertificateSource, error) {
	s := &CertificateSource{Files: files}
	_, err := s.current()
	return s, err
}

// current returns the newest material; files that can't be read leave the former one in use.
func (s *CertificateSource) current() (material, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.readStamps()
	if err == nil && stamps == s.stamps {
		return s.material, nil
	}
	fresh, readErr := s.read()
	err = errors.CombineErrors(err, readErr)
	if err != nil && s.material.authorities == nil {
		return material{}, err
	}
	if err == nil {
		s.material = fresh
		s.stamps = stamps
	}
	return s.material, nil
}

func (s *CertificateSource) readStamps() ([3]time.Time, error) {
	var stamps [3]time.Time
	for i, name := range []string{s.Files.CertFile, s.Files.KeyFile, s.Files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Mark(errors.Wrap(err, "look at certificate file"), ErrFiles)
		}
		stamps[i] = info.ModTime()
	}
	return stamps, nil
}

func (s *CertificateSource) read() (material, error) {
	certificate, err := tls.LoadX509KeyPair(s.Files.CertFile, s.Files.KeyFile)
	if err != nil {
		return material{}, errors.Mark(errors.Wrap(err, "read certificate"), ErrFiles)
	}
	text, err := os.ReadFile(s.Files.CAFile)
	if err != nil {
		return material{}, errors.Mark(errors.Wrap(err, "read authorities"), ErrFiles)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return material{}, errors.Wrap(ErrFiles, "no authority in the file")
	}
	return material{certificate: certificate, authorities: pool}, nil
}

// Server returns a configuration for listeners that demands a certificate of each client.
func (s *CertificateSource) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := s.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.authorities,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns a configuration for one connection to a server.
func (s *CertificateSource) Client() (*tls.Config, error) {
	m, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
	}, nil
}

// Credentials returns gRPC credentials that use the newest material at each handshake.
func (s *CertificateSource) Credentials() credentials.TransportCredentials {
	return &reloading{TransportCredentials: credentials.NewTLS(s.Server()), source: s}
}

// reloading answers handshakes as its embedded credentials do and opens them with fresh ones.
type reloading struct {
	credentials.TransportCredentials
	source *CertificateSource
}

// ClientHandshake opens TLS to a server with the newest material.
func (r *reloading) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	c, err := r.source.Client()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(c).ClientHandshake(ctx, authority, raw)
}

// Clone returns credentials over the same source.
func (r *reloading) Clone() credentials.TransportCredentials {
	return &reloading{TransportCredentials: r.TransportCredentials.Clone(), source: r.source}
}

// CheckName returns ErrIdentity when a connection is encrypted and its certificate lacks the host name.
func CheckName(info credentials.AuthInfo, host string) error {
	t, ok := info.(credentials.TLSInfo)
	if !ok {
		return nil
	}
	for _, c := range t.State.PeerCertificates[:min(1, len(t.State.PeerCertificates))] {
		if slices.Contains(c.DNSNames, host) {
			return nil
		}
	}
	return errors.Wrapf(ErrIdentity, "host %q", host)
}

// CheckSender checks the sender of a gRPC call by CheckName.
func CheckSender(ctx context.Context, host string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	return CheckName(p.AuthInfo, host)
}

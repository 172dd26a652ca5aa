// Package secure provides mutual TLS with certificates that are reloaded when their files change.
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

// Sentinel errors of this package.
var (
	// ErrFiles is returned when the certificate, the key or the CA file can't be loaded.
	ErrFiles = errors.New("unusable certificate files")
	// ErrIdentity is returned when a peer's certificate does not list the host name that the peer claims.
	ErrIdentity = errors.New("certificate does not carry the claimed host name")
)

// CertificateSource holds a certificate and a pool of CA certificates and reloads them when a file changes.
type CertificateSource struct {
	// Files names the certificate, the key and the CA file.
	Files config.TLS

	mu sync.Mutex
	// modTimes are those of the certificate, the key and the CA file.
	modTimes [3]time.Time
	loaded   certificateSet
}

// certificateSet holds a certificate and the CA pool that were loaded together.
type certificateSet struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// NewCertificateSource loads the files, so that unusable ones are reported at start: it returns ErrFiles for them.
func NewCertificateSource(files config.TLS) (*CertificateSource, error) {
	s := &CertificateSource{Files: files}
	_, err := s.current()
	return s, err
}

// current returns the set in the files. While the files can't be loaded, it returns the last set that could be.
func (s *CertificateSource) current() (certificateSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	modTimes, err := s.readModTimes()
	if err == nil && modTimes == s.modTimes {
		return s.loaded, nil
	}
	fresh, loadErr := s.load()
	err = errors.CombineErrors(err, loadErr)
	if err != nil && s.loaded.caPool == nil {
		return certificateSet{}, err
	}
	if err == nil {
		s.loaded = fresh
		s.modTimes = modTimes
	}
	return s.loaded, nil
}

func (s *CertificateSource) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{s.Files.CertFile, s.Files.KeyFile, s.Files.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, errors.Mark(errors.Wrap(err, "stat certificate file"), ErrFiles)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (s *CertificateSource) load() (certificateSet, error) {
	certificate, err := tls.LoadX509KeyPair(s.Files.CertFile, s.Files.KeyFile)
	if err != nil {
		return certificateSet{}, errors.Mark(errors.Wrap(err, "load certificate and key"), ErrFiles)
	}
	text, err := os.ReadFile(s.Files.CAFile)
	if err != nil {
		return certificateSet{}, errors.Mark(errors.Wrap(err, "read CA file"), ErrFiles)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return certificateSet{}, errors.Wrap(ErrFiles, "no certificate in the CA file")
	}
	return certificateSet{certificate: certificate, caPool: pool}, nil
}

// Server returns a configuration for listeners that requires a client certificate. It reloads changed files by itself.
func (s *CertificateSource) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			set, err := s.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{set.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    set.caPool,
				NextProtos:   []string{"h2", "http/1.1"},
			}, nil
		},
	}
}

// Client returns a configuration for connections to servers. It does not reload: call Client for each connection.
func (s *CertificateSource) Client() (*tls.Config, error) {
	set, err := s.current()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{set.certificate},
		RootCAs:      set.caPool,
	}, nil
}

// Credentials returns gRPC credentials that reload changed files at each handshake.
func (s *CertificateSource) Credentials() credentials.TransportCredentials {
	return &reloadingCredentials{TransportCredentials: credentials.NewTLS(s.Server()), source: s}
}

// reloadingCredentials are TLS credentials that get a new configuration from the source for each client handshake.
// The configuration of the embedded credentials, from Server, reloads by itself.
type reloadingCredentials struct {
	credentials.TransportCredentials
	source *CertificateSource
}

// ClientHandshake does a TLS handshake with a server with the current certificates.
func (r *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	c, err := r.source.Client()
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(c).ClientHandshake(ctx, authority, raw)
}

// Clone returns a copy that shares the source.
func (r *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{TransportCredentials: r.TransportCredentials.Clone(), source: r.source}
}

// CheckName returns ErrIdentity if the peer's certificate does not list the host name. It accepts connections
// without TLS.
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

// CheckSender applies CheckName to the sender of a gRPC call.
func CheckSender(ctx context.Context, host string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	return CheckName(p.AuthInfo, host)
}

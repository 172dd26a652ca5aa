package secure_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"github.com/cockroachdb/errors"

	"github.com/tarragonspur/tarragonspur/internal/fakes/certs"
	"github.com/tarragonspur/tarragonspur/internal/peer"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const deliverTimeout = 5 * time.Second

// echo replies to each message with the message itself.
type echo struct{}

func (echo) Receive(_ context.Context, _ peer.Sender, m *peerpb.Message) []*peerpb.Message {
	return []*peerpb.Message{m}
}

func newSource(t *testing.T, files config.TLS) *secure.CertificateSource {
	t.Helper()
	s, err := secure.NewCertificateSource(files)
	assert.NilError(t, err)
	return s
}

// startServer starts a peer server with the certificate files and returns its address.
func startServer(t *testing.T, files config.TLS) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener ends with the test.
	assert.NilError(t, err)
	server := &peer.Server{
		Self:        peer.Sender{Host: "entry-1"},
		Receivers:   []peer.Receiver{echo{}},
		Credentials: newSource(t, files).Credentials(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// deliverAs delivers a message as the claimed host, with the certificate in the files.
func deliverAs(t *testing.T, addr netip.AddrPort, files config.TLS, claimed string) error {
	t.Helper()
	client := &peer.Client{Self: peer.Sender{Host: claimed}, Credentials: newSource(t, files).Credentials()}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), deliverTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, addr, []*peerpb.Message{{}})
	return err
}

func TestServerVerifiesClientName(t *testing.T) {
	authority := certs.NewAuthority(t)
	untrustedAuthority := certs.NewAuthority(t)
	addr := startServer(t, authority.Issue(t, "entry-1", time.Hour))
	tests := []struct {
		name     string
		files    config.TLS
		claimed  string
		wantCode codes.Code
	}{
		{"right certificate", authority.Issue(t, "entry-2", time.Hour), "entry-2", codes.OK},
		{"another host's name", authority.Issue(t, "entry-2", time.Hour), "entry-3", codes.PermissionDenied},
		{"expired certificate", authority.Issue(t, "entry-2", -time.Hour), "entry-2", codes.Unavailable},
		{"another authority", untrustedAuthority.Issue(t, "entry-2", time.Hour), "entry-2", codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := deliverAs(t, addr, tt.files, tt.claimed)
			assert.Equal(t, status.Code(errors.UnwrapAll(err)), tt.wantCode, "%v", err)
		})
	}
}

func TestCertificateIsReloaded(t *testing.T) {
	authority := certs.NewAuthority(t)
	files := authority.Issue(t, "entry-2", -time.Hour)
	addr := startServer(t, authority.Issue(t, "entry-1", time.Hour))
	s := newSource(t, files)
	client := &peer.Client{Self: peer.Sender{Host: "entry-2"}, Credentials: s.Credentials()}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), deliverTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, addr, nil)
	assert.Assert(t, err != nil, "an expired certificate was accepted")

	renewed := authority.Issue(t, "entry-2", time.Hour)
	assert.NilError(t, os.Rename(renewed.KeyFile, files.KeyFile))
	assert.NilError(t, os.Rename(renewed.CertFile, files.CertFile))
	for err != nil && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		_, err = client.Deliver(ctx, addr, nil)
	}
	assert.NilError(t, err)
}

func TestFilesAreCheckedAtStart(t *testing.T) {
	authority := certs.NewAuthority(t)
	files := authority.Issue(t, "entry-1", time.Hour)
	files.CAFile = files.KeyFile
	_, err := secure.NewCertificateSource(files)
	assert.Assert(t, errors.Is(err, secure.ErrFiles))
}

// TestClientVerifiesServerName checks that a client drops the replies on a stream of a server that claims a name which
// its certificate does not list.
func TestClientVerifiesServerName(t *testing.T) {
	authority := certs.NewAuthority(t)
	tests := []struct {
		name         string
		files        config.TLS
		wantAccepted bool
	}{
		{"right name", authority.Issue(t, "entry-1", time.Hour), true},
		{"another host's certificate", authority.Issue(t, "entry-3", time.Hour), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := startServer(t, tt.files)
			replied := make(chan struct{}, 1)
			client := &peer.Client{
				Self:        peer.Sender{Host: "entry-2"},
				Credentials: newSource(t, authority.Issue(t, "entry-2", time.Hour)).Credentials(),
				OnReplies: func(context.Context, peer.Sender, []*peerpb.Message) {
					replied <- struct{}{}
				},
			}
			defer client.Close()
			assert.NilError(t, client.Send(t.Context(), addr, []*peerpb.Message{{}}))
			accepted := false
			select {
			case <-replied:
				accepted = true
			case <-time.After(time.Second):
			}
			assert.Equal(t, accepted, tt.wantAccepted)
		})
	}
}

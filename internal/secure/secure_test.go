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

const tryTimeout = 5 * time.Second

// echo answers each message with itself.
type echo struct{}

func (echo) Receive(_ context.Context, _ peer.Sender, m *peerpb.Message) []*peerpb.Message {
	return []*peerpb.Message{m}
}

func source(t *testing.T, files config.TLS) *secure.CertificateSource {
	t.Helper()
	s, err := secure.NewCertificateSource(files)
	assert.NilError(t, err)
	return s
}

// serve starts a peer server with the certificate files and returns its address.
func serve(t *testing.T, files config.TLS) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener ends with the test.
	assert.NilError(t, err)
	server := &peer.Server{
		Self:        peer.Sender{Host: "entry-1"},
		Receivers:   []peer.Receiver{echo{}},
		Credentials: source(t, files).Credentials(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func deliver(t *testing.T, addr netip.AddrPort, files config.TLS, claimed string) error {
	t.Helper()
	client := &peer.Client{Self: peer.Sender{Host: claimed}, Credentials: source(t, files).Credentials()}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), tryTimeout)
	defer cancel()
	_, err := client.Deliver(ctx, addr, []*peerpb.Message{{}})
	return err
}

func TestPeersProveTheirNames(t *testing.T) {
	authority := certs.NewAuthority(t)
	stranger := certs.NewAuthority(t)
	addr := serve(t, authority.Issue(t, "entry-1", time.Hour))
	tests := []struct {
		name    string
		files   config.TLS
		claimed string
		want    codes.Code
	}{
		{"right certificate", authority.Issue(t, "entry-2", time.Hour), "entry-2", codes.OK},
		{"another host's name", authority.Issue(t, "entry-2", time.Hour), "entry-3", codes.PermissionDenied},
		{"expired certificate", authority.Issue(t, "entry-2", -time.Hour), "entry-2", codes.Unavailable},
		{"another authority", stranger.Issue(t, "entry-2", time.Hour), "entry-2", codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := deliver(t, addr, tt.files, tt.claimed)
			assert.Equal(t, status.Code(errors.UnwrapAll(err)), tt.want, "%v", err)
		})
	}
}

func TestCertificateIsReadAgain(t *testing.T) {
	authority := certs.NewAuthority(t)
	files := authority.Issue(t, "entry-2", -time.Hour)
	addr := serve(t, authority.Issue(t, "entry-1", time.Hour))
	s := source(t, files)
	client := &peer.Client{Self: peer.Sender{Host: "entry-2"}, Credentials: s.Credentials()}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), tryTimeout)
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

// TestAnswersProveTheirName lets a server answer on a stream under a name that its certificate lacks.
func TestAnswersProveTheirName(t *testing.T) {
	authority := certs.NewAuthority(t)
	tests := []struct {
		name  string
		files config.TLS
		want  bool
	}{
		{"right name", authority.Issue(t, "entry-1", time.Hour), true},
		{"another host's certificate", authority.Issue(t, "entry-3", time.Hour), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			addr := serve(t, tt.files)
			answered := make(chan struct{}, 1)
			client := &peer.Client{
				Self:        peer.Sender{Host: "entry-2"},
				Credentials: source(t, authority.Issue(t, "entry-2", time.Hour)).Credentials(),
				OnReplies: func(context.Context, peer.Sender, []*peerpb.Message) {
					answered <- struct{}{}
				},
			}
			defer client.Close()
			assert.NilError(t, client.Send(t.Context(), addr, []*peerpb.Message{{}}))
			got := false
			select {
			case <-answered:
				got = true
			case <-time.After(time.Second):
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

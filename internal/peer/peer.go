// Package peer carries messages between entry hosts over gRPC.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/tarragonspur/tarragonspur/internal/frames"
	"github.com/tarragonspur/tarragonspur/internal/intake"
	"github.com/tarragonspur/tarragonspur/internal/peer/peerpb"
	"github.com/tarragonspur/tarragonspur/internal/secure"
)

const (
	keepAliveTime    = 10 * time.Second
	keepAliveTimeout = 2 * time.Second
	maxMessageBytes  = 4 << 20
	// windowBytes is fixed, since gRPC's dynamic window estimation would add a ping to most batches.
	windowBytes = 1 << 20
)

// ErrUnreachable means that a peer did not answer; it may nevertheless have received the messages.
var ErrUnreachable = errors.New("peer unreachable")

// Receiver handles one message and returns the replies to it.
// It returns nil for a message of a kind that it does not handle.
type Receiver interface {
	Receive(ctx context.Context, from Sender, m *peerpb.Message) []*peerpb.Message
}

// Sender identifies the host that sent a message.
type Sender struct {
	Host        string
	Incarnation uint64
	Domain      string
}

// Server passes messages of peers to receivers.
type Server struct {
	peerpb.UnimplementedPeerServer
	// Self identifies this host in replies.
	Self Sender
	// Receivers all get each message, in order.
	Receivers []Receiver
	// Credentials are nil if connections are not encrypted.
	Credentials credentials.TransportCredentials
}

// Deliver passes each message of a batch to all receivers and returns their replies.
func (s *Server) Deliver(ctx context.Context, in *peerpb.Batch) (*peerpb.Batch, error) {
	if err := secure.CheckSender(ctx, in.GetFrom()); err != nil {
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	from := Sender{Host: in.GetFrom(), Incarnation: in.GetIncarnation(), Domain: in.GetDomain()}
	return s.Self.batch(s.dispatch(ctx, from, in.GetMessages())), nil
}

func (s Sender) batch(messages []*peerpb.Message) *peerpb.Batch {
	return &peerpb.Batch{From: s.Host, Incarnation: s.Incarnation, Domain: s.Domain, Messages: messages}
}

// Serve serves peers on the listener, which may be an intake.Calls, until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	creds := s.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	options := []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepAliveTime / 2, PermitWithoutStream: true}),
	}
	if calls, ok := l.(*intake.Calls); ok {
		options = append(options, calls.Options()...)
	}
	server := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(server, s)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve peers")
	case <-ctx.Done():
		server.Stop()
		return errors.Wrap(<-ended, "serve peers")
	}
}

// Client sends messages to peers and keeps one connection to each.
type Client struct {
	// Self identifies this host to its peers.
	Self Sender
	// Credentials are nil if connections are not encrypted.
	Credentials credentials.TransportCredentials
	// OnReplies is called with the messages that arrive on streams; nil discards them.
	OnReplies func(ctx context.Context, from Sender, messages []*peerpb.Message)

	mu      sync.Mutex
	conns   map[netip.AddrPort]*grpc.ClientConn
	streams map[netip.AddrPort]*outStream
	readers sync.WaitGroup
}

// Deliver sends messages to the peer at addr and returns its replies.
// The error is marked as ErrUnreachable if the peer does not answer.
func (c *Client) Deliver(ctx context.Context, addr netip.AddrPort, messages []*peerpb.Message) ([]*peerpb.Message, error) {
	conn, err := c.conn(addr)
	if err != nil {
		return nil, err
	}
	var remote grpcpeer.Peer
	out, err := peerpb.NewPeerClient(conn).Deliver(ctx, c.Self.batch(messages), grpc.Peer(&remote))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "deliver to %s", addr), ErrUnreachable)
	}
	if err := secure.CheckName(remote.AuthInfo, out.GetFrom()); err != nil {
		return nil, errors.Wrapf(err, "check sender of reply from %s", addr)
	}
	return out.GetMessages(), nil
}

func (c *Client) conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[addr]; conn != nil {
		return conn, nil
	}
	creds := c.Credentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient(
		"passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(frames.Credentials(creds)),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepAliveTime, Timeout: keepAliveTimeout, PermitWithoutStream: true}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "open connection to peer")
	}
	if c.conns == nil {
		c.conns = make(map[netip.AddrPort]*grpc.ClientConn)
	}
	c.conns[addr] = conn
	return conn, nil
}

// Close ends all streams, waits for their readers and closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	for _, l := range c.streams {
		l.cancel()
	}
	c.mu.Unlock()
	c.readers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, addr)
	}
}

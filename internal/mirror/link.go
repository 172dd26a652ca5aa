package mirror

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/tarragonspur/tarragonspur/internal/epoch"
	"github.com/tarragonspur/tarragonspur/internal/frames"
	"github.com/tarragonspur/tarragonspur/internal/intake"
	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

const (
	// responseTimeout is the time without bytes from the host, beyond a call's wait, after which the connection is closed.
	responseTimeout = 600 * time.Millisecond
	// maxMessageBytes is enough for a list of several thousand documents.
	maxMessageBytes = 16 << 20
	// keepAliveTime and keepAliveTimeout detect connections whose client is gone.
	keepAliveTime    = 5 * time.Second
	keepAliveTimeout = 2 * time.Second
)

// Host identifies another host by name and address.
type Host struct {
	Name    string
	Address netip.AddrPort
}

// Link is the client for reading from other hosts. The zero value is ready to use.
type Link struct {
	mu    sync.Mutex
	conns map[Host]*conn
}

// question is what one host reads from another: all documents of a kind (since zero), or changes after a position.
type question struct {
	kind  string
	since epoch.Position
	wait  time.Duration
	// maxDelay bounds how long the answer may take beyond the wait while bytes arrive; 0 means no bound.
	maxDelay time.Duration
}

// Read reads documents from a host. It returns ErrHistoryGone if a full list is needed. A call lasts as long as bytes of any
// call arrive from the host, and no longer than the question allows.
func (l *Link) Read(ctx context.Context, from Host, q question) (Batch, error) {
	conn, err := l.conn(from)
	if err != nil {
		return Batch{}, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := conn.limitSilence(q.wait, func() { cancel(errSilent) })
	defer silence.stop()
	if q.maxDelay > 0 {
		timer := time.AfterFunc(q.wait+q.maxDelay, func() { cancel(errSlow) })
		defer timer.Stop()
	}
	reply, err := mirpb.NewMirrorClient(conn).Read(ctx, &mirpb.ReadRequest{
		Kind: q.kind, Since: q.since.Revision, SinceEra: q.since.Era, WaitMs: q.wait.Milliseconds(), AcceptsPacked: true,
	})
	if status.Code(err) == codes.Aborted {
		return Batch{}, ErrLoading
	}
	if status.Code(err) == codes.FailedPrecondition {
		return Batch{}, errors.Wrapf(ErrNotReading, "host %s", from.Name)
	}
	if err != nil {
		// An error that the host returns, which has the code Unknown, is none of the connection, nor is the end of an era.
		if status.Code(err) != codes.Unknown && !errors.Is(context.Cause(ctx), ErrHistoryGone) {
			l.closeConn(from, conn)
		}
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errSlow) {
			err = cause
		}
		return Batch{}, errors.Wrapf(err, "read from host %s", from.Name)
	}
	if reply.GetHistoryGone() {
		return Batch{}, ErrHistoryGone
	}
	b := Batch{
		At:      epoch.Position{Era: reply.GetEra(), Revision: reply.GetRevision()},
		Removed: reply.GetRemoved(), Age: time.Duration(reply.GetAgeUs()) * time.Microsecond,
	}
	b.Changed = decodeDocuments(reply.GetChanged())
	if len(reply.GetPacked()) > 0 {
		documents, err := unpackDocuments(reply.GetPacked())
		if err != nil {
			return Batch{}, errors.Wrapf(err, "read from host %s", from.Name)
		}
		b.Changed, b.Removed = decodeDocuments(documents.GetChanged()), documents.GetRemoved()
	}
	return b, nil
}

func (l *Link) conn(to Host) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[to]; c != nil {
		return c, nil
	}
	c := &conn{}
	var err error
	c.ClientConn, err = grpc.NewClient("passthrough:///"+to.Address.String(),
		grpc.WithContextDialer(c.dial),
		grpc.WithTransportCredentials(frames.Credentials(insecure.NewCredentials())),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", to.Name)
	}
	if l.conns == nil {
		l.conns = make(map[Host]*conn)
	}
	l.conns[to] = c
	return c, nil
}

// closeConn closes a connection that failed; the next call opens a new one.
func (l *Link) closeConn(host Host, c *conn) {
	l.mu.Lock()
	if l.conns[host] == c {
		delete(l.conns, host)
	}
	l.mu.Unlock()
	// The connection has failed already, so an error adds nothing.
	_ = c.Close()
}

// Close closes all connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

// Server serves a mirror's documents to other hosts over gRPC.
type Server struct {
	mirpb.UnimplementedMirrorServer

	Mirror  *Mirror
	Address netip.AddrPort
	// Register adds another service for hosts; may be nil.
	Register func(grpc.ServiceRegistrar)
	// Wrap wraps the listener of the server; nil leaves it as it is.
	Wrap func(net.Listener) (*intake.Calls, error)
}

// Read returns documents that this host has read from the store.
func (s *Server) Read(ctx context.Context, in *mirpb.ReadRequest) (*mirpb.ReadReply, error) {
	c := s.Mirror.cache(in.GetKind())
	since := epoch.Position{Era: in.GetSinceEra(), Revision: in.GetSince()}
	b, err := c.read(ctx, since, time.Duration(in.GetWaitMs())*time.Millisecond, s.Mirror.maxAge(in.GetKind()), s.Mirror.readsFor)
	if errors.Is(err, ErrHistoryGone) {
		return &mirpb.ReadReply{HistoryGone: true}, nil
	}
	if errors.Is(err, ErrLoading) {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	if errors.Is(err, ErrNotReading) {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	if err != nil {
		return nil, err
	}
	reply := &mirpb.ReadReply{Era: b.At.Era, Revision: b.At.Revision, AgeUs: b.Age.Microseconds()}
	if in.GetAcceptsPacked() && b.isWorthPacking() {
		reply.Packed, err = c.pack(b, since)
		return reply, err
	}
	reply.Changed, reply.Removed = encodeDocuments(b.Changed), b.Removed
	return reply, nil
}

// Name names the controller in logs.
func (s *Server) Name() string { return "mirror" }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	options := []grpc.ServerOption{
		grpc.ForceServerCodecV2(newCodec()),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
	}
	if s.Wrap != nil {
		calls, err := s.Wrap(listener)
		if err != nil {
			return errors.CombineErrors(err, listener.Close())
		}
		listener, options = calls, append(options, calls.Options()...)
	}
	server := grpc.NewServer(options...)
	mirpb.RegisterMirrorServer(server, s)
	if s.Register != nil {
		s.Register(server)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err = <-ended:
	case <-ctx.Done():
		server.Stop()
		err = <-ended
		s.Mirror.Link.Close()
	}
	if errors.Is(err, grpc.ErrServerStopped) {
		// The context ended before the first connection was accepted.
		err = nil
	}
	return errors.Wrap(err, "serve other hosts")
}

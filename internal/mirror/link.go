package mirror

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/tarragonspur/tarragonspur/internal/mirror/mirpb"
)

const (
	// answerTimeout is the time beyond its wait in which a call must be answered; a connection that is silent for
	// longer is given up.
	answerTimeout = 600 * time.Millisecond
	// maxMessageBytes holds a list of several thousand documents.
	maxMessageBytes = 16 << 20
	// keepAliveTime and keepAliveTimeout find connections of callers that are gone.
	keepAliveTime    = 5 * time.Second
	keepAliveTimeout = 2 * time.Second
)

// Host is another host.
type Host struct {
	Name    string
	Address netip.AddrPort
}

// Link asks other hosts. The zero value is ready.
type Link struct {
	mu    sync.Mutex
	conns map[Host]*grpc.ClientConn
}

// Read asks a host for all documents of a kind or the changes after a revision.
func (l *Link) Read(ctx context.Context, from Host, kind string, since int64, wait time.Duration) (Batch, error) {
	conn, err := l.conn(from)
	if err != nil {
		return Batch{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	reply, err := mirpb.NewMirrorClient(conn).Read(ctx, &mirpb.ReadRequest{Kind: kind, Since: since, WaitMs: wait.Milliseconds()})
	if err != nil {
		l.forget(from)
		return Batch{}, errors.Wrapf(err, "ask host %s", from.Name)
	}
	if reply.GetHistoryGone() {
		return Batch{}, ErrHistoryGone
	}
	b := Batch{Revision: reply.GetRevision(), Removed: reply.GetRemoved(), Age: time.Duration(reply.GetAgeUs()) * time.Microsecond}
	for _, d := range reply.GetChanged() {
		b.Changed = append(b.Changed, Document{Name: d.GetName(), Revision: d.GetRevision(), Body: d.GetBody()})
	}
	return b, nil
}

func (l *Link) conn(to Host) (*grpc.ClientConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[to]; conn != nil {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+to.Address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", to.Name)
	}
	if l.conns == nil {
		l.conns = make(map[Host]*grpc.ClientConn)
	}
	l.conns[to] = conn
	return conn, nil
}

// forget closes the connection to a host that failed; the next call makes a new one.
func (l *Link) forget(host Host) {
	l.mu.Lock()
	conn := l.conns[host]
	delete(l.conns, host)
	l.mu.Unlock()
	if conn != nil {
		// The connection has failed already.
		_ = conn.Close()
	}
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

// Server answers other hosts from a mirror.
type Server struct {
	mirpb.UnimplementedMirrorServer

	Mirror  *Mirror
	Address netip.AddrPort
}

// Read returns documents that this host has read of the store.
func (s *Server) Read(ctx context.Context, in *mirpb.ReadRequest) (*mirpb.ReadReply, error) {
	b, err := s.Mirror.cache(in.GetKind()).read(ctx, in.GetSince(), time.Duration(in.GetWaitMs())*time.Millisecond)
	if errors.Is(err, ErrHistoryGone) {
		return &mirpb.ReadReply{HistoryGone: true}, nil
	}
	if err != nil {
		return nil, err
	}
	reply := &mirpb.ReadReply{Revision: b.Revision, Removed: b.Removed, AgeUs: b.Age.Microseconds()}
	for _, d := range b.Changed {
		reply.Changed = append(reply.Changed, &mirpb.Document{Name: d.Name, Revision: d.Revision, Body: d.Body})
	}
	return reply, nil
}

// Name names the controller in logs.
func (s *Server) Name() string { return "mirror" }

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	server := grpc.NewServer(
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepAliveTime, Timeout: keepAliveTimeout}),
	)
	mirpb.RegisterMirrorServer(server, s)
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
	return errors.Wrap(err, "answer other hosts")
}

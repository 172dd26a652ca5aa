package settle

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tarragonspur/tarragonspur/internal/frames"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/settle/setpb"
	"github.com/tarragonspur/tarragonspur/internal/ticks"
)

const (
	// askTimeout bounds a question to another host, documentTimeout one for its table.
	askTimeout      = 400 * time.Millisecond
	documentTimeout = time.Second
	// maxDocumentBytes bounds a table from another host.
	maxDocumentBytes = 16 << 20
)

// reply is what another host says of the table that it has in force.
type reply struct {
	answer

	host        mirror.Host
	confirmedAt time.Duration
	document    []byte
}

// askAll asks hosts at the same time and returns the replies of those that answer.
func askAll(ctx context.Context, hosts []mirror.Host, log *slog.Logger) []reply {
	type outcome struct {
		reply reply
		err   error
	}
	outcomes := make(chan outcome, len(hosts))
	for _, h := range hosts {
		go func() {
			r, err := askHost(ctx, h, false)
			outcomes <- outcome{r, err}
		}()
	}
	var all []reply
	for range hosts {
		o := <-outcomes
		if o.err != nil {
			log.Debug("host does not say which table it has in force", "error", o.err)
			continue
		}
		all = append(all, o.reply)
	}
	return all
}

// newest returns the reply with the highest version, of those with the same one the one that was confirmed last.
func newest(replies []reply) reply {
	best := replies[0]
	for _, r := range replies[1:] {
		if r.version > best.version || r.version == best.version && r.confirmedAt > best.confirmedAt {
			best = r
		}
	}
	return best
}

// askHost asks one host on a connection of its own: the store rarely comes back from a copy, and a connection that is kept may be silent.
func askHost(ctx context.Context, host mirror.Host, wantsDocument bool) (reply, error) {
	timeout := askTimeout
	if wantsDocument {
		timeout = documentTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+host.Address.String(),
		grpc.WithTransportCredentials(frames.Credentials(insecure.NewCredentials())),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxDocumentBytes)))
	if err != nil {
		return reply{}, errors.Wrapf(err, "connect to host %s", host.Name)
	}
	defer func() { _ = conn.Close() }()
	began := ticks.Now()
	r, err := setpb.NewSettleClient(conn).Table(ctx, &setpb.TableRequest{WantsDocument: wantsDocument})
	if err != nil {
		return reply{}, errors.Wrapf(err, "ask host %s", host.Name)
	}
	return reply{
		answer: answer{version: r.GetVersion(), settledEra: r.GetSettledEra()},
		host:   host, confirmedAt: began - time.Duration(r.GetAgeUs())*time.Microsecond, document: r.GetDocument(),
	}, nil
}

// Server reports the table in force to other hosts.
type Server struct {
	setpb.UnimplementedSettleServer

	Settler *Settler
}

// Register adds the service to a gRPC server.
func (s *Server) Register(to grpc.ServiceRegistrar) { setpb.RegisterSettleServer(to, s) }

// Table returns the version and the age of the table in force, and the table itself if it is wanted.
func (s *Server) Table(_ context.Context, in *setpb.TableRequest) (*setpb.TableReply, error) {
	table, confirmedAt := s.Settler.Holder.View()
	if table == nil {
		return &setpb.TableReply{}, nil
	}
	r := &setpb.TableReply{Version: table.Version, AgeUs: (ticks.Now() - confirmedAt).Microseconds(), SettledEra: s.Settler.settledEra()}
	if in.GetWantsDocument() {
		r.Document = table.Document
	}
	return r, nil
}

// settledEra returns the present era if its table counts, 0 if not.
func (s *Settler) settledEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSettled(s.inForce(), ticks.Now()) {
		return 0
	}
	return s.core.era
}

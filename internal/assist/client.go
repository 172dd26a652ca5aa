package assist

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tarragonspur/tarragonspur/internal/assist/astpb"
	"github.com/tarragonspur/tarragonspur/internal/frames"
	"github.com/tarragonspur/tarragonspur/internal/front"
	"github.com/tarragonspur/tarragonspur/internal/mirror"
	"github.com/tarragonspur/tarragonspur/internal/pool"
)

const (
	// maxHosts bounds the hosts that are asked to end a run.
	maxHosts = 2
	// hostTimeout bounds the time in which one of them answers.
	hostTimeout = 500 * time.Millisecond
)

// Hosts selects other hosts.
type Hosts interface {
	// HostsNear returns at most n live hosts, those near a failure domain of a region first.
	HostsNear(domain, region string, n int) []mirror.Host
}

// Client ends runs through other hosts.
type Client struct {
	Hosts Hosts
	Log   *slog.Logger
}

// Move ends a run at a backend server and copies its memory to another one. Its errors are those of front.Copies, or ErrUnknown.
func (c *Client) Move(ctx context.Context, at pool.Server, run string, to pool.Server) (front.Copy, error) {
	request := &astpb.EndRunRequest{
		Server: &astpb.Server{Id: at.ID, Address: at.Address.String()},
		Target: &astpb.Server{Id: to.ID, Address: to.Address.String()},
		Run:    run,
	}
	for _, host := range c.Hosts.HostsNear(at.Domain, at.Region, maxHosts) {
		began := time.Now()
		reply, err := ask(ctx, host, request)
		c.Log.Info("other host asked to end run", "request", run, "server", at.ID, "host", host.Name,
			"ending", reply.GetEnding().String(), "took", time.Since(began), "error", err)
		if err != nil || reply.GetEnding() == astpb.Ending_ENDING_UNSPECIFIED {
			continue
		}
		if err := errorOf(reply.GetEnding()); err != nil {
			return front.Copy{}, errors.Wrapf(err, "host %s", host.Name)
		}
		return front.Copy{Address: at.Address, Name: reply.GetCopy()}, nil
	}
	return front.Copy{}, ErrUnknown
}

// ask asks one host on a connection of its own: runs are rarely ended this way, and a connection that is kept may be silent.
func ask(ctx context.Context, host mirror.Host, request *astpb.EndRunRequest) (*astpb.EndRunReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+host.Address.String(), grpc.WithTransportCredentials(frames.Credentials(insecure.NewCredentials())))
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host %s", host.Name)
	}
	defer func() { _ = conn.Close() }()
	reply, err := astpb.NewAssistClient(conn).EndRun(ctx, request)
	return reply, errors.Wrapf(err, "ask host %s", host.Name)
}

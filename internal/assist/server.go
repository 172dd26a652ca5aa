package assist

import (
	"context"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/tarragonspur/tarragonspur/internal/assist/astpb"
)

const (
	// maxCalls bounds the runs that a host ends for others at the same time.
	maxCalls = 64
	// moveTimeout bounds the call to the backend server. Copying the memory of a run takes up to a second.
	moveTimeout = 1200 * time.Millisecond
)

// Server ends runs for other hosts.
type Server struct {
	astpb.UnimplementedAssistServer

	Mover   Mover
	Servers Servers
	Log     *slog.Logger

	calls atomic.Int32
}

// Register adds the service to a gRPC server.
func (s *Server) Register(to grpc.ServiceRegistrar) { astpb.RegisterAssistServer(to, s) }

// EndRun ends a run at a backend server that this host knows at the same address as the calling one.
func (s *Server) EndRun(ctx context.Context, in *astpb.EndRunRequest) (*astpb.EndRunReply, error) {
	defer s.calls.Add(-1)
	if s.calls.Add(1) > maxCalls {
		return &astpb.EndRunReply{}, nil
	}
	server, isKnown := s.address(in.GetServer())
	target, isTargetKnown := s.address(in.GetTarget())
	if !isKnown || !isTargetKnown || s.Servers.WaitToResume(in.GetServer().GetId()) > 0 {
		return &astpb.EndRunReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	s.Servers.Sent(in.GetServer().GetId())
	began := time.Now()
	made, err := s.Mover.Move(ctx, server, in.GetRun(), target)
	reply := &astpb.EndRunReply{Ending: endingOf(err), Copy: made.Name}
	s.Log.Info("run asked to end for another host", "request", in.GetRun(), "server", in.GetServer().GetId(), "to", in.GetTarget().GetId(),
		"ending", reply.GetEnding().String(), "took", time.Since(began), "error", err)
	return reply, nil
}

// address returns the address of a backend server if both hosts know it there.
func (s *Server) address(of *astpb.Server) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(of.GetAddress())
	if err != nil {
		return netip.AddrPort{}, false
	}
	known, isKnown := s.Servers.ServerAt(address)
	return address, isKnown && known.ID == of.GetId()
}

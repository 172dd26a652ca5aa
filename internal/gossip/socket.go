package gossip

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// socket sends and receives datagrams.
type socket interface {
	ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error)
	Close() error
}

// listenUDP opens a UDP socket.
func listenUDP(ctx context.Context, address netip.AddrPort) (socket, error) {
	var lc net.ListenConfig
	conn, err := lc.ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, errors.Newf("listener on %s is not a UDP socket", address)
	}
	return udp, nil
}

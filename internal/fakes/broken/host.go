package broken

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"
)

// HostHead is the head of an answer over HTTP/2.
type HostHead struct {
	Name   string
	Fields []hpack.HeaderField
}

// SoundHostHead returns the head of gRPC's answers.
func SoundHostHead() HostHead {
	return HostHead{"sound", []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}}}
}

// HostHeads returns heads that no host may send.
func HostHeads() []HostHead {
	sound := SoundHostHead().Fields
	heads := []HostHead{
		{"no status", sound[1:]},
		{"a blank in a name", append(sound[:2:2], hpack.HeaderField{Name: "x odd", Value: "1"})},
		{"a control byte in a name", append(sound[:2:2], hpack.HeaderField{Name: "x\x01odd", Value: "1"})},
		{"a blank in the name of the content's type", []hpack.HeaderField{sound[0], {Name: "content-type ", Value: "application/grpc"}}},
	}
	for _, status := range []string{"000", "099", "101", "600", "20", "+20"} {
		heads = append(heads, HostHead{"status " + status, []hpack.HeaderField{{Name: ":status", Value: status}, sound[1]}})
	}
	return heads
}

// Host is a stand-in for another host. It answers each call over HTTP/2 with a head and a message, and with trailers that call it a success.
type Host struct {
	Head    HostHead
	Message proto.Message

	calls atomic.Int32
}

// Calls returns the number of calls received so far.
func (h *Host) Calls() int { return int(h.calls.Load()) }

// Start starts the host until the test ends and returns its address.
func (h *Host) Start(t Test) netip.AddrPort {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	message, err := proto.Marshal(h.Message)
	if err != nil {
		t.Fatal(err)
	}
	var ended sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		ended.Wait()
	})
	ended.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			ended.Go(func() { h.serve(conn, message) })
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// serve answers the calls on a connection until the caller closes it.
func (h *Host) serve(conn net.Conn, message []byte) {
	defer func() { _ = conn.Close() }()
	if _, err := io.ReadFull(conn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	if framer.WriteSettings() != nil {
		return
	}
	answered := make(map[uint32]bool)
	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}
		id := f.Header().StreamID
		if _, isData := f.(*http2.DataFrame); isData && !answered[id] {
			answered[id] = true
			h.calls.Add(1)
			if h.answer(framer, id, message) != nil {
				return
			}
		}
	}
}

func (h *Host) answer(framer *http2.Framer, id uint32, message []byte) error {
	data := append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message))), message...)
	trailers := []hpack.HeaderField{{Name: "grpc-status", Value: "0"}}
	if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: Fields(h.Head.Fields), EndHeaders: true}); err != nil {
		return err
	}
	if err := framer.WriteData(id, false, data); err != nil {
		return err
	}
	return framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: Fields(trailers), EndHeaders: true, EndStream: true})
}

// Fields returns fields in the form that HTTP/2 sends them in.
func Fields(fields []hpack.HeaderField) []byte {
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	e.SetMaxDynamicTableSize(0)
	for _, f := range fields {
		// Writing to a bytes.Buffer never fails.
		_ = e.WriteField(f)
	}
	return b.Bytes()
}

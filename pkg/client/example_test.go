package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/tarragonspur/tarragonspur/pkg/client"
)

func addressOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func ExampleClient_Stream() {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{"peat", "kiln"} {
			fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", text)
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
	}))
	defer host.Close()
	c := &client.Client{Hosts: []netip.AddrPort{addressOf(host)}, Key: "secret"}
	defer c.Close()
	for token, err := range c.Stream(context.Background(), client.Prompt{Model: "assay-model", Text: "Report on batch 114."}) {
		if err != nil {
			fmt.Println("failed:", err)
			return
		}
		fmt.Println(token)
	}
	// Output:
	// peat
	// kiln
}

func ExampleClient_Book() {
	// The first host fails after it has received the booking; the second one then finds the key known.
	var keys sync.Map
	host := func(abort bool) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, known := keys.LoadOrStore(r.Header.Get("Idempotency-Key"), true)
			if abort {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusCreated)
			fmt.Fprintf(w, "booked, key known: %t", known)
		}))
	}
	first, second := host(true), host(false)
	defer first.Close()
	defer second.Close()
	c := &client.Client{Hosts: []netip.AddrPort{addressOf(first), addressOf(second)}, Key: "secret"}
	defer c.Close()
	resp, err := c.Book(context.Background(), client.Call{
		Service: "millbook", Method: http.MethodPost, Path: "/bookings", Body: []byte(`{"slot":"kiln 2, Tuesday 06:00"}`),
	})
	if err != nil {
		fmt.Println("failed:", err)
		return
	}
	fmt.Println(resp.Status, string(resp.Body))
	// Output: 201 booked, key known: true
}

func ExampleError() {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusTooManyRequests)
		fmt.Fprint(w, `{"error":{"code":"overloaded","message":"busy","run":"not_run","retry_after_ms":60000,"request_id":"req-1"}}`)
	}))
	defer host.Close()
	c := &client.Client{Hosts: []netip.AddrPort{addressOf(host)}, Key: "secret"}
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Do(ctx, client.Call{Service: "millbook", Method: http.MethodGet, Path: "/records"})
	fmt.Println(errors.Is(err, client.ErrOverloaded), errors.Is(err, client.ErrNotRun), errors.Is(err, client.ErrMayHaveRun))
	// Output: true true false
}

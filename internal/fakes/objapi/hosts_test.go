package objapi_test

import (
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/store"
)

func TestHostListLag(t *testing.T) {
	s := &objapi.Server{Memory: &objapi.Memory{}}
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := store.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	defer client.Close()
	now := time.Now()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	s.Hosts.Put(object.Host{Name: "entry-1", Domain: "salta", Region: "norte", Address: address}, now.Add(-time.Hour))
	s.Hosts.Put(object.Host{Name: "entry-2", Domain: "salta", Region: "norte", Address: address}, now.Add(-time.Minute))
	s.Hosts.Remove("entry-1", now.Add(-time.Second))
	tests := []struct {
		name string
		lag  time.Duration
		want []string
	}{
		{"no lag", 0, []string{"entry-2"}},
		{"lag hides the removal", 10 * time.Second, []string{"entry-1", "entry-2"}},
		{"lag hides a host", 10 * time.Minute, []string{"entry-1"}},
		{"lag hides all hosts", 2 * time.Hour, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s.SetFaults(objapi.Faults{HostLag: tt.lag})
			list, err := client.Hosts(t.Context())
			assert.NilError(t, err)
			var names []string
			for _, h := range list.Hosts {
				names = append(names, h.Name)
			}
			assert.DeepEqual(t, names, tt.want)
			assert.Assert(t, !list.AsOf.After(time.Now().Add(-tt.lag)))
		})
	}
}

package cmds

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type adminBackendCmd struct {
	cmd          *cobra.Command
	item         adminItem
	opts         adminBackendOpts
	availability availabilityOpts
}

type adminBackendOpts struct {
	service     string
	domain      string
	address     string
	maxRunning  int
	memory      int
	checksFence bool
}

func newAdminBackendCmd(s *adminShared) *adminBackendCmd {
	c := &adminBackendCmd{item: adminItem{shared: s, path: "/backends"}}
	c.cmd = &cobra.Command{Use: "backend", Short: "Create, list and delete backend servers, take them out and bring them back"}
	create := &cobra.Command{Use: "create NAME", Short: "Create a backend server", Args: cobra.ExactArgs(1), RunE: c.create}
	f := create.Flags()
	f.StringVar(&c.opts.service, "service", "", "service of the backend server")
	f.StringVar(&c.opts.domain, "domain", "", "failure domain of the backend server")
	f.StringVar(&c.opts.address, "at", "", "IP address and port of the backend server")
	f.IntVar(&c.opts.maxRunning, "max-running", 0, "limit of concurrent requests once it is warm")
	f.IntVar(&c.opts.memory, "memory-tokens", 0, "KV cache capacity of a model engine in tokens")
	f.BoolVar(&c.opts.checksFence, "checks-fence", false, "the backend server rejects orders with an outdated fencing token")
	c.cmd.AddCommand(create)
	var backends []config.Backend
	c.item.addList(c.cmd, &backends, func(w io.Writer) {
		fmt.Fprintln(w, "BACKEND\tSERVICE\tDOMAIN\tADDRESS\tMAX RUNNING\tMEMORY\tOUT")
		for _, b := range backends {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%t\n", b.Name, b.Service, b.Domain, b.Address, b.MaxRunning, b.MemoryTokens, b.Draining)
		}
	})
	c.item.addDelete(c.cmd)
	c.cmd.AddCommand(s.availabilityCommands(&c.availability, "/backends/", "a backend server")...)
	return c
}

func (c *adminBackendCmd) create(cmd *cobra.Command, args []string) error {
	addr, err := netip.ParseAddrPort(c.opts.address)
	if err != nil {
		return errors.Wrap(err, "--at must be an IP address and port")
	}
	return c.item.create(cmd, config.Backend{
		Name: args[0], Service: c.opts.service, Domain: c.opts.domain, Address: addr,
		MaxRunning: c.opts.maxRunning, MemoryTokens: c.opts.memory, ChecksFence: c.opts.checksFence,
	})
}

package cmds

import (
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/admin"
)

type adminDomainCmd struct {
	cmd    *cobra.Command
	shared *adminShared
	opts   availabilityOpts
}

// availabilityOpts are the options of the commands out and in.
type availabilityOpts struct {
	force  bool
	reason string
}

func newAdminDomainCmd(s *adminShared) *adminDomainCmd {
	c := &adminDomainCmd{shared: s}
	c.cmd = &cobra.Command{Use: "domain", Short: "List failure domains, take them out and bring them back"}
	list := &cobra.Command{Use: "list", Short: "List failure domains", Args: cobra.NoArgs, RunE: c.list}
	c.cmd.AddCommand(list)
	c.cmd.AddCommand(s.availabilityCommands(&c.opts, "/domains/", "a failure domain")...)
	return c
}

func (c *adminDomainCmd) list(cmd *cobra.Command, _ []string) error {
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	body, _, err := client.Get(cmd.Context(), "/domains", nil)
	if err != nil {
		return err
	}
	var domains []admin.Domain
	return c.shared.show(cmd.OutOrStdout(), body, &domains, func(w io.Writer) {
		fmt.Fprintln(w, "DOMAIN\tREGION\tSTATE\tHOSTS\tBACKENDS")
		for _, d := range domains {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", d.Name, d.Region, d.State, d.Hosts, d.Backends)
		}
	})
}

// availabilityCommands returns the commands that take the items below a path out of service and bring them back.
func (s *adminShared) availabilityCommands(o *availabilityOpts, path, what string) []*cobra.Command {
	runAction := func(action string) func(*cobra.Command, []string) error {
		return func(cmd *cobra.Command, args []string) error {
			return s.setAvailability(cmd, path+url.PathEscape(args[0])+action, *o)
		}
	}
	out := &cobra.Command{Use: "out NAME", Short: "Take " + what + " out of service", Args: cobra.ExactArgs(1), RunE: runAction("/out")}
	in := &cobra.Command{Use: "in NAME", Short: "Bring " + what + " back into service", Args: cobra.ExactArgs(1), RunE: runAction("/in")}
	out.Flags().BoolVar(&o.force, "force", false, "take it out even if nothing else serves one of its services")
	for _, command := range []*cobra.Command{out, in} {
		command.Flags().StringVar(&o.reason, "reason", "", "reason for the audit trail")
	}
	return []*cobra.Command{out, in}
}

func (s *adminShared) setAvailability(cmd *cobra.Command, path string, o availabilityOpts) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	defer client.Close()
	query := url.Values{}
	if o.force {
		query.Set("force", "true")
	}
	if o.reason != "" {
		query.Set("reason", o.reason)
	}
	result, err := client.Change(cmd.Context(), http.MethodPost, path, query, nil, nil)
	return s.reportResult(cmd, result, err)
}

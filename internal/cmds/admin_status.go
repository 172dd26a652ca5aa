package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type adminStatusCmd struct {
	cmd    *cobra.Command
	shared *adminShared
}

func newAdminStatusCmd(s *adminShared) *adminStatusCmd {
	c := &adminStatusCmd{shared: s}
	c.cmd = &cobra.Command{
		Use:   "status",
		Short: "Show the version in force in each failure domain and on each host, and the hosts that are unreachable",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	return c
}

func (c *adminStatusCmd) run(cmd *cobra.Command, _ []string) error {
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	body, _, err := client.Get(cmd.Context(), "/status", nil)
	if err != nil {
		return err
	}
	var s admin.Status
	return c.shared.show(cmd.OutOrStdout(), body, &s, func(w io.Writer) {
		showDomains(w, s)
		fmt.Fprintln(w)
		showHosts(w, s)
	})
}

func showDomains(w io.Writer, s admin.Status) {
	fmt.Fprintln(w, "DOMAIN\tSTATE\tHOSTS\tREADY\tUNREACHED\tVERSIONS\tAGE")
	for _, d := range s.Domains {
		versions := fmt.Sprintf("%d-%d", d.LowestVersion, d.HighestVersion)
		if d.LowestVersion == d.HighestVersion {
			versions = fmt.Sprint(d.HighestVersion)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", d.Name, d.State, d.Hosts, d.Ready, d.Unreached, versions, formatAge(d.OldestS))
	}
	if len(s.Unreached) > 0 {
		fmt.Fprintf(w, "unreachable: %s\n", strings.Join(s.Unreached, ", "))
	}
}

func showHosts(w io.Writer, s admin.Status) {
	domainOut := make(map[string]bool)
	for _, d := range s.Domains {
		domainOut[d.Name] = d.State == config.DomainOut
	}
	fmt.Fprintln(w, "HOST\tDOMAIN\tVERSION\tAGE\tACTIVE\tSTATE")
	for _, h := range s.Hosts {
		if !h.Reached {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\tunreached\n", h.Host, h.Domain)
			continue
		}
		state := "ready"
		switch {
		case h.Forked:
			state = "forked"
		case h.Draining:
			state = "draining"
		case domainOut[h.Domain]:
			state = "out"
		case !h.Ready:
			state = "not ready"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\n", h.Host, h.Domain, h.Version, formatAge(h.AgeS), h.Active, state)
	}
}

// formatAge returns an age in seconds, or a dash if it is not known.
func formatAge(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	return fmt.Sprintf("%.1fs", *seconds)
}

package cmds

import (
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/survey"
)

type adminExplainCmd struct {
	cmd    *cobra.Command
	shared *adminShared
}

func newAdminExplainCmd(s *adminShared) *adminExplainCmd {
	c := &adminExplainCmd{shared: s}
	c.cmd = &cobra.Command{
		Use:   "explain REQUEST_ID",
		Short: "Show why a request waited, where it was sent and how often it was tried",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	return c
}

func (c *adminExplainCmd) run(cmd *cobra.Command, args []string) error {
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	body, _, err := client.Get(cmd.Context(), "/requests/"+url.PathEscape(args[0]), nil)
	if err != nil {
		return err
	}
	var e survey.Explanation
	return c.shared.show(cmd.OutOrStdout(), body, &e, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tHOST\tSTEP\tBACKEND\tREASON")
		for _, s := range e.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.At.Format("15:04:05.000"), s.Host, s.Step, s.Backend, s.Reason)
		}
		if len(e.Steps) == 0 {
			fmt.Fprintln(w, "no host keeps a decision on this request")
		}
		if len(e.Unreached) > 0 {
			fmt.Fprintf(w, "unreachable: %s\n", strings.Join(e.Unreached, ", "))
		}
	})
}

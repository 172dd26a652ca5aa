package cmds

import (
	"fmt"
	"io"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/change"
)

type adminAuditCmd struct {
	cmd    *cobra.Command
	shared *adminShared
	opts   adminAuditOpts
}

type adminAuditOpts struct {
	limit  int
	before uint64
}

func newAdminAuditCmd(s *adminShared) *adminAuditCmd {
	c := &adminAuditCmd{shared: s}
	c.cmd = &cobra.Command{
		Use:   "audit [CHANGE]",
		Short: "Show who changed what, newest first, or one change by its ID",
		Args:  cobra.MaximumNArgs(1),
		RunE:  c.run,
	}
	c.cmd.Flags().IntVar(&c.opts.limit, "limit", 50, "number of changes to read")
	c.cmd.Flags().Uint64Var(&c.opts.before, "before", 0, "show changes below this version")
	return c
}

func (c *adminAuditCmd) run(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		path := "/audit"
		if c.opts.before > 0 {
			return c.shared.showAuditBefore(cmd, path, c.opts.limit, c.opts.before)
		}
		return c.shared.showAudit(cmd, path, c.opts.limit)
	}
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	body, _, err := client.Get(cmd.Context(), "/audit/"+url.PathEscape(args[0]), nil)
	if err != nil {
		return err
	}
	var found change.Change
	return c.shared.show(cmd.OutOrStdout(), body, &found, func(w io.Writer) {
		showChanges(w, []change.Change{found})
	})
}

func (s *adminShared) showAudit(cmd *cobra.Command, path string, limit int) error {
	return s.showAuditBefore(cmd, path, limit, 0)
}

// showAuditBefore prints the last changes below a version; zero means no bound.
func (s *adminShared) showAuditBefore(cmd *cobra.Command, path string, limit int, before uint64) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	defer client.Close()
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if before > 0 {
		query.Set("before", strconv.FormatUint(before, 10))
	}
	body, _, err := client.Get(cmd.Context(), path, query)
	if err != nil {
		return err
	}
	var changes []change.Change
	return s.show(cmd.OutOrStdout(), body, &changes, func(w io.Writer) { showChanges(w, changes) })
}

func showChanges(w io.Writer, changes []change.Change) {
	fmt.Fprintln(w, "VERSION\tTIME\tOPERATOR\tITEM\tFROM -> TO")
	for _, c := range changes {
		showChange(w, c)
		if c.Reason != "" {
			fmt.Fprintf(w, "\t\t\t\treason: %s\n", c.Reason)
		}
	}
}

// reasonQuery returns the query with a reason for the audit trail, or nil for an empty reason.
func reasonQuery(reason string) url.Values {
	if reason == "" {
		return nil
	}
	return url.Values{"reason": {reason}}
}

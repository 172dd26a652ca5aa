package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/admin"
	"github.com/tarragonspur/tarragonspur/internal/ctrl"
)

const (
	topInterval = 2 * time.Second
	// topMaxRows is the maximum number of rows of the usage table.
	topMaxRows = 40
	// clearScreen moves the cursor home and erases a terminal.
	clearScreen = "\x1b[H\x1b[2J"
)

type adminTopCmd struct {
	cmd    *cobra.Command
	shared *adminShared
	opts   adminTopOpts
}

type adminTopOpts struct {
	once bool
}

func newAdminTopCmd(s *adminShared) *adminTopCmd {
	c := &adminTopCmd{shared: s}
	c.cmd = &cobra.Command{
		Use:   "top",
		Short: "Show failure domains, shares and backend servers live",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.cmd.Flags().BoolVar(&c.opts.once, "once", false, "print once and exit, for use in a pipe")
	return c
}

func (c *adminTopCmd) run(cmd *cobra.Command, _ []string) error {
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if c.opts.once {
		return c.print(cmd, client)
	}
	stop, _, release := stopSignals(cmd.Context())
	defer release()
	for {
		fmt.Fprint(cmd.OutOrStdout(), clearScreen)
		if err := c.print(cmd, client); err != nil {
			fmt.Fprintln(cmd.OutOrStdout(), "error:", err)
		}
		select {
		case <-time.After(topInterval):
		case <-stop.Done():
			return nil
		}
	}
}

// topView is the data that top shows, from two requests.
type topView struct {
	Status admin.Status      `json:"status"`
	Usage  admin.UsageReport `json:"usage"`
}

func (c *adminTopCmd) print(cmd *cobra.Command, client *ctrl.Client) error {
	var bodies [2]json.RawMessage
	for i, path := range []string{"/status", "/usage"} {
		body, _, err := client.Get(cmd.Context(), path, nil)
		if err != nil {
			return err
		}
		bodies[i] = bytes.TrimSpace(body)
	}
	body := fmt.Appendf(nil, `{"status":%s,"usage":%s}`, bodies[0], bodies[1])
	var v topView
	return c.shared.show(cmd.OutOrStdout(), body, &v, func(w io.Writer) {
		showDomains(w, v.Status)
		fmt.Fprintln(w)
		showUsage(w, v.Usage)
		fmt.Fprintln(w)
		showBackends(w, v.Status.Backends)
	})
}

func showUsage(w io.Writer, u admin.UsageReport) {
	fmt.Fprintln(w, "SERVICE\tWORKSPACE\tENTITLED\tOBTAINED\tTOKENS/S\tWAITING\tRUNNING\tWHOLE\tREFUSED")
	for _, r := range u.Rows[:min(len(u.Rows), topMaxRows)] {
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%.0f%%\t%.1f\t%d\t%d\t%d\t%s\n", r.Service, r.Workspace, 100*r.EntitledShare, 100*r.ObtainedShare,
			r.TokensPerSecond, r.Waiting, r.Running, r.Completed, formatCounts(r.Refused))
	}
	if omitted := len(u.Rows) - topMaxRows; omitted > 0 {
		fmt.Fprintf(w, "and %d more rows\n", omitted)
	}
}

// formatCounts returns counts sorted by code, such as "overloaded 3, timeout 1".
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	return strings.Join(parts, ", ")
}

func showBackends(w io.Writer, backends []admin.BackendStatus) {
	fmt.Fprintln(w, "BACKEND\tSERVICE\tDOMAIN\tRUNNING HERE\tLIMIT\tFAILURES\tREPORTED\tOUT")
	for _, b := range backends {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%t\n", b.Name, b.Service, b.Domain, b.Running, b.Limit, b.Failures, formatAge(b.ReportedS), b.OutOfService)
	}
}

package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// versionComment is the start of a table file's first line; the version that the file is based on follows.
const versionComment = "// version "

type adminTableCmd struct {
	cmd    *cobra.Command
	shared *adminShared
	opts   adminTableOpts
}

type adminTableOpts struct {
	file        bool
	assignments []string
	reason      string
	version     uint64
	limit       int
}

func newAdminTableCmd(s *adminShared) *adminTableCmd {
	c := &adminTableCmd{shared: s}
	c.cmd = &cobra.Command{Use: "table", Short: "Read and change the table of weights and limits"}
	get := &cobra.Command{Use: "get", Short: "Show the table in force", Args: cobra.NoArgs, RunE: c.get}
	get.Flags().BoolVar(&c.opts.file, "file", false, "print a file that `table apply` accepts")
	set := &cobra.Command{
		Use:   "set WORKSPACE/SERVICE COLUMN=VALUE...",
		Short: "Change columns of one row",
		Args:  cobra.MinimumNArgs(2),
		RunE:  c.set,
	}
	remove := &cobra.Command{
		Use:   "delete WORKSPACE/SERVICE...",
		Short: "Delete rows",
		Args:  cobra.MinimumNArgs(1),
		RunE:  c.remove,
	}
	edit := &cobra.Command{
		Use:   "edit [--set WORKSPACE/SERVICE.COLUMN=VALUE]...",
		Short: "Change columns of several rows at once, or read a whole table from standard input",
		Args:  cobra.NoArgs,
		RunE:  c.edit,
	}
	edit.Flags().StringArrayVar(&c.opts.assignments, "set", nil, "one column of one row")
	apply := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the table with that of a file, - for standard input",
		Args:  cobra.ExactArgs(1),
		RunE:  c.apply,
	}
	for _, command := range []*cobra.Command{set, remove, edit, apply} {
		command.Flags().StringVar(&c.opts.reason, "reason", "", "reason for the audit trail")
	}
	for _, command := range []*cobra.Command{edit, apply} {
		command.Flags().Uint64Var(&c.opts.version, "version", 0, "version that the file is based on, if its first line names none")
	}
	history := &cobra.Command{Use: "history", Short: "Show the last changes of the table", Args: cobra.NoArgs, RunE: c.history}
	history.Flags().IntVar(&c.opts.limit, "limit", 20, "number of changes to read")
	c.cmd.AddCommand(get, set, remove, edit, apply, history)
	return c
}

func (c *adminTableCmd) get(cmd *cobra.Command, _ []string) error {
	body, version, err := c.read(cmd)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if c.opts.file {
		var pretty bytes.Buffer
		if err := json.Indent(&pretty, bytes.TrimSpace(body), "", "  "); err != nil {
			return errors.Wrap(err, "read answer")
		}
		fmt.Fprintf(out, "%s%d\n%s\n", versionComment, version, pretty.String())
		return nil
	}
	var t config.Table
	return c.shared.show(out, body, &t, func(w io.Writer) {
		fmt.Fprintf(w, "version %d\n", version)
		fmt.Fprintln(w, "WORKSPACE\tSERVICE\tWEIGHT\tPRIORITY\tMAX RUNNING\tTOKENS/S\tMAX WAITING\tMAX OUTPUT\tLEND")
		for _, r := range t.Rows {
			fmt.Fprintf(w, "%s\t%s\t%g\t%d\t%s\t%s\t%s\t%s\t%t\n", r.Workspace, r.Service, r.Weight, r.Priority,
				formatLimit(float64(r.MaxRunning)), formatLimit(r.TokensPerSecond), formatLimit(float64(r.MaxWaiting)), formatLimit(float64(r.MaxOutputTokens)), r.Lend)
		}
	})
}

// formatLimit returns a limit, or a dash for no limit.
func formatLimit(v float64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func (c *adminTableCmd) read(cmd *cobra.Command) ([]byte, change.Version, error) {
	client, err := c.shared.client()
	if err != nil {
		return nil, 0, err
	}
	defer client.Close()
	return client.Get(cmd.Context(), "/table", nil)
}

func (c *adminTableCmd) set(cmd *cobra.Command, args []string) error {
	for _, column := range args[1:] {
		c.opts.assignments = append(c.opts.assignments, args[0]+"."+column)
	}
	return c.assignAll(cmd)
}

func (c *adminTableCmd) remove(cmd *cobra.Command, args []string) error {
	return c.change(cmd, func(t *config.Table) error {
		for _, name := range args {
			before := len(t.Rows)
			t.Rows = slices.DeleteFunc(t.Rows, func(r config.Row) bool { return r.Workspace+"/"+r.Service == name })
			if len(t.Rows) == before {
				return errors.Newf("the table has no row %q", name)
			}
		}
		return nil
	})
}

func (c *adminTableCmd) edit(cmd *cobra.Command, _ []string) error {
	if len(c.opts.assignments) == 0 {
		return c.apply(cmd, []string{"-"})
	}
	return c.assignAll(cmd)
}

// assignAll makes the assignments that the options list.
func (c *adminTableCmd) assignAll(cmd *cobra.Command) error {
	return c.change(cmd, func(t *config.Table) error {
		for _, assignment := range c.opts.assignments {
			if err := setColumn(t, assignment); err != nil {
				return err
			}
		}
		return nil
	})
}

// change reads the table, edits it and writes it back on condition that the version is still the same.
func (c *adminTableCmd) change(cmd *cobra.Command, edit func(*config.Table) error) error {
	body, version, err := c.read(cmd)
	if err != nil {
		return err
	}
	var t config.Table
	if err := json.Unmarshal(body, &t); err != nil {
		return errors.Wrap(err, "read answer")
	}
	if err := edit(&t); err != nil {
		return err
	}
	text, err := json.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode table")
	}
	return c.put(cmd, text, version)
}

// setColumn makes one assignment such as "club/modelo.weight=2"; it adds the row if the table has none.
func setColumn(t *config.Table, text string) error {
	target, value, hasValue := strings.Cut(text, "=")
	row, column, hasColumn := strings.Cut(target, ".")
	workspace, service, hasService := strings.Cut(row, "/")
	if !hasValue || !hasColumn || !hasService {
		return errors.Newf("%q: want WORKSPACE/SERVICE.COLUMN=VALUE", text)
	}
	i := slices.IndexFunc(t.Rows, func(r config.Row) bool { return r.Workspace == workspace && r.Service == service })
	if i < 0 {
		t.Rows = append(t.Rows, config.Row{Workspace: workspace, Service: service, Weight: 1, Lend: true})
		i = len(t.Rows) - 1
	}
	if column == "workspace" || column == "service" {
		return errors.Newf("%q: a row's workspace and service can't be changed", text)
	}
	dec := json.NewDecoder(strings.NewReader(fmt.Sprintf("{%q:%s}", column, value)))
	dec.DisallowUnknownFields()
	return errors.Wrapf(dec.Decode(&t.Rows[i]), "%q", text)
}

func (c *adminTableCmd) apply(cmd *cobra.Command, args []string) error {
	text, err := readInput(cmd, args[0])
	if err != nil {
		return err
	}
	version := change.Version(c.opts.version)
	if !cmd.Flags().Changed("version") {
		if version, err = versionOf(text); err != nil {
			return err
		}
	}
	if _, err := config.ParseTable(text); err != nil {
		return err
	}
	return c.put(cmd, text, version)
}

func readInput(cmd *cobra.Command, path string) ([]byte, error) {
	if path != "-" {
		return readFile(path)
	}
	text, err := io.ReadAll(cmd.InOrStdin())
	return text, errors.Wrap(err, "read standard input")
}

// versionOf returns the version in the first line of a table file.
func versionOf(text []byte) (change.Version, error) {
	line, _, _ := strings.Cut(string(text), "\n")
	number, ok := strings.CutPrefix(strings.TrimSpace(line), versionComment)
	if !ok {
		return 0, errors.Newf("name the version that the file is based on: --version N, or a first line %q as `table get --file` writes", versionComment+"N")
	}
	v, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	return change.Version(v), errors.Wrap(err, "read the version in the first line")
}

func (c *adminTableCmd) put(cmd *cobra.Command, text []byte, version change.Version) error {
	client, err := c.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Change(cmd.Context(), http.MethodPut, "/table", reasonQuery(c.opts.reason), text, &version)
	return c.shared.reportResult(cmd, result, err)
}

func (c *adminTableCmd) history(cmd *cobra.Command, _ []string) error {
	return c.shared.showAudit(cmd, "/table/history", c.opts.limit)
}

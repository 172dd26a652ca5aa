package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type checkCmd struct {
	cmd  *cobra.Command
	opts checkOpts
}

type checkOpts struct {
	table bool
}

func newCheckCmd() *checkCmd {
	c := &checkCmd{}
	c.cmd = &cobra.Command{
		Use:   "check FILE",
		Short: "Check settings or a table without starting anything",
		Args:  cobra.ExactArgs(1),
		RunE:  c.run,
	}
	c.cmd.Flags().BoolVar(&c.opts.table, "table", false, "the file holds a table")
	return c
}

func (c *checkCmd) run(cmd *cobra.Command, args []string) error {
	text, err := readFile(args[0])
	if err != nil {
		return err
	}
	if c.opts.table {
		_, err = config.ParseTable(text)
	} else {
		_, err = config.ParseSettings(text)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "ok")
	return nil
}

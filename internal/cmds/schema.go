package cmds

import (
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/schema"
)

type schemaCmd struct {
	cmd *cobra.Command
}

func newSchemaCmd() *schemaCmd {
	c := &schemaCmd{}
	c.cmd = &cobra.Command{
		Use:       "schema settings|table",
		Short:     "Print the JSON Schema of the settings or the table",
		ValidArgs: []string{"settings", "table"},
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		RunE:      c.run,
	}
	return c
}

func (c *schemaCmd) run(cmd *cobra.Command, args []string) error {
	build := schema.Settings
	if args[0] == "table" {
		build = schema.Table
	}
	text, err := build()
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(text)
	return err
}

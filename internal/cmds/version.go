package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

type versionCmd struct {
	cmd *cobra.Command
}

func newVersionCmd() *versionCmd {
	c := &versionCmd{}
	c.cmd = &cobra.Command{
		Use:   "version",
		Short: "Print the version from the build information",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	return c
}

func (c *versionCmd) run(cmd *cobra.Command, _ []string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(cmd.OutOrStdout(), "tarragonspur unknown")
		return nil
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "tarragonspur %s%s %s\n", info.Main.Version, revision, info.GoVersion)
	return nil
}

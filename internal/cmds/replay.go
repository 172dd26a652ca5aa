package cmds

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/replay"
)

type replayCmd struct {
	cmd *cobra.Command
}

func newReplayCmd() *replayCmd {
	c := &replayCmd{}
	c.cmd = &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay recorded traces through the stream state machine and compare the outcomes",
		Args:  cobra.MinimumNArgs(1),
		RunE:  c.run,
	}
	return c
}

func (c *replayCmd) run(cmd *cobra.Command, args []string) error {
	var errs []error
	for _, path := range args {
		errs = append(errs, errors.Wrapf(replayFile(cmd, path), "replay %s", path))
	}
	return errors.Join(errs...)
}

func replayFile(cmd *cobra.Command, path string) error {
	text, err := readFile(path)
	if err != nil {
		return err
	}
	trace, err := replay.Read(bytes.NewReader(text))
	if err != nil {
		return err
	}
	outcome, err := replay.Run(trace, cmd.OutOrStdout())
	cmd.Printf("%s: %+v\n", path, outcome)
	return err
}

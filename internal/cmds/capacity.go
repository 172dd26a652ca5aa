package cmds

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/slopes"
)

const (
	// slopeTolerance and timedSlopeTolerance are the allowed relative differences between the page and a new measurement,
	// of counted figures and of processor times.
	slopeTolerance      = 0.3
	timedSlopeTolerance = 0.3
	pageFileMode        = 0o644
)

type capacityCmd struct {
	cmd  *cobra.Command
	opts capacityOpts
}

type capacityOpts struct {
	check string
	write string
	seed  uint64
}

func newCapacityCmd() *capacityCmd {
	c := &capacityCmd{}
	c.cmd = &cobra.Command{
		Use:   "capacity",
		Short: "Measure the slopes of the capacity page",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.cmd.Flags().StringVar(&c.opts.check, "check", "", "compare with this page, within 30%")
	c.cmd.Flags().StringVar(&c.opts.write, "write", "", "rewrite the table of this page")
	c.cmd.Flags().Uint64Var(&c.opts.seed, "seed", 1, "seed of the arrivals")
	return c
}

func (c *capacityCmd) run(cmd *cobra.Command, _ []string) error {
	measured, err := slopes.Measure(cmd.Context(), c.opts.seed)
	if err != nil {
		return err
	}
	for _, s := range measured {
		fmt.Fprintf(cmd.OutOrStdout(), "%-50s %10.4g\n", s.Name, s.Value)
	}
	if c.opts.check != "" {
		page, err := readFile(c.opts.check)
		if err != nil {
			return err
		}
		if err := slopes.Check(string(page), measured, slopeTolerance, timedSlopeTolerance); err != nil {
			return err
		}
	}
	if c.opts.write != "" {
		return c.rewritePage(measured)
	}
	return nil
}

func (c *capacityCmd) rewritePage(measured []slopes.Slope) error {
	page, err := readFile(c.opts.write)
	if err != nil {
		return err
	}
	next, err := slopes.Replace(string(page), measured)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.opts.write, []byte(next), pageFileMode), "write page")
}

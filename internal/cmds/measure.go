package cmds

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/bench"
	"github.com/tarragonspur/tarragonspur/internal/plots"
)

type measureCmd struct {
	cmd  *cobra.Command
	opts measureOpts
}

type measureOpts struct {
	seed uint64
	json bool
	plot string
}

func newMeasureCmd() *measureCmd {
	c := &measureCmd{}
	c.cmd = &cobra.Command{
		Use:   "measure [SCENARIO...]",
		Short: "Run the decision code and baseline policies against stand-ins and compare the figures",
		RunE:  c.run,
	}
	c.cmd.Flags().Uint64Var(&c.opts.seed, "seed", 1, "seed of the arrivals and faults")
	c.cmd.Flags().BoolVar(&c.opts.json, "json", false, "print one JSON object per line")
	c.cmd.Flags().StringVar(&c.opts.plot, "plot", "", "directory to save a plot of each scenario in")
	return c
}

func (c *measureCmd) run(cmd *cobra.Command, args []string) error {
	scenarios, err := bench.ByName(args)
	if err != nil {
		return err
	}
	for _, s := range scenarios {
		began := time.Now()
		var results []bench.Result
		for _, policy := range s.Policies() {
			r, err := s.Run(cmd.Context(), policy, c.opts.seed)
			if err != nil {
				return errors.Wrapf(err, "measure %s with %s", s.Name(), policy)
			}
			results = append(results, r)
		}
		if err := c.draw(results); err != nil {
			return err
		}
		if c.opts.json {
			if err := bench.WriteJSON(cmd.OutOrStdout(), results); err != nil {
				return err
			}
			continue
		}
		if err := bench.WriteTable(cmd.OutOrStdout(), results); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "(%s)\n\n", time.Since(began).Round(time.Millisecond))
	}
	return nil
}

// draw saves a plot of one scenario's results if a directory is given.
func (c *measureCmd) draw(results []bench.Result) error {
	if c.opts.plot == "" {
		return nil
	}
	_, err := plots.Save(c.opts.plot, results)
	return err
}

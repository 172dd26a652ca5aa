package cmds

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/soak"
)

type soakCmd struct {
	cmd  *cobra.Command
	opts soakOpts
}

type soakOpts struct {
	seed                           uint64
	seeds, hosts, engines, callers int
	duration, recovery             time.Duration
	deadlyRatio                    float64
	hasStatements, hasPathFaults   bool
	hasRollout                     bool
	hasFloods, hasRestores         bool
	hasBrokenAnswers               bool
	logs                           string
}

func newSoakCmd() *soakCmd {
	c := &soakCmd{}
	c.cmd = &cobra.Command{
		Use:   "soak",
		Short: "Run entry hosts as processes under random faults and check the system's guarantees",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.cmd.Flags().Uint64Var(&c.opts.seed, "seed", 1, "first seed of the random requests and faults")
	c.cmd.Flags().IntVar(&c.opts.seeds, "seeds", 1, "number of seeds to run, one after the other")
	c.cmd.Flags().DurationVar(&c.opts.duration, "for", 10*time.Second, "duration of the faults for each seed")
	c.cmd.Flags().DurationVar(&c.opts.recovery, "recovery", 0, "time without faults at the end; 0 stands for the default")
	c.cmd.Flags().Float64Var(&c.opts.deadlyRatio, "deadly-ratio", 0, "fraction of reports whose prompts hold a part that crashes engines")
	c.cmd.Flags().BoolVar(&c.opts.hasStatements, "statements", false, "servers state a limit and that they leave, another writer leaves an odd entry")
	c.cmd.Flags().BoolVar(&c.opts.hasPathFaults, "paths", false, "paths between single hosts and backend servers fail, backend servers are slow")
	c.cmd.Flags().BoolVar(&c.opts.hasRollout, "rollout", false, "a new version of the plain service's servers is ordered, good or bad by the seed")
	c.cmd.Flags().BoolVar(&c.opts.hasFloods, "floods", false, "callers leave heads and bodies unfinished on many connections; the hosts have little memory")
	c.cmd.Flags().BoolVar(&c.opts.hasRestores, "restores", false, "the store comes back from copies some seconds old")
	c.cmd.Flags().BoolVar(&c.opts.hasBrokenAnswers, "broken", false, "answers of the store and of backend servers have heads that are not valid HTTP")
	c.cmd.Flags().StringVar(&c.opts.logs, "logs", "", "directory in which each run leaves the hosts' logs, the faults and the callers' outcomes")
	c.cmd.Flags().IntVar(&c.opts.hosts, "hosts", 3, "entry hosts, each a process")
	c.cmd.Flags().IntVar(&c.opts.engines, "engines", 8, "backend servers, half of them model engines")
	c.cmd.Flags().IntVar(&c.opts.callers, "callers", 12, "callers")
	return c
}

func (c *soakCmd) run(cmd *cobra.Command, _ []string) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	var errs error
	for i := range c.opts.seeds {
		s := &soak.Soak{
			Seed: c.opts.seed + uint64(i), Duration: c.opts.duration, Hosts: c.opts.hosts, Engines: c.opts.engines, Callers: c.opts.callers,
			Recovery: c.opts.recovery, DeadlyRatio: c.opts.deadlyRatio, HasStatements: c.opts.hasStatements, HasPathFaults: c.opts.hasPathFaults,
			HasRollout: c.opts.hasRollout, HasFloods: c.opts.hasFloods, HasRestores: c.opts.hasRestores, HasBrokenAnswers: c.opts.hasBrokenAnswers,
			Logs: c.opts.logs, Binary: binary, Out: cmd.OutOrStdout(),
		}
		if err := s.Run(cmd.Context()); err != nil {
			errs = errors.CombineErrors(errs, err)
		}
	}
	return errs
}

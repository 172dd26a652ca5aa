package cmds

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/devel"
)

const tryTimeout = 30 * time.Second

type devCmd struct {
	cmd  *cobra.Command
	opts devOpts
}

type devOpts struct {
	deployment string
	try        bool
	verbose    bool
}

func newDevCmd() *devCmd {
	c := &devCmd{}
	c.cmd = &cobra.Command{
		Use:   "dev",
		Short: "Run a whole deployment on loopback in one process",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.cmd.Flags().StringVar(&c.opts.deployment, "deployment", "hallowbrook", "built-in deployment to run: hallowbrook or federacion")
	c.cmd.Flags().BoolVar(&c.opts.try, "try", false, "send one request of each kind, then stop")
	c.cmd.Flags().BoolVar(&c.opts.verbose, "verbose", false, "log the hosts' events")
	return c
}

func (c *devCmd) run(cmd *cobra.Command, _ []string) error {
	spec, err := devel.SpecByName(c.opts.deployment)
	if err != nil {
		return err
	}
	level := slog.LevelError
	if c.opts.verbose {
		level = slog.LevelInfo
	}
	stop, _, release := stopSignals(cmd.Context())
	defer release()
	deployment, err := devel.Start(stop, spec, newLogger(cmd.ErrOrStderr(), level))
	if err != nil {
		return err
	}
	defer deployment.Stop()
	readyCtx, cancel := context.WithTimeout(stop, tryTimeout)
	defer cancel()
	if err := deployment.WaitReady(readyCtx); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	for i, domain := range spec.Domains() {
		fmt.Fprintf(out, "%-12s callers %s  operators %s\n", domain, deployment.CallerAddrs[i], deployment.OperatorAddrs[i])
	}
	if c.opts.try {
		if err := deployment.Try(readyCtx, out); err != nil {
			return err
		}
		return devel.TryPlatform(readyCtx, out, newLogger(cmd.ErrOrStderr(), level))
	}
	fmt.Fprintf(out, "curl -N -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":%q,\"stream\":true}' http://%s/v1/completions\n",
		devel.CallerKey, spec.ModelService, spec.Prompt, deployment.CallerAddrs[0])
	<-stop.Done()
	return nil
}

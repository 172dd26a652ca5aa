package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	modelfake "github.com/tarragonspur/tarragonspur/internal/fakes/model"
	"github.com/tarragonspur/tarragonspur/internal/fakes/objapi"
	plainfake "github.com/tarragonspur/tarragonspur/internal/fakes/plain"
	"github.com/tarragonspur/tarragonspur/internal/httpd"
)

const headerTimeout = 5 * time.Second

type standinCmd struct {
	cmd  *cobra.Command
	opts standinOpts
}

type standinOpts struct {
	listen string
	name   string
	model  string
	reads  float64
	writes float64
}

func newStandinCmd() *standinCmd {
	c := &standinCmd{}
	c.cmd = &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for an external system",
	}
	c.cmd.PersistentFlags().StringVar(&c.opts.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.cmd.PersistentFlags().StringVar(&c.opts.name, "name", "standin", "name of the stand-in")
	store := &cobra.Command{Use: "store", Short: "Stand in for the platform's object API", Args: cobra.NoArgs, RunE: c.runStore}
	store.Flags().Float64Var(&c.opts.reads, "reads-per-second", 2000, "limit of reads and watches per second; 0 for no limit")
	store.Flags().Float64Var(&c.opts.writes, "writes-per-second", 300, "limit of writes per second; 0 for no limit")
	engine := &cobra.Command{Use: "engine", Short: "Stand in for a model engine", Args: cobra.NoArgs, RunE: c.runEngine}
	engine.Flags().StringVar(&c.opts.model, "model", "model", "name of the model")
	service := &cobra.Command{Use: "service", Short: "Stand in for a plain service", Args: cobra.NoArgs, RunE: c.runService}
	c.cmd.AddCommand(store, engine, service)
	return c
}

func (c *standinCmd) runStore(cmd *cobra.Command, _ []string) error {
	s := &objapi.Server{Memory: &objapi.Memory{}, ReadsPerSecond: c.opts.reads, WritesPerSecond: c.opts.writes}
	return c.serve(cmd, s.Handler(), nil)
}

func (c *standinCmd) runEngine(cmd *cobra.Command, _ []string) error {
	s := modelfake.NewServer(modelfake.DefaultParams(c.opts.model))
	return c.serve(cmd, s.Handler(), s.Run)
}

func (c *standinCmd) runService(cmd *cobra.Command, _ []string) error {
	s := &plainfake.Server{Name: c.opts.name, RunLog: &plainfake.RunLog{}}
	return c.serve(cmd, s.Handler(), nil)
}

// serve prints its address and serves HTTP until a stop signal; background runs concurrently unless it is nil.
func (c *standinCmd) serve(cmd *cobra.Command, handler http.Handler, background func(context.Context) error) error {
	addr, err := netip.ParseAddrPort(c.opts.listen)
	if err != nil {
		return errors.Wrap(err, "--listen must be an IP address and port")
	}
	l, err := httpd.Listen(cmd.Context(), addr.String())
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), l.Addr())
	stop, _, release := stopSignals(cmd.Context())
	defer release()
	backgroundErr := make(chan error, 1)
	go func() {
		if background == nil {
			backgroundErr <- nil
			return
		}
		backgroundErr <- background(stop)
	}()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	err = httpd.Serve(stop, server, l)
	return errors.CombineErrors(err, <-backgroundErr)
}

package cmds

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/host"
	"github.com/tarragonspur/tarragonspur/internal/logs"
	"github.com/tarragonspur/tarragonspur/internal/site"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// envSettings is the environment variable that names the settings file if no flag does.
const envSettings = "TARRAGONSPUR_SETTINGS"

type serveCmd struct {
	cmd  *cobra.Command
	opts serveOpts
}

type serveOpts struct {
	settings string
	debug    bool
}

func newServeCmd() *serveCmd {
	c := &serveCmd{}
	c.cmd = &cobra.Command{
		Use:   "serve",
		Short: "Run one entry host",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.cmd.Flags().StringVar(&c.opts.settings, "settings", os.Getenv(envSettings), "file with the host's settings, JSON with comments")
	c.cmd.Flags().BoolVar(&c.opts.debug, "debug", false, "log debugging events")
	return c
}

func (c *serveCmd) run(cmd *cobra.Command, _ []string) error {
	// The signal ends the process unless it is caught, also before the host serves and after it has stopped.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	settings, err := c.settings()
	if err != nil {
		return err
	}
	level := slog.LevelInfo
	if c.opts.debug {
		level = slog.LevelDebug
	}
	if settings.Platform != nil {
		return c.serveSite(cmd, settings, level, reloads)
	}
	listeners, err := host.Listen(cmd.Context(), &settings)
	if err != nil {
		return err
	}
	h, err := host.Build(settings, listeners, newLogger(cmd.ErrOrStderr(), level))
	if err != nil {
		listeners.Close()
		return err
	}
	stop, abort, release := stopSignals(cmd.Context())
	defer release()
	return h.Run(stop, abort)
}

// settings reads and checks the settings file.
func (c *serveCmd) settings() (config.Settings, error) {
	if c.opts.settings == "" {
		return config.Settings{}, errors.Newf("no settings file: name one with --settings or in %s", envSettings)
	}
	text, err := readFile(c.opts.settings)
	if err != nil {
		return config.Settings{}, err
	}
	return config.ParseSettings(text)
}

// serveSite runs an entry host on the users' platform, with its log on standard output.
func (c *serveCmd) serveSite(cmd *cobra.Command, settings config.Settings, level slog.Level, reloads <-chan os.Signal) error {
	logWriter := logs.NewWriter(cmd.OutOrStdout())
	s, err := site.Build(cmd.Context(), settings, logWriter, newLogger(logWriter, level))
	if err != nil {
		return err
	}
	s.Reload, s.Reloads = c.settings, reloads
	stop, abort, release := stopSignals(cmd.Context())
	defer release()
	return s.Run(stop, abort)
}

// stopSignals returns a context that ends at the first SIGTERM or SIGINT and one that ends at the second. After release
// both have ended and signals have their default effect again.
func stopSignals(parent context.Context) (stop, abort context.Context, release func()) {
	stop, endStop := context.WithCancel(parent)
	abort, endAbort := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, end := range []context.CancelFunc{endStop, endAbort} {
			select {
			case <-signals:
				end()
			case <-abort.Done():
				return
			}
		}
	}()
	return stop, abort, func() {
		signal.Stop(signals)
		endStop()
		endAbort()
		<-done
	}
}

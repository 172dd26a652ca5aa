// Package cmds implements the command line, one file for each command.
package cmds

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Exit codes of the command line.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// Execute runs the command line and returns the exit code, which is 2 for invalid settings or an invalid table.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "error:", err)
	if errors.Is(err, config.ErrInvalid) {
		return exitInvalid
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragonspur",
		Short:         "Serve generations of unknown length from a shared pool of model engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newSchemaCmd().cmd,
		newServeCmd().cmd,
		newDevCmd().cmd,
		newStandinCmd().cmd,
		newCheckCmd().cmd,
		newMeasureCmd().cmd,
		newCapacityCmd().cmd,
		newReplayCmd().cmd,
		newSoakCmd().cmd,
		newExplainCmd().cmd,
		newVersionCmd().cmd,
		newAdminCmd().cmd,
	)
	return root
}

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: plainError}))
}

// plainError replaces an error by its message; the default format adds the stack trace.
func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	return text, errors.Wrapf(err, "read %s", path)
}

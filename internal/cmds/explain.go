package cmds

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/cause"
)

type explainCmd struct {
	cmd *cobra.Command
}

func newExplainCmd() *explainCmd {
	c := &explainCmd{}
	c.cmd = &cobra.Command{
		Use:   "explain REQUEST_ID [LOG...]",
		Short: "Explain from the hosts' logs what happened to a request",
		Long: "Explain from the hosts' logs what happened to a request. Without files the logs are read from standard input.\n" +
			"A file's name is taken as the name of its host, unless its lines begin with a host's name.",
		Args: cobra.MinimumNArgs(1),
		RunE: c.run,
	}
	return c
}

func (c *explainCmd) run(cmd *cobra.Command, args []string) error {
	requestID, files := args[0], args[1:]
	var lines []cause.Line
	if len(files) == 0 {
		read, err := cause.Read(cmd.InOrStdin(), "stdin", requestID)
		if err != nil {
			return err
		}
		lines = read
	}
	for _, name := range files {
		read, err := readLog(name, requestID)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	explanation, err := cause.Explain(requestID, lines)
	if err != nil {
		return err
	}
	return explanation.Print(cmd.OutOrStdout())
}

func readLog(name, requestID string) (lines []cause.Line, err error) {
	f, err := os.Open(name) //nolint:gosec // the file is the one that the user names
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	defer func() { err = errors.CombineErrors(err, errors.Wrap(f.Close(), "close log")) }()
	return cause.Read(f, filepath.Base(name), requestID)
}

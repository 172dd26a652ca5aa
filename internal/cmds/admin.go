package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/ctrl"
	"github.com/tarragonspur/tarragonspur/internal/secure"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	envKey     = "TARRAGONSPUR_KEY"
	envAddress = "TARRAGONSPUR_ADDRESS"

	outputTable = "table"
	outputJSON  = "json"
)

type adminCmd struct {
	cmd    *cobra.Command
	shared adminShared
}

// adminShared holds what all admin commands share: the host to connect to and the output format.
type adminShared struct {
	address string
	key     string
	output  string
	tls     config.TLS
}

func newAdminCmd() *adminCmd {
	c := &adminCmd{}
	c.cmd = &cobra.Command{
		Use:   "admin",
		Short: "Operate a deployment through the operators' interface of any host",
	}
	f := c.cmd.PersistentFlags()
	f.StringVar(&c.shared.address, "address", "", "address of a host's operators' interface (or "+envAddress+")")
	f.StringVar(&c.shared.key, "key", "", "operator's key (or "+envKey+", which keeps it off the command line)")
	f.StringVarP(&c.shared.output, "output", "o", outputTable, "table or json")
	f.StringVar(&c.shared.tls.CertFile, "cert", "", "certificate file for mutual TLS")
	f.StringVar(&c.shared.tls.KeyFile, "cert-key", "", "private key file for mutual TLS")
	f.StringVar(&c.shared.tls.CAFile, "ca", "", "file of the certificate authorities to trust")
	c.cmd.AddCommand(
		newAdminTableCmd(&c.shared).cmd,
		newAdminDomainCmd(&c.shared).cmd,
		newAdminServiceCmd(&c.shared).cmd,
		newAdminWorkspaceCmd(&c.shared).cmd,
		newAdminBackendCmd(&c.shared).cmd,
		newAdminStatusCmd(&c.shared).cmd,
		newAdminTopCmd(&c.shared).cmd,
		newAdminExplainCmd(&c.shared).cmd,
		newAdminAuditCmd(&c.shared).cmd,
	)
	return c
}

// client returns a client for the host that the flags or the environment name.
func (s *adminShared) client() (*ctrl.Client, error) {
	if s.output != outputTable && s.output != outputJSON {
		return nil, errors.Newf("--output must be table or json, not %q", s.output)
	}
	address := s.address
	if address == "" {
		address = os.Getenv(envAddress)
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "--address or %s must be an IP address and port", envAddress)
	}
	c := &ctrl.Client{Address: addr, Key: s.key}
	if c.Key == "" {
		c.Key = os.Getenv(envKey)
	}
	if s.tls == (config.TLS{}) {
		return c, nil
	}
	source, err := secure.NewCertificateSource(s.tls)
	if err != nil {
		return nil, err
	}
	c.TLS, err = source.Client()
	return c, err
}

// show prints an answer's body: unchanged with --output json, else decoded into v and as a table.
func (s *adminShared) show(w io.Writer, body []byte, v any, table func(w io.Writer)) error {
	if s.output == outputJSON {
		_, err := fmt.Fprintln(w, strings.TrimSpace(string(body)))
		return errors.Wrap(err, "write answer")
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errors.Wrap(err, "read answer")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	table(t)
	return errors.Wrap(t.Flush(), "write table")
}

// reportResult prints the result of a change, or returns its error. For a conflict it prints the current version, the
// changes since the one that the change was based on, and what the change would still change.
func (s *adminShared) reportResult(cmd *cobra.Command, r ctrl.Result, err error) error {
	var conflict *ctrl.ConflictError
	if errors.As(err, &conflict) {
		showConflict(cmd.ErrOrStderr(), conflict)
		return err
	}
	if errors.Is(err, ctrl.ErrUnknownOutcome) {
		return errors.Wrap(err, "it is not known yet whether the change was accepted; look it up with \"admin audit CHANGE\"")
	}
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if s.output == outputJSON {
		return errors.Wrap(json.NewEncoder(out).Encode(r), "write answer")
	}
	if !r.Changed {
		fmt.Fprintf(out, "nothing to change, version %d\n", r.Version)
		return nil
	}
	fmt.Fprintf(out, "accepted as version %d (change %s)\n", r.Version, r.ID)
	return nil
}

func showConflict(w io.Writer, c *ctrl.ConflictError) {
	fmt.Fprintf(w, "version %d is in force. Accepted since:\n", c.CurrentVersion)
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	for _, accepted := range c.Since {
		showChange(t, accepted)
	}
	_ = t.Flush()
	fmt.Fprintln(w, "Your change would still change:")
	for _, e := range c.Differs {
		showEdit(t, e)
	}
	_ = t.Flush()
}

// showChange prints a change as one line for each edit, up to maxShownEdits.
func showChange(w io.Writer, c change.Change) {
	const maxShownEdits = 20
	for _, e := range c.Edits[:min(len(c.Edits), maxShownEdits)] {
		fmt.Fprintf(w, "%d\t%s\t%s\t", c.Version, c.At.Format("2006-01-02T15:04:05Z"), c.Operator)
		showEdit(w, e)
	}
	if omitted := len(c.Edits) - maxShownEdits; omitted > 0 {
		fmt.Fprintf(w, "%d\t%s\t%s\tand %d more edits\n", c.Version, c.At.Format("2006-01-02T15:04:05Z"), c.Operator, omitted)
	}
}

func showEdit(w io.Writer, e change.Edit) {
	fmt.Fprintf(w, "%s\t%s -> %s\n", e.Name(), formatItem(e.From), formatItem(e.To))
}

// formatItem returns the fields of an item as JSON, or a dash for nil.
func formatItem(i *change.Item) string {
	if i == nil {
		return "-"
	}
	var v any
	switch {
	case i.Service != nil:
		v = i.Service
	case i.Workspace != nil:
		v = i.Workspace
	case i.Backend != nil:
		v = i.Backend
	case i.Row != nil:
		v = i.Row
	default:
		v = i.Domain
	}
	text, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	return string(text)
}

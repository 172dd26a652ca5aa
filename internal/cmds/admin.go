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
	cmd  *cobra.Command
	desk adminDesk
}

// adminDesk is what all admin commands share: the host to ask and the form of the output.
type adminDesk struct {
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
	f.StringVar(&c.desk.address, "address", "", "address of a host's operators' interface (or "+envAddress+")")
	f.StringVar(&c.desk.key, "key", "", "operator's key (or "+envKey+", which keeps it off the command line)")
	f.StringVarP(&c.desk.output, "output", "o", outputTable, "table or json")
	f.StringVar(&c.desk.tls.CertFile, "cert", "", "certificate file for mutual TLS")
	f.StringVar(&c.desk.tls.KeyFile, "cert-key", "", "private key file for mutual TLS")
	f.StringVar(&c.desk.tls.CAFile, "ca", "", "file of the certificate authorities to trust")
	c.cmd.AddCommand(
		newAdminTableCmd(&c.desk).cmd,
		newAdminDomainCmd(&c.desk).cmd,
		newAdminServiceCmd(&c.desk).cmd,
		newAdminWorkspaceCmd(&c.desk).cmd,
		newAdminBackendCmd(&c.desk).cmd,
		newAdminStatusCmd(&c.desk).cmd,
		newAdminTopCmd(&c.desk).cmd,
		newAdminExplainCmd(&c.desk).cmd,
		newAdminAuditCmd(&c.desk).cmd,
	)
	return c
}

// client returns a client for the host that flags or the environment name.
func (d *adminDesk) client() (*ctrl.Client, error) {
	if d.output != outputTable && d.output != outputJSON {
		return nil, errors.Newf("--output must be table or json, not %q", d.output)
	}
	address := d.address
	if address == "" {
		address = os.Getenv(envAddress)
	}
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "--address or %s must be an IP address and port", envAddress)
	}
	c := &ctrl.Client{Address: addr, Key: d.key}
	if c.Key == "" {
		c.Key = os.Getenv(envKey)
	}
	if d.tls == (config.TLS{}) {
		return c, nil
	}
	source, err := secure.NewCertificateSource(d.tls)
	if err != nil {
		return nil, err
	}
	c.TLS, err = source.Client()
	return c, err
}

// show writes a body as it came with --output json, or decodes it into v and writes a table.
func (d *adminDesk) show(w io.Writer, body []byte, v any, table func(w io.Writer)) error {
	if d.output == outputJSON {
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

// settle reports what became of a change; a conflict is shown with the current version and what differs.
func (d *adminDesk) settle(cmd *cobra.Command, r ctrl.Result, err error) error {
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
	if d.output == outputJSON {
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
	for _, one := range c.Since {
		showChange(t, one)
	}
	_ = t.Flush()
	fmt.Fprintln(w, "Your change would still change:")
	for _, e := range c.Differs {
		showEdit(t, e)
	}
	_ = t.Flush()
}

// showChange writes a change as one line for each edit.
func showChange(w io.Writer, c change.Change) {
	const manyEdits = 20
	for _, e := range c.Edits[:min(len(c.Edits), manyEdits)] {
		fmt.Fprintf(w, "%d\t%s\t%s\t", c.Version, c.At.Format("2006-01-02T15:04:05Z"), c.Operator)
		showEdit(w, e)
	}
	if more := len(c.Edits) - manyEdits; more > 0 {
		fmt.Fprintf(w, "%d\t%s\t%s\tand %d edits more\n", c.Version, c.At.Format("2006-01-02T15:04:05Z"), c.Operator, more)
	}
}

func showEdit(w io.Writer, e change.Edit) {
	fmt.Fprintf(w, "%s\t%s -> %s\n", e.Name(), compact(e.From), compact(e.To))
}

// compact returns the fields of an item, or a dash for an absent one.
func compact(i *change.Item) string {
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

package cmds

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/internal/ctrl"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type adminWorkspaceCmd struct {
	cmd  *cobra.Command
	item adminItem
	opts adminWorkspaceOpts
}

type adminWorkspaceOpts struct {
	hashes []string
	newKey bool
}

func newAdminWorkspaceCmd(d *adminDesk) *adminWorkspaceCmd {
	c := &adminWorkspaceCmd{item: adminItem{desk: d, path: "/workspaces"}}
	c.cmd = &cobra.Command{Use: "workspace", Short: "Create, list and delete workspaces"}
	create := &cobra.Command{Use: "create NAME", Short: "Create a workspace", Args: cobra.ExactArgs(1), RunE: c.create}
	create.Flags().StringArrayVar(&c.opts.hashes, "key-hash", nil, "SHA-256 of a bearer key in lower-case hexadecimal")
	create.Flags().BoolVar(&c.opts.newKey, "new-key", false, "make a bearer key here and print it once; only its hash is sent")
	c.cmd.AddCommand(create)
	var list []config.Workspace
	c.item.addList(c.cmd, &list, func(w io.Writer) {
		fmt.Fprintln(w, "WORKSPACE\tKEYS")
		for _, one := range list {
			fmt.Fprintf(w, "%s\t%d\n", one.Name, len(one.KeyHashes))
		}
	})
	c.item.addDelete(c.cmd)
	return c
}

func (c *adminWorkspaceCmd) create(cmd *cobra.Command, args []string) error {
	w := config.Workspace{Name: args[0], KeyHashes: append([]string{}, c.opts.hashes...)}
	key := ""
	if c.opts.newKey {
		key = rand.Text()
		sum := sha256.Sum256([]byte(key))
		w.KeyHashes = append(w.KeyHashes, hex.EncodeToString(sum[:]))
	}
	err := c.item.create(cmd, w)
	if key != "" && (err == nil || errors.Is(err, ctrl.ErrUnknownOutcome)) {
		fmt.Fprintln(cmd.OutOrStdout(), key)
	}
	return err
}

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
	keyHashes []string
	newKey    bool
}

func newAdminWorkspaceCmd(s *adminShared) *adminWorkspaceCmd {
	c := &adminWorkspaceCmd{item: adminItem{shared: s, path: "/workspaces"}}
	c.cmd = &cobra.Command{Use: "workspace", Short: "Create, list and delete workspaces"}
	create := &cobra.Command{Use: "create NAME", Short: "Create a workspace", Args: cobra.ExactArgs(1), RunE: c.create}
	create.Flags().StringArrayVar(&c.opts.keyHashes, "key-hash", nil, "SHA-256 of a bearer key in lower-case hexadecimal")
	create.Flags().BoolVar(&c.opts.newKey, "new-key", false, "generate a bearer key and print it once; only its hash is sent")
	c.cmd.AddCommand(create)
	var workspaces []config.Workspace
	c.item.addList(c.cmd, &workspaces, func(w io.Writer) {
		fmt.Fprintln(w, "WORKSPACE\tKEYS")
		for _, workspace := range workspaces {
			fmt.Fprintf(w, "%s\t%d\n", workspace.Name, len(workspace.KeyHashes))
		}
	})
	c.item.addDelete(c.cmd)
	return c
}

func (c *adminWorkspaceCmd) create(cmd *cobra.Command, args []string) error {
	w := config.Workspace{Name: args[0], KeyHashes: append([]string{}, c.opts.keyHashes...)}
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

package cmds

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// adminItem implements the commands that create, list and delete items of one kind.
type adminItem struct {
	shared *adminShared
	// path is the URL path of the items below /admin/v1.
	path   string
	reason string
}

// addDelete adds the command delete.
func (a *adminItem) addDelete(parent *cobra.Command) {
	remove := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete one by its name",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := a.shared.client()
			if err != nil {
				return err
			}
			defer client.Close()
			result, err := client.Change(cmd.Context(), http.MethodDelete, a.path+"/"+url.PathEscape(args[0]), reasonQuery(a.reason), nil, nil)
			return a.shared.reportResult(cmd, result, err)
		},
	}
	remove.Flags().StringVar(&a.reason, "reason", "", "reason for the audit trail")
	parent.AddCommand(remove)
}

// addList adds the command list, which decodes the items into v and prints them as a table.
func (a *adminItem) addList(parent *cobra.Command, v any, table func(w io.Writer)) {
	parent.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List all",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := a.shared.client()
			if err != nil {
				return err
			}
			defer client.Close()
			body, _, err := client.Get(cmd.Context(), a.path, nil)
			if err != nil {
				return err
			}
			return a.shared.show(cmd.OutOrStdout(), body, v, table)
		},
	})
}

// create sends a new item and prints the result.
func (a *adminItem) create(cmd *cobra.Command, item any) error {
	text, err := json.Marshal(item)
	if err != nil {
		return errors.Wrap(err, "encode item")
	}
	client, err := a.shared.client()
	if err != nil {
		return err
	}
	defer client.Close()
	result, err := client.Change(cmd.Context(), http.MethodPost, a.path, reasonQuery(a.reason), text, nil)
	return a.shared.reportResult(cmd, result, err)
}

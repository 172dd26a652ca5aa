package cmds

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

type adminServiceCmd struct {
	cmd  *cobra.Command
	item adminItem
	opts adminServiceOpts
}

type adminServiceOpts struct {
	kind         string
	model        string
	continuation bool
	repeatable   []string
}

func newAdminServiceCmd(s *adminShared) *adminServiceCmd {
	c := &adminServiceCmd{item: adminItem{shared: s, path: "/services"}}
	c.cmd = &cobra.Command{Use: "service", Short: "Create, list and delete services"}
	create := &cobra.Command{Use: "create NAME", Short: "Create a service", Args: cobra.ExactArgs(1), RunE: c.create}
	f := create.Flags()
	f.StringVar(&c.opts.kind, "kind", string(config.ServiceModel), "model or plain")
	f.StringVar(&c.opts.model, "model", "", "name of the model that a model service runs")
	f.BoolVar(&c.opts.continuation, "continuation", false, "let a stream be resumed as another generation on another engine")
	f.StringArrayVar(&c.opts.repeatable, "repeatable", nil, "METHOD:PATH of plain calls that may run more than once")
	c.cmd.AddCommand(create)
	var services []config.Service
	c.item.addList(c.cmd, &services, func(w io.Writer) {
		fmt.Fprintln(w, "SERVICE\tKIND\tMODEL\tROUTES")
		for _, service := range services {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", service.Name, service.Kind, service.Model, len(service.Routes))
		}
	})
	c.item.addDelete(c.cmd)
	return c
}

func (c *adminServiceCmd) create(cmd *cobra.Command, args []string) error {
	s := config.Service{Name: args[0], Kind: config.ServiceKind(c.opts.kind), Model: c.opts.model, Continuation: c.opts.continuation}
	for _, text := range c.opts.repeatable {
		method, path, ok := strings.Cut(text, ":")
		if !ok {
			return errors.Newf("--repeatable %q: want METHOD:PATH", text)
		}
		s.Routes = append(s.Routes, config.Route{Method: method, Path: path, Repeatable: true})
	}
	return c.item.create(cmd, s)
}

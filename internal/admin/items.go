package admin

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// itemKind describes a kind of item that operators create, list and delete.
type itemKind[T any] struct {
	list func(config.Table) []T
	name func(T) string
	item func(*T) *change.Item
	// usedBy lists the items that refer to the named one.
	usedBy func(t config.Table, name string) []string
}

func serviceKind() itemKind[config.Service] {
	return itemKind[config.Service]{
		list: func(t config.Table) []config.Service { return t.Services },
		name: func(s config.Service) string { return s.Name },
		item: func(s *config.Service) *change.Item { return &change.Item{Service: s} },
		usedBy: func(t config.Table, name string) []string {
			var users []string
			for _, b := range t.Backends {
				if b.Service == name {
					users = append(users, "backend "+b.Name)
				}
			}
			return append(users, rowsUsing(t, func(r config.Row) bool { return r.Service == name })...)
		},
	}
}

func workspaceKind() itemKind[config.Workspace] {
	return itemKind[config.Workspace]{
		list: func(t config.Table) []config.Workspace { return t.Workspaces },
		name: func(s config.Workspace) string { return s.Name },
		item: func(s *config.Workspace) *change.Item { return &change.Item{Workspace: s} },
		usedBy: func(t config.Table, name string) []string {
			return rowsUsing(t, func(r config.Row) bool { return r.Workspace == name })
		},
	}
}

func backendKind() itemKind[config.Backend] {
	return itemKind[config.Backend]{
		list:   func(t config.Table) []config.Backend { return t.Backends },
		name:   func(b config.Backend) string { return b.Name },
		item:   func(b *config.Backend) *change.Item { return &change.Item{Backend: b} },
		usedBy: func(config.Table, string) []string { return nil },
	}
}

// rowsUsing lists the matching rows, as shown to operators.
func rowsUsing(t config.Table, match func(config.Row) bool) []string {
	var users []string
	for _, r := range t.Rows {
		if match(r) {
			users = append(users, "row "+r.Workspace+"/"+r.Service)
		}
	}
	return users
}

func (k itemKind[T]) find(t config.Table, name string) (T, bool) {
	for _, x := range k.list(t) {
		if k.name(x) == name {
			return x, true
		}
	}
	var none T
	return none, false
}

// mountItems adds the routes of one kind of item.
func mountItems[T any](r chi.Router, a *Admin, path string, k itemKind[T]) {
	r.With(a.requireScope(scopeRead)).Get(path, func(w http.ResponseWriter, _ *http.Request) {
		s := a.Board.Config.State()
		a.replyConfig(w, s.Version, orEmpty(k.list(s.Table)))
	})
	r.With(a.requireScope(scopeRead)).Get(path+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		s := a.Board.Config.State()
		x, ok := k.find(s.Table, chi.URLParam(r, "name"))
		if !ok {
			a.refuse(w, notFoundError(chi.URLParam(r, "name")))
			return
		}
		a.replyConfig(w, s.Version, x)
	})
	r.With(a.requireScope(scopeTable)).Post(path, func(w http.ResponseWriter, r *http.Request) {
		var x T
		if err := decodeBody(w, r, &x); err != nil {
			a.refuse(w, err)
			return
		}
		a.commit(w, r, k.create(x))
	})
	r.With(a.requireScope(scopeTable)).Delete(path+"/{name}", func(w http.ResponseWriter, r *http.Request) {
		a.commit(w, r, k.remove(chi.URLParam(r, "name")))
	})
}

// notFoundError returns the refusal of a request for an item that does not exist.
func notFoundError(name string) error {
	return refuse.New(refuse.CodeNotFound, fmt.Sprintf("nothing here is named %q", name))
}

func (k itemKind[T]) create(x T) func(change.State) ([]change.Edit, error) {
	return func(s change.State) ([]change.Edit, error) {
		if _, ok := k.find(s.Table, k.name(x)); ok {
			return nil, refuse.New(refuse.CodeConflict, fmt.Sprintf("%q exists already", k.name(x)))
		}
		return []change.Edit{{To: k.item(&x)}}, nil
	}
}

func (k itemKind[T]) remove(name string) func(change.State) ([]change.Edit, error) {
	return func(s change.State) ([]change.Edit, error) {
		x, ok := k.find(s.Table, name)
		if !ok {
			return nil, notFoundError(name)
		}
		if users := k.usedBy(s.Table, name); len(users) > 0 {
			const maxShown = 5
			text := strings.Join(users[:min(maxShown, len(users))], ", ")
			return nil, refuse.New(refuse.CodeConflict, fmt.Sprintf("%q is still used by %d others: %s", name, len(users), text))
		}
		return []change.Edit{{From: k.item(&x)}}, nil
	}
}

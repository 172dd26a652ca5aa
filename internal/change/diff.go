package change

import (
	"reflect"

	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Diff returns the edits that turn one state into another, in the order failure domains, services, workspaces,
// backend servers and rows.
func Diff(from, to State) []Edit {
	rows := diff(from.Table.Rows, to.Table.Rows, rowName, func(r *config.Row) *Item { return &Item{Row: r} })
	backends := diff(from.Table.Backends, to.Table.Backends, func(b config.Backend) string { return b.Name },
		func(b *config.Backend) *Item { return &Item{Backend: b} })
	workspaces := diff(from.Table.Workspaces, to.Table.Workspaces, func(w config.Workspace) string { return w.Name },
		func(w *config.Workspace) *Item { return &Item{Workspace: w} })
	services := diff(from.Table.Services, to.Table.Services, func(s config.Service) string { return s.Name },
		func(s *config.Service) *Item { return &Item{Service: s} })
	domains := diff(from.Domains, to.Domains, func(d config.Domain) string { return d.Name },
		func(d *config.Domain) *Item { return &Item{Domain: d} })
	var edits []Edit
	for _, part := range [][]Edit{domains, services, workspaces, backends, rows} {
		edits = append(edits, part...)
	}
	return edits
}

// diff returns the edits that turn one list into another; it matches the elements by name.
func diff[T any](from, to []T, name func(T) string, item func(*T) *Item) []Edit {
	old := make(map[string]int, len(from))
	for i, x := range from {
		old[name(x)] = i
	}
	kept := make(map[string]bool, len(to))
	var edits []Edit
	for i := range to {
		n := name(to[i])
		kept[n] = true
		j, existed := old[n]
		switch {
		case !existed:
			edits = append(edits, Edit{To: item(&to[i])})
		case !reflect.DeepEqual(from[j], to[i]):
			edits = append(edits, Edit{From: item(&from[j]), To: item(&to[i])})
		}
	}
	for i := range from {
		if !kept[name(from[i])] {
			edits = append(edits, Edit{From: item(&from[i])})
		}
	}
	return edits
}

package admin

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// maxTableBytes bounds the body of a request; the store holds edits, not the table.
const maxTableBytes = 8 << 20

func (a *Admin) getTable(w http.ResponseWriter, _ *http.Request) {
	s := a.Board.Config.State()
	t := s.Table
	t.Services = orEmpty(t.Services)
	t.Workspaces = orEmpty(t.Workspaces)
	t.Backends = orEmpty(t.Backends)
	t.Rows = orEmpty(t.Rows)
	a.replyConfig(w, s.Version, t)
}

// orEmpty returns the list, or an empty one that JSON does not write as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func (a *Admin) putTable(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("If-Match") == "" {
		a.refuse(w, refuse.New(refuse.CodeBadRequest, "If-Match must carry the version that the table is based on"))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableBytes))
	if err != nil {
		a.refuse(w, refuse.New(refuse.CodeTooLarge, "the table is over eight megabytes"))
		return
	}
	table, err := config.ParseTable(body)
	if err != nil {
		a.refuse(w, refuse.New(refuse.CodeBadRequest, err.Error()))
		return
	}
	a.commit(w, r, func(s change.State) ([]change.Edit, error) {
		next := s
		next.Table = table
		return change.Diff(s, next), nil
	})
}

func (a *Admin) tableHistory(w http.ResponseWriter, r *http.Request) {
	a.replyRecords(w, r, func(e change.Edit) bool {
		return e.From != nil && e.From.Domain == nil || e.To != nil && e.To.Domain == nil
	})
}

// decodeBody decodes the JSON body of a request and refuses unknown keys.
func decodeBody(w http.ResponseWriter, r *http.Request, target any) error {
	body := http.MaxBytesReader(w, r.Body, maxTableBytes)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	err := dec.Decode(target)
	if err == nil {
		// A change is made once its request has come to its end, from when on its connection is not closed for a limit.
		_, err = io.Copy(io.Discard, body)
	}
	if err != nil {
		return refuse.New(refuse.CodeBadRequest, "the body can't be read: "+err.Error())
	}
	return nil
}

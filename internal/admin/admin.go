// Package admin answers operators over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/audit"
	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/change"
	"github.com/tarragonspur/tarragonspur/internal/commit"
	"github.com/tarragonspur/tarragonspur/internal/object"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/survey"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// Scopes of operators' keys.
const (
	scopeRead    = "read"
	scopeTable   = "table"
	scopeDomains = "domains"
)

const (
	maxChangeIDLength = 64
	maxReasonLength   = 500
)

// Committer makes changes of the configuration.
type Committer interface {
	Commit(ctx context.Context, r commit.Request) (commit.Result, error)
}

// Trail reads the audit trail.
type Trail interface {
	Before(ctx context.Context, v change.Version, limit int) ([]change.Change, error)
	Find(ctx context.Context, v change.Version, id string) (change.Change, error)
}

// Fleet asks all hosts.
type Fleet interface {
	Status(ctx context.Context) []survey.Status
	Explain(ctx context.Context, request string) survey.Explanation
	Usage(ctx context.Context) survey.Usage
}

// Admin is the operators' interface.
type Admin struct {
	Board   *board.Board
	Changes Committer
	Trail   Trail
	Fleet   Fleet
	Keys    []config.OperatorKey
	Log     *slog.Logger
}

// Handler returns the operators' interface.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(a.notFound)
	r.MethodNotAllowed(a.notFound)
	r.Route("/admin/v1", func(r chi.Router) {
		r.Group(func(r chi.Router) {
			r.Use(a.allow(scopeRead))
			r.Get("/table", a.getTable)
			r.Get("/table/history", a.tableHistory)
			r.Get("/domains", a.listDomains)
			r.Get("/status", a.status)
			r.Get("/usage", a.usage)
			r.Get("/audit", a.audit)
			r.Get("/audit/{id}", a.auditRecord)
			r.Get("/requests/{id}", a.explain)
		})
		r.With(a.allow(scopeTable)).Put("/table", a.putTable)
		r.Group(func(r chi.Router) {
			r.Use(a.allow(scopeDomains))
			r.Post("/domains/{name}/out", a.moveDomain(config.DomainOut))
			r.Post("/domains/{name}/in", a.moveDomain(config.DomainIn))
			r.Post("/backends/{name}/out", a.moveBackend(true))
			r.Post("/backends/{name}/in", a.moveBackend(false))
		})
		mount(r, a, "/services", serviceKind())
		mount(r, a, "/workspaces", workspaceKind())
		mount(r, a, "/backends", backendKind())
	})
	return r
}

func (a *Admin) notFound(w http.ResponseWriter, _ *http.Request) {
	a.refuse(w, refuse.New(refuse.CodeNotFound, "the operators' interface has no such path or method"))
}

// commit makes a change and answers with its result.
func (a *Admin) commit(w http.ResponseWriter, r *http.Request, edit func(change.State) ([]change.Edit, error)) {
	req := commit.Request{
		ID:       r.Header.Get("Idempotency-Key"),
		Operator: operatorOf(r.Context()),
		Reason:   r.URL.Query().Get("reason"),
		Edit:     checked(edit),
	}
	if len(req.ID) > maxChangeIDLength || len(req.Reason) > maxReasonLength {
		a.refuse(w, refuse.New(refuse.CodeBadRequest, "Idempotency-Key is bounded to 64 bytes and reason to 500"))
		return
	}
	if text := r.Header.Get("If-Match"); text != "" {
		v, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
		if err != nil {
			a.refuse(w, refuse.New(refuse.CodeBadRequest, "If-Match must carry the version that the change is based on"))
			return
		}
		expect := change.Version(v)
		req.Expect = &expect
	}
	result, err := a.Changes.Commit(r.Context(), req)
	var conflict *commit.ConflictError
	if errors.As(err, &conflict) {
		a.conflict(w, r, conflict)
		return
	}
	if err != nil {
		a.refuse(w, err)
		return
	}
	a.Log.Info("configuration changed", "operator", req.Operator, "change", result.ID, "version", result.Version, "changed", result.Changed)
	w.Header().Set("Etag", etag(result.Version))
	a.reply(w, result)
}

// checked refuses edits that would leave a table that is not valid.
func checked(edit func(change.State) ([]change.Edit, error)) func(change.State) ([]change.Edit, error) {
	return func(s change.State) ([]change.Edit, error) {
		edits, err := edit(s)
		if err != nil {
			return nil, err
		}
		next := s.WithEdits(edits)
		if err := next.Table.Check(); err != nil {
			return nil, refuse.New(refuse.CodeBadRequest, err.Error())
		}
		return edits, nil
	}
}

// Conflict is the answer to a change that is based on another version.
type Conflict struct {
	Error          json.RawMessage `json:"error"`
	CurrentVersion change.Version  `json:"current_version"`
	// Since lists the changes accepted after the version in If-Match, newest first, as far as they can be read.
	Since []change.Change `json:"since"`
	// Differs lists what the refused change would change in the current version.
	Differs []change.Edit `json:"differs"`
}

func (a *Admin) conflict(w http.ResponseWriter, r *http.Request, c *commit.ConflictError) {
	a.Log.Info("operator refused", "code", refuse.CodeConflict, "expected", c.Expected, "current", c.Current.Version)
	var shape struct {
		Error json.RawMessage `json:"error"`
	}
	_ = json.Unmarshal(refuse.New(refuse.CodeConflict, c.Error()).JSON(), &shape)
	body := Conflict{Error: shape.Error, CurrentVersion: c.Current.Version, Differs: c.Differs, Since: []change.Change{}}
	if c.Current.Version > c.Expected {
		count := min(uint64(c.Current.Version-c.Expected), audit.MaxRecords)
		records, err := a.Trail.Before(r.Context(), c.Current.Version+1, int(count))
		if err == nil {
			body.Since = records
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Etag", etag(c.Current.Version))
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(body)
}

func etag(v change.Version) string { return `"` + strconv.FormatUint(uint64(v), 10) + `"` }

// read answers with a part of the configuration in force, its version and its age in seconds.
func (a *Admin) read(w http.ResponseWriter, version change.Version, v any) {
	at := a.Board.Config.Confirmed()
	if at.IsZero() {
		a.refuse(w, refuse.New(refuse.CodeStoreDown, "this host has not learned the configuration yet, neither from the object API nor from peers"))
		return
	}
	w.Header().Set("Etag", etag(version))
	w.Header().Set("Age", strconv.FormatInt(int64(time.Since(at)/time.Second), 10))
	a.reply(w, v)
}

func (a *Admin) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (a *Admin) refuse(w http.ResponseWriter, err error) {
	known := refusalOf(err)
	a.Log.Info("operator refused", "code", known.Code, "error", err)
	known.Write(w)
}

func refusalOf(err error) *refuse.Error {
	var known *refuse.Error
	switch {
	case errors.As(err, &known):
		return known
	case errors.Is(err, commit.ErrUnknown):
		return &refuse.Error{Code: refuse.CodeTimeout, Message: err.Error() + "; repeat the request with its Idempotency-Key, or look the change up in the audit trail", Run: refuse.MayHaveRun}
	case errors.Is(err, commit.ErrNotAccepted):
		return refuse.New(refuse.CodeStoreDown, "the change was not accepted: the object API does not answer; nothing was changed")
	case errors.Is(err, change.ErrTooLarge):
		return refuse.New(refuse.CodeTooLarge, "the change is too large for one object; apply it in parts")
	case errors.Is(err, audit.ErrNotFound), errors.Is(err, object.ErrNotFound):
		return refuse.New(refuse.CodeNotFound, err.Error())
	case errors.Is(err, object.ErrUnavailable):
		return refuse.New(refuse.CodeStoreDown, "the object API does not answer")
	default:
		return refuse.From(err)
	}
}

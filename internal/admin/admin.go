// Package admin serves the operators' interface over HTTP.
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

// Committer commits changes of the configuration.
type Committer interface {
	Commit(ctx context.Context, r commit.Request) (commit.Result, error)
}

// Trail reads the audit trail.
type Trail interface {
	// Before returns up to limit changes below a version, newest first.
	Before(ctx context.Context, v change.Version, limit int) ([]change.Change, error)
	// Find returns the change with an ID among the newest ones below a version, or audit.ErrNotFound.
	Find(ctx context.Context, v change.Version, id string) (change.Change, error)
}

// Fleet queries all hosts of the deployment.
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

// Handler returns the HTTP handler of the operators' interface, below /admin/v1.
func (a *Admin) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(a.notFound)
	r.MethodNotAllowed(a.notFound)
	r.Route("/admin/v1", func(r chi.Router) {
		r.Group(func(r chi.Router) {
			r.Use(a.requireScope(scopeRead))
			r.Get("/table", a.getTable)
			r.Get("/table/history", a.tableHistory)
			r.Get("/domains", a.listDomains)
			r.Get("/status", a.status)
			r.Get("/usage", a.usage)
			r.Get("/audit", a.audit)
			r.Get("/audit/{id}", a.auditRecord)
			r.Get("/requests/{id}", a.explain)
		})
		r.With(a.requireScope(scopeTable)).Put("/table", a.putTable)
		r.Group(func(r chi.Router) {
			r.Use(a.requireScope(scopeDomains))
			r.Post("/domains/{name}/out", a.setDomainState(config.DomainOut))
			r.Post("/domains/{name}/in", a.setDomainState(config.DomainIn))
			r.Post("/backends/{name}/out", a.setBackendDraining(true))
			r.Post("/backends/{name}/in", a.setBackendDraining(false))
		})
		mountItems(r, a, "/services", serviceKind())
		mountItems(r, a, "/workspaces", workspaceKind())
		mountItems(r, a, "/backends", backendKind())
	})
	return r
}

func (a *Admin) notFound(w http.ResponseWriter, _ *http.Request) {
	a.refuse(w, refuse.New(refuse.CodeNotFound, "the operators' interface has no such path or method"))
}

// commit commits the edits that the edit function returns and replies with the result.
func (a *Admin) commit(w http.ResponseWriter, r *http.Request, edit func(change.State) ([]change.Edit, error)) {
	req := commit.Request{
		ID:       r.Header.Get("Idempotency-Key"),
		Operator: operatorName(r.Context()),
		Reason:   r.URL.Query().Get("reason"),
		Edit:     withTableCheck(edit),
	}
	if len(req.ID) > maxChangeIDLength || len(req.Reason) > maxReasonLength {
		a.refuse(w, refuse.New(refuse.CodeBadRequest, "Idempotency-Key is bounded to 64 bytes and reason to 500"))
		return
	}
	if ifMatch := r.Header.Get("If-Match"); ifMatch != "" {
		v, err := strconv.ParseUint(strings.Trim(ifMatch, `"`), 10, 64)
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
		a.replyConflict(w, r, conflict)
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

// withTableCheck wraps an edit function so that edits which make the table invalid are refused.
func withTableCheck(edit func(change.State) ([]change.Edit, error)) func(change.State) ([]change.Edit, error) {
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

// Conflict is the response to a change that is not based on the version in force.
type Conflict struct {
	Error          json.RawMessage `json:"error"`
	CurrentVersion change.Version  `json:"current_version"`
	// Since lists the changes accepted after the version in If-Match, newest first, as far as they can be read.
	Since []change.Change `json:"since"`
	// Differs lists what the refused change would change in the current version.
	Differs []change.Edit `json:"differs"`
}

func (a *Admin) replyConflict(w http.ResponseWriter, r *http.Request, c *commit.ConflictError) {
	a.Log.Info("operator request refused", "code", refuse.CodeConflict, "expected", c.Expected, "current", c.Current.Version)
	var envelope struct {
		Error json.RawMessage `json:"error"`
	}
	_ = json.Unmarshal(refuse.New(refuse.CodeConflict, c.Error()).JSON(), &envelope)
	body := Conflict{Error: envelope.Error, CurrentVersion: c.Current.Version, Differs: c.Differs, Since: []change.Change{}}
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

// replyConfig replies with a part of the configuration in force. The Etag is its version and the Age header the
// seconds since it was last confirmed to be the newest.
func (a *Admin) replyConfig(w http.ResponseWriter, version change.Version, v any) {
	confirmed := a.Board.Config.Confirmed()
	if confirmed.IsZero() {
		a.refuse(w, refuse.New(refuse.CodeStoreUnavailable, "this host has not learned the configuration yet, neither from the object API nor from peers"))
		return
	}
	w.Header().Set("Etag", etag(version))
	w.Header().Set("Age", strconv.FormatInt(int64(time.Since(confirmed)/time.Second), 10))
	a.reply(w, v)
}

func (a *Admin) reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (a *Admin) refuse(w http.ResponseWriter, err error) {
	refusal := toRefusal(err)
	a.Log.Info("operator request refused", "code", refusal.Code, "error", err)
	refusal.Write(w)
}

// toRefusal returns the refusal that an operator sees for an error.
func toRefusal(err error) *refuse.Error {
	var refusal *refuse.Error
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, commit.ErrUnknownOutcome):
		return &refuse.Error{Code: refuse.CodeTimeout, Message: err.Error() + "; repeat the request with its Idempotency-Key, or look the change up in the audit trail", Run: refuse.MayHaveRun}
	case errors.Is(err, commit.ErrNotAccepted):
		return refuse.New(refuse.CodeStoreUnavailable, "the change was not accepted: the object API does not answer; nothing was changed")
	case errors.Is(err, change.ErrTooLarge):
		return refuse.New(refuse.CodeTooLarge, "the change is too large for one object; apply it in parts")
	case errors.Is(err, audit.ErrNotFound), errors.Is(err, object.ErrNotFound):
		return refuse.New(refuse.CodeNotFound, err.Error())
	case errors.Is(err, object.ErrUnavailable):
		return refuse.New(refuse.CodeStoreUnavailable, "the object API does not answer")
	default:
		return refuse.From(err)
	}
}

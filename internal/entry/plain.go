package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/call"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// forwardedHeaders are the only headers of a caller's request that are sent to a backend server.
var forwardedHeaders = [...]string{"Accept", "Accept-Language", "Content-Type"}

// returnedHeaders are the only headers of a backend server's answer that are returned to the caller.
var returnedHeaders = [...]string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"}

// plain handles a call to a plain service.
func (e *API) plain(w http.ResponseWriter, r *http.Request) {
	who := callerOf(r.Context())
	c, err := e.readCall(w, r, who)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if e.Answers != nil {
		c.Memory = e.Answers.NewAccount(e.AnswersBytes)
		defer c.Memory.Close()
	}
	use := e.Board.Usage.Open(board.RowKey{Workspace: who.workspace, Service: c.Place.Service})
	answer, err := e.Calls.Run(ctx, c)
	if err == nil {
		use.CountOutput(time.Now())
	}
	use.Close(codeOf(err))
	e.countRequest(r.Context(), c.Place.Service, err)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	for _, name := range returnedHeaders {
		for _, v := range answer.Header.Values(name) {
			w.Header().Add(name, v)
		}
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	e.Log.Info("call answered", "request_id", who.request, "workspace", who.workspace, "service", c.Place.Service, "status", answer.Status)
}

func (e *API) readCall(w http.ResponseWriter, r *http.Request, who caller) (call.Call, error) {
	view := e.Board.Config.View()
	service, ok := view.Services[chi.URLParam(r, "service")]
	if !ok || service.Kind != config.ServicePlain {
		return call.Call{}, refuse.New(refuse.CodeNotFound, "no plain service has this name")
	}
	if _, ok := view.Rows[board.RowKey{Workspace: who.workspace, Service: service.Name}]; !ok {
		return call.Call{}, refuse.New(refuse.CodeForbidden, "the workspace has no row for this service")
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		clearReadDeadline(w)
	}
	if isTooLarge(err) {
		return call.Call{}, refuse.New(refuse.CodeTooLarge, fmt.Sprintf("the body is over %d bytes", e.Limits.BodyBytes))
	}
	if err != nil {
		return call.Call{}, refuse.New(refuse.CodeBadRequest, "the body can't be read")
	}
	path, raw, err := servicePath(r)
	if err != nil {
		return call.Call{}, err
	}
	header := make(http.Header)
	for _, name := range forwardedHeaders {
		if v := r.Header.Get(name); v != "" {
			header.Set(name, v)
		}
	}
	header.Set(headerRequestID, who.request)
	now := time.Now()
	return call.Call{
		Place: sched.Request{
			ID:        who.request,
			Workspace: who.workspace,
			Service:   service.Name,
			Deadline:  now.Add(min(time.Duration(e.Limits.Wait), e.callLimit(r))),
		},
		Deadline:         now.Add(e.callLimit(r)),
		Method:           r.Method,
		Path:             path,
		RawPath:          raw,
		Query:            r.URL.RawQuery,
		Header:           header,
		Body:             body,
		Repeatable:       service.Repeatable(r.Method, path),
		Key:              r.Header.Get(headerKey),
		RefusesBeforeRun: service.RefusesBeforeRun,
		FirstSending:     r.Header.Get(headerAttempt) == "1",
	}, nil
}

// callLimit returns the time limit of a call: the host's limit, or the caller's if that is shorter.
func (e *API) callLimit(r *http.Request) time.Duration {
	limit := time.Duration(e.Limits.Call)
	ms, err := strconv.ParseInt(r.Header.Get(call.HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return limit
	}
	return min(limit, time.Duration(ms)*time.Millisecond)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the model services for which the workspace has a row, with their adapters.
func (e *API) models(w http.ResponseWriter, r *http.Request) {
	who := callerOf(r.Context())
	view := e.Board.Config.View()
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(view.Services)) {
		_, allowed := view.Rows[board.RowKey{Workspace: who.workspace, Service: name}]
		if allowed && view.Services[name].Kind == config.ServiceModel {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "tarragonspur"})
			for _, adapter := range view.Services[name].Adapters {
				list.Data = append(list.Data, modelItem{ID: name + adapterSeparator + adapter, Object: "model", OwnedBy: "tarragonspur"})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

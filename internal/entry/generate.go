package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/tarragonspur/tarragonspur/internal/board"
	"github.com/tarragonspur/tarragonspur/internal/engine"
	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/internal/relay"
	"github.com/tarragonspur/tarragonspur/internal/sched"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

const (
	// adapterSeparator separates the service's name from the adapter's in the name of a model.
	adapterSeparator = ":"
	bytesPerToken    = 4
	prefixBytes      = 1024
	defaultMaxTokens = 1024
)

// completionRequest is the body of a completion or a chat completion.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens int  `json:"max_completion_tokens"`
	Stream              bool `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *API) completions(w http.ResponseWriter, r *http.Request) { e.generate(w, r, textFormat{}) }

func (e *API) chat(w http.ResponseWriter, r *http.Request) { e.generate(w, r, chatFormat{}) }

// generate handles a completion request and answers with a stream or one body.
func (e *API) generate(w http.ResponseWriter, r *http.Request, form answerFormat) {
	who := callerOf(r.Context())
	body, err := e.readCompletion(w, r)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	arrived := time.Now()
	placement, request, err := e.prepare(who, body)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	out := &writer{
		w:       w,
		control: http.NewResponseController(w),
		form:    form,
		head:    answerHeader{ID: who.request, Created: time.Now().Unix(), Model: body.Model},
		stream:  body.Stream,
	}
	if e.Answers != nil {
		out.memory = e.Answers.NewAccount(e.AnswersBytes)
		defer out.memory.Close()
	}
	use := e.Board.Usage.Open(board.RowKey{Workspace: who.workspace, Service: placement.Service})
	summary, err := e.Relay.Run(r.Context(), placement, request, usageSink{sink: out, use: use})
	use.Close(codeOf(err))
	e.recordMetrics(r.Context(), placement.Service, out, arrived, err)
	if err != nil && !out.started {
		e.refuse(w, who.request, undelivered(err))
		return
	}
	if err != nil {
		refusal := *refuse.From(err)
		refusal.RequestID = who.request
		out.fail(&refusal)
		e.Log.Warn("generation interrupted", "request_id", who.request, "error", err, "tokens_delivered", refusal.TokensDelivered)
		return
	}
	out.end(summary, request.PromptTokens)
	e.Log.Info("generation complete", "request_id", who.request, "workspace", who.workspace, "service", placement.Service, "tokens", summary.Tokens)
}

// recordMetrics records the end of a generation in the metrics.
func (e *API) recordMetrics(ctx context.Context, service string, out *writer, arrived time.Time, err error) {
	labels := metric.WithAttributes(attribute.String("service", service))
	e.Metrics.Tokens.Add(ctx, int64(out.tokens), labels)
	if out.tokens > 0 {
		e.Metrics.FirstToken.Record(ctx, out.firstTokenAt.Sub(arrived).Seconds(), labels)
	}
	e.countRequest(ctx, service, err)
}

// countRequest counts an ended request by its code, which is empty for a complete answer.
func (e *API) countRequest(ctx context.Context, service string, err error) {
	e.Metrics.Requests.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("code", codeOf(err))))
}

// codeOf returns the code of a refusal, or "" if err is nil.
func codeOf(err error) string {
	if err == nil {
		return ""
	}
	return string(refuse.From(err).Code)
}

// usageSink counts each token in the workspace's usage and passes it on.
type usageSink struct {
	sink relay.Sink
	use  *board.RequestUsage
}

// Token counts one token and passes it on.
func (m usageSink) Token(text string) error {
	m.use.CountOutput(time.Now())
	return m.sink.Token(text)
}

// undelivered changes the run state Partial to MayHaveRun, for a caller that has received nothing yet.
func undelivered(err error) error {
	refusal := *refuse.From(err)
	if refusal.Run == refuse.Partial {
		refusal.Run = refuse.MayHaveRun
	}
	return &refusal
}

func (e *API) readCompletion(w http.ResponseWriter, r *http.Request) (completionRequest, error) {
	var body completionRequest
	err := json.NewDecoder(r.Body).Decode(&body)
	if err == nil {
		// A body that does not end is refused, since the server would wait for its end after the answer, without a time limit.
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil {
		clearReadDeadline(w)
	}
	switch {
	case isTooLarge(err):
		return body, refuse.New(refuse.CodeTooLarge, fmt.Sprintf("the body is over %d bytes", e.Limits.BodyBytes))
	case err != nil:
		return body, refuse.New(refuse.CodeBadRequest, "the body is not a JSON completion request")
	case body.Prompt == "" && len(body.Messages) == 0:
		return body, refuse.New(refuse.CodeBadRequest, "prompt or messages must be given")
	case body.MaxTokens < 0 || body.MaxCompletionTokens < 0:
		return body, refuse.New(refuse.CodeBadRequest, "max_tokens must not be negative")
	}
	return body, nil
}

// prepare finds the service and the row of the request and bounds its output.
func (e *API) prepare(who caller, body completionRequest) (sched.Request, engine.Request, error) {
	view := e.Board.Config.View()
	name, adapter, _ := strings.Cut(body.Model, adapterSeparator)
	service, ok := view.Services[name]
	if !ok || service.Kind != config.ServiceModel || adapter != "" && !slices.Contains(service.Adapters, adapter) {
		return sched.Request{}, engine.Request{}, refuse.New(refuse.CodeNotFound, "no model service has this name")
	}
	row, ok := view.Rows[board.RowKey{Workspace: who.workspace, Service: service.Name}]
	if !ok {
		return sched.Request{}, engine.Request{}, refuse.New(refuse.CodeForbidden, "the workspace has no row for this service")
	}
	prompt := body.text()
	prefix := prompt[:min(len(prompt), prefixBytes)]
	request := engine.Request{
		ID:           who.request,
		Model:        service.Model,
		Adapter:      adapter,
		Prompt:       prompt,
		PromptTokens: estimateTokens(prompt),
		PrefixHash:   xxhash.Sum64String(prefix),
		PrefixTokens: estimateTokens(prefix),
		MaxTokens:    body.outputLimit(row),
		Workspace:    who.workspace,
	}
	placement := sched.Request{
		ID:           who.request,
		Workspace:    who.workspace,
		Service:      service.Name,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		PrefixHash:   request.PrefixHash,
		Deadline:     time.Now().Add(time.Duration(e.Limits.Wait)),
	}
	if adapter == "" {
		return placement, request, nil
	}
	if e.Demand != nil {
		e.Demand.Record(service.Name, adapter)
	}
	placement.Exclude = e.withoutAdapter(view.ByService[service.Name], adapter)
	if len(placement.Exclude) == len(view.ByService[service.Name]) {
		return placement, request, refuse.New(refuse.CodeNoBackend, "no engine is known to carry the adapter")
	}
	return placement, request, nil
}

// withoutAdapter returns the engines that do not report the adapter as loaded.
func (e *API) withoutAdapter(backends []config.Backend, adapter string) []string {
	var names []string
	for _, b := range backends {
		if !slices.Contains(e.Board.Backends.Get(b.Name).Load.Adapters, adapter) {
			names = append(names, b.Name)
		}
	}
	return names
}

func estimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

func (c completionRequest) text() string {
	if c.Prompt != "" {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}
	return b.String()
}

func (c completionRequest) outputLimit(row config.Row) int {
	limit := row.MaxOutputTokens
	if limit == 0 {
		limit = config.DefaultMaxOutputTokens
	}
	requested := max(c.MaxTokens, c.MaxCompletionTokens)
	if requested == 0 {
		requested = defaultMaxTokens
	}
	return min(requested, limit)
}

var _ relay.Sink = (*writer)(nil)

package entry

import (
	"context"
	"encoding/json"
	"fmt"
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
	// adapterMark stands between a service's name and an adapter's in the name of a model.
	adapterMark      = ":"
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

func (e *API) completions(w http.ResponseWriter, r *http.Request) { e.generate(w, r, textForm{}) }

func (e *API) chat(w http.ResponseWriter, r *http.Request) { e.generate(w, r, chatForm{}) }

// generate answers one generation, as a stream or whole.
func (e *API) generate(w http.ResponseWriter, r *http.Request, form form) {
	who := callerOf(r.Context())
	body, err := e.readCompletion(w, r)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	arrived := time.Now()
	place, ask, err := e.prepare(who, body)
	if err != nil {
		e.refuse(w, who.request, err)
		return
	}
	out := &writer{
		w:       w,
		control: http.NewResponseController(w),
		form:    form,
		head:    head{ID: who.request, Created: time.Now().Unix(), Model: body.Model},
		stream:  body.Stream,
	}
	use := e.Board.Usage.Open(board.RowKey{Workspace: who.workspace, Service: place.Service})
	summary, err := e.Relay.Run(r.Context(), place, ask, meter{sink: out, use: use})
	use.Close(codeOf(err))
	e.count(r.Context(), place.Service, out, arrived, err)
	if err != nil && !out.begun {
		e.refuse(w, who.request, undelivered(err))
		return
	}
	if err != nil {
		refusal := *refuse.From(err)
		refusal.RequestID = who.request
		out.fail(&refusal)
		e.Log.Warn("generation broke off", "request_id", who.request, "error", err, "tokens_delivered", refusal.TokensDelivered)
		return
	}
	out.end(summary, ask.PromptTokens)
	e.Log.Info("generation whole", "request_id", who.request, "workspace", who.workspace, "service", place.Service, "tokens", summary.Tokens)
}

// count records the end of a generation in the metrics.
func (e *API) count(ctx context.Context, service string, out *writer, arrived time.Time, err error) {
	labels := metric.WithAttributes(attribute.String("service", service))
	e.Metrics.Tokens.Add(ctx, int64(out.tokens), labels)
	if out.tokens > 0 {
		e.Metrics.FirstToken.Record(ctx, out.first.Sub(arrived).Seconds(), labels)
	}
	e.ended(ctx, service, err)
}

// ended counts the end of a request by its code, which is empty for a whole answer.
func (e *API) ended(ctx context.Context, service string, err error) {
	e.Metrics.Requests.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("code", codeOf(err))))
}

// codeOf returns the code of a refusal, or an empty one for a whole answer.
func codeOf(err error) string {
	if err == nil {
		return ""
	}
	return string(refuse.From(err).Code)
}

// meter counts the tokens that it passes on in the table of usage.
type meter struct {
	sink relay.Sink
	use  *board.RequestUsage
}

// Token passes one token on.
func (m meter) Token(text string) error {
	m.use.CountOutput(time.Now())
	return m.sink.Token(text)
}

// undelivered corrects a partial answer of which the caller has received nothing.
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
	bodyRead(w)
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
	name, adapter, _ := strings.Cut(body.Model, adapterMark)
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
	ask := engine.Request{
		ID:           who.request,
		Model:        service.Model,
		Adapter:      adapter,
		Prompt:       prompt,
		PromptTokens: tokensIn(prompt),
		PrefixHash:   xxhash.Sum64String(prefix),
		PrefixTokens: tokensIn(prefix),
		MaxTokens:    body.limit(row),
		Workspace:    who.workspace,
	}
	place := sched.Request{
		ID:           who.request,
		Workspace:    who.workspace,
		Service:      service.Name,
		PromptTokens: ask.PromptTokens,
		MaxTokens:    ask.MaxTokens,
		PrefixHash:   ask.PrefixHash,
		Deadline:     time.Now().Add(time.Duration(e.Limits.Wait)),
	}
	if adapter == "" {
		return place, ask, nil
	}
	if e.Demand != nil {
		e.Demand.Arrived(service.Name, adapter)
	}
	place.Exclude = e.lacking(view.ByService[service.Name], adapter)
	if len(place.Exclude) == len(view.ByService[service.Name]) {
		return place, ask, refuse.New(refuse.CodeNoBackend, "no engine is known to carry the adapter")
	}
	return place, ask, nil
}

// lacking returns the engines that are not known to carry the adapter.
func (e *API) lacking(backends []config.Backend, adapter string) []string {
	var names []string
	for _, b := range backends {
		if !slices.Contains(e.Board.Backends.Get(b.Name).Load.Adapters, adapter) {
			names = append(names, b.Name)
		}
	}
	return names
}

func tokensIn(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

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

func (c completionRequest) limit(row config.Row) int {
	limit := row.MaxOutputTokens
	if limit == 0 {
		limit = config.DefaultMaxOutputTokens
	}
	asked := max(c.MaxTokens, c.MaxCompletionTokens)
	if asked == 0 {
		asked = defaultMaxTokens
	}
	return min(asked, limit)
}

var _ relay.Sink = (*writer)(nil)

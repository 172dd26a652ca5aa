package entry

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
)

// servicePath returns the decoded path after the service's name, and the encoded path if it differs from the default
// encoding. Dot segments are refused: a backend server that resolves them would run another route than the one that
// decided whether the call is repeatable.
func servicePath(r *http.Request) (path, raw string, err error) {
	path = "/" + chi.URLParam(r, "*")
	if r.URL.RawPath != "" {
		raw = path
		path, err = url.PathUnescape(raw)
	}
	segments := strings.FieldsFunc(path, func(c rune) bool { return c == '/' || c == '\\' })
	if err != nil || slices.Contains(segments, "..") || slices.Contains(segments, ".") {
		return "", "", refuse.New(refuse.CodeBadRequest, "the path has dot segments or can't be decoded")
	}
	return path, raw, nil
}

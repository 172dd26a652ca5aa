package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// writeLimit bounds the time for which a write to a slow caller may block.
const writeLimit = 15 * time.Second

// limitBody limits the size of a request's body and the time to read it.
func (e *API) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(time.Duration(e.Limits.BodyRead)))
		r.Body = http.MaxBytesReader(w, r.Body, e.Limits.BodyBytes)
		next.ServeHTTP(w, r)
	})
}

// clearReadDeadline removes the time limit on reading, which would otherwise end a long answer.
func clearReadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// isTooLarge reports whether reading a body failed because of its size.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

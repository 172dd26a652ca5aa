package entry

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// writeLimit bounds the time in which a caller must take what was written to it.
const writeLimit = 15 * time.Second

// limitBody bounds the time and the size of a request's body.
func (e *API) limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(time.Duration(e.Limits.BodyRead)))
		r.Body = http.MaxBytesReader(w, r.Body, e.Limits.BodyBytes)
		next.ServeHTTP(w, r)
	})
}

// bodyRead lifts the time limit on reading, which would otherwise end a long answer.
func bodyRead(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
}

// isTooLarge reports whether reading a body failed on its size.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/tarragonspur/tarragonspur/internal/refuse"
	"github.com/tarragonspur/tarragonspur/pkg/config"
)

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// operatorName returns the name of the operator who sent the request.
func operatorName(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// requireScope returns middleware that refuses requests whose key is unknown or lacks the scope.
func (a *Admin) requireScope(scope string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			key, ok := a.findKey(r)
			if !ok {
				a.refuse(w, refuse.New(refuse.CodeUnauthorized, "the operator's key is missing or unknown"))
				return
			}
			if !slices.Contains(key.Scopes, scope) {
				a.refuse(w, refuse.New(refuse.CodeForbidden, "the operator's key lacks the scope "+scope))
				return
			}
			ctx := context.WithValue(r.Context(), operatorContextKey{}, key.Name)
			next.ServeHTTP(w, r.WithContext(ctx))
		})
	}
}

// findKey returns the operator's key whose hash matches the request's bearer key. It compares the hash with
// those of all keys, each in constant time.
func (a *Admin) findKey(r *http.Request) (config.OperatorKey, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return config.OperatorKey{}, false
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found config.OperatorKey
	matched := false
	for _, k := range a.Keys {
		if subtle.ConstantTimeCompare(hash, []byte(k.Hash)) == 1 {
			found, matched = k, true
		}
	}
	return found, matched
}

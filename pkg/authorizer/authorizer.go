// Package authorizer tells who sends an HTTP request, by certificate or by token,
// and whether their role lets them.
package authorizer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// Role is what somebody may do.
type Role int

// The roles.
const (
	// RoleCaller submits, reads and cancels its own jobs.
	RoleCaller Role = iota + 1
	// RoleOperator changes the configuration and reads all that a reader does.
	RoleOperator
	// RoleReader reads status, metrics and configuration.
	RoleReader
)

// Principal is who sends a request.
type Principal struct {
	Role Role
	// Name is that of the token or of the certificate, for the log.
	Name string
	// Caller and Team are set for a caller only.
	Caller identifier.CallerID
	Team   identifier.TeamID
}

// Is tells whether a principal is this caller of this team.
func (principal *Principal) Is(caller identifier.CallerID, team identifier.TeamID) bool {
	return principal.Role == RoleCaller && principal.Caller == caller && principal.Team == team
}

type principalKey struct{}

// PrincipalOf returns who sends the request of ctx, or nil where nobody has to
// prove who they are.
func PrincipalOf(ctx context.Context) *Principal {
	principal, _ := ctx.Value(principalKey{}).(*Principal)
	return principal
}

// WithPrincipal returns a context of a request of the principal.
func WithPrincipal(ctx context.Context, principal *Principal) context.Context {
	return context.WithValue(ctx, principalKey{}, principal)
}

// Authorizer lets requests pass or refuses them. Set the exported fields before
// its first use.
type Authorizer struct {
	// Tokens knows the tokens; nil when there are none.
	Tokens *Tokens
}

// errorBody is the JSON of a refusal. It doesn't say "not run": the request may be
// the resend of a submission that ran.
type errorBody struct {
	Error  string `json:"error"`
	Detail string `json:"detail"`
}

// Middleware is for mux.Router.Use: it finds out who sends a request and whether
// their role may use the route. A route that is not named here is for readers, or
// for operators where it changes something, so that a new one is never open.
func (authorizer *Authorizer) Middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		template := ""
		if route := mux.CurrentRoute(request); route != nil {
			template, _ = route.GetPathTemplate()
		}
		if template == "/healthz" || template == "/readyz" {
			next.ServeHTTP(writer, request)
			return
		}
		principal, err := authorizer.identify(request, time.Now())
		if err != nil {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			refuse(writer, http.StatusUnauthorized, "unauthenticated", err.Error())
			return
		}
		if needed := rolesFor(request.Method, template); !holds(needed, principal.Role) {
			refuse(writer, http.StatusForbidden, "forbidden", "the role "+principal.Role.String()+" may not do this")
			return
		}
		next.ServeHTTP(writer, request.WithContext(WithPrincipal(request.Context(), principal)))
	})
}

// rolesFor lists the roles that may use a route.
func rolesFor(method, template string) []Role {
	switch {
	case template == "/v1/jobs" || strings.HasPrefix(template, "/v1/jobs/"):
		return []Role{RoleCaller}
	case method == http.MethodGet:
		return []Role{RoleReader, RoleOperator}
	default:
		return []Role{RoleOperator}
	}
}

func holds(roles []Role, wanted Role) bool {
	for _, role := range roles {
		if role == wanted {
			return true
		}
	}
	return false
}

// refuse writes a refusal. An error means that the sender has hung up.
func refuse(writer http.ResponseWriter, status int, kind, detail string) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorBody{Error: kind, Detail: detail + "; this request started nothing"})
}

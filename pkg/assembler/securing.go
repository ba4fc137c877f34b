package assembler

import (
	"context"
	"crypto/tls"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/authorizer"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// security is what a daemon proves itself by, and others to it.
type security struct {
	// keys are the host's own; nil leaves all connections in the clear.
	keys *securer.Keys
	// clients holds the authorities of callers' certificates; nil asks for none.
	clients *securer.Keys
	// access is nil where callers and operators need not prove who they are.
	access *authorizer.Authorizer
}

// secure reads key files and tokens. A daemon does not start with wrong ones.
func (daemon *Daemon) secure() error {
	created, err := newSecurity(daemon.Common)
	if err != nil {
		return &Error{Operation: "secure", Kind: ErrorSecurity, Err: eris.Wrap(err, "secure")}
	}
	daemon.security = created
	return nil
}

func newSecurity(common *provider.Common) (*security, error) {
	created := &security{}
	settings := common.Settings
	if settings.TLS.Enabled() {
		created.keys = hostKeys(common)
		if err := created.keys.Load(); err != nil {
			return nil, err
		}
		common.Log.Info("key files in force", "certificate", settings.TLS.CertificateFile, "expires", created.keys.Expires())
	} else {
		common.Log.Warn("connections are in the clear: the settings have no tls")
	}
	if !settings.Access.Enabled() {
		common.Log.Warn("everybody who reaches the callers' address may do everything: the settings have no access")
		return created, nil
	}
	created.access = &authorizer.Authorizer{}
	if file := settings.Access.TokensFile; file != "" {
		created.access.Tokens = &authorizer.Tokens{File: file, Log: common.Log}
		if err := created.access.Tokens.Load(); err != nil {
			return nil, err
		}
	}
	if file := settings.Access.AuthorityFile; file != "" {
		created.clients = &securer.Keys{AuthorityFile: file, Log: common.Log}
		return created, created.clients.Load()
	}
	return created, nil
}

func hostKeys(common *provider.Common) *securer.Keys {
	settings := common.Settings
	return &securer.Keys{
		CertificateFile: settings.TLS.CertificateFile,
		KeyFile:         settings.TLS.KeyFile,
		AuthorityFile:   settings.TLS.AuthorityFile,
		Owner:           &securer.Identity{Kind: securer.KindHost, Scope: string(settings.FailureDomain), Name: string(settings.Host)},
		Log:             common.Log,
	}
}

// guard has every request to the router prove who sends it.
func (security *security) guard(router *mux.Router) {
	if security.access != nil {
		router.Use(security.access.Middleware)
	}
}

// callersConfig is nil where callers are served in the clear.
func (security *security) callersConfig() *tls.Config {
	if security.keys == nil {
		return nil
	}
	return security.keys.CallerServer(security.clients)
}

// operatorOf returns who makes a change: the one who proved it, or where nobody
// has to, the one that the request names. The history of changes would else say
// whatever their senders like.
func operatorOf(ctx context.Context, named string) string {
	if principal := authorizer.PrincipalOf(ctx); principal != nil {
		return principal.Name
	}
	return named
}

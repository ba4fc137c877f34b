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

// security holds what the daemon authenticates itself and its clients with.
type security struct {
	// keys are the host's own keys; nil leaves all connections in clear text.
	keys *securer.Keys
	// clients holds the authorities of callers' certificates; nil requests no certificates.
	clients *securer.Keys
	// access is nil if callers and operators need not authenticate.
	access *authorizer.Authorizer
}

// loadSecurity reads key files and tokens. A daemon with invalid ones does not start.
func (daemon *Daemon) loadSecurity() error {
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

// authenticate requires authentication of every request to the router, if access is configured.
func (security *security) authenticate(router *mux.Router) {
	if security.access != nil {
		router.Use(security.access.Middleware)
	}
}

// callersConfig returns the TLS configuration for callers, nil if they connect in clear text.
func (security *security) callersConfig() *tls.Config {
	if security.keys == nil {
		return nil
	}
	return security.keys.CallerServer(security.clients)
}

// operatorOf returns the author of a change: the authenticated principal, or the name in the request
// if authentication is not required. Otherwise senders could put any name into the history of
// changes.
func operatorOf(ctx context.Context, named string) string {
	if principal := authorizer.PrincipalOf(ctx); principal != nil {
		return principal.Name
	}
	return named
}

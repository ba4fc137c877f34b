package loader

// Access names the files by which callers and operators prove who they are. With
// neither nobody has to, which is only allowed on loopback or with `allow-insecure`.
type Access struct {
	// TokensFile is a JSON file with the SHA-256 of each token, its role and whom it
	// is for. It is read again when it changes.
	TokensFile string `json:"tokens-file,omitzero"`

	// AuthorityFile holds the certificates, in PEM, that sign those of callers and
	// operators. It needs `tls`. It is read again when it changes.
	AuthorityFile string `json:"authority-file,omitzero"`
}

// Enabled tells whether callers and operators have to prove who they are.
func (access *Access) Enabled() bool { return access.TokensFile != "" || access.AuthorityFile != "" }

// checkAccess: without it anybody who reaches the callers' address can cancel the
// work of every team and change the configuration, TLS or not.
func (checker *checker) checkAccess() {
	settings := checker.settings
	access := &settings.Access
	if access.AuthorityFile != "" && !settings.TLS.Enabled() {
		checker.reporter.add("access.authority-file", "needs tls; certificates are only shown on a TLS connection")
	}
	address := settings.CallersAddress
	if access.Enabled() || settings.AllowInsecure || !settings.TLS.Enabled() || !address.IsValid() || address.Addr().Unmap().IsLoopback() {
		return
	}
	checker.reporter.add("access", `neither tokens-file nor authority-file is given although %s is no loopback address; `+
		`give one of them, or set "allow-insecure": true`, address)
}

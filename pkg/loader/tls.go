package loader

// TLS names the PEM files for mutual TLS. Either all three are given or none.
type TLS struct {
	// CertificateFile holds this host's certificate chain.
	CertificateFile string `json:"certificate-file"`

	// KeyFile holds the private key of the certificate.
	KeyFile string `json:"key-file"`

	// AuthorityFile holds the certificates that sign the other side's.
	AuthorityFile string `json:"authority-file"`
}

// Enabled tells whether TLS files are given.
func (tls *TLS) Enabled() bool { return tls.CertificateFile != "" }

package securer

import (
	"crypto/tls"
	"crypto/x509"
)

// Check tells whether the certificate of the other side names one who may speak.
type Check func(certificate *x509.Certificate) error

// MutualServer returns the configuration of a listener whose clients must show a
// certificate. check looks at it once its chain has been verified.
func (keys *Keys) MutualServer(check Check) *tls.Config {
	return keys.server([]string{"h2"}, func(config *tls.Config) {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = keys.current().authorities
		config.VerifyConnection = func(state tls.ConnectionState) error {
			return check(state.PeerCertificates[0])
		}
	})
}

// CallerServer returns the configuration of the listener for callers and
// operators. clients holds the authorities of their certificates; nil asks for
// none. One who shows none may have a token.
func (keys *Keys) CallerServer(clients *Keys) *tls.Config {
	return keys.server([]string{"http/1.1"}, func(config *tls.Config) {
		if clients != nil {
			config.ClientAuth = tls.VerifyClientCertIfGiven
			config.ClientCAs = clients.current().authorities
		}
	})
}

// server returns a configuration that is made anew for each handshake. Sessions
// are not resumed: a resumed one would skip the look at the files.
func (keys *Keys) server(protocols []string, complete func(*tls.Config)) *tls.Config {
	base := func() *tls.Config {
		return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: protocols, SessionTicketsDisabled: true}
	}
	config := base()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		created := base()
		created.Certificates = []tls.Certificate{*keys.current().certificate}
		complete(created)
		return created, nil
	}
	return config
}

// NamedClient returns the configuration of a caller's connection: the certificate
// must name the host name or IP number that was dialled. It keeps the authorities
// of this moment.
func (keys *Keys) NamedClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: keys.current().authorities, GetClientCertificate: keys.own,
	}
}

// own returns the own certificate, or an empty one for one who has none.
func (keys *Keys) own(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	if certificate := keys.current().certificate; certificate != nil {
		return certificate, nil
	}
	return &tls.Certificate{}, nil
}

// Client returns the configuration of a connection to a server whose certificate
// must pass check. The name that was dialled is not looked at: hosts are dialled
// by IP number, and the certificate names the host itself. The authorities are
// those in force at each handshake. crypto/tls would keep the first ones, so its
// own verification is off and verify, which does the same, stands in its place.
func (keys *Keys) Client(check Check) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		InsecureSkipVerify:   true,
		GetClientCertificate: keys.own,
		VerifyConnection: func(state tls.ConnectionState) error {
			if err := verify(state.PeerCertificates, keys.current().authorities, x509.ExtKeyUsageServerAuth); err != nil {
				return err
			}
			return check(state.PeerCertificates[0])
		},
	}
}

package commander

import (
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/requester"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// idleTimeout closes the connections of a command that runs on, such as top.
const idleTimeout = 10 * time.Second

// keyOptions name the key files of a command.
type keyOptions struct {
	Authority   string `long:"authority" env:"STOATHITCH_AUTHORITY" value-name:"FILE" description:"the PEM certificates that sign those of the hosts; with it TLS is spoken"`
	Certificate string `long:"certificate" env:"STOATHITCH_CERTIFICATE" value-name:"FILE" description:"the own PEM certificate"`
	Key         string `long:"key" env:"STOATHITCH_KEY" value-name:"FILE" description:"the PEM key of the certificate"`
}

// keys reads the key files; without an authority there are none.
func (options *keyOptions) keys(terminal *terminal) (*securer.Keys, error) {
	if options.Authority == "" {
		if options.Certificate != "" || options.Key != "" {
			return nil, malformed("--certificate and --key need --authority")
		}
		return nil, nil
	}
	if (options.Certificate == "") != (options.Key == "") {
		return nil, malformed("--certificate and --key are given together")
	}
	keys := &securer.Keys{
		CertificateFile: options.Certificate, KeyFile: options.Key, AuthorityFile: options.Authority,
		Log: log.New(terminal.errors),
	}
	if err := keys.Load(); err != nil {
		return nil, malformed("%v", err)
	}
	return keys, nil
}

// proofOptions are what a command proves itself by to hosts.
type proofOptions struct {
	keyOptions
	TokenFile string `long:"token-file" env:"STOATHITCH_TOKEN_FILE" value-name:"FILE" description:"the file that holds the own token"`
}

// reach returns a requester of a host at an address with or without its scheme.
// Key files or a token that can't be read make every request fail with the reason.
func (options *proofOptions) reach(terminal *terminal, address string) *requester.Requester {
	created := &requester.Requester{Host: address}
	scheme := "http://"
	keys, err := options.keys(terminal)
	if err == nil {
		created.Token, err = options.token()
	}
	if keys != nil && strings.HasPrefix(address, "http://") {
		// A token in the clear is one that anybody on the way may use.
		err = malformed("%s is in the clear although --authority asks for TLS", address)
	}
	switch {
	case err != nil:
		created.Client = &http.Client{Transport: failing{err: err}}
	case keys != nil:
		scheme = "https://"
		created.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: keys.NamedClient(), IdleConnTimeout: idleTimeout}}
	}
	if !strings.Contains(address, "://") {
		created.Host = scheme + address
	}
	return created
}

// token reads the token; without a file there is none.
func (options *proofOptions) token() (string, error) {
	if options.TokenFile == "" {
		return "", nil
	}
	content, err := os.ReadFile(options.TokenFile)
	if err != nil {
		return "", malformed("the token can't be read: %v", err)
	}
	return strings.TrimSpace(string(content)), nil
}

// failing is a transport that sends nothing.
type failing struct{ err error }

// RoundTrip fails.
func (failing failing) RoundTrip(*http.Request) (*http.Response, error) { return nil, failing.err }

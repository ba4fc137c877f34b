package securer_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/securer"
	"github.com/stoathitch/stoathitch/pkg/securer/fakeauthority"
)

const self = "stoathitch://thu-duc/host/entry-0"

// party makes the keys of one side. Its arguments: authority (who signs its
// certificate), trusts (whom it trusts), names (whom its certificate names),
// expired.
type party struct {
	signer, trusted *fakeauthority.Authority
	names           string
	expired         bool
}

func (party *party) keys(t *testing.T, role string) *securer.Keys {
	keys := &securer.Keys{AuthorityFile: party.trusted.File, Log: log.New(&bytes.Buffer{})}
	if party.names == "" {
		return keys
	}
	notAfter := time.Now().Add(time.Hour)
	if party.expired {
		notAfter = time.Now().Add(-time.Hour)
	}
	keys.CertificateFile, keys.KeyFile = party.signer.Issue(t, role, notAfter, party.names)
	return keys
}

// TestHandshakes runs handshakes between a host that serves and one that dials,
// and shows what each side says.
func TestHandshakes(t *testing.T) {
	authorities := map[string]*fakeauthority.Authority{"ours": fakeauthority.New(t), "theirs": fakeauthority.New(t)}
	datadriven.RunTest(t, "testdata/handshakes", func(t *testing.T, data *datadriven.TestData) string {
		server := &party{signer: authorities["ours"], trusted: authorities["ours"], names: self}
		client := &party{signer: authorities["ours"], trusted: authorities["ours"], names: "stoathitch://thu-duc/host/entry-1"}
		want, wantClient := self, client.names
		for _, argument := range data.CmdArgs {
			value := strings.Join(argument.Vals, "")
			switch argument.Key {
			case "server-names":
				server.names = value
			case "server-signer":
				server.signer = authorities[value]
			case "server-expired":
				server.expired = true
			case "client-names":
				client.names = value
			case "client-signer":
				client.signer = authorities[value]
			case "client-expired":
				client.expired = true
			case "client-without":
				client.names = ""
			}
		}
		return handshake(t, server.keys(t, "server"), client.keys(t, "client"), want, wantClient)
	})
}

func handshake(t *testing.T, server, client *securer.Keys, wantServer, wantClient string) string {
	for _, each := range []struct {
		role string
		keys *securer.Keys
	}{{"server", server}, {"client", client}} {
		if err := each.keys.Load(); err != nil {
			return each.role + " does not start: " + kindOf(err) + "\n" + showExpired(t, each.role, server, client)
		}
	}
	serverError, clientError := shakeHands(t, server.MutualServer(mustName(t, wantClient)), client.Client(mustName(t, wantServer)))
	return fmt.Sprintf("server: %s\nclient: %s", kindOf(serverError), kindOf(clientError))
}

// showExpired has the expired pair shown all the same, by a program that doesn't
// check it.
func showExpired(t *testing.T, role string, server, client *securer.Keys) string {
	nobody := func(*x509.Certificate) error { return nil }
	expired, good := server, client
	if role == "client" {
		expired, good = client, server
	}
	pair, err := tls.LoadX509KeyPair(expired.CertificateFile, expired.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := good.Load(); err != nil {
		t.Fatal(err)
	}
	careless := &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true, NextProtos: []string{"h2"}}
	if role == "client" {
		serverError, _ := shakeHands(t, good.MutualServer(nobody), careless)
		return "server, if it is shown: " + kindOf(serverError)
	}
	_, clientError := shakeHands(t, careless, good.Client(nobody))
	return "client, if it is shown: " + kindOf(clientError)
}

func mustName(t *testing.T, text string) securer.Check {
	identity, err := securer.ParseIdentity(text)
	if err != nil {
		t.Fatal(err)
	}
	return func(certificate *x509.Certificate) error { return securer.Names(certificate, identity) }
}

// shakeHands exchanges a byte too, as a TLS 1.3 client ends its handshake before
// the server has looked at its certificate.
func shakeHands(t *testing.T, server, client *tls.Config) (serverError, clientError error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ended := make(chan error, 1)
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		connection := tls.Server(accepted, server)
		defer func() { _ = connection.Close() }()
		if err = connection.Handshake(); err == nil {
			_, err = connection.Write([]byte{1})
		}
		ended <- err
	}()
	client.NextProtos = []string{"h2"}
	connection, clientError := tls.Dial("tcp", listener.Addr().String(), client)
	if clientError == nil {
		_, clientError = connection.Read(make([]byte, 1))
		_ = connection.Close()
	}
	return <-ended, clientError
}

// kindOf names an error without what differs from run to run.
func kindOf(err error) string {
	var own *securer.Error
	var invalid x509.CertificateInvalidError
	var unknown x509.UnknownAuthorityError
	var remote *net.OpError
	switch {
	case err == nil:
		return "well"
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "the other side's certificate has expired"
	case errors.As(err, &unknown):
		return "the other side's authority is unknown"
	case errors.As(err, &own):
		return own.Kind.String()
	case errors.As(err, &remote) && remote.Op == "remote error":
		return "refused by the other side"
	default:
		return err.Error()
	}
}

// TestReload: an operator replaces the key files while the process runs. A new
// pair serves the next handshake; one that is half copied, expired, or of another
// host leaves the earlier one in force and is logged. The cause of such a file is
// an error in a roll-out, which would else cut off one host after the other.
func TestReload(t *testing.T) {
	authority := fakeauthority.New(t)
	valid := time.Now().Add(time.Hour)
	owner, err := securer.ParseIdentity(self)
	if err != nil {
		t.Fatal(err)
	}
	var logged bytes.Buffer
	server := &securer.Keys{AuthorityFile: authority.File, Owner: &owner, Log: log.New(&logged)}
	server.CertificateFile, server.KeyFile = authority.Issue(t, "server", valid, self)
	client := &securer.Keys{AuthorityFile: authority.File, Log: log.New(&logged)}
	client.CertificateFile, client.KeyFile = authority.Issue(t, "client", valid, self)
	for _, keys := range []*securer.Keys{server, client} {
		if err := keys.Load(); err != nil {
			t.Fatal(err)
		}
	}
	serving := server.MutualServer(mustName(t, self))
	serial := func() string {
		var shown string
		config := client.Client(func(certificate *x509.Certificate) error {
			shown = certificate.SerialNumber.String()
			return nil
		})
		if serverError, clientError := shakeHands(t, serving, config); serverError != nil || clientError != nil {
			t.Fatalf("handshake: server %v, client %v", serverError, clientError)
		}
		return shown
	}
	expect := func(step, want, wantLog string) {
		t.Helper()
		if got := serial(); got != want {
			t.Errorf("%s: certificate %s is in force, want %s", step, got, want)
		}
		if !strings.Contains(logged.String(), wantLog) {
			t.Errorf("%s: the log lacks %q: %s", step, wantLog, logged.String())
		}
		logged.Reset()
	}
	first := serial()
	expect("nothing changed", first, "")
	authority.Issue(t, "server", time.Now().Add(-time.Hour), self)
	expect("expired pair", first, "not taken")
	authority.Issue(t, "server", valid, "stoathitch://thu-duc/host/entry-9")
	expect("pair of another host", first, "not taken")
	authority.Issue(t, "server", valid, "stoathitch://tan-binh/host/entry-0")
	expect("pair of another failure domain", first, "not taken")
	if err := os.WriteFile(server.CertificateFile, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	expect("half a file", first, "not taken")
	authority.Issue(t, "server", valid, self)
	if got := serial(); got == first {
		t.Errorf("new pair: certificate %s is still in force", got)
	}
}

// FuzzParseIdentity: what parses is written back in a form that parses to the
// same, so that two texts for one identity can't pass for two.
func FuzzParseIdentity(f *testing.F) {
	for _, seed := range []string{self, "stoathitch:///operator/ngoc", "stoathitch://a/caller/b%2Fc", "https://thu-duc/host/x", "stoathitch://thu-duc:1/host/x"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		identity, err := securer.ParseIdentity(text)
		if err != nil {
			return
		}
		again, err := securer.ParseIdentity(identity.String())
		if err != nil || again != identity {
			t.Errorf("%q parses to %#v, which is written %q and parses to %#v, %v", text, identity, identity.String(), again, err)
		}
	})
}

package authorizer

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/datadriven"
	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// fixture is an authorizer in front of routes that tell who came through.
type fixture struct {
	tokens *Tokens
	router *mux.Router
	logged bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	created := &fixture{router: mux.NewRouter()}
	created.tokens = &Tokens{File: filepath.Join(t.TempDir(), "tokens.json"), Log: log.New(&created.logged)}
	authorizer := &Authorizer{Tokens: created.tokens}
	created.router.Use(authorizer.Middleware)
	routes := map[string][]string{
		"/healthz": {"GET"}, "/readyz": {"GET"}, "/v1/jobs": {"POST"}, "/v1/jobs/{submission}": {"GET", "DELETE"},
		"/v1/status": {"GET"}, "/status": {"GET"}, "/v1/config": {"GET", "POST"}, "/v1/config/history": {"GET"},
		"/debug/vars": {"GET"}, "/v1/jobs-of-a-later-release": {"GET", "POST"},
	}
	for path, methods := range routes {
		created.router.HandleFunc(path, whoCame).Methods(methods...)
	}
	return created
}

func whoCame(writer http.ResponseWriter, request *http.Request) {
	if principal := PrincipalOf(request.Context()); principal != nil {
		_, _ = fmt.Fprintf(writer, "as %+v", *principal)
	}
}

// TestAccess runs a table of tokens, certificates and requests. The commands:
//
//	tokens             writes the file; SHA(x) stands for the SHA-256 of token x
//	request            each line is METHOD PATH, then token=, header= or uris=
//	roles              shows which roles may use each route
func TestAccess(t *testing.T) {
	fixture := newFixture(t)
	datadriven.RunTest(t, "testdata/access", func(t *testing.T, data *datadriven.TestData) string {
		switch data.Cmd {
		case "tokens":
			return fixture.writeTokens(t, data.Input)
		case "request":
			var lines []string
			for line := range strings.SplitSeq(data.Input, "\n") {
				lines = append(lines, fixture.request(t, line))
			}
			return strings.Join(lines, "\n")
		default:
			return fixture.roles(t)
		}
	})
}

func (fixture *fixture) writeTokens(t *testing.T, text string) string {
	for _, token := range []string{"estimates", "parcels", "operator", "reader", "old"} {
		digest := sha256.Sum256([]byte(token))
		text = strings.ReplaceAll(text, "SHA("+token+")", fmt.Sprintf("%x", digest))
	}
	if err := os.WriteFile(fixture.tokens.File, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	first := fixture.tokens.byDigest == nil
	var err error
	if first {
		err = fixture.tokens.Load()
	} else {
		fixture.tokens.lookup(digest{})
	}
	said := strings.TrimSpace(fixture.logged.String())
	fixture.logged.Reset()
	if err != nil {
		said = err.Error()
	}
	return strings.ReplaceAll(said, fixture.tokens.File, "tokens.json")
}

func (fixture *fixture) request(t *testing.T, line string) string {
	method, rest, _ := strings.Cut(line, " ")
	path, proof, _ := strings.Cut(rest, " ")
	request := httptest.NewRequest(method, path, nil)
	kind, value, _ := strings.Cut(proof, "=")
	switch kind {
	case "token":
		request.Header.Set("Authorization", "Bearer "+value)
	case "header":
		request.Header["Authorization"] = strings.Split(value, "|")
	case "uris":
		request.TLS = shown(t, value)
	}
	recorder := httptest.NewRecorder()
	fixture.router.ServeHTTP(recorder, request)
	return fmt.Sprintf("%s: %d %s", line, recorder.Code, strings.TrimSpace(recorder.Body.String()))
}

// shown is a connection with a verified certificate that has the URIs.
func shown(t *testing.T, uris string) *tls.ConnectionState {
	certificate := &x509.Certificate{}
	for text := range strings.SplitSeq(uris, "|") {
		address, err := url.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		certificate.URIs = append(certificate.URIs, address)
	}
	chain := []*x509.Certificate{certificate}
	return &tls.ConnectionState{PeerCertificates: chain, VerifiedChains: [][]*x509.Certificate{chain}}
}

func (fixture *fixture) roles(t *testing.T) string {
	var lines []string
	for _, route := range []string{
		"GET /healthz", "GET /readyz", "POST /v1/jobs", "GET /v1/jobs/s-1", "DELETE /v1/jobs/s-1", "GET /status", "GET /v1/status",
		"GET /v1/config", "POST /v1/config", "GET /v1/config/history", "GET /debug/vars",
		"GET /v1/jobs-of-a-later-release", "POST /v1/jobs-of-a-later-release", "GET //v1/jobs/s-1", "GET /v1/x/../status",
	} {
		line := route + ":"
		for _, who := range []string{"nobody", "estimates", "operator", "reader"} {
			proof := " token=" + who
			if who == "nobody" {
				proof = ""
			}
			_, result, _ := strings.Cut(fixture.request(t, route+proof), ": ")
			line += fmt.Sprintf(" %s %s", who, result[:3])
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// TestIs: a caller is one of its own team only.
func TestIs(t *testing.T) {
	principal := &Principal{Role: RoleCaller, Caller: "garage-7", Team: "estimates"}
	operator := &Principal{Role: RoleOperator}
	for _, wrong := range []bool{principal.Is("garage-7", "parcels"), principal.Is("garage-8", "estimates"), operator.Is("", "")} {
		if wrong {
			t.Error("one passes for another")
		}
	}
	if !principal.Is("garage-7", "estimates") {
		t.Error("a caller is not itself")
	}
}

// FuzzAuthorization: no Authorization header gets through but the known token's,
// whatever stands around it, and no bytes of a tokens file bring the parser down or
// make an entry without a role.
func FuzzAuthorization(f *testing.F) {
	good := fmt.Sprintf(`{"tokens":[{"name":"n","sha-256":"%x","role":"caller","caller":"c","team":"t"}]}`, sha256.Sum256([]byte("secret")))
	f.Add("Bearer secret", []byte(good))
	f.Add("bearer  secret", []byte(`{"tokens":[{}]}`))
	f.Add("Basic secret", []byte(`{"tokens":null} {}`))
	f.Add("Bearer secret\x00", []byte(`[`))
	known, err := parseTokens([]byte(good))
	if err != nil {
		f.Fatal(err)
	}
	authorizer := &Authorizer{Tokens: &Tokens{File: "missing", byDigest: known}}
	f.Fuzz(func(t *testing.T, header string, file []byte) {
		request := &http.Request{Header: http.Header{"Authorization": {header}}}
		principal, err := authorizer.identify(request, time.Now())
		scheme, rest, _ := strings.Cut(header, " ")
		wanted := strings.EqualFold(scheme, "bearer") && strings.TrimLeft(rest, " ") == "secret"
		if wanted != (err == nil) || (err == nil) != (principal != nil) {
			t.Errorf("%q gives %v, %v", header, principal, err)
		}
		parsed, err := parseTokens(file)
		for _, entry := range parsed {
			role := entry.principal.Role
			if err != nil || !role.IsARole() || (role == RoleCaller) != (entry.principal.Caller != identifier.CallerID("")) {
				t.Errorf("%q gives %+v, %v", file, entry, err)
			}
		}
	})
}

// BenchmarkToken is what the proof of a request costs.
func BenchmarkToken(b *testing.B) {
	tokens := &Tokens{File: filepath.Join(b.TempDir(), "tokens.json"), Log: log.New(&bytes.Buffer{})}
	content := fmt.Sprintf(`{"tokens":[{"name":"n","sha-256":"%x","role":"reader"}]}`, sha256.Sum256([]byte("secret")))
	if err := os.WriteFile(tokens.File, []byte(content), 0o600); err != nil {
		b.Fatal(err)
	}
	if err := tokens.Load(); err != nil {
		b.Fatal(err)
	}
	authorizer := &Authorizer{Tokens: tokens}
	request := &http.Request{Header: http.Header{"Authorization": {"Bearer secret"}}}
	for b.Loop() {
		if _, err := authorizer.identify(request, time.Now()); err != nil {
			b.Fatal(err)
		}
	}
}

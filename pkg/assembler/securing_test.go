package assembler_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	peerv1 "github.com/stoathitch/stoathitch/pkg/protocol/peer/v1"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/requester"
	"github.com/stoathitch/stoathitch/pkg/securer"
	"github.com/stoathitch/stoathitch/pkg/securer/fakeauthority"
)

// secureDeployment is a deployment with key files and tokens.
type secureDeployment struct {
	*deployment
	authority *fakeauthority.Authority
}

func startSecureDeployment(tb testing.TB, hosts int) *secureDeployment {
	authority := fakeauthority.New(tb)
	tokens := filepath.Join(tb.TempDir(), "tokens.json")
	writeTokens(tb, tokens)
	created := &secureDeployment{authority: authority}
	created.deployment = startDeployment(tb, hosts, func(settings *loader.Settings) {
		settings.TLS.CertificateFile, settings.TLS.KeyFile = authority.Issue(tb, string(settings.Host), inAnHour(),
			"stoathitch://thu-duc/host/"+string(settings.Host))
		settings.TLS.AuthorityFile = authority.File
		settings.Access = loader.Access{TokensFile: tokens, AuthorityFile: authority.File}
	})
	for index, host := range created.hosts {
		created.hosts[index] = created.as(tb, strings.Replace(host.Host, "http://", "https://", 1), "reader")
	}
	return created
}

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

// writeTokens writes a file with the tokens "reader", "operator", "garage-7" and "garage-8".
func writeTokens(tb testing.TB, file string) {
	entry := func(token, rest string) string {
		return fmt.Sprintf(`{"name": %q, "sha-256": "%x", %s}`, token, sha256.Sum256([]byte(token)), rest)
	}
	entries := []string{
		entry("reader", `"role": "reader"`), entry("operator", `"role": "operator"`),
		entry("garage-7", `"role": "caller", "caller": "garage-7", "team": "estimates"`),
		entry("garage-8", `"role": "caller", "caller": "garage-8", "team": "estimates"`),
	}
	if err := os.WriteFile(file, []byte(`{"tokens": [`+strings.Join(entries, ",")+`]}`), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// as returns a requester with a token, or without one if it is empty.
func (deployment *secureDeployment) as(tb testing.TB, host, token string) *requester.Requester {
	return &requester.Requester{Host: host, Token: token, Client: deployment.client(tb, "")}
}

// client returns a TLS client, with a certificate for the identity unless that is empty.
func (deployment *secureDeployment) client(tb testing.TB, identity string) *http.Client {
	transport := &http.Transport{TLSClientConfig: deployment.keys(tb, identity).NamedClient()}
	tb.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

func (deployment *secureDeployment) keys(tb testing.TB, identity string) *securer.Keys {
	keys := &securer.Keys{AuthorityFile: deployment.authority.File, Log: log.New(&deployment.logs)}
	if identity != "" {
		name := strings.NewReplacer("/", "-", ":", "-").Replace(identity)
		keys.CertificateFile, keys.KeyFile = deployment.authority.Issue(tb, name, inAnHour(), identity)
	}
	if err := keys.Load(); err != nil {
		tb.Fatal(err)
	}
	return keys
}

func (deployment *secureDeployment) attach(tb testing.TB, name string, keys *securer.Keys) {
	standIn := &executor.Executor{
		Name: name, FailureDomain: "thu-duc", Rack: "rack-0", Slots: 4, Keys: keys, Log: log.New(&deployment.logs),
	}
	for _, settings := range deployment.settings {
		standIn.EntryHosts = append(standIn.EntryHosts, settings.BackendServersAddress.String())
	}
	running, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		standIn.Run(running)
	}()
	tb.Cleanup(func() {
		stop()
		<-ended
	})
}

// TestSecured checks that two hosts and a backend server with certificates serve a caller with a
// token, and that another caller can neither submit in its name nor read or cancel its submissions.
func TestSecured(t *testing.T) {
	deployment := startSecureDeployment(t, 2)
	deployment.attach(t, "server-0", deployment.keys(t, "stoathitch://thu-duc/backend-server/server-0"))
	deployment.waitUntilLed(t)
	host := deployment.hosts[1].Host
	garage, other := deployment.as(t, host, "garage-7"), deployment.as(t, host, "garage-8")
	attempt := 0
	eventually(t, "a job is complete", func(ctx context.Context) bool {
		attempt++
		answer, err := garage.Submit(ctx, smallJob(fmt.Sprintf("s-%d", attempt)))
		return err == nil && answer.Outcome.String() == "complete"
	})
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	done := identifier.SubmissionID(fmt.Sprintf("s-%d", attempt))
	certified := &requester.Requester{Host: host, Client: deployment.client(t, "stoathitch://estimates/caller/garage-7")}
	for name, right := range map[string]*requester.Requester{"token": garage, "certificate": certified} {
		if answer, err := right.Show(ctx, "", done); err != nil || answer.Outcome.String() != "complete" {
			t.Errorf("own job by %s: %+v, %v", name, answer, err)
		}
	}
	attempts := map[string]func() (any, error){
		"submit as another":       func() (any, error) { return other.Submit(ctx, smallJob("s-x")) },
		"read as another":         func() (any, error) { return other.Show(ctx, "garage-7", done) },
		"cancel as another":       func() (any, error) { return other.Cancel(ctx, "garage-7", done) },
		"submit without a token":  func() (any, error) { return deployment.as(t, host, "").Submit(ctx, smallJob("s-y")) },
		"submit as operator":      func() (any, error) { return deployment.as(t, host, "operator").Submit(ctx, smallJob("s-z")) },
		"status as caller":        func() (any, error) { return other.Status(ctx) },
		"configuration as reader": func() (any, error) { return deployment.hosts[0].ChangeConfig(ctx, &assembler.ChangeBody{}) },
	}
	for name, try := range attempts {
		if answer, err := try(); err == nil {
			t.Errorf("%s: got %+v, want a refusal", name, answer)
		}
	}
	if answer, err := other.Show(ctx, "", done); err != nil || answer.Reason != "unknown-submission" {
		t.Errorf("another's submission asked for in the own name: %+v, %v", answer, err)
	}
}

// TestStatusPage checks that the page and its JSON form are served to a reader, with headers that
// keep a browser from loading or framing anything.
func TestStatusPage(t *testing.T) {
	deployment := startSecureDeployment(t, 1)
	host := deployment.hosts[0]
	eventually(t, "the host answers", func(ctx context.Context) bool {
		overview, err := host.Overview(ctx)
		return err == nil && overview.Host == deployment.settings[0].Host && overview.Teams != nil && overview.Responses != nil
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, host.Host+"/status", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer reader")
	response, err := host.Client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	policy := response.Header.Get("Content-Security-Policy")
	if response.StatusCode != http.StatusOK || !strings.HasPrefix(response.Header.Get("Content-Type"), "text/html") || !strings.Contains(policy, "default-src 'none'") {
		t.Errorf("got %d, %v", response.StatusCode, response.Header)
	}
}

// TestImpersonationIsRefused guards against a holder of the keys of one host or backend server who
// opens a stream in the name of another. If the name were taken from the stream alone, it could claim
// leads, forge answers and read every job of a failure domain whose keys it never had.
func TestImpersonationIsRefused(t *testing.T) {
	deployment := startSecureDeployment(t, 1)
	eventually(t, "the host answers", func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	})
	for _, attempt := range []struct {
		certificate, from string
		accepted          bool
	}{
		{certificate: "stoathitch://thu-duc/host/entry-9", from: "entry-9", accepted: true},
		{certificate: "stoathitch://thu-duc/host/entry-8", from: "entry-9"},
		{certificate: "stoathitch://tan-binh/host/entry-9", from: "entry-9"},
		{certificate: "stoathitch://thu-duc/backend-server/entry-9", from: "entry-9"},
	} {
		err := deployment.introduce(t, attempt.certificate, attempt.from)
		if (err == nil) != attempt.accepted {
			t.Errorf("%s as host %s: %v", attempt.certificate, attempt.from, err)
		}
	}
	for _, attempt := range []struct {
		certificate, name string
		accepted          bool
	}{
		{certificate: "stoathitch://thu-duc/backend-server/server-0", name: "server-0", accepted: true},
		{certificate: "stoathitch://thu-duc/backend-server/server-1", name: "server-0"},
		{certificate: "stoathitch://tan-binh/backend-server/server-0", name: "server-0"},
		{certificate: "stoathitch://thu-duc/host/server-0", name: "server-0"},
	} {
		err := deployment.announce(t, attempt.certificate, attempt.name)
		if (err == nil) != attempt.accepted {
			t.Errorf("%s as backend server %s: %v", attempt.certificate, attempt.name, err)
		}
	}
}

func (deployment *secureDeployment) dial(t *testing.T, address, certificate string) *grpc.ClientConn {
	keys := deployment.keys(t, certificate)
	config := keys.NamedClient()
	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(credentials.NewTLS(config)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func (deployment *secureDeployment) introduce(t *testing.T, certificate, from string) error {
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	connection := deployment.dial(t, deployment.settings[0].PeersAddress.String(), certificate)
	stream, err := peerv1.NewPeerClient(connection).Exchange(ctx)
	if err != nil {
		return err
	}
	// A stream that has been refused may fail here or at Recv.
	_ = stream.Send(&peerv1.Frame{From: from, Incarnation: 1})
	_, err = stream.Recv()
	return err
}

func (deployment *secureDeployment) announce(t *testing.T, certificate, name string) error {
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	connection := deployment.dial(t, deployment.settings[0].BackendServersAddress.String(), certificate)
	stream, err := backendv1.NewEntryHostClient(connection).Attach(ctx)
	if err != nil {
		return err
	}
	_ = stream.Send(&backendv1.ServerMessage{Announce: &backendv1.Announce{
		BackendServer: name, FailureDomain: "thu-duc", Slots: 1, Incarnation: 1,
	}})
	_, err = stream.Recv()
	return err
}

// TestWrongKeysDoNotStart guards against a daemon that has the keys of another host, expired keys or
// unreadable tokens and serves without them: it must end at once.
func TestWrongKeysDoNotStart(t *testing.T) {
	authority := fakeauthority.New(t)
	for name, change := range map[string]func(*loader.Settings){
		"another host": func(settings *loader.Settings) {
			settings.TLS.CertificateFile, settings.TLS.KeyFile = authority.Issue(t, "other", inAnHour(), "stoathitch://thu-duc/host/other")
		},
		"expired": func(settings *loader.Settings) {
			settings.TLS.CertificateFile, settings.TLS.KeyFile = authority.Issue(t, "old", time.Now().Add(-time.Minute),
				"stoathitch://thu-duc/host/"+string(settings.Host))
		},
		"no tokens": func(settings *loader.Settings) { settings.Access.TokensFile = "missing.json" },
	} {
		settings := deploymentSettings(t, 1)[0]
		settings.TLS.AuthorityFile = authority.File
		change(settings)
		var logs lockedBuffer
		ctx, cancel := context.WithTimeout(t.Context(), maxWait)
		err := (&assembler.Daemon{Common: provider.New(settings, &logs)}).Run(ctx, ctx)
		cancel()
		if err == nil {
			t.Errorf("%s: the daemon served", name)
		}
	}
}

// TestIdleConnectionsAreClosed guards against clients that open connections and send nothing, on each
// of the three addresses. Without a bound on the handshake they would occupy them for ever; with it
// the host closes them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	deployment := startDeployment(t, 1, func(settings *loader.Settings) {
		settings.Connections.HandshakeTimeout = loader.Duration(100 * time.Millisecond)
		settings.Timeouts.HeaderTimeout = loader.Duration(100 * time.Millisecond)
	})
	eventually(t, "the host answers", func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	})
	settings := deployment.settings[0]
	for _, address := range []string{settings.CallersAddress.String(), settings.BackendServersAddress.String(), settings.PeersAddress.String()} {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = connection.SetReadDeadline(time.Now().Add(maxWait))
		buffer := make([]byte, 1024)
		for err == nil {
			_, err = connection.Read(buffer)
		}
		if os.IsTimeout(err) {
			t.Errorf("%s: still open after %s", address, maxWait)
		}
		_ = connection.Close()
	}
}

// TestSlowReader guards against a client that sends requests and never reads an answer. Once the
// buffers on the way are full, the host's write blocks; without a bound the client would hold the
// answer and the connection for ever.
func TestSlowReader(t *testing.T) {
	deployment := startDeployment(t, 1, func(settings *loader.Settings) {
		settings.Timeouts.BodyTimeout = loader.Duration(100 * time.Millisecond)
	})
	eventually(t, "the host answers", func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	})
	connection, err := net.Dial("tcp", deployment.settings[0].CallersAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetWriteDeadline(time.Now().Add(maxWait))
	for err == nil {
		_, err = connection.Write([]byte("GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	if os.IsTimeout(err) {
		t.Errorf("still open after %s", maxWait)
	}
}

// TestConnectionLimit guards against one client that takes all connections of an address. The next
// client must learn at once that this host has no capacity, so that it can try another, and must be
// served when a connection is free again.
func TestConnectionLimit(t *testing.T) {
	deployment := startDeployment(t, 1, func(settings *loader.Settings) { settings.Connections.PerListener = 2 })
	deployment.hosts[0].Client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	served := func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	}
	eventually(t, "the host answers", served)
	var held []net.Conn
	eventually(t, "all connections are taken", func(ctx context.Context) bool {
		connection, err := net.Dial("tcp", deployment.settings[0].CallersAddress.String())
		if err == nil {
			held = append(held, connection)
		}
		return !served(ctx)
	})
	for _, connection := range held {
		_ = connection.Close()
	}
	eventually(t, "the host answers again", served)
}

// TestPlaintextCallersAreRefused checks that a host with TLS serves nobody who speaks plain HTTP, or
// who trusts another authority.
func TestPlaintextCallersAreRefused(t *testing.T) {
	deployment := startSecureDeployment(t, 1)
	eventually(t, "the host answers", func(ctx context.Context) bool {
		_, err := deployment.hosts[0].Status(ctx)
		return err == nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	plain := &requester.Requester{Host: strings.Replace(deployment.hosts[0].Host, "https://", "http://", 1), Token: "reader"}
	if _, err := plain.Status(ctx); err == nil {
		t.Error("the status was served in the clear")
	}
	elsewhere := &requester.Requester{Host: deployment.hosts[0].Host, Token: "reader"}
	elsewhere.Client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13}}}
	if _, err := elsewhere.Status(ctx); err == nil {
		t.Error("a client that trusts other authorities took the host's certificate")
	}
}

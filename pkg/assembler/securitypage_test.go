package assembler_test

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/requester"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

var shellBlock = regexp.MustCompile("(?s)```sh\n(.*?)```")

// TestSecurityPage runs the commands of docs/SECURITY.md and serves a caller, a backend server and an
// operator with the keys and the token that they create.
func TestSecurityPage(t *testing.T) {
	if _, err := exec.LookPath("openssl"); err != nil {
		t.Skip("the page's commands need openssl, which is not installed here")
	}
	folder := t.TempDir()
	runPage(t, folder)
	file := func(name string) string { return filepath.Join(folder, name) }
	deployment := startDeployment(t, 1, func(settings *loader.Settings) {
		settings.TLS = loader.TLS{CertificateFile: file("host.pem"), KeyFile: file("host-key.pem"), AuthorityFile: file("authority.pem")}
		settings.Access = loader.Access{TokensFile: file("tokens.json"), AuthorityFile: file("callers-authority.pem")}
	})
	secured := &secureDeployment{deployment: deployment}
	keysOf := func(name string) *securer.Keys {
		keys := &securer.Keys{AuthorityFile: file("authority.pem"), Log: log.New(&deployment.logs)}
		if name != "" {
			keys.CertificateFile, keys.KeyFile = file(name+".pem"), file(name+"-key.pem")
		}
		if err := keys.Load(); err != nil {
			t.Fatal(err)
		}
		return keys
	}
	as := func(keys *securer.Keys, token string) *requester.Requester {
		transport := &http.Transport{TLSClientConfig: keys.NamedClient()}
		t.Cleanup(transport.CloseIdleConnections)
		address := "https://" + deployment.settings[0].CallersAddress.String()
		return &requester.Requester{Host: address, Token: token, Client: &http.Client{Transport: transport}}
	}
	secured.attach(t, "thu-duc-0", keysOf("server"))
	deployment.hosts[0] = as(keysOf("ngoc"), "")
	deployment.waitUntilLed(t)
	token, err := os.ReadFile(file("garage-7.token"))
	if err != nil {
		t.Fatal(err)
	}
	deployment.hosts[0] = as(keysOf(""), strings.TrimSpace(string(token)))
	deployment.waitUntilServing(t)
}

func runPage(t *testing.T, folder string) {
	page, err := os.ReadFile("../../docs/SECURITY.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := shellBlock.FindAllStringSubmatch(string(page), -1)
	if len(blocks) == 0 {
		t.Fatal("the page has no commands")
	}
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	for _, block := range blocks {
		command := exec.CommandContext(ctx, "sh", "-e", "-c", block[1])
		command.Dir = folder
		if said, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", block[1], err, said)
		}
	}
}

package commander

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// fakeHost answers the paths that the golden files set.
type fakeHost struct {
	responses map[string]fakeResponse
	seen      []string
}

type fakeResponse struct {
	status int
	body   string
}

// ServeHTTP answers as it was told.
func (host *fakeHost) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var body bytes.Buffer
	_, _ = body.ReadFrom(request.Body)
	key := request.Method + " " + request.URL.Path
	host.seen = append(host.seen, strings.TrimSpace(key+" "+body.String()))
	response, found := host.responses[key]
	if !found {
		http.NotFound(writer, request)
		return
	}
	writer.WriteHeader(response.status)
	_, _ = fmt.Fprint(writer, response.body)
}

// TestCommands shows what commands print, to a person and to a pipe, and their exit
// codes. HOST stands for the fake host's address, DIR for a folder of the test.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		host := &fakeHost{responses: make(map[string]fakeResponse)}
		server := httptest.NewServer(host)
		defer server.Close()
		folder := t.TempDir()
		hide := strings.NewReplacer(server.URL, "HOST", strings.TrimPrefix(server.URL, "http://"), "HOST-ADDRESS", folder, "DIR")
		show := strings.NewReplacer("HOST-ADDRESS", strings.TrimPrefix(server.URL, "http://"), "HOST", server.URL, "DIR", folder)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "respond":
				response := fakeResponse{status: http.StatusOK, body: show.Replace(data.Input)}
				var method, target string
				data.ScanArgs(t, "method", &method)
				data.ScanArgs(t, "path", &target)
				data.MaybeScanArgs(t, "status", &response.status)
				host.responses[method+" "+target] = response
				return ""
			case "file":
				var name string
				data.ScanArgs(t, "name", &name)
				if err := os.WriteFile(filepath.Join(folder, name), []byte(data.Input), 0o600); err != nil {
					t.Fatal(err)
				}
				return ""
			case "person", "pipe":
				host.seen = nil
				return hide.Replace(runCommand(t, data.Cmd == "person", show.Replace(data.Input)) + strings.Join(host.seen, "\n"))
			default:
				data.Fatalf(t, "unknown command %q", data.Cmd)
				return ""
			}
		})
	})
}

// runCommand runs a command line, whose further lines are its standard input.
func runCommand(t *testing.T, person bool, text string) string {
	line, input, _ := strings.Cut(text, "\n")
	var output, errors bytes.Buffer
	terminal := &terminal{
		context: t.Context(), input: strings.NewReader(input), output: &output, errors: &errors,
		person: person, progressing: person,
	}
	_, err := newToolParser(terminal).ParseArgs(strings.Fields(line))
	code := terminal.exitCode(err)
	return fmt.Sprintf("%s%sexit code %d\n", output.String(), errors.String(), code)
}

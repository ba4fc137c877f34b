package assembler_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
)

var httpBlock = regexp.MustCompile("(?s)```http\n(.*?)```")

// TestCallersPage runs every example of docs/CALLERS.md in order against a host and compares
// status and body.
func TestCallersPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := httpBlock.FindAllStringSubmatch(string(page), -1)
	if len(blocks) == 0 || len(blocks)%2 != 0 {
		t.Fatalf("%d http blocks, want pairs of request and response", len(blocks))
	}
	deployment := startDeployment(t, 2, nil)
	deployment.startServers(t, 2, 8)
	deployment.waitUntilServing(t)
	for index := 0; index < len(blocks); index += 2 {
		checkExample(t, deployment.hosts[0].Host, blocks[index][1], blocks[index+1][1])
	}
}

func checkExample(t *testing.T, host, request, response string) {
	t.Helper()
	status, got := send(t, host, request)
	statusLine, body, _ := strings.Cut(response, "\n")
	if want := strings.Fields(statusLine)[1]; want != status {
		t.Errorf("%s\ngot %s %s, want %s", request, status, got, want)
		return
	}
	if strings.TrimSpace(body) == "" {
		return
	}
	if !reflect.DeepEqual(parsed(t, got), parsed(t, body)) {
		t.Errorf("%s\ngot %s, want %s", request, got, body)
	}
}

func send(t *testing.T, host, text string) (status, body string) {
	t.Helper()
	head, content, _ := strings.Cut(text, "\n\n")
	reader := bufio.NewReader(strings.NewReader(strings.Replace(head, "\n", " HTTP/1.1\nHost: example\n", 1) + "\n\n"))
	if !strings.Contains(head, "\n") {
		reader = bufio.NewReader(strings.NewReader(head + " HTTP/1.1\nHost: example\n\n"))
	}
	example, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatalf("%v:\n%s", err, text)
	}
	request, err := http.NewRequestWithContext(t.Context(), example.Method, host+example.URL.Path, strings.NewReader(content))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = example.Header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Fields(response.Status)[0], string(got)
}

func parsed(t *testing.T, text string) any {
	t.Helper()
	var value any
	if err := json.Unmarshal([]byte(text), &value); err != nil {
		t.Fatalf("%v:\n%s", err, text)
	}
	return value
}

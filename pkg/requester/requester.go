// Package requester sends the HTTP requests of callers and operators to a host.
// The command-line tool and the trial use it.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/receiver"
)

// maxResponseBytes bounds a response, so that a wrong address can't exhaust the memory.
const maxResponseBytes = 256 << 20

// Requester sends requests to one host. Set the exported fields before its use.
type Requester struct {
	// Host is the address at which the host serves callers, with its scheme, such as
	// "http://127.0.0.1:7000".
	Host string
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
	// Token authenticates the requests; none is sent when it is empty.
	Token string
}

// call describes one request before it is sent.
type call struct {
	method string
	path   string
	body   []byte
	caller identifier.CallerID
}

func (call *call) operation() string { return call.method + " " + call.path }

func (call *call) newError(kind ErrorKind, cause error) error {
	return &Error{Operation: call.operation(), Kind: kind, Err: cause}
}

// send returns the status and the body of the response.
func (requester *Requester) send(ctx context.Context, call *call) (int, []byte, error) {
	address := strings.TrimSuffix(requester.Host, "/") + call.path
	request, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return 0, nil, call.newError(ErrorKindWrongRequest, eris.Wrap(err, "make the request"))
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.caller != "" {
		request.Header.Set(receiver.CallerHeader, string(call.caller))
	}
	if requester.Token != "" {
		request.Header.Set("Authorization", "Bearer "+requester.Token)
	}
	response, err := requester.client().Do(request)
	if err != nil {
		return 0, nil, call.newError(ErrorKindUnreachable, eris.Wrap(err, "send the request"))
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, nil, call.newError(ErrorKindUnreachable, eris.Wrap(err, "read the response"))
	}
	return response.StatusCode, content, nil
}

func (requester *Requester) client() *http.Client {
	if requester.Client != nil {
		return requester.Client
	}
	return http.DefaultClient
}

// fetch sends a request and decodes its response into target. A status other than 200 and
// the accepted one is an error.
func (requester *Requester) fetch(ctx context.Context, call *call, accepted int, target any) error {
	status, content, err := requester.send(ctx, call)
	if err != nil {
		return err
	}
	if status != http.StatusOK && status != accepted {
		return call.responseError(status, content)
	}
	if err := json.Unmarshal(content, target); err != nil {
		return call.newError(ErrorKindWrongResponse, eris.Wrap(err, "read the response"))
	}
	return nil
}

// responseError turns a response that reports one into an error.
func (call *call) responseError(status int, content []byte) error {
	var body assembler.ErrorBody
	if err := json.Unmarshal(content, &body); err != nil || body.Error == "" {
		return call.newError(ErrorKindWrongResponse, eris.Errorf("status %d %s", status, http.StatusText(status)))
	}
	kind := ErrorKindWrongRequest
	if status >= http.StatusInternalServerError {
		kind = ErrorKindUnavailable
	}
	cause := eris.Errorf("%s: %s", body.Error, body.Detail)
	return &Error{Operation: call.operation(), Kind: kind, Problems: body.Problems, Err: cause}
}

func jobPath(submission identifier.SubmissionID) string {
	return "/v1/jobs/" + url.PathEscape(string(submission))
}

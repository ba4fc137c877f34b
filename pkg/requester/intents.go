package requester

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// intentsPath is the URL path of the intents API.
const intentsPath = "/v1/intents"

// CreateIntent creates an intent. A conflict is returned as a result, not as an error.
func (requester *Requester) CreateIntent(ctx context.Context, create *describer.Create) (*describer.Result, error) {
	return requester.sendIntentCommand(ctx, intentsPath, create)
}

// OrderIntent confirms, rejects, cancels or ends an intent. A conflict is returned as a
// result, not as an error.
func (requester *Requester) OrderIntent(ctx context.Context, name identifier.IntentName, verb string, order *describer.Order) (*describer.Result, error) {
	return requester.sendIntentCommand(ctx, intentPath(name)+"/"+verb, order)
}

// PlanIntent waits until the intent has a plan or a reason why there is none.
func (requester *Requester) PlanIntent(ctx context.Context, name identifier.IntentName) (*describer.Intent, error) {
	var intent describer.Intent
	err := requester.fetch(ctx, &call{method: http.MethodPost, path: intentPath(name) + "/plan"}, http.StatusOK, &intent)
	if err != nil {
		return nil, err
	}
	return &intent, nil
}

// Intent fetches an intent, with its steps if explain is set. With stale set, a host that is
// a keeper answers from its own copy.
func (requester *Requester) Intent(ctx context.Context, name identifier.IntentName, explain, stale bool) (*describer.Intent, error) {
	query := url.Values{}
	if explain {
		query.Set("explain", "true")
	}
	if stale {
		query.Set("stale", "true")
	}
	path := intentPath(name)
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	var intent describer.Intent
	if err := requester.fetch(ctx, &call{method: http.MethodGet, path: path}, http.StatusOK, &intent); err != nil {
		return nil, err
	}
	return &intent, nil
}

// Intents lists all intents.
func (requester *Requester) Intents(ctx context.Context) ([]describer.Intent, error) {
	var intents []describer.Intent
	if err := requester.fetch(ctx, &call{method: http.MethodGet, path: intentsPath}, http.StatusOK, &intents); err != nil {
		return nil, err
	}
	return intents, nil
}

// sendIntentCommand reads the result of a command, whatever its status.
func (requester *Requester) sendIntentCommand(ctx context.Context, path string, body any) (*describer.Result, error) {
	call := &call{method: http.MethodPost, path: path}
	content, err := json.Marshal(body)
	if err != nil {
		return nil, call.newError(ErrorKindWrongRequest, eris.Wrap(err, "encode the request"))
	}
	call.body = content
	status, response, err := requester.send(ctx, call)
	if err != nil {
		return nil, err
	}
	var kind struct {
		Result string `json:"result"`
	}
	if json.Unmarshal(response, &kind) != nil || kind.Result == "" {
		return nil, call.responseError(status, response)
	}
	var result describer.Result
	if err := json.Unmarshal(response, &result); err != nil {
		return nil, call.newError(ErrorKindWrongResponse, eris.Wrap(err, "read the result"))
	}
	return &result, nil
}

func intentPath(name identifier.IntentName) string {
	return intentsPath + "/" + url.PathEscape(string(name))
}

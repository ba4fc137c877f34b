package requester

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/presenter"
)

// Status fetches the status that the host reports to operators.
func (requester *Requester) Status(ctx context.Context) (*coordinator.Status, error) {
	var status coordinator.Status
	err := requester.fetch(ctx, &call{method: http.MethodGet, path: "/v1/status"}, http.StatusOK, &status)
	if err != nil {
		return nil, err
	}
	return &status, nil
}

// Overview fetches all data of the host's status page.
func (requester *Requester) Overview(ctx context.Context) (*presenter.Overview, error) {
	var overview presenter.Overview
	err := requester.fetch(ctx, &call{method: http.MethodGet, path: "/v1/status"}, http.StatusOK, &overview)
	if err != nil {
		return nil, err
	}
	return &overview, nil
}

// Config fetches the configuration in force on the host.
func (requester *Requester) Config(ctx context.Context) (*assembler.ConfigBody, error) {
	var version assembler.ConfigBody
	err := requester.fetch(ctx, &call{method: http.MethodGet, path: "/v1/config"}, http.StatusOK, &version)
	if err != nil {
		return nil, err
	}
	return &version, nil
}

// ConfigHistory fetches the configuration versions that the host has, the oldest first. Only
// a keeper has more than the one in force.
func (requester *Requester) ConfigHistory(ctx context.Context) ([]assembler.ConfigBody, error) {
	var versions []assembler.ConfigBody
	err := requester.fetch(ctx, &call{method: http.MethodGet, path: "/v1/config/history"}, http.StatusOK, &versions)
	if err != nil {
		return nil, err
	}
	return versions, nil
}

// ChangeConfig proposes a configuration. A conflict is returned as a result, not as an error.
func (requester *Requester) ChangeConfig(ctx context.Context, change *assembler.ChangeBody) (*configurer.Result, error) {
	return requester.sendChange(ctx, "/v1/config", change)
}

// OrderEvacuation orders an evacuation or revokes it. A conflict is returned as a result, not
// as an error.
func (requester *Requester) OrderEvacuation(ctx context.Context, order *assembler.EvacuationBody) (*configurer.Result, error) {
	return requester.sendChange(ctx, "/v1/evacuations", order)
}

// sendChange sends what the keepers are to agree on.
func (requester *Requester) sendChange(ctx context.Context, path string, body any) (*configurer.Result, error) {
	call := &call{method: http.MethodPost, path: path}
	content, err := json.Marshal(body)
	if err != nil {
		return nil, call.newError(ErrorKindWrongRequest, eris.Wrap(err, "encode the change"))
	}
	call.body = content
	var result configurer.Result
	if err := requester.fetch(ctx, call, http.StatusConflict, &result); err != nil {
		return nil, err
	}
	return &result, nil
}

// Explain fetches the host's decisions about a submission, as far as the host still has
// them.
func (requester *Requester) Explain(ctx context.Context, submission identifier.SubmissionID) ([]assembler.ExplainStep, error) {
	var steps []assembler.ExplainStep
	path := "/v1/explain/" + url.PathEscape(string(submission))
	if err := requester.fetch(ctx, &call{method: http.MethodGet, path: path}, http.StatusOK, &steps); err != nil {
		return nil, err
	}
	return steps, nil
}

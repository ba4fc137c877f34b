package assembler

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
)

// EvacuationBody is the JSON form of an order to evacuate a failure domain.
type EvacuationBody struct {
	Request       identifier.RequestID     `json:"request"`
	Operator      string                   `json:"operator"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	// Withdrawn ends the evacuation instead.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Evacuate submits an operator's order to evacuate a failure domain, or to withdraw that, to the
// keepers. It returns nil if no quorum of them answered, or if the operator hung up before the order
// was sent.
//
// The order is based on the newest version at the moment when it is handled. An order that is delayed
// on its way and overtaken by its opposite from then on has no effect.
func (daemon *Daemon) Evacuate(ctx context.Context, order *configurer.Evacuation) *configurer.Result {
	return daemon.operations.evacuate(ctx, order)
}

func (operations *operations) evacuate(ctx context.Context, order *configurer.Evacuation) *configurer.Result {
	current := operations.requestKeepers(ctx, &coordinator.OperatorRequest{ReadConfig: true})
	if current == nil || current.Config == nil || ctx.Err() != nil {
		return nil
	}
	order.Expected = current.Config.Version
	order.At = time.Now().UTC().Format(time.RFC3339)
	result := operations.requestKeepers(ctx, &coordinator.OperatorRequest{Command: keeper.Command{Evacuation: order}})
	if result == nil || result.Change == nil {
		return nil
	}
	operations.Log.Info("evacuation ordered", "failure-domain", order.FailureDomain, "withdrawn", order.Withdrawn,
		"operator", order.Operator, "verdict", result.Change.Verdict, "version", result.Change.Newest)
	return result.Change
}

// requestKeepers sends a request to the keepers and returns their result, or nil if it was not
// applied or ctx is done.
func (operations *operations) requestKeepers(ctx context.Context, operatorRequest *coordinator.OperatorRequest) *keeper.Result {
	output := operations.await(ctx, func(waiter uint64) coordinator.Input {
		operatorRequest.Waiter = waiter
		return operatorRequest
	})
	answer, answered := output.(*coordinator.OperatorAnswer)
	if !answered || !answer.Applied {
		return nil
	}
	return &answer.Result
}

func (operations *operations) orderEvacuation(writer http.ResponseWriter, request *http.Request) {
	body, problem := operations.readEvacuation(writer, request)
	if problem != nil {
		writeJSON(writer, http.StatusBadRequest, problem)
		return
	}
	result := operations.evacuate(request.Context(), &configurer.Evacuation{
		Request: body.Request, FailureDomain: body.FailureDomain, Withdrawn: body.Withdrawn,
		Operator: operatorOf(request.Context(), body.Operator),
	})
	if request.Context().Err() != nil {
		return
	}
	writeChangeResult(writer, result)
}

func (operations *operations) readEvacuation(writer http.ResponseWriter, request *http.Request) (*EvacuationBody, *ErrorBody) {
	var body EvacuationBody
	limited := http.MaxBytesReader(writer, request.Body, int64(operations.Settings.Limits.RequestBody))
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, &ErrorBody{Error: "malformed-body", Detail: err.Error()}
	}
	if body.Request == "" || body.Operator == "" {
		return nil, &ErrorBody{Error: "missing-field", Detail: "request and operator must not be empty"}
	}
	if !slices.Contains(operations.Settings.FailureDomains, body.FailureDomain) {
		return nil, &ErrorBody{Error: "unknown-failure-domain", Detail: "the settings of this host name no such failure domain"}
	}
	return &body, nil
}

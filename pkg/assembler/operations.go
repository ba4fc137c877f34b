package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/awaiter"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// operations serves the HTTP API for operators.
type operations struct {
	*provider.Common
	post connector.Poster

	waiting awaiter.Awaiter[uint64, coordinator.Output]
}

func newOperations(common *provider.Common, post connector.Poster) *operations {
	return &operations{Common: common, post: post}
}

// Register adds the operators' paths to router.
func (operations *operations) Register(router *mux.Router) {
	router.HandleFunc("/v1/explain/{submission}", operations.explain).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", operations.showConfig).Methods(http.MethodGet)
	router.HandleFunc("/v1/config", operations.changeConfig).Methods(http.MethodPost)
	router.HandleFunc("/v1/config/history", operations.configHistory).Methods(http.MethodGet)
	router.HandleFunc("/v1/evacuations", operations.orderEvacuation).Methods(http.MethodPost)
	operations.registerIntents(router)
}

// Answer delivers an output of the coordinator to the request that waits for it.
func (operations *operations) Answer(output coordinator.Output) {
	var waiter uint64
	switch output := output.(type) {
	case *coordinator.OperatorAnswer:
		waiter = output.Waiter
	case *coordinator.ConfigHistory:
		waiter = output.Waiter
	case *coordinator.ConfigAnswer:
		waiter = output.Waiter
	case *coordinator.StatusAnswer:
		waiter = output.Waiter
	case *coordinator.ExplainAnswer:
		waiter = output.Waiter
	}
	operations.waiting.Answer(waiter, output)
}

// await posts an input with a new waiter number and returns the output that answers it, or nil when
// the operator hangs up.
func (operations *operations) await(ctx context.Context, input func(waiter uint64) coordinator.Input) coordinator.Output {
	output, _ := operations.waiting.Await(ctx, func(waiter uint64) { operations.post(ctx, input(waiter)) })
	return output
}

func (operations *operations) showConfig(writer http.ResponseWriter, request *http.Request) {
	output := operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.ConfigWanted{Waiter: waiter}
	})
	answer, answered := output.(*coordinator.ConfigAnswer)
	switch {
	case !answered:
	case !answer.Known:
		writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{
			Error: "not-known-yet", Detail: "this host has just started and has not heard yet what is in force",
		})
	default:
		writeJSON(writer, http.StatusOK, bodyOf(answer.Version))
	}
}

func (operations *operations) changeConfig(writer http.ResponseWriter, request *http.Request) {
	body, problem := operations.readChange(writer, request)
	if problem != nil {
		writeJSON(writer, http.StatusBadRequest, problem)
		return
	}
	change := &configurer.Change{
		Request: body.Request, Expected: body.Expected, Operator: operatorOf(request.Context(), body.Operator),
		Document: body.Document, At: time.Now().UTC().Format(time.RFC3339),
	}
	result := operations.requestKeepers(request.Context(), &coordinator.OperatorRequest{Command: keeper.Command{Change: change}})
	switch {
	case request.Context().Err() != nil:
	case result == nil:
		writeChangeResult(writer, nil)
	default:
		writeChangeResult(writer, result.Change)
	}
}

// readChange decodes a change and validates its document. An invalid document must not reach the log:
// every host would refuse to apply it, and none could report that to the operator who sent it.
func (operations *operations) readChange(writer http.ResponseWriter, request *http.Request) (*ChangeBody, *ErrorBody) {
	var body ChangeBody
	limited := http.MaxBytesReader(writer, request.Body, int64(operations.Settings.Limits.RequestBody))
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return nil, &ErrorBody{Error: "malformed-body", Detail: err.Error()}
	}
	if body.Request == "" || body.Operator == "" || len(body.Document) == 0 {
		return nil, &ErrorBody{Error: "missing-field", Detail: "request, operator and document must not be empty"}
	}
	_, err := loader.ParseConfiguration("document", body.Document)
	var wrong *loader.Error
	if errors.As(err, &wrong) {
		return nil, &ErrorBody{Error: "wrong-document", Detail: "the document has problems", Problems: wrong.Problems}
	}
	return &body, nil
}

// writeChangeResult writes the result of a change; nil means that no quorum answered.
func writeChangeResult(writer http.ResponseWriter, result *configurer.Result) {
	if result == nil {
		writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{
			Error:  "no-quorum",
			Detail: "no quorum of the keepers answered; nobody knows whether the change was accepted: send it again with the same request id",
		})
		return
	}
	status := http.StatusOK
	if result.Verdict == configurer.VerdictConflict {
		status = http.StatusConflict
	}
	writeJSON(writer, status, result)
}

func (operations *operations) configHistory(writer http.ResponseWriter, request *http.Request) {
	output := operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.ConfigHistoryWanted{Waiter: waiter}
	})
	answer, answered := output.(*coordinator.ConfigHistory)
	if !answered {
		return
	}
	bodies := make([]ConfigBody, 0, len(answer.Versions))
	for _, version := range answer.Versions {
		bodies = append(bodies, bodyOf(version))
	}
	writeJSON(writer, http.StatusOK, bodies)
}

// writeJSON writes a response. It ignores errors, since they mean that the client has hung up.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

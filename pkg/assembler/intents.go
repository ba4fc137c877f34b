package assembler

import (
	"context"
	"encoding/json"
	"net/http"
	"regexp"
	"time"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/describer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// A request for a plan waits this long for the first one, which exists as soon as the workers of
// the failure domains are known.
const (
	planTimeout      = 5 * time.Second
	planPollInterval = 50 * time.Millisecond
)

// intentNamePattern matches valid names of intents, which become parts of paths and task names.
var intentNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// registerIntents adds the paths of intents to router.
func (operations *operations) registerIntents(router *mux.Router) {
	router.HandleFunc("/v1/intents", operations.listIntents).Methods(http.MethodGet)
	router.HandleFunc("/v1/intents", operations.createIntent).Methods(http.MethodPost)
	router.HandleFunc("/v1/intents/{name}", operations.showIntent).Methods(http.MethodGet)
	router.HandleFunc("/v1/intents/{name}/plan", operations.planIntent).Methods(http.MethodPost)
	orders := map[string]planner.CommandKind{
		"confirm": planner.CommandConfirm, "reject": planner.CommandReject, "cancel": planner.CommandCancel, "end": planner.CommandEnd,
	}
	for verb, kind := range orders {
		router.HandleFunc("/v1/intents/{name}/"+verb, func(writer http.ResponseWriter, request *http.Request) {
			operations.orderIntent(writer, request, kind)
		}).Methods(http.MethodPost)
	}
}

func (operations *operations) createIntent(writer http.ResponseWriter, request *http.Request) {
	var body describer.Create
	if !operations.readIntentBody(writer, request, &body) {
		return
	}
	if !intentNamePattern.MatchString(string(body.Name)) {
		writeJSON(writer, http.StatusBadRequest, ErrorBody{
			Error: "wrong-name", Detail: "a name has up to 128 letters, digits, dots, dashes and underscores, and begins with a letter or digit",
		})
		return
	}
	spec := body.Spec.PlannerSpec()
	command := &planner.Command{Kind: planner.CommandCreate, Request: body.Request, Operator: body.Operator, Name: body.Name, Spec: &spec}
	operations.submitIntentCommand(writer, request, command)
}

func (operations *operations) orderIntent(writer http.ResponseWriter, request *http.Request, kind planner.CommandKind) {
	var body describer.Order
	if !operations.readIntentBody(writer, request, &body) {
		return
	}
	operations.submitIntentCommand(writer, request, &planner.Command{
		Kind: kind, Request: body.Request, Operator: body.Operator, Name: nameOf(request),
		Revision: body.Revision, PlanNumber: body.Plan, Reason: body.Reason,
	})
}

func nameOf(request *http.Request) identifier.IntentName {
	return identifier.IntentName(mux.Vars(request)["name"])
}

// readIntentBody decodes the body of a request that changes an intent. It returns false once it has
// answered that the body is malformed.
func (operations *operations) readIntentBody(writer http.ResponseWriter, request *http.Request, body any) bool {
	limited := http.MaxBytesReader(writer, request.Body, int64(operations.Settings.Limits.RequestBody))
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(body); err != nil {
		writeJSON(writer, http.StatusBadRequest, ErrorBody{Error: "malformed-body", Detail: err.Error()})
		return false
	}
	return true
}

// submitIntentCommand submits a command to the keepers' log and answers with its result.
func (operations *operations) submitIntentCommand(writer http.ResponseWriter, request *http.Request, command *planner.Command) {
	// If the settings have access, the authenticated name replaces the one in the body.
	command.Operator = planner.OperatorID(operatorOf(request.Context(), string(command.Operator)))
	if command.Request == "" || command.Operator == "" {
		writeJSON(writer, http.StatusBadRequest, ErrorBody{Error: "missing-field", Detail: "request and operator must not be empty"})
		return
	}
	command.Wall = planner.WallTime(time.Now().UnixMilli())
	output := operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.OperatorRequest{Waiter: waiter, Command: keeper.Command{Intent: command}}
	})
	answer, answered := output.(*coordinator.OperatorAnswer)
	switch {
	case !answered:
	case answer.Overloaded:
		writeOverloaded(writer)
	case !answer.Applied || answer.Result.Intent == nil:
		writeNoQuorum(writer, "nobody knows whether the command was accepted: send it again with the same request id")
	default:
		result := answer.Result.Intent
		writeJSON(writer, statusOf(command.Kind, result.Kind), describer.ResultOf(command.Name, result))
	}
}

func writeOverloaded(writer http.ResponseWriter) {
	writer.Header().Set("Retry-After", "1")
	writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{Error: "overloaded", Detail: "too many requests wait here; nothing was done"})
}

func writeNoQuorum(writer http.ResponseWriter, advice string) {
	writeJSON(writer, http.StatusServiceUnavailable, ErrorBody{Error: "no-quorum", Detail: "no quorum of the keepers answered; " + advice})
}

func statusOf(command planner.CommandKind, result planner.ResultKind) int {
	switch result {
	case planner.ResultAccepted:
		if command == planner.CommandCreate {
			return http.StatusCreated
		}
		return http.StatusOK
	case planner.ResultNotFound:
		return http.StatusNotFound
	case planner.ResultInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

// readIntents reads intents from the leader of the keepers. It returns false once it has answered
// that the read failed, or when the operator has hung up.
func (operations *operations) readIntents(writer http.ResponseWriter, request *http.Request, name identifier.IntentName) ([]planner.Record, bool) {
	read := &keeper.IntentRead{Name: name, Stale: request.URL.Query().Get("stale") == "true"}
	output := operations.await(request.Context(), func(waiter uint64) coordinator.Input {
		return &coordinator.OperatorRequest{Waiter: waiter, Read: read}
	})
	answer, answered := output.(*coordinator.OperatorAnswer)
	if !answered {
		return nil, false
	}
	if answer.Overloaded {
		writeOverloaded(writer)
		return nil, false
	}
	if !answer.Applied || answer.Result.Intents == nil {
		writeNoQuorum(writer, "ask again, or ask a keeper with ?stale=true for what it has")
		return nil, false
	}
	return answer.Result.Intents.Records, true
}

func (operations *operations) listIntents(writer http.ResponseWriter, request *http.Request) {
	records, read := operations.readIntents(writer, request, "")
	if !read {
		return
	}
	bodies := make([]*describer.Intent, 0, len(records))
	for position := range records {
		bodies = append(bodies, describer.IntentOf(&records[position], false))
	}
	writeJSON(writer, http.StatusOK, bodies)
}

func (operations *operations) showIntent(writer http.ResponseWriter, request *http.Request) {
	record := operations.readIntent(writer, request)
	if record != nil {
		writeJSON(writer, http.StatusOK, describer.IntentOf(record, request.URL.Query().Get("explain") == "true"))
	}
}

// readIntent returns the intent that the path names, or nil once it has answered why not.
func (operations *operations) readIntent(writer http.ResponseWriter, request *http.Request) *planner.Record {
	records, read := operations.readIntents(writer, request, nameOf(request))
	if !read {
		return nil
	}
	if len(records) == 0 {
		writeJSON(writer, http.StatusNotFound, ErrorBody{Error: "not-found", Detail: "there is no intent of that name"})
		return nil
	}
	return &records[0]
}

// planIntent waits for the plan of an intent that has none yet and shows the current one. A plan
// that is outdated by changes of the system is replaced without a request.
func (operations *operations) planIntent(writer http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), planTimeout)
	defer cancel()
	for {
		record := operations.readIntent(writer, request)
		if record == nil {
			return
		}
		if record.State != planner.StateCreated || ctx.Err() != nil {
			writeJSON(writer, http.StatusOK, describer.IntentOf(record, false))
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(planPollInterval):
		}
	}
}

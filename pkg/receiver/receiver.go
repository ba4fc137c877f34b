// Package receiver serves the callers' HTTP API with JSON bodies: it validates requests, passes
// them to the coordinator and waits for their answers.
package receiver

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/mux"

	"github.com/stoathitch/stoathitch/pkg/awaiter"
	"github.com/stoathitch/stoathitch/pkg/connector"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/measurer"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/provider"
	"github.com/stoathitch/stoathitch/pkg/runner"
)

// Receiver implements the HTTP handlers for callers. Set the exported fields before Prepare.
type Receiver struct {
	*provider.Common
	Post  connector.Poster
	Clock *runner.Clock
	// Measurer counts requests and answers; if nil, Prepare creates one.
	Measurer *measurer.Measurer

	// limits are the current limits; SetLimits replaces them when a new configuration applies.
	limits        atomic.Pointer[loader.Limits]
	ready         atomic.Bool
	refusing      atomic.Bool
	reservedBytes atomic.Int64
	waiting       awaiter.Awaiter[forwarder.WaiterID, *messenger.JobAnswer]
}

// Prepare applies the limits of the settings and fills in a missing Measurer. Call it before
// serving requests.
func (receiver *Receiver) Prepare() {
	receiver.SetLimits(receiver.Settings.Limits)
	if receiver.Measurer == nil {
		receiver.Measurer = measurer.New()
	}
}

// SetLimits replaces the limits for requests that arrive from now on.
func (receiver *Receiver) SetLimits(limits loader.Limits) { receiver.limits.Store(&limits) }

// Register adds the callers' job paths and the health and readiness paths to router.
func (receiver *Receiver) Register(router *mux.Router) {
	router.HandleFunc("/v1/jobs", receiver.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{submission}", receiver.query).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{submission}", receiver.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/healthz", receiver.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", receiver.readiness).Methods(http.MethodGet)
}

// SetReady sets whether /readyz reports ready, for the platform's load balancer.
func (receiver *Receiver) SetReady(ready bool) { receiver.ready.Store(ready) }

// RefuseSubmissions refuses every submission from now on; called during a shutdown.
func (receiver *Receiver) RefuseSubmissions() { receiver.refusing.Store(true) }

// Answer delivers an answer to the request that waits for it. The answer is dropped if the caller
// has hung up; a resend gets it again.
func (receiver *Receiver) Answer(answer *forwarder.AnswerCaller) {
	receiver.waiting.Answer(answer.Waiter, answer.Answer)
}

// WaitingRequests returns the number of requests that wait for an answer.
func (receiver *Receiver) WaitingRequests() int { return receiver.waiting.Len() }

// WaitingBytes returns the total body size of the jobs that wait for an answer.
func (receiver *Receiver) WaitingBytes() identifier.Bytes {
	return identifier.Bytes(receiver.reservedBytes.Load())
}

// await posts an event for a new waiter and returns its answer, or nil when the caller hangs up.
// Hanging up does not cancel the submission.
func (receiver *Receiver) await(ctx context.Context, event func(forwarder.WaiterID) forwarder.Input) *messenger.JobAnswer {
	answer, _ := receiver.waiting.Await(ctx, func(waiter forwarder.WaiterID) {
		receiver.Post(ctx, &coordinator.CallerEvent{Event: event(waiter)})
	})
	return answer
}

// Package receiver serves callers over HTTP with JSON: it checks requests, hands
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

// Receiver serves the callers' HTTP paths. Set the exported fields before
// Prepare.
type Receiver struct {
	*provider.Common
	Post  connector.Poster
	Clock *runner.Clock
	// Measurer counts what callers ask and are told; nil lets Prepare make one.
	Measurer *measurer.Measurer

	// limits are those in force; a new configuration replaces them.
	limits    atomic.Pointer[loader.Limits]
	ready     atomic.Bool
	refusing  atomic.Bool
	waitBytes atomic.Int64
	waiting   awaiter.Awaiter[forwarder.WaiterID, *messenger.JobAnswer]
}

// Prepare makes the receiver usable.
func (receiver *Receiver) Prepare() {
	receiver.SetLimits(receiver.Settings.Limits)
	if receiver.Measurer == nil {
		receiver.Measurer = measurer.New()
	}
}

// SetLimits puts other limits in force for requests that arrive from now on.
func (receiver *Receiver) SetLimits(limits loader.Limits) { receiver.limits.Store(&limits) }

// Register adds the callers' paths to router.
func (receiver *Receiver) Register(router *mux.Router) {
	router.HandleFunc("/v1/jobs", receiver.submit).Methods(http.MethodPost)
	router.HandleFunc("/v1/jobs/{submission}", receiver.show).Methods(http.MethodGet)
	router.HandleFunc("/v1/jobs/{submission}", receiver.cancel).Methods(http.MethodDelete)
	router.HandleFunc("/healthz", receiver.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", receiver.readiness).Methods(http.MethodGet)
}

// SetReady turns the readiness path on or off, for the platform's balancer.
func (receiver *Receiver) SetReady(ready bool) { receiver.ready.Store(ready) }

// RefuseNew makes every further submission a refusal, during a shutdown.
func (receiver *Receiver) RefuseNew() { receiver.refusing.Store(true) }

// Answer hands an answer to the request that waits for it. An answer for a
// request whose caller hung up is dropped; a resend finds it.
func (receiver *Receiver) Answer(answer *forwarder.AnswerCaller) {
	receiver.waiting.Answer(answer.Waiter, answer.Answer)
}

// Waiting returns how many requests wait for an answer.
func (receiver *Receiver) Waiting() int { return receiver.waiting.Len() }

// WaitingBytes returns the sum of the bodies of the jobs that wait for an answer.
func (receiver *Receiver) WaitingBytes() identifier.Bytes {
	return identifier.Bytes(receiver.waitBytes.Load())
}

// await posts an event for a new waiter and waits for the answer, or nil when the
// caller hangs up. A caller that hangs up has not cancelled.
func (receiver *Receiver) await(ctx context.Context, event func(forwarder.WaiterID) forwarder.Input) *messenger.JobAnswer {
	answer, _ := receiver.waiting.Await(ctx, func(waiter forwarder.WaiterID) {
		receiver.Post(ctx, &coordinator.CallerEvent{Event: event(waiter)})
	})
	return answer
}

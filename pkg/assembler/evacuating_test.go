package assembler_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// evacuate orders the evacuation of the first host's failure domain, or its withdrawal.
func (deployment *deployment) evacuate(t *testing.T, request identifier.RequestID, withdrawn bool) *configurer.Result {
	t.Helper()
	var result *configurer.Result
	eventually(t, "the order is accepted", func(ctx context.Context) bool {
		var err error
		result, err = deployment.hosts[0].OrderEvacuation(ctx, &assembler.EvacuationBody{
			Request: request, Operator: "tam", FailureDomain: deployment.domain(ctx), Withdrawn: withdrawn,
		})
		return err == nil
	})
	return result
}

// domain returns the failure domain of the first host, or "" if its status is unavailable.
func (deployment *deployment) domain(ctx context.Context) identifier.FailureDomain {
	status, err := deployment.hosts[0].Status(ctx)
	if err != nil {
		return ""
	}
	return status.FailureDomain
}

// TestEvacuationOfStreams guards against task starts in an evacuated failure domain, on servers that
// open a stream, while there is no configuration yet; and against a refusal that is not sent at once.
func TestEvacuationOfStreams(t *testing.T) {
	deployment := startDeployment(t, 2, nil)
	deployment.startServers(t, 2, 8)
	deployment.waitUntilServing(t)
	if result := deployment.evacuate(t, "e-1", false); result.Verdict != configurer.VerdictAccepted {
		t.Fatalf("the order got %+v", result)
	}
	for index, host := range deployment.hosts {
		eventually(t, "a job is refused as not run", func(ctx context.Context) bool {
			answer, err := host.Submit(ctx, smallJob("evacuated-"+string(rune('a'+index))))
			return err == nil && answer.NotRun && answer.Reason == messenger.ReasonNoBackendServer.String() && strings.Contains(answer.Detail, "evacuated")
		})
	}
	if again := deployment.evacuate(t, "e-1", false); again.Newest != 1 {
		t.Errorf("the resent order got %+v", again)
	}
	if already := deployment.evacuate(t, "e-2", false); already.Verdict != configurer.VerdictSuperseded {
		t.Errorf("a second order got %+v", already)
	}
	if result := deployment.evacuate(t, "e-3", true); result.Verdict != configurer.VerdictAccepted || result.Newest != 2 {
		t.Errorf("the withdrawal got %+v", result)
	}
	eventually(t, "a job is served again", func(ctx context.Context) bool {
		answer, err := deployment.hosts[1].Submit(ctx, smallJob("readmitted"))
		return err == nil && answer.Outcome == messenger.OutcomeComplete
	})
}

// TestWrongEvacuationOrders guards against invalid orders that take effect.
func TestWrongEvacuationOrders(t *testing.T) {
	deployment := startDeployment(t, 1, nil)
	deployment.startServers(t, 1, 1)
	deployment.waitUntilServing(t)
	for name, body := range map[string]assembler.EvacuationBody{
		"no request":             {Operator: "tam", FailureDomain: "thu-duc"},
		"no operator":            {Request: "r", FailureDomain: "thu-duc"},
		"unknown failure domain": {Request: "r", Operator: "tam", FailureDomain: "nowhere"},
		"strange signs":          {Request: "r", Operator: "tam", FailureDomain: "\x00\xff/.."},
		"long name":              {Request: "r", Operator: "tam", FailureDomain: identifier.FailureDomain(strings.Repeat("a", 10<<10))},
	} {
		_, err := deployment.hosts[0].OrderEvacuation(t.Context(), &body)
		var failure *requester.Error
		if !errors.As(err, &failure) || failure.Kind != requester.ErrorKindWrongRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
	if config, err := deployment.hosts[0].Config(t.Context()); err == nil && config.Version.Version != 0 {
		t.Errorf("version %d is in force", config.Version.Version)
	}
}

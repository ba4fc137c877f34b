package assembler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/assembler"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

func change(request identifier.RequestID, expected identifier.ConfigVersion, document string) *assembler.ChangeBody {
	return &assembler.ChangeBody{Request: request, Expected: expected, Operator: "tam", Document: json.RawMessage(document)}
}

// TestConfigurationComesIntoForce changes limits and quotas while the system runs and checks
// that they apply on both hosts, one of which is not a keeper.
func TestConfigurationComesIntoForce(t *testing.T) {
	deployment := startDeployment(t, 2, nil)
	deployment.startServers(t, 2, 8)
	deployment.waitUntilServing(t)
	ctx := t.Context()
	document := `{"limits":{"tasks-per-job":1},"teams":[{"team":"estimates","tasks-in-flight":0},{"team":"barred","tasks-per-second":0.001}]}`
	var result *configurer.Result
	eventually(t, "a change is accepted", func(ctx context.Context) bool {
		var err error
		result, err = deployment.hosts[1].ChangeConfig(ctx, change("r-1", 0, document))
		return err == nil
	})
	if result.Verdict != configurer.VerdictAccepted || result.Newest != 1 {
		t.Fatalf("change: %+v", result)
	}
	for index, host := range deployment.hosts {
		eventually(t, fmt.Sprintf("host %d refuses two tasks", index), func(ctx context.Context) bool {
			two := strings.Replace(string(smallJob(fmt.Sprintf("two-%d", index))), `"tasks":[`, `"tasks":[{"task":"b"},`, 1)
			_, err := host.Submit(ctx, []byte(two))
			return err != nil && strings.Contains(err.Error(), "too-many-tasks")
		})
	}
	refused := false
	for number := range 20 {
		job := strings.Replace(string(smallJob(fmt.Sprintf("barred-%d", number))), `"estimates"`, `"barred"`, 1)
		answer, err := deployment.hosts[0].Submit(ctx, []byte(job))
		if err != nil {
			t.Fatal(err)
		}
		refused = refused || answer.Reason == "over-quota" && answer.NotRun
	}
	if !refused {
		t.Error("20 jobs of a team with a thousandth of a task a second ran, none was over its quota")
	}
	checkChanges(t, deployment.hosts[1], document)
}

// checkChanges checks that a resent change gets the first result, that a change based on an old
// version is a conflict, and that an invalid document is refused with its problems.
func checkChanges(t *testing.T, host *requester.Requester, document string) {
	t.Helper()
	again, err := host.ChangeConfig(t.Context(), change("r-1", 0, document))
	if err != nil || again.Verdict != configurer.VerdictAccepted || again.Newest != 1 {
		t.Errorf("resent change: %+v, %v", again, err)
	}
	late, err := host.ChangeConfig(t.Context(), change("r-2", 0, `{}`))
	if err != nil || late.Verdict != configurer.VerdictConflict || late.Winner != "tam" {
		t.Errorf("change on an old version: %+v, %v", late, err)
	}
	_, err = host.ChangeConfig(t.Context(), change("r-3", 1, `{"teams":[{"team":"No Name"}]}`))
	var failure *requester.Error
	if !errors.As(err, &failure) || failure.Kind != requester.ErrorKindWrongRequest || len(failure.Problems) != 1 {
		t.Errorf("wrong document: %v", err)
	}
	inForce, err := host.Config(t.Context())
	if err != nil || inForce.Version.Version != 1 || string(inForce.Document) != document {
		t.Errorf("in force: %+v, %v", inForce, err)
	}
}

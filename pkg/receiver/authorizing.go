package receiver

import (
	"context"
	"fmt"
	"net/http"

	"github.com/stoathitch/stoathitch/pkg/authorizer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// forbidden returns the problem of a request made in another caller's name. NotRun stays false,
// so that the response doesn't disclose whether the other caller's submission ran.
func forbidden(detail string) *problem {
	return &problem{status: http.StatusForbidden, Kind: "forbidden", Detail: detail + "; this request started nothing"}
}

// checkSender refuses a job submitted in the name of another caller or team. Without an
// authenticated principal every job passes.
func checkSender(ctx context.Context, job *messenger.Job) *problem {
	principal := authorizer.PrincipalOf(ctx)
	if principal == nil || principal.Is(job.Caller, job.Team) {
		return nil
	}
	return forbidden(fmt.Sprintf("you are caller %q of team %q and can't submit for caller %q of team %q",
		principal.Caller, principal.Team, job.Caller, job.Team))
}

// callerOf returns the caller that queries or cancels an earlier submission: the authenticated
// one or, where authentication is off, the one named in CallerHeader. The leads compare it with
// the submission's caller.
func callerOf(request *http.Request) (identifier.CallerID, *problem) {
	named := identifier.CallerID(request.Header.Get(CallerHeader))
	principal := authorizer.PrincipalOf(request.Context())
	if principal == nil {
		return named, nil
	}
	if named != "" && named != principal.Caller {
		return "", forbidden(fmt.Sprintf("you are caller %q and can't ask as caller %q", principal.Caller, named))
	}
	return principal.Caller, nil
}

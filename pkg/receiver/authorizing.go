package receiver

import (
	"context"
	"fmt"
	"net/http"

	"github.com/stoathitch/stoathitch/pkg/authorizer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// forbidden is a request in another's name. It doesn't say "not run": whether the
// other's submission ran is none of the sender's business.
func forbidden(detail string) *problem {
	return &problem{status: http.StatusForbidden, Kind: "forbidden", Detail: detail + "; this request started nothing"}
}

// checkSender refuses a job in another caller's or team's name.
func checkSender(ctx context.Context, job *messenger.Job) *problem {
	principal := authorizer.PrincipalOf(ctx)
	if principal == nil || principal.Is(job.Caller, job.Team) {
		return nil
	}
	return forbidden(fmt.Sprintf("you are caller %q of team %q and can't submit for caller %q of team %q",
		principal.Caller, principal.Team, job.Caller, job.Team))
}

// callerOf returns who asks for an earlier submission: the one who proved it, or
// where nobody has to, the one that the header names. The leads compare it with
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

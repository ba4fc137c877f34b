package receiver

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

// TestHomeIsTheSameAtEveryHost guards against a resend that starts its tasks again (row 4). A job
// without may-run is sent to a host of one failure domain, then to a host of another; if the home
// depended on the receiving host, the second one would find no record of the submission.
func TestHomeIsTheSameAtEveryHost(t *testing.T) {
	domains := []identifier.FailureDomain{"thu-duc", "tan-binh", "binh-chanh"}
	homes := make(map[identifier.FailureDomain]int)
	for number := range 300 {
		body := &jobBody{Submission: identifier.SubmissionID(fmt.Sprintf("s-%d", number))}
		if number%3 == 0 {
			body.FailureDomain = domains[number/3%3]
		}
		var first []identifier.FailureDomain
		for index, own := range domains {
			// Each host's settings list the failure domains in a different order.
			order := append(slices.Clone(domains[index:]), domains[:index]...)
			settings := &loader.Settings{FailureDomain: own, FailureDomains: order}
			mayRun := (&Receiver{Common: &provider.Common{Settings: settings}}).mayRunOf(body)
			if first == nil {
				first = mayRun
			}
			if !slices.Equal(mayRun, first) || len(mayRun) != len(domains) {
				t.Fatalf("%s: %v at one host, %v at another", body.Submission, first, mayRun)
			}
		}
		if body.FailureDomain != "" && first[0] != body.FailureDomain {
			t.Errorf("%s names %s as its own, its home is %s", body.Submission, body.FailureDomain, first[0])
		}
		homes[first[0]]++
	}
	for _, domain := range domains {
		if homes[domain] < 70 {
			t.Errorf("%s is the home of %d of 300 submissions only", domain, homes[domain])
		}
	}
}

package forwarder

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestLeadChangesWithinOneEpoch guards against jobs that come through two of three hosts and
// are never answered, from the start of the system on. Two hosts start together and both
// acquire the cell under epoch 1; one gives way, and the elector names the other as the lead
// under the same epoch. A forwarder that accepted only notices with a higher epoch would keep
// forwarding jobs to the host that gave way.
func TestLeadChangesWithinOneEpoch(t *testing.T) {
	forwarder := &Forwarder{Self: "a", FailureDomain: "geel", Settings: DefaultSettings()}
	lead := func(host identifier.HostID) *LeadChanged {
		return &LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "geel", Host: host, Epoch: 1}}
	}
	job := &messenger.Job{Submission: "s", Caller: "c", MayRun: []identifier.FailureDomain{"geel"}}
	forwarder.Tick(0, []Input{lead("b"), &CallerSubmitted{Job: job, Deadline: identifier.Never}})
	for _, output := range forwarder.Tick(1, []Input{lead(""), lead("c")}) {
		if forwarded, forwards := output.(*ForwardJob); forwards {
			if forwarded.To != "c" {
				t.Errorf("the job went to %q", forwarded.To)
			}
			return
		}
	}
	t.Error("the job was not forwarded to the lead that remains")
}
